"""Streams of server-sent events, whatever an engine sends."""

from collections.abc import Sequence

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale_adapters import events
from tests.standins import answers

_TEXTS = answers.answer('is stand four clear', 12)


class _Body:
    """A body that arrives in given blocks; an error may end it."""

    def __init__(
        self, blocks: Sequence[bytes], error: Exception | None = None
    ) -> None:
        self._blocks = list(blocks)
        self._error = error

    def read(self) -> bytes:
        if self._blocks:
            return self._blocks.pop(0)
        if self._error:
            raise self._error
        return b''

    def acquire_socket(self) -> None:
        return None

    def release_socket(self) -> None:
        pass

    def close(self) -> None:
        pass


def _event(event: msgspec.Struct, position: int) -> bytes:
    data = msgspec.json.encode(event)
    return b'id: w/s/%d\ndata: %s\n\n' % (position, data)


def _piece(position: int, request: str = 'r') -> backends.Chunk:
    return backends.Chunk(
        request=request,
        attempt=1,
        stream='s',
        position=position,
        text=_TEXTS[position],
    )


_LAST = backends.StreamEnd(
    request='r', attempt=1, stream='s', count=12, digest='0'
)
_WHOLE = [*[_piece(i) for i in range(12)], _LAST]
_BYTES = b''.join(_event(event, i) for i, event in enumerate(_WHOLE))


def _read(
    blocks: Sequence[bytes], error: Exception | None = None
) -> list[backends.Chunk | backends.StreamEnd]:
    return list(events.Stream(_Body(blocks, error), 60.0))


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.integers(0, len(_BYTES)), max_size=20)
)
def test_events_are_the_same_however_the_bytes_are_cut(
    cuts: list[int],
) -> None:
    """The network cuts a stream anywhere, also inside an event.

    A reader that took each block for whole events would lose words of the
    answer or stop in the middle of it.
    """
    ends = [*sorted(cuts), len(_BYTES)]
    starts = [0, *sorted(cuts)]
    blocks = [_BYTES[a:b] for a, b in zip(starts, ends, strict=True)]
    assert _read([block for block in blocks if block]) == _WHOLE


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(0, len(_BYTES) - 1))
def test_a_stream_without_its_end_is_never_whole(length: int) -> None:
    """An engine dies and its connection closes in good order.

    What came looks like a short answer; a dispatcher would read half of it as
    the whole.
    """
    stream = events.Stream(_Body([_BYTES[:length]] if length else []), 60.0)
    with pytest.raises(errors.NoReplyError):
        for event in stream:
            assert event in _WHOLE[:-1]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(strategies.binary(max_size=80)))
def test_garbage_in_a_stream_is_a_lost_answer(blocks: list[bytes]) -> None:
    """An engine gone wrong sends bytes that are no events.

    Any other error would end the entry's thread, and the caller would wait
    for an answer that nobody sends.
    """
    with pytest.raises(errors.NoReplyError):
        _read([b'data: ', *[block for block in blocks if block], b'\n\n'])


def test_a_piece_of_another_request_is_passed_on_as_it_came() -> None:
    """Two answers cross inside an engine.

    The reader of bytes doesn't know whose stream it is, so it must not drop or
    mend anything: the check above it has to see the foreign piece.
    """
    foreign = _piece(3, request='other')
    sent = [_piece(0), foreign, _piece(0), _LAST]
    blocks = [_event(event, 0) for event in sent]
    assert _read(blocks) == sent


def test_comments_do_not_count_as_pieces() -> None:
    assert _read([b': still here\n\n', _BYTES]) == _WHOLE


def test_nothing_after_the_end_is_read() -> None:
    assert _read([_BYTES + _event(_piece(5), 5)]) == _WHOLE


def test_pieces_before_a_cut_are_handed_on_first() -> None:
    """A connection is cut right behind some pieces.

    They were generated and paid for; a resume starts behind them.
    """
    cut = errors.NoReplyError('cut')
    stream = events.Stream(_Body([_BYTES[: len(_BYTES) // 2]], cut), 60.0)
    got: list[backends.Chunk | backends.StreamEnd] = []
    with pytest.raises(errors.NoReplyError):
        for event in stream:
            got.append(event)
    assert got == _WHOLE[: len(got)]
    assert len(got) >= 5


def test_bytes_that_make_no_event_do_not_hide_silence() -> None:
    """An engine sends comments and no token for longer than the bound.

    Each block resets the socket's timeout, so the wait would never end.
    """
    ticks = iter(range(100))
    stream = events.Stream(
        _Body([b': still here\n\n'] * 50), 3.0, lambda: float(next(ticks))
    )
    with pytest.raises(errors.NoReplyError, match='in time'):
        next(stream)


def test_an_event_without_end_is_not_kept() -> None:
    """An engine sends megabytes with no end of an event.

    Kept as they come they would fill the entry's memory.
    """
    block = b'x' * 65536
    with pytest.raises(errors.NoReplyError, match='above'):
        _read([block] * 1000)
