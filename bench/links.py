"""A fake of the link out of a prefill worker."""

from collections.abc import Callable

from bench import clock
from bench import workload


class Link:
    """Transfers that share a limited rate evenly."""

    def __init__(self, clk: clock.Clock) -> None:
        self._clock = clk
        self._rate = workload.LINK_RATE
        # Tokens left by key, and what to call at the end.
        self._left: dict[str, float] = {}
        self._done: dict[str, Callable[[], None]] = {}
        self._since = 0.0
        self._timer: clock.Timer | None = None

    def send(self, key: str, tokens: int, done: Callable[[], None]) -> None:
        """Starts a transfer."""
        self._settle()
        self._left[key] = float(max(1, tokens))
        self._done[key] = done
        self._plan()

    def cancel(self, key: str) -> None:
        """Ends a transfer early; harmless if there is none."""
        self._settle()
        self._left.pop(key, None)
        self._done.pop(key, None)
        self._plan()

    def stall(self) -> None:
        """The transfers in progress go silent for good; new ones work."""
        self._settle()
        self._left.clear()
        self._done.clear()
        self._plan()

    def slow(self, factor: float) -> None:
        """Sets the rate to a share of the normal one."""
        self._settle()
        self._rate = workload.LINK_RATE * factor
        self._plan()

    def _settle(self) -> None:
        if self._left:
            moved = (self._clock.now - self._since) * self._rate
            for key in self._left:
                self._left[key] -= moved / len(self._left)
        self._since = self._clock.now

    def _plan(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._left:
            least = max(0.0, min(self._left.values()))
            wait = least * len(self._left) / self._rate
            self._timer = self._clock.after(wait, self._arrive)

    def _arrive(self) -> None:
        self._settle()
        over = [key for key, left in self._left.items() if left <= 1e-6]
        calls = [self._done.pop(key) for key in over]
        for key in over:
            del self._left[key]
        self._plan()
        for call in calls:
            call()
