"""Complete server-sent events from blocks of bytes."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import errors
from foxtaildale import sse

_STREAM = b''.join(b'id: %d\ndata: x%d\n\n' % (n, n) for n in range(1, 6))
_SECOND = b'HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\nid: 3\ndata: x\n\n'

_FIRST = b'id: 1\ndata: a\n\nid: 2\ndata: b'


@hypothesis.given(strategies.lists(strategies.integers(0, len(_STREAM))))
def test_blocks_may_be_split_anywhere(cuts: list[int]) -> None:
    splitter = sse.Splitter()
    edges = [0, *sorted(cuts), len(_STREAM)]
    out = b''
    for start, end in itertools.pairwise(edges):
        complete = splitter.feed(_STREAM[start:end])
        assert not complete or complete.endswith(b'\n\n')
        out += complete
    assert out == _STREAM
    assert splitter.position == 5
    assert not splitter.has_incomplete_event


def test_partial_event_is_buffered_and_discarded_on_restart() -> None:
    """A worker stops in the middle of an event and another one continues.

    A forwarded part would be joined with the start of the next event, and the
    caller would receive a chunk that no worker produced.
    """
    splitter = sse.Splitter(3)
    assert splitter.feed(b'id: 4\ndata: a\n\nid: 5\nda') == (
        b'id: 4\ndata: a\n\n'
    )
    assert splitter.has_incomplete_event
    splitter.discard_incomplete_event()
    assert splitter.position == 4
    assert splitter.feed(b'id: 5\ndata: b\n\n') == b'id: 5\ndata: b\n\n'


def test_a_second_response_is_no_part_of_a_stream() -> None:
    """Guards against events of a late second response within a stream."""
    splitter = sse.Splitter()
    assert splitter.feed(b'id: 1\ndata: a\n\n') == b'id: 1\ndata: a\n\n'
    with pytest.raises(errors.NoReplyError):
        splitter.feed(_SECOND)
    assert splitter.position == 1


def test_events_before_a_second_response_are_kept() -> None:
    """Guards against a resume that skips events that were not forwarded."""
    splitter = sse.Splitter()
    first = b'id: 1\ndata: a\n\n'
    assert splitter.feed(first + _SECOND) == first
    assert splitter.position == 1
    assert splitter.has_incomplete_event
    with pytest.raises(errors.NoReplyError):
        splitter.feed(b'id: 4\ndata: y\n\n')
    splitter.discard_incomplete_event()
    assert splitter.feed(b'id: 2\ndata: b\n\n') == b'id: 2\ndata: b\n\n'


@pytest.mark.parametrize('cut', [0, 20, len(_FIRST), len(_FIRST) + 6])
def test_second_response_within_an_event_is_no_part_of_it(cut: int) -> None:
    """Guards against an event that ends with the head of another response."""
    data = _FIRST + _SECOND
    splitter = sse.Splitter()
    found = splitter.feed(data[:cut])
    with pytest.raises(errors.NoReplyError):
        found += splitter.feed(data[cut:])
        splitter.feed(b'id: 4\ndata: y\n\n')
    assert found == b'id: 1\ndata: a\n\n'
    assert splitter.position == 1


@pytest.mark.parametrize(
    'data',
    [
        b'data: HTTP/1.1 200 OK\ndata: ',
        b'data: HTTP/1.1 200 OK\nid: 1',
        b'data: HTTP/1.1 200 OK\nevent: x\ndata: y',
        b'data: HTTP/1.1 200 OK\r\ndata: y',
        b'data: HTTP/1.1 200 OK\n: comment',
        b'data: HTTP/1.1 200 OK Content-Type: x',
        b'data: {"text": "GET / HTTP/1.1\\r\\nHost: x"}\nid: 2',
        b'data: x HTTP/1.1 200 OK',
    ],
)
def test_data_may_look_like_a_response(data: bytes) -> None:
    """Guards against a sound stream that is cut."""
    event = b'id: 1\n' + data + b'\n\n'
    assert sse.Splitter().feed(event) == event
