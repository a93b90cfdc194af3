"""Chunks of a response: verification, event ids and framing."""

import json
import random

import hypothesis
from hypothesis import strategies
import pytest
import xxhash

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import streams

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
VERDICT = streams.Verdict

Event = backends.Chunk | backends.StreamEnd


def response_events(
    request: str, texts: list[str], attempt: int = 1
) -> list[Event]:
    """Returns the events of one complete response."""
    events: list[Event] = [
        backends.Chunk(
            request=request,
            attempt=attempt,
            stream='s1',
            position=position,
            text=text,
        )
        for position, text in enumerate(texts)
    ]
    digest = xxhash.xxh64_hexdigest(''.join(texts).encode())
    last = backends.StreamEnd(
        request=request,
        attempt=attempt,
        stream='s1',
        count=len(texts),
        digest=digest,
    )
    return [*events, last]


def feed_events(
    checker: streams.Checker, events: list[Event]
) -> tuple[str, list[streams.Verdict]]:
    """Returns the accepted text and every verdict."""
    text = ''
    verdicts = []
    for event in events:
        if isinstance(event, backends.Chunk):
            verdict = checker.check_chunk(event)
            if verdict is VERDICT.ACCEPTED:
                text += event.text
        else:
            verdict = checker.check_end(event)
        verdicts.append(verdict)
    return text, verdicts


texts = strategies.lists(strategies.text(max_size=4), max_size=8)


@SETTINGS
@hypothesis.given(texts)
def test_undisturbed_response_is_complete(own: list[str]) -> None:
    text, verdicts = feed_events(
        streams.Checker('r1', 1, 's1'), response_events('r1', own)
    )
    assert text == ''.join(own)
    assert verdicts[-1] is VERDICT.COMPLETE


@SETTINGS
@hypothesis.given(
    texts, texts, texts, strategies.integers(), strategies.integers(0, 9)
)
def test_disturbed_chunks_never_complete_a_wrong_response(
    own: list[str], other: list[str], earlier: list[str], seed: int, cut: int
) -> None:
    """Chunks are mixed up between responses, duplicated, reordered or cut off.

    The caller would take the text of another request, or a part of its own,
    for the complete response.
    """
    rng = random.Random(seed)
    events = (
        response_events('r1', own) * 2
        + response_events('r2', other)
        + response_events('r1', earlier, attempt=2)
    )
    rng.shuffle(events)
    events = events[: len(events) - cut]
    text, verdicts = feed_events(streams.Checker('r1', 1, 's1'), events)
    assert ''.join(own).startswith(text)
    if VERDICT.COMPLETE in verdicts:
        end = verdicts.index(VERDICT.COMPLETE)
        complete, _ = feed_events(streams.Checker('r1', 1, 's1'), events[:end])
        assert complete == ''.join(own)


def test_changed_text_is_not_complete() -> None:
    """A faulty engine sends a different text under the right position.

    The caller would receive a response that was never generated.
    """
    events = response_events('r1', ['go', ' now'])
    events[1] = response_events('r1', ['go', ' not'])[1]
    _, verdicts = feed_events(streams.Checker('r1', 1, 's1'), events)
    assert verdicts[-1] is VERDICT.BROKEN


def test_each_kind_of_stray_event_has_its_verdict() -> None:
    checker = streams.Checker('r1', 1, 's1')
    own = response_events('r1', ['a', 'b'])
    strays = [
        own[1],
        response_events('r2', ['a'])[0],
        own[0],
        own[0],
        own[2],
        response_events('r1', [])[0],
        response_events('r1', ['a', 'b'], attempt=2)[2],
    ]
    _, verdicts = feed_events(checker, strays)
    assert verdicts == [
        VERDICT.GAP,
        VERDICT.FOREIGN,
        VERDICT.ACCEPTED,
        VERDICT.DUPLICATE,
        VERDICT.GAP,
        VERDICT.BROKEN,
        VERDICT.FOREIGN,
    ]


def test_a_negative_position_is_no_duplicate() -> None:
    chunk = backends.Chunk(
        request='r1', attempt=1, stream='s1', position=-1, text='x'
    )
    assert streams.Checker('r1', 1, 's1').check_chunk(chunk) is VERDICT.GAP


def test_resumed_response_is_complete_by_its_count() -> None:
    """An entry VM crashes and the caller resumes at another one.

    That one never received the first texts; the caller gets the digest.
    """
    events = response_events('r1', ['a', 'b', 'c'])
    text, verdicts = feed_events(streams.Checker('r1', 1, 's1', 2), events[2:])
    assert (text, verdicts[-1]) == ('c', VERDICT.COMPLETE)


@SETTINGS
@hypothesis.given(strategies.text(max_size=40))
def test_any_last_event_id_is_an_id_or_a_decode_error(text: str) -> None:
    """A caller sends an arbitrary Last-Event-ID.

    An entry VM that crashed on it would drop every other caller's stream.
    """
    try:
        event_id = streams.parse_event_id(text)
    except errors.DecodeError:
        return
    assert streams.parse_event_id(event_id.text()) == event_id


def test_event_id_round_trip() -> None:
    event_id = streams.EventId('hall-doi-d1', 'r1-1', 41)
    assert event_id.text() == 'hall-doi-d1/r1-1/41'
    assert streams.parse_event_id(event_id.text()) == event_id


@pytest.mark.parametrize(
    'text',
    ['', 'a/b', 'a/b/c', 'a/b/-1', 'a//1', 'a b/c/1', 'a/b/²', 'a/b/1/2'],
)
def test_invalid_event_id_is_rejected(text: str) -> None:
    with pytest.raises(errors.DecodeError):
        streams.parse_event_id(text)


@SETTINGS
@hypothesis.given(strategies.text(max_size=20), strategies.text(max_size=10))
def test_framed_events_hold_the_text_and_the_id(text: str, model: str) -> None:
    framer = streams.Framer('r1', 'w1', 's1', model, 7)
    first, second = framer.frame_chunk(0, 'x'), framer.frame_chunk(1, text)
    head, data, *end = second.split(b'\n')
    assert head == b'id: w1/s1/1'
    assert end == [b'', b'']
    chunk = json.loads(data.removeprefix(b'data: '))
    assert chunk == {
        'id': 'chatcmpl-r1',
        'object': 'chat.completion.chunk',
        'created': 7,
        'model': model,
        'choices': [
            {'index': 0, 'delta': {'content': text}, 'finish_reason': None}
        ],
    }
    assert b'"delta":{"role":"assistant","content":"x"}' in first


def test_the_last_events_hold_count_digest_and_end() -> None:
    framer = streams.Framer('r1', 'w1', 's1', 'm', 7)
    last = response_events('r1', ['a', 'b'])[-1]
    assert isinstance(last, backends.StreamEnd)
    event, done, rest = framer.frame_end(last).split(b'\n\n')
    assert (done, rest) == (b'data: [DONE]', b'')
    head, data = event.split(b'\n')
    assert head == b'id: w1/s1/2'
    chunk = json.loads(data.removeprefix(b'data: '))
    assert chunk['choices'][0]['finish_reason'] == 'stop'
    assert chunk['foxtaildale'] == {'count': 2, 'digest': last.digest}
