"""Lifecycle of a daemon process: periodic loops, signals, graceful shutdown.

Each `Loop` of a role runs in its own thread and can be woken early when there
is work. SIGTERM and SIGINT set an event that the main thread waits for; the
role then stops its parts in its own order.
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

# Exit status of a process that stopped because an invariant was violated.
INVARIANT_STATUS = 70
# Maximum time between SIGHUP and the reload, seconds.
SIGNAL_POLL_S = 0.5
# Interval at which the settings are read without a signal, seconds; reading
# the file takes half a millisecond.
RELOAD_INTERVAL_S = 5.0


class Loop:
    """Calls a function periodically in a thread until it is stopped."""

    __slots__ = ('_period_s', '_step', '_stop', '_thread', '_wake', 'name')

    # Name in logs and the state dump.
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
        """Creates the loop without starting it.

        Args:
            name: Name in logs and the state dump.
            period_s: Time between two calls, seconds, or a function that
                returns it if it varies.
            step: Function that is called periodically.
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
        """Starts the next step without waiting for the period to end."""
        self._wake.set()

    def request_stop(self) -> None:
        """Requests the end of the loop after the current step; doesn't wait."""
        self._stop.set()
        self._wake.set()

    def stop(self) -> None:
        """Ends the loop after the current step and waits for its thread."""
        self.request_stop()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._run_step()
            period_s = self._period_s
            self._wake.wait(period_s() if callable(period_s) else period_s)
            self._wake.clear()

    def _run_step(self) -> None:
        # An uncaught exception would end the thread silently, and the process
        # would appear healthy while it no longer follows the log. Thus an
        # exception is logged and the next step is run as usual; a violated
        # invariant stops the process.
        try:
            self._step()
        except errors.InvariantError as exc:
            logs.event(absl_logging.ERROR, 'invariant', error=str(exc))
            os._exit(INVARIANT_STATUS)
        except Exception as exc:
            logs.event(
                absl_logging.ERROR, 'loop', loop=self.name, error=repr(exc)
            )


def stop_on_broken_invariants() -> None:
    """Ends the process when an invariant is violated in any thread.

    If only the thread ended, the process would continue to make decisions
    based on an invalid state.
    """

    def on_exception(args: threading.ExceptHookArgs) -> None:
        logs.event(absl_logging.ERROR, 'thread died', exc=args.exc_value)
        if isinstance(args.exc_value, errors.InvariantError):
            os._exit(INVARIANT_STATUS)

    threading.excepthook = on_exception


def wait_for_stop(reload: Callable[[], None] | None = None) -> None:
    """Returns when the process receives SIGTERM or SIGINT.

    Args:
        reload: Called on SIGHUP, and every `RELOAD_INTERVAL_S` since settings
            may change without a signal. If it is None, SIGHUP is ignored: the
            default action of SIGHUP would end the process and abort every
            request in progress.
    """
    reload_at = time.monotonic() + RELOAD_INTERVAL_S
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
            reload_at = time.monotonic() + RELOAD_INTERVAL_S
            reload()
