"""Complete server-sent events from blocks of bytes."""

import itertools

import hypothesis
from hypothesis import strategies

from foxtaildale import sse

_STREAM = b''.join(b'id: %d\ndata: x%d\n\n' % (n, n) for n in range(1, 6))


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
