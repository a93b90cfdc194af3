"""Items that are handled in a background thread, up to its close."""

import threading
from typing import Final

from foxtaildaled import background_queue

_WAIT_S: Final = 10.0
_MAX_ITEMS: Final = 4


def test_a_close_handles_what_is_queued() -> None:
    handled: list[int] = []
    items = background_queue.BackgroundQueue('test', _MAX_ITEMS, handled.append)
    assert all(items.put(number) for number in range(_MAX_ITEMS))
    items.start()
    assert items.close(_WAIT_S) == 0
    assert handled == list(range(_MAX_ITEMS))


def test_a_close_waits_no_longer_than_its_timeout() -> None:
    """Guards against a stop that an item which hangs holds up."""
    begun, released = threading.Event(), threading.Event()
    handled: list[int] = []

    def handle(item: int) -> None:
        handled.append(item)
        begun.set()
        released.wait(_WAIT_S)

    items = background_queue.BackgroundQueue('test', _MAX_ITEMS, handle)
    items.start()
    assert items.put(0)
    assert begun.wait(_WAIT_S)
    assert all(items.put(number) for number in range(1, _MAX_ITEMS + 1))
    assert items.close(0.01) == _MAX_ITEMS
    released.set()
    assert items.close(_WAIT_S) == 0
    assert handled == [0]


def test_a_full_or_closed_queue_takes_no_item() -> None:
    handled: list[int] = []
    items = background_queue.BackgroundQueue('test', _MAX_ITEMS, handled.append)
    assert all(items.put(number) for number in range(_MAX_ITEMS))
    assert not items.put(_MAX_ITEMS)
    items.start()
    assert items.close(_WAIT_S) == 0
    assert not items.put(0)
