"""The engine stand-in behaves as the engines of the brief do."""

from collections.abc import Iterator
import socket
import threading
import time

import pytest
import urllib3

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale_adapters import engines
from tests import fleet
from tests.standins import answers
from tests.standins import control
from tests.standins import relay
from tests.standins import serving

_MODELS = engines.Engines(short_call_timeout_s=5.0)
_PROMPT = 'is stand four clear ' * 10


class _Pair:
    """A prefill and a decode worker."""

    def __init__(self, procs: fleet.Fleet, *args: str) -> None:
        self.prefill = procs.standin('engine', '--name', 'p', *args)
        self.decode = procs.standin(
            'engine', '--name', 'd', '--role', 'decode', *args
        )

    def ready(
        self, request: str, prompt: str = _PROMPT, holder: str = 'h'
    ) -> None:
        """Takes a request up to the point where decoding may start."""
        reply = _MODELS.prefill(
            self.prefill.address, _prefill(request, prompt, holder), 20.0
        )
        self.fetch(request, reply.kv, holder)

    def fetch(self, request: str, kv: str, holder: str = 'h') -> None:
        req = backends.ImportReq(
            request=request,
            attempt=1,
            holder=holder,
            source=self.prefill.address,
            kv=kv,
        )
        _MODELS.import_kv(self.decode.address, req, 20.0)

    def start(
        self, request: str, max_tokens: int = 20, address: str = ''
    ) -> Iterator[backends.Chunk | backends.StreamEnd]:
        req = backends.DecodeReq(
            request=request,
            attempt=1,
            holder='h',
            stream=f'stream-{request}',
            max_tokens=max_tokens,
        )
        return _MODELS.decode(address or self.decode.address, req, 5.0)

    def held(self) -> list[backends.Holding]:
        return [
            holding
            for proc in (self.prefill, self.decode)
            for holding in _MODELS.holdings(proc.address).holdings
        ]


def _prefill(
    request: str, prompt: str = _PROMPT, holder: str = 'h', priority: int = 5
) -> backends.PrefillReq:
    return backends.PrefillReq(
        request=request,
        attempt=1,
        holder=holder,
        model='m',
        prompt=prompt,
        priority=priority,
    )


def _texts(events: list[backends.Chunk | backends.StreamEnd]) -> list[str]:
    return [e.text for e in events if isinstance(e, backends.Chunk)]


def _count(proc: fleet.Proc, kind: str, phase: str, request: str) -> int:
    return sum(
        (e.kind, e.phase, e.request) == (kind, phase, request)
        for e in control.record(proc)
    )


@pytest.fixture(scope='module')
def procs() -> Iterator[fleet.Fleet]:
    with fleet.Fleet() as started:
        yield started


@pytest.fixture(scope='module')
def pair(procs: fleet.Fleet) -> _Pair:
    return _Pair(procs, '--linger-s', '0.3')


@pytest.fixture(autouse=True)
def _no_faults_left(pair: _Pair) -> Iterator[None]:
    yield
    for proc in (pair.prefill, pair.decode):
        if proc.running():
            control.faults(
                proc,
                silent=False,
                truncate=0,
                cut_after=0,
                duplicate=0,
                cross=0,
                stall_transfer=False,
                leaving=False,
            )
            _MODELS.cancel(proc.address, backends.CancelReq(holder='h'))


def test_an_answer_comes_whole(pair: _Pair) -> None:
    pair.ready('whole')
    events = list(pair.start('whole'))
    assert _texts(events) == answers.answer(_PROMPT, 20)
    assert events[-1] == backends.StreamEnd(
        request='whole',
        attempt=1,
        stream='stream-whole',
        count=20,
        digest=answers.digest(answers.answer(_PROMPT, 20)),
    )


def test_a_cut_stream_resumes_and_is_made_once(pair: _Pair) -> None:
    """The connection to an engine is cut in the middle of an answer.

    The caller must see the rest, and the engine must not start over.
    """
    pair.ready('cut')
    control.faults(pair.decode, cut_after=7)
    got: list[backends.Chunk | backends.StreamEnd] = []
    with pytest.raises(errors.NoReplyError):
        for event in pair.start('cut'):
            got.append(event)
    control.faults(pair.decode, cut_after=0)
    got += _MODELS.resume(
        pair.decode.address, 'stream-cut', len(got), 'other', 5.0
    )
    assert _texts(got) == answers.answer(_PROMPT, 20)
    assert _count(pair.decode, 'decode', 'begun', 'cut') == 1


def test_a_truncated_stream_is_not_whole(pair: _Pair) -> None:
    """An engine ends its stream in good order, but too early."""
    pair.ready('truncated')
    control.faults(pair.decode, truncate=5)
    with pytest.raises(errors.NoReplyError, match='before its last'):
        list(pair.start('truncated'))


def test_a_silent_stream_is_given_up(pair: _Pair) -> None:
    """An engine stalls, or the path to it swallows what it sends.

    The caller would wait for the next word for ever.
    """
    pair.ready('silent')
    control.faults(pair.decode, silent=True)
    req = backends.DecodeReq(
        request='silent', attempt=1, holder='h', stream='q', max_tokens=5
    )
    with pytest.raises(errors.NoReplyError):
        list(_MODELS.decode(pair.decode.address, req, 0.3))


def test_a_forgotten_connection_resumes_on_a_new_one(pair: _Pair) -> None:
    """Something in between forgets the stream's connection.

    The stream goes on at the engine; a new connection reads the rest.
    """
    pair.ready('forgotten')
    with relay.Relay(pair.decode.address) as middle:
        req = backends.DecodeReq(
            request='forgotten',
            attempt=1,
            holder='h',
            stream='f',
            max_tokens=60,
        )
        stream = _MODELS.decode(middle.address, req, 0.3)
        got = [next(stream)]
        middle.silence()
        with pytest.raises(errors.NoReplyError):
            for event in stream:
                got.append(event)
        got += _MODELS.resume(middle.address, 'f', len(got), 'h', 5.0)
    assert _texts(got) == answers.answer(_PROMPT, 60)


@pytest.mark.parametrize('pieces', [0, 2])
def test_a_stream_can_be_closed_while_a_thread_waits_on_it(
    pair: _Pair, pieces: int
) -> None:
    """A caller leaves while its entry waits for the engine's next word.

    If closing did not wake that thread, it and the slot would stay taken until
    the silence bound.
    """
    request = f'closed-{pieces}'
    pair.ready(request)
    control.faults(pair.decode, silent=not pieces)
    stream = _MODELS.decode(
        pair.decode.address,
        backends.DecodeReq(
            request=request,
            attempt=1,
            holder='h',
            stream=request,
            max_tokens=5000,
        ),
        3600.0,
    )
    for _ in range(pieces):
        next(stream)
    control.faults(pair.decode, silent=True)
    ended = threading.Event()

    def read() -> None:
        with pytest.raises(errors.NoReplyError):
            for _ in stream:
                pass
        ended.set()

    threading.Thread(target=read, daemon=True).start()
    # The engine's side of the connection shows it is still open.
    fleet.until(lambda: [h for h in pair.held() if h.attached])
    time.sleep(0.2)  # No way to see from outside that a thread receives.
    threading.Thread(target=stream.close, daemon=True).start()
    assert ended.wait(10.0)


def test_doubled_and_crossed_pieces_come_through(pair: _Pair) -> None:
    """An engine repeats a piece and mixes in one of another request."""
    pair.ready('crossed')
    control.faults(pair.decode, duplicate=4, cross=6)
    events = list(pair.start('crossed'))
    pieces = [e for e in events if isinstance(e, backends.Chunk)]
    assert {p.request for p in pieces} > {'crossed'}
    own = [p.position for p in pieces if p.request == 'crossed']
    assert sorted(set(own)) == list(range(20))
    assert len(own) > 20


def test_a_dying_engine_breaks_its_streams(procs: fleet.Fleet) -> None:
    """An engine's process dies while it sends an answer."""
    pair = _Pair(procs)
    pair.ready('dying')
    control.faults(pair.decode, die_after=3)
    with pytest.raises(errors.NoReplyError):
        list(pair.start('dying'))
    assert pair.decode.wait() == 1
    with pytest.raises(errors.UnreachableError):
        _MODELS.load(pair.decode.address)


def test_a_prefill_result_goes_within_a_second(procs: fleet.Fleet) -> None:
    """No decode slot is free when a prefill ends.

    Its result is evicted and the work was for nothing.
    """
    pair = _Pair(procs, '--kv-lives-ms', '50')
    reply = _MODELS.prefill(pair.prefill.address, _prefill('late'), 20.0)
    assert reply.lives_ms == 50
    fleet.until(lambda: not pair.held())
    with pytest.raises(errors.RejectedError) as caught:
        pair.fetch('late', reply.kv)
    assert caught.value.code == 'gone'
    assert not pair.held()


def test_a_stalled_transfer_can_be_cancelled(pair: _Pair) -> None:
    """The link hangs in the middle of a transfer.

    Until someone cancels, the decode slot is taken for nothing.
    """
    reply = _MODELS.prefill(pair.prefill.address, _prefill('stalled'), 20.0)
    control.faults(pair.prefill, stall_transfer=True)
    req = backends.ImportReq(
        request='stalled',
        attempt=1,
        holder='h',
        source=pair.prefill.address,
        kv=reply.kv,
    )
    with pytest.raises(errors.NoReplyError):
        _MODELS.import_kv(pair.decode.address, req, 0.2)
    kinds = {h.kind for h in pair.held() if h.request == 'stalled'}
    assert 'slot' in kinds
    _MODELS.cancel(pair.decode.address, backends.CancelReq(request='stalled'))
    held = _MODELS.holdings(pair.decode.address).holdings
    assert not [h for h in held if h.request == 'stalled']


def test_slots_are_limited(procs: fleet.Fleet) -> None:
    pair = _Pair(procs, '--slots', '2')
    for request in ('a', 'b'):
        pair.ready(request)
    with pytest.raises(errors.RejectedError) as caught:
        pair.ready('c')
    assert caught.value.code == 'full'


def test_an_urgent_prompt_goes_first(procs: fleet.Fleet) -> None:
    """A lineman's question arrives behind long patrol logs."""
    pair = _Pair(procs, '--step-ms', '100')
    order: list[str] = []

    def run(request: str, priority: int) -> None:
        prompt = f'{request} ' * 1000
        req = _prefill(request, prompt, priority=priority)
        _MODELS.prefill(pair.prefill.address, req, 20.0)
        order.append(request)

    threads = []
    for request, priority in (
        ('first', 5),
        ('second', 5),
        ('third', 5),
        ('urgent', 0),
    ):
        thread = threading.Thread(target=run, args=(request, priority))
        thread.start()
        threads.append(thread)
        fleet.until(lambda: len(pair.held()) + len(order) >= len(threads))
    for thread in threads:
        thread.join()
    begun = [
        e.request for e in control.record(pair.prefill) if e.phase == 'begun'
    ]
    assert begun.index('urgent') < begun.index('third')


def test_a_shared_prefix_is_cached_and_told_with_gaps(
    procs: fleet.Fleet,
) -> None:
    pair = _Pair(procs, '--cache-lag-s', '0', '--cache-tokens', '1280')
    prompt = ' '.join(f'w{i}' for i in range(1000))
    cold = _MODELS.prefill(pair.prefill.address, _prefill('1', prompt), 20.0)
    warm = _MODELS.prefill(
        pair.prefill.address, _prefill('2', prompt + ' more'), 20.0
    )
    assert (cold.cached, warm.cached) == (0, 896)
    events = _MODELS.cache_events(pair.prefill.address, 0).events
    assert {e.prefix for e in events} < set(backends.prefixes(prompt.split()))
    assert [e.number for e in events] == [1, 2, 3, 4, 5, 6]
    other = ' '.join(f'o{i}' for i in range(1000))
    _MODELS.prefill(pair.prefill.address, _prefill('3', other), 20.0)
    kinds = {
        e.kind for e in _MODELS.cache_events(pair.prefill.address, 7).events
    }
    assert kinds == {'stored', 'evicted'}


def test_a_prompt_that_is_prefilled_again_is_known_by_its_length(
    pair: _Pair,
) -> None:
    """Guards against executions of a history credited to another request."""
    prompt = ' '.join(['n41', *['tower'] * 142])
    for request in ('first', 'again'):
        _MODELS.prefill(pair.prefill.address, _prefill(request, prompt), 20.0)
    begun = [
        entry
        for entry in control.record(pair.prefill)
        if entry.phase == 'begun' and entry.request in ('first', 'again')
    ]
    assert [entry.tokens for entry in begun] == [143, 15]
    assert [entry.tokens + entry.cached for entry in begun] == [143, 143]


def test_a_leaving_engine_refuses_new_work_only(pair: _Pair) -> None:
    """An engine is about to be stopped while it still sends answers."""
    pair.ready('staying')
    for proc in (pair.prefill, pair.decode):
        control.faults(proc, leaving=True)
    with pytest.raises(errors.RejectedError) as caught:
        _MODELS.prefill(pair.prefill.address, _prefill('new'), 20.0)
    assert caught.value.code == 'leaving'
    assert len(list(pair.start('staying'))) == 21


def test_holdings_tell_whether_a_reader_is_left(pair: _Pair) -> None:
    """A caller's entry VM dies in the middle of an answer.

    The engine goes on; nobody frees the slot unless this shows.
    """
    pair.ready('left')
    stream = _MODELS.decode(
        pair.decode.address,
        backends.DecodeReq(
            request='left', attempt=1, holder='h', stream='l', max_tokens=5000
        ),
        5.0,
    )
    next(stream)
    held = [h for h in pair.held() if h.request == 'left']
    assert [(h.kind, h.attached) for h in held] == [('stream', True)]
    stream.close()
    fleet.until(
        lambda: (
            not [h for h in pair.held() if h.request == 'left' and h.attached]
        )
    )
    freed = _MODELS.cancel(
        pair.decode.address, backends.CancelReq(holder='h')
    ).freed
    assert freed >= 1
    assert not [h for h in pair.held() if h.request == 'left']


def test_a_finished_stream_stays_a_while_and_goes(pair: _Pair) -> None:
    pair.ready('lingering')
    list(pair.start('lingering'))
    again = list(
        _MODELS.resume(pair.decode.address, 'stream-lingering', 18, 'h', 5.0)
    )
    assert len(again) == 3
    fleet.until(lambda: 'lingering' not in {h.request for h in pair.held()})
    with pytest.raises(errors.RejectedError) as caught:
        _MODELS.resume(pair.decode.address, 'stream-lingering', 18, 'h', 5.0)
    assert caught.value.code == 'gone'


@pytest.mark.parametrize('fenced', [True, False])
def test_only_some_engines_refuse_an_old_order(
    procs: fleet.Fleet, fenced: bool
) -> None:
    """A former holder, paused until now, sends its old order."""
    args = ['--fenced'] if fenced else []
    engine = procs.standin('engine', *args)
    new = backends.Order(kind='load', value='new', fence=9)
    old = backends.Order(kind='load', value='old', fence=4)
    assert _MODELS.order(engine.address, new).value == 'new'
    if fenced:
        with pytest.raises(errors.RejectedError) as caught:
            _MODELS.order(engine.address, old)
        assert caught.value.code == 'stale-order'
    else:
        assert _MODELS.order(engine.address, old).value == 'old'


def test_load_lags_and_can_freeze(procs: fleet.Fleet) -> None:
    pair = _Pair(procs, '--load-lag-s', '0.05')
    control.faults(pair.decode, freeze_load=True)
    pair.ready('unseen')
    assert _MODELS.load(pair.decode.address).running == 0
    control.faults(pair.decode, freeze_load=False)
    fleet.until(lambda: _MODELS.load(pair.decode.address).running == 1)


def test_a_stand_in_stops_when_it_is_told_to(procs: fleet.Fleet) -> None:
    for module in ('platform', 'engine', 'service'):
        assert procs.standin(module).stop() == 0


def test_bad_requests_are_refused_and_nothing_is_held(pair: _Pair) -> None:
    http = urllib3.PoolManager()
    for path in ('prefill', 'import', 'decode', 'cancel', 'orders', 'x'):
        url = f'http://{pair.prefill.address}/{path}'
        assert http.request('POST', url, body=b'\xff{').status == 400
    assert not pair.held()
    assert (
        serving.merge(
            serving.Execution(kind='a', phase='b', request='c', at=0.0),
            b'{"tokens": 3}',
        ).tokens
        == 3
    )


@pytest.mark.parametrize('module', ['platform', 'engine', 'service'])
def test_a_fault_that_is_misspelt_is_refused(
    procs: fleet.Fleet, module: str
) -> None:
    """A test misspells the fault that it wants.

    Were the name ignored, the test would pass without any failure in it.
    """
    proc = procs.standin(module)
    with pytest.raises(AssertionError):
        control.faults(proc, stall_transfers=True)


def test_a_request_that_breaks_off_is_not_executed(
    procs: fleet.Fleet,
) -> None:
    """Guards against records of requests whose sender died in their middle."""
    service = procs.standin('service')
    host, _, port = service.address.rpartition(':')
    head = b'POST /check-in HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n'
    for body in (b'', b'abc'):
        with socket.create_connection((host, int(port)), 5) as sock:
            sock.sendall(head + body)
            sock.shutdown(socket.SHUT_WR)
            assert sock.recv(100) == b''
    assert control.record(service, 'executions') == []
