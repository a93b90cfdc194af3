"""A small exhaustive search over copies of real decision objects.

A world is a plain class with slots that holds the objects under test, the
messages under way and what was told to callers. The search visits every world
that its moves can reach, shortest traces first, and stops at the first fault.
"""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
import types
from typing import Generic
from typing import TypeVar
from typing import cast

import msgspec

_PLAIN = (
    str,
    bytes,
    int,
    float,
    tuple,
    frozenset,
    msgspec.Struct,
    type(None),
    type,
    types.FunctionType,
)
# Counters for the metrics; they would make every world a new one.
_IGNORED = frozenset({'count'})

W = TypeVar('W')


class Move(Generic[W]):
    """One thing that can happen in a world; `make` changes a copy."""

    __slots__ = ('make', 'name')

    def __init__(self, name: str, make: Callable[[W], None]) -> None:
        self.name = name
        self.make = make


class Result:
    """What a search found.

    Attributes:
        states: Worlds visited.
        trace: Names of the moves to the first fault; empty if there is none.
        fault: What is wrong there.
    """

    __slots__ = ('fault', 'states', 'trace')

    def __init__(self, states: int, trace: tuple[str, ...], fault: str) -> None:
        self.states = states
        self.trace = trace
        self.fault = fault

    def __str__(self) -> str:
        if not self.fault:
            return f'no fault in {self.states} states'
        steps = '\n  '.join(self.trace)
        return f'{self.fault}; {self.states} states, trace:\n  {steps}'


def _slots(obj: object) -> Iterator[str]:
    for cls in type(obj).__mro__:
        slots = cls.__dict__.get('__slots__', ())
        yield from (slots,) if isinstance(slots, str) else slots


def clone(obj: W) -> W:
    """Returns a deep copy; immutable parts are shared."""
    return cast(W, _copy(obj))


def _copy(obj: object) -> object:
    if isinstance(obj, _PLAIN):
        return obj
    if isinstance(obj, dict):
        return {key: _copy(value) for key, value in obj.items()}
    if isinstance(obj, list):
        return [_copy(value) for value in obj]
    new: object = object.__new__(type(obj))
    for name in _slots(obj):
        setattr(new, name, _copy(getattr(obj, name)))
    return new


def freeze(obj: object) -> Hashable:
    """Returns a hashable value that is equal for equal objects."""
    if isinstance(obj, _PLAIN):
        return cast(Hashable, obj)
    if isinstance(obj, dict):
        return tuple((key, freeze(value)) for key, value in obj.items())
    if isinstance(obj, list):
        return tuple(freeze(value) for value in obj)
    return tuple(
        freeze(getattr(obj, name))
        for name in _slots(obj)
        if name not in _IGNORED
    )


def search(
    start: W,
    moves: Callable[[W], Iterator[Move[W]]],
    fault: Callable[[W], str],
    limit: int = 1_000_000,
) -> Result:
    """Visits every reachable world, breadth first.

    Raises:
        RuntimeError: More than `limit` states; nothing is proved then.
    """
    seen = {freeze(start)}
    todo: collections.deque[tuple[W, tuple[str, ...]]] = collections.deque()
    todo.append((start, ()))
    while todo:
        world, trace = todo.popleft()
        for move in moves(world):
            after = clone(world)
            move.make(after)
            found = fault(after)
            path = (*trace, move.name)
            if found:
                return Result(len(seen), path, found)
            key = freeze(after)
            if key not in seen:
                seen.add(key)
                todo.append((after, path))
        if len(seen) > limit:
            raise RuntimeError(f'more than {limit} states')
    return Result(len(seen), (), '')
