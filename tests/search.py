"""An exhaustive state space search over copies of production objects.

A world is one state: a class with `__slots__` that holds the objects under
test, the messages in transit and the responses to callers. The search visits
every state that the moves can reach, breadth first, and stops at the first
fault. Breadth first order gives the shortest trace to a fault.
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

_IMMUTABLE_TYPES = (
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
# Metric counters are ignored: they would make every state distinct.
_IGNORED_SLOTS = frozenset({'started_count'})

W = TypeVar('W')
# The path before a move, and the move's name. Paths share their prefixes.
_Path = tuple[()] | tuple['_Path', str]


class Move(Generic[W]):
    """A state transition; `apply` modifies a copy of the state in place."""

    __slots__ = ('apply', 'name')

    def __init__(self, name: str, apply: Callable[[W], None]) -> None:
        self.name = name
        self.apply = apply


class Result:
    """Result of a search.

    Attributes:
        states: Number of states visited.
        trace: Names of the moves to the first fault; empty if there is none.
        fault: Description of the fault; empty if there is none.
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


def _slot_names(obj: object) -> Iterator[str]:
    for cls in type(obj).__mro__:
        slots = cls.__dict__.get('__slots__', ())
        yield from (slots,) if isinstance(slots, str) else slots


def clone(obj: W) -> W:
    """Returns a deep copy that shares immutable parts."""
    return cast(W, _copy(obj))


def _copy(obj: object) -> object:
    if isinstance(obj, _IMMUTABLE_TYPES):
        return obj
    if isinstance(obj, dict):
        return {key: _copy(value) for key, value in obj.items()}
    if isinstance(obj, list):
        return [_copy(value) for value in obj]
    new: object = object.__new__(type(obj))
    for name in _slot_names(obj):
        setattr(new, name, _copy(getattr(obj, name)))
    return new


def freeze(obj: object) -> Hashable:
    """Returns a hashable snapshot; equal objects have equal snapshots."""
    if isinstance(obj, _IMMUTABLE_TYPES):
        return cast(Hashable, obj)
    if isinstance(obj, dict):
        return tuple((key, freeze(value)) for key, value in obj.items())
    if isinstance(obj, list):
        return tuple(freeze(value) for value in obj)
    return tuple(
        freeze(getattr(obj, name))
        for name in _slot_names(obj)
        if name not in _IGNORED_SLOTS
    )


def search(
    start: W,
    moves: Callable[[W], Iterator[Move[W]]],
    fault: Callable[[W], str],
    limit: int = 300_000,
) -> Result:
    """Visits every reachable state, breadth first.

    Raises:
        RuntimeError: There are more than `limit` states, so the search is
            incomplete and proves nothing.
    """
    # Stores 64-bit hashes in place of states to save memory. The probability
    # that two of a million states collide is below one in ten million.
    seen = {hash(freeze(start))}
    queue: collections.deque[tuple[W, _Path]] = collections.deque()
    queue.append((start, ()))
    while queue:
        world, path = queue.popleft()
        for move in moves(world):
            next_world = clone(world)
            move.apply(next_world)
            new_path = (path, move.name)
            fault_text = fault(next_world)
            if fault_text:
                return Result(len(seen), _move_names(new_path), fault_text)
            key = hash(freeze(next_world))
            if key not in seen:
                seen.add(key)
                queue.append((next_world, new_path))
        if len(seen) > limit:
            raise RuntimeError(f'more than {limit} states')
    return Result(len(seen), (), '')


def _move_names(path: _Path) -> tuple[str, ...]:
    names: list[str] = []
    while path:
        path, name = path
        names.append(name)
    return tuple(reversed(names))
