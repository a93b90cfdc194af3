"""Life of a daemon process: periodic loops, signals, graceful shutdown.

A role hands its loops to `Loops`; each runs in a thread of its own and is
woken early when there is work. SIGTERM and SIGINT set one event, on which the
main thread sleeps; the role then stops in its own order.
"""

from collections.abc import Callable
import os
import signal
import threading
import time
import types

from absl import logging as absl_logging

from foxtaildale import errors
from foxtaildale_adapters import logs

# Status of a process that stopped because an invariant broke.
BROKEN_STATUS = 70
# Longest time until a reload is noticed, seconds.
SIGNAL_POLL_S = 0.5
# Time between looks at settings that no signal announced, seconds; reading the
# file takes half a millisecond.
RELOAD_S = 5.0


class Loop:
    """Calls a step again and again until stopped."""

    __slots__ = ('_period_s', '_step', '_stop', '_thread', '_wake', 'name')

    # For logs and the state dump.
    name: str
    _step: Callable[[], None]
    _period_s: float | Callable[[], float]
    _wake: threading.Event
    _stop: threading.Event
    _thread: threading.Thread

    def __init__(
        self,
        name: str,
        period_s: float | Callable[[], float],
        step: Callable[[], None],
    ) -> None:
        """Prepares it.

        Args:
            name: For logs and the state dump.
            period_s: Time between steps, seconds; where it depends on what is
                going on, returns it.
            step: What to repeat.
        """
        self.name = name
        self._step = step
        self._period_s = period_s
        self._wake = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Starts the loop's thread."""
        self._thread.start()

    def wake(self) -> None:
        """Makes the next step come at once."""
        self._wake.set()

    def end(self) -> None:
        """Ends the loop after the step in progress, without waiting for it."""
        self._stop.set()
        self._wake.set()

    def stop(self) -> None:
        """Ends the loop after the step in progress."""
        self.end()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._guarded()
            period_s = self._period_s
            self._wake.wait(period_s() if callable(period_s) else period_s)
            self._wake.clear()

    def _guarded(self) -> None:
        # A step that raises would end its thread without a word, and the
        # process would look alive while it no longer follows the log. A fault
        # of one round is logged and the next round tries again; a broken
        # invariant stops the process.
        try:
            self._step()
        except errors.InvariantError as exc:
            logs.event(absl_logging.ERROR, 'invariant', error=str(exc))
            os._exit(BROKEN_STATUS)
        except Exception as exc:
            logs.event(
                absl_logging.ERROR, 'loop', loop=self.name, error=repr(exc)
            )


def stop_on_broken_invariants() -> None:
    """Ends the process when an invariant breaks in any thread.

    A thread that dies of one would leave a process that goes on deciding with
    a state that can't be right.
    """

    def on_exception(args: threading.ExceptHookArgs) -> None:
        logs.event(absl_logging.ERROR, 'thread died', exc=args.exc_value)
        if isinstance(args.exc_value, errors.InvariantError):
            os._exit(BROKEN_STATUS)

    threading.excepthook = on_exception


def wait_for_stop(reload: Callable[[], None] | None = None) -> None:
    """Returns when the process is told to stop.

    Args:
        reload: Called on SIGHUP, and now and then, since settings may change
            without a signal. Without it the signal is ignored: its default
            would end the process and cut every request in progress.
    """
    reload_at = time.monotonic() + RELOAD_S
    stop = threading.Event()
    changed = threading.Event()

    def on_signal(_number: int, _frame: types.FrameType | None) -> None:
        stop.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    signal.signal(signal.SIGHUP, lambda _number, _frame: changed.set())
    while not stop.wait(SIGNAL_POLL_S):
        due = changed.is_set() or time.monotonic() >= reload_at
        if due and reload is not None:
            changed.clear()
            reload_at = time.monotonic() + RELOAD_S
            reload()
