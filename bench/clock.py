"""The paused clock: an event heap that jumps from event to event."""

from collections.abc import Callable
import heapq


class Timer:
    """A call to come, which can be called off."""

    __slots__ = ('call',)

    # None once it was called off.
    call: Callable[[], None] | None

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call

    def cancel(self) -> None:
        """Calls it off; harmless if it has been made."""
        self.call = None


class Clock:
    """Time in seconds, and the calls that wait for it."""

    __slots__ = ('_heap', '_order', 'now')

    now: float
    _heap: list[tuple[float, int, Timer]]
    # Breaks ties, so that equal times keep the order of their making.
    _order: int

    def __init__(self) -> None:
        self.now = 0.0
        self._heap = []
        self._order = 0

    def at(self, when: float, call: Callable[[], None]) -> Timer:
        """Makes a call at a time; one in the past is made next."""
        timer = Timer(call)
        self._order += 1
        heapq.heappush(self._heap, (max(when, self.now), self._order, timer))
        return timer

    def after(self, delay: float, call: Callable[[], None]) -> Timer:
        """Makes a call after a delay, seconds."""
        return self.at(self.now + delay, call)

    def every(self, period: float, call: Callable[[], None]) -> None:
        """Makes a call again and again."""

        def again() -> None:
            call()
            self.after(period, again)

        self.after(period, again)

    def run(self, until: float) -> None:
        """Makes every call up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, timer = heapq.heappop(self._heap)
            if timer.call is not None:
                timer.call()
        self.now = until
