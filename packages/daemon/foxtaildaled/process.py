"""Lifecycle of a daemon process: periodic loops, signals, graceful shutdown.

Each `Loop` of a role runs in its own thread and can be woken early when there
is work. The main thread waits for SIGTERM or SIGINT; the role then stops its
parts in its own order.
"""

from collections.abc import Callable
import logging
import os
import queue
import signal
import threading
import time
import types
from typing import Final

from foxtaildale import errors
from foxtaildale_adapters import logs

# Exit status of a process that stopped because an invariant was violated.
INVARIANT_STATUS = 70
# Maximum time between a signal and its effect, seconds. The kernel may deliver
# it to a thread other than the main one, which then does not wake up for it.
SIGNAL_POLL_S = 0.5
_STOP_SIGNALS: Final = frozenset((signal.SIGTERM, signal.SIGINT))
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
            logs.event(logging.ERROR, 'invariant', error=str(exc))
            logs.flush()
            os._exit(INVARIANT_STATUS)
        except Exception as exc:
            logs.event(logging.ERROR, 'loop', loop=self.name, error=repr(exc))


def stop_on_broken_invariants() -> None:
    """Ends the process when an invariant is violated in any thread.

    If only the thread ended, the process would continue to make decisions
    based on an invalid state.
    """

    def on_exception(args: threading.ExceptHookArgs) -> None:
        logs.event(logging.ERROR, 'thread died', exc=args.exc_value)
        if isinstance(args.exc_value, errors.InvariantError):
            logs.flush()
            os._exit(INVARIANT_STATUS)

    threading.excepthook = on_exception


class Signals:
    """Receives the signals of the platform from its creation on.

    It is created before the role starts to serve: a signal whose default action
    is still in place ends the process and aborts every request in progress.

    A handler runs between any two instructions of the main thread, which may
    hold the lock of an event just then. If the handler set that event, it would
    wait for its own thread forever; `SimpleQueue` takes no such lock.
    """

    __slots__ = ('_received',)

    def __init__(self) -> None:
        self._received: queue.SimpleQueue[int] = queue.SimpleQueue()

        def on_signal(number: int, _frame: types.FrameType | None) -> None:
            self._received.put(number)

        for number in (*_STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, on_signal)

    def wait_for_stop(self, reload: Callable[[], None] | None = None) -> None:
        """Returns when the process has received SIGTERM or SIGINT.

        Args:
            reload: Called on SIGHUP, and every `RELOAD_INTERVAL_S` since
                settings may change without a signal. If it is None, SIGHUP has
                no effect.
        """
        reload_at = time.monotonic() + RELOAD_INTERVAL_S
        while True:
            received = self._receive()
            if received & _STOP_SIGNALS:
                return
            due = signal.SIGHUP in received or time.monotonic() >= reload_at
            if due and reload is not None:
                reload_at = time.monotonic() + RELOAD_INTERVAL_S
                reload()

    def ignore(self) -> None:
        """Ignores all signals; called when the role has stopped.

        The interpreter restores the default action of each handled signal while
        it ends, and a signal would then set the exit status.
        """
        for number in (*_STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)

    def _receive(self) -> set[int]:
        """Returns the signals received by the end of `SIGNAL_POLL_S`."""
        received: set[int] = set()
        try:
            received.add(self._received.get(timeout=SIGNAL_POLL_S))
            while True:
                received.add(self._received.get_nowait())
        except queue.Empty:
            return received
