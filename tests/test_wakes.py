"""Events that wake a polling thread, around their close."""

import os
import time

import pytest

from foxtaildale_adapters import peers
from foxtaildale_adapters import stream_reader
from foxtaildale_adapters import wakes


def test_a_closed_event_touches_no_later_owner_of_its_descriptor() -> None:
    """Guards against bytes written to a connection that reuses a descriptor."""
    event = wakes.WakeEvent()
    number = event.fileno()
    event.close()
    other = os.eventfd(0, os.EFD_NONBLOCK)
    try:
        assert other == number
        event.set()
        event.close()
        with pytest.raises(BlockingIOError):
            os.eventfd_read(other)
    finally:
        os.close(other)


@pytest.mark.parametrize('kind', ['peers', 'stream reader'])
def test_a_close_that_its_thread_outruns_raises_nothing(
    monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    """Guards against a thread that sees the close first and frees the event."""
    set_event = wakes.WakeEvent.set

    def set_late(event: wakes.WakeEvent) -> None:
        time.sleep(0.3)
        set_event(event)

    monkeypatch.setattr(stream_reader, 'TIMEOUT_CHECK_S', 0.01)
    if kind == 'peers':
        peers_group = peers.Peers(0.01, 1.0)
        monkeypatch.setattr(wakes.WakeEvent, 'set', set_late)
        peers_group.close()
        return
    reader = stream_reader.StreamReader()
    reader.start()
    monkeypatch.setattr(wakes.WakeEvent, 'set', set_late)
    reader.close()
