"""State owned by one actor.

Several threads of a process use the same state: message handlers, loops and the
threads of callers. One pykka actor owns the state and runs one *turn* at a time
on it, so the code of a turn needs no locks. A turn is a function of the state
and the time; it must not block.
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
    """Runs turns on the state, one at a time."""

    # The thread is a daemon thread, so that the exit of the process does not
    # wait for its actors.
    use_daemon_thread = True

    def __init__(self, state: object, clock: ports.Clock) -> None:
        super().__init__()
        self._state = state
        self._clock = clock

    def on_receive(self, message: object) -> object:
        """Runs one turn and returns its result."""
        if not callable(message):
            raise errors.InvariantError(
                f'actor received a message that is not a turn: {message!r}'
            )
        return message(self._state, self._clock())


class StateOwner(Generic[_State]):
    """Runs turns on a state that an actor owns."""

    __slots__ = ('_ref',)

    _ref: pykka.ActorRef[_Actor]

    def __init__(self, state: _State, clock: ports.Clock) -> None:
        self._ref = _Actor.start(state, clock)

    def run(self, turn: Callable[[_State, float], _Result]) -> _Result:
        """Runs a turn and waits for its result.

        An exception of the turn is raised here; the actor continues to run.
        """
        return cast(_Result, self._ref.ask(cast(Any, turn)))

    def stop(self) -> None:
        """Stops the actor after the turns that are already queued."""
        self._ref.stop()
