"""State owned by one actor.

Several threads of a process need the same state: handlers of messages, loops,
callers' threads. The state lives in one pykka actor, which runs one *turn* at a
time on it, so decisions need no locks of their own. A turn is a function of the
state and the time; it must not wait for anything.
"""

from collections.abc import Callable
from typing import Any
from typing import Generic
from typing import TypeVar
from typing import cast

import pykka

from foxtaildale import errors
from foxtaildale import ports

_State = TypeVar('_State')
_Result = TypeVar('_Result')


class _Actor(pykka.ThreadingActor):
    """Runs turns on a state."""

    # A daemon thread: a process that ends must not wait for its actors.
    use_daemon_thread = True

    def __init__(self, state: object, clock: ports.Clock) -> None:
        super().__init__()
        self._state = state
        self._clock = clock

    def on_receive(self, message: object) -> object:
        """Runs one turn and returns its result."""
        if not callable(message):
            raise errors.InvariantError(f'not a turn: {message!r}')
        return message(self._state, self._clock())


class Owner(Generic[_State]):
    """Handle on a state that an actor owns."""

    __slots__ = ('_ref',)

    _ref: pykka.ActorRef[_Actor]

    def __init__(self, state: _State, clock: ports.Clock) -> None:
        self._ref = _Actor.start(state, clock)

    def run(self, turn: Callable[[_State, float], _Result]) -> _Result:
        """Runs a turn and waits for its result.

        An exception of the turn is raised here, and the actor lives on.
        """
        return cast(_Result, self._ref.ask(cast(Any, turn)))

    def stop(self) -> None:
        """Ends the actor after the turns already given."""
        self._ref.stop()
