"""One thread reads many streams, and none suffers from another."""

from collections.abc import Callable
from collections.abc import Iterator
import threading

import pytest

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale_adapters import engines
from foxtaildale_adapters import events
from foxtaildale_adapters import hub
from tests import fleet
from tests.standins import answers
from tests.standins import control

_MODELS = engines.Engines(short_s=5.0)
_HUB = hub.Hub()
_PROMPT = 'which masts need a climb '
_Event = backends.Piece | backends.Last


@pytest.fixture(scope='module')
def procs() -> Iterator[fleet.Fleet]:
    with fleet.Fleet() as started:
        yield started


@pytest.fixture(scope='module')
def prefill(procs: fleet.Fleet) -> fleet.Proc:
    return procs.standin('engine')


@pytest.fixture
def decode(procs: fleet.Fleet) -> Iterator[fleet.Proc]:
    proc = procs.standin('engine', '--role', 'decode', '--token-ms', '5')
    yield proc
    proc.kill()


def _start(
    prefill: fleet.Proc,
    decode: fleet.Proc,
    request: str,
    max_tokens: int = 20,
    silence_s: float = 5.0,
) -> events.Stream:
    ready = _MODELS.prefill(
        prefill.address,
        backends.PrefillReq(
            request=request,
            attempt=1,
            holder='h',
            model='m',
            prompt=_PROMPT + request,
        ),
        20.0,
    )
    _MODELS.fetch(
        decode.address,
        backends.ImportReq(
            request=request,
            attempt=1,
            holder='h',
            source=prefill.address,
            kv=ready.kv,
        ),
        20.0,
    )
    req = backends.DecodeReq(
        request=request,
        attempt=1,
        holder='h',
        stream=request,
        max_tokens=max_tokens,
    )
    return _MODELS.decode(decode.address, req, silence_s)


def _texts(got: list[_Event]) -> list[str]:
    return [event.text for event in got if isinstance(event, backends.Piece)]


def _keep(got: list[_Event]) -> hub.Take:
    def take(event: _Event) -> bool:
        got.append(event)
        return True

    return take


def _ends(run: Callable[[], object]) -> None:
    """Runs something that might hang."""
    ended = threading.Event()

    def whole() -> None:
        run()
        ended.set()

    threading.Thread(target=whole, daemon=True).start()
    assert ended.wait(20.0)


def test_many_answers_come_whole_and_uncrossed(
    prefill: fleet.Proc, decode: fleet.Proc
) -> None:
    """Streams end and start all the time, and numbers of sockets are reused.

    A reader that confused two of them would show one crew's answer to another.
    """

    def run(request: str) -> None:
        got: list[_Event] = []
        assert _HUB.drive(_start(prefill, decode, request), _keep(got))
        if _texts(got) == answers.answer(_PROMPT + request, 20):
            whole.append(request)

    whole: list[str] = []
    for turn in range(4):
        threads = [
            threading.Thread(target=run, args=(f'{turn}-{i}',))
            for i in range(12)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert len(whole) == 48


def test_a_slow_reader_goes_on_by_itself(
    prefill: fleet.Proc, decode: fleet.Proc
) -> None:
    """A caller on a bad line takes the answer slowly.

    If the hub waited for it, every other answer would stand still.
    """
    got: list[_Event] = []

    def take(event: _Event) -> bool:
        got.append(event)
        return len(got) < 7

    stream = _start(prefill, decode, 'slow')
    assert not _HUB.drive(stream, take)
    assert len(got) == 7
    got.extend(stream)
    assert _texts(got) == answers.answer(_PROMPT + 'slow', 20)


def test_a_cut_stream_fails_alone(
    procs: fleet.Fleet, prefill: fleet.Proc, decode: fleet.Proc
) -> None:
    """One decode worker dies while another goes on."""
    other = procs.standin('engine', '--role', 'decode')
    lost: list[_Event] = []
    whole: list[_Event] = []
    kept = _start(prefill, other, 'kept')
    ended = threading.Event()

    def run() -> None:
        if _HUB.drive(kept, _keep(whole)):
            ended.set()

    threading.Thread(target=run, daemon=True).start()
    control.faults(decode, die_after=4)
    cut = _start(prefill, decode, 'lost')

    def run_cut() -> None:
        with pytest.raises(errors.AnswerLostError):
            _HUB.drive(cut, _keep(lost))

    _ends(run_cut)
    assert len(lost) == 4
    assert ended.wait(20.0)
    assert _texts(whole) == answers.answer(_PROMPT + 'kept', 20)


def test_a_stream_that_falls_silent_is_given_up(
    prefill: fleet.Proc, decode: fleet.Proc
) -> None:
    """An engine stalls in the middle of an answer and keeps the connection.

    The thread that asked would sleep for ever, and its caller with it.
    """
    got: list[_Event] = []

    def take(event: _Event) -> bool:
        got.append(event)
        if len(got) == 3:
            control.faults(decode, silent=True)
        return True

    stream = _start(prefill, decode, 'silent', 200, 0.5)

    def run() -> None:
        with pytest.raises(errors.AnswerLostError, match='no event in time'):
            _HUB.drive(stream, take)

    _ends(run)
    assert 3 <= len(got) < 200


def test_closing_wakes_the_thread_that_drives(
    prefill: fleet.Proc, decode: fleet.Proc
) -> None:
    """A caller leaves in the middle of its answer."""
    stream = _start(prefill, decode, 'closed', 5000, 3600.0)
    got: list[_Event] = []
    ended = threading.Event()

    def run() -> None:
        with pytest.raises(errors.AnswerLostError):
            _HUB.drive(stream, _keep(got))
        ended.set()

    threading.Thread(target=run, daemon=True).start()
    fleet.until(lambda: len(got) > 3)
    stream.close()
    assert ended.wait(20.0)


def test_an_error_of_one_stream_does_not_end_the_hub(
    prefill: fleet.Proc, decode: fleet.Proc
) -> None:
    """Handing on a piece fails in a way that nobody expected.

    If the hub's thread died of it, every answer of the VM would stop.
    """

    def take(event: _Event) -> bool:
        if isinstance(event, backends.Piece) and event.position == 5:
            raise errors.InvariantError('seen')
        return True

    bad = _start(prefill, decode, 'bad')

    def run() -> None:
        with pytest.raises(errors.InvariantError, match='seen'):
            _HUB.drive(bad, take)

    _ends(run)
    got: list[_Event] = []
    stream = _start(prefill, decode, 'good')
    _ends(lambda: _HUB.drive(stream, _keep(got)))
    assert len(got) == 21
