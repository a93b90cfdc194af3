"""A model engine with the interface that `foxtaildale.backends` describes.

Its role is prefill or decode, and an order may change it. Faults are fields of
`spoiler.Faults`, set over `POST /faults`.
"""

from collections.abc import Callable
import threading
import time
from typing import Final

import defopt
import msgspec
import urllib3
import urllib3.exceptions

from foxtaildale import backends
from tests.standins import decoder
from tests.standins import prefiller
from tests.standins import serving
from tests.standins import settings
from tests.standins import spoiler

# Longest wait of a transfer for the other side, seconds.
_TRANSFER_S: Final = 30.0
# How often a stalled or silent part looks whether it still is, seconds.
_LOOK_S: Final = 0.02

_STATUS: Final = {
    'full': 503,
    'leaving': 503,
    'gone': 404,
    'cancelled': 409,
    'stale-order': 409,
    'bad-request': 400,
    'wrong-role': 409,
}


class Config(msgspec.Struct, frozen=True):
    """What an engine is started with."""

    name: str
    role: str
    model: str
    fenced: bool
    order_ms: float
    load_lag_s: float
    link_tokens_s: float


class Engine:
    """State of the stand-in, and its handler."""

    def __init__(
        self,
        cfg: Config,
        prefill: prefiller.Config,
        decode: decoder.Config,
    ) -> None:
        self._cfg = cfg
        self._slots = decode.slots
        self._record = serving.Record()
        self._prefiller = prefiller.Prefiller(prefill, self._record)
        self._decoder = decoder.Decoder(decode, self._record)
        self._spoiler = spoiler.Spoiler(cfg.name, self._decoder)
        # New work refused as leaving.
        self._refused = 0
        self._lock = threading.Lock()
        self._settings = settings.Settings(
            cfg.model, cfg.role, cfg.fenced, cfg.order_ms
        )
        self._link_free = 0.0
        self._load = self._measure()
        self._load_at = time.monotonic()
        self._routes: dict[
            str, Callable[[serving.Request], serving.Response]
        ] = {
            'POST prefill': self._prefill,
            'GET kv': self._export,
            'POST import': self._import,
            'POST decode': self._decode,
            'GET streams': self._resume,
            'POST cancel': self._cancel,
            'GET load': self._report,
            'GET holdings': self._holdings,
            'GET cache': self._cache,
            'POST orders': self._order,
            'GET orders': self._observe,
            'POST faults': self._set_faults,
            'GET refused': lambda _: serving.as_json(self._refused),
            'GET record': lambda _: serving.as_json(self._record.entries()),
        }

    @property
    def _faults(self) -> spoiler.Faults:
        return self._spoiler.faults

    def start(self) -> None:
        """Starts the threads that work."""
        for work in (
            self._prefiller.run,
            self._decoder.run,
            self._watch_load,
        ):
            threading.Thread(target=work, daemon=True).start()

    def handle(self, req: serving.Request) -> serving.Response:
        """Answers one request."""
        head = req.path[1:].partition('/')[0]
        route = self._routes.get(f'{req.method} {head}')
        if route is None:
            return _fault('bad-request', f'no {req.method} {req.path}')
        if head not in {'faults', 'record', 'holdings'}:
            time.sleep(self._faults.late_ms / 1000)
        try:
            return route(req)
        except (msgspec.DecodeError, ValueError) as exc:
            return _fault('bad-request', str(exc))

    def _prefill(self, raw: serving.Request) -> serving.Response:
        req = msgspec.json.decode(raw.body, type=backends.PrefillReq)
        refused = self._refuses('prefill')
        if refused:
            return refused
        model = self._settings.value('load')
        if model and req.model != model:
            return _fault('bad-request', f'model {req.model} is not loaded')
        return _answer(self._prefiller.prefill(req, raw.hung_up))

    def _export(self, raw: serving.Request) -> serving.Response:
        kv = raw.path.removeprefix('/kv/')
        job = self._prefiller.find(kv)
        if job is None:
            return _fault('gone')
        while self._faults.stall_transfer:
            if raw.hung_up():
                raise serving.Cut
            time.sleep(_LOOK_S)
        self._use_link(len(job.tokens))
        if self._prefiller.find(kv) is None:
            return _fault('gone')
        self._prefiller.drop(job)
        return serving.as_json(job.req.prompt)

    def _import(self, raw: serving.Request) -> serving.Response:
        req = msgspec.json.decode(raw.body, type=backends.ImportReq)
        refused = self._refuses('decode')
        if refused:
            return refused
        slot = self._decoder.reserve(req, raw.hung_up)
        if slot is None:
            return _fault('full')
        try:
            resp = urllib3.request(
                'GET',
                f'http://{req.source}/kv/{req.kv}',
                timeout=_TRANSFER_S,
                retries=False,
            )
            prompt = msgspec.json.decode(resp.data, type=str)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            self._decoder.free(slot)
            return _fault('gone', 'the KV cache could not be fetched')
        if not self._decoder.filled(slot, prompt):
            return _fault('cancelled')
        return serving.as_json(
            backends.ImportReply(
                request=req.request,
                attempt=req.attempt,
                tokens=len(prompt.split()),
            )
        )

    def _decode(self, raw: serving.Request) -> serving.Response:
        req = msgspec.json.decode(raw.body, type=backends.DecodeReq)
        slot = self._decoder.start(req)
        return self._stream(slot, 0, raw)

    def _resume(self, raw: serving.Request) -> serving.Response:
        stream = raw.path.removeprefix('/streams/')
        slot = self._decoder.find(stream, raw.query.get('holder', ''))
        return self._stream(slot, int(raw.query.get('from', '0')), raw)

    def _stream(
        self, slot: decoder.Slot | None, position: int, raw: serving.Request
    ) -> serving.Response:
        if slot is None:
            return _fault('gone')
        events = self._decoder.read(slot, position, raw.hung_up)
        return serving.Response(
            self._spoiler.spoil(slot, events), kind='text/event-stream'
        )

    def _cancel(self, raw: serving.Request) -> serving.Response:
        req = msgspec.json.decode(raw.body, type=backends.CancelReq)
        if not (req.request or req.attempt or req.holder):
            return _fault('bad-request', 'nothing to match')

        def matches(request: str, attempt: int, holder: str) -> bool:
            return (
                req.request in {'', request}
                and req.attempt in {0, attempt}
                and req.holder in {'', holder}
            )

        freed = self._prefiller.cancel(matches) + self._decoder.cancel(matches)
        return serving.as_json(backends.CancelReply(freed))

    def _report(self, _: serving.Request) -> serving.Response:
        age_ms = int((time.monotonic() - self._load_at) * 1000)
        return serving.as_json(
            msgspec.structs.replace(self._load, age_ms=age_ms)
        )

    def _holdings(self, _: serving.Request) -> serving.Response:
        held = self._prefiller.holdings() + self._decoder.holdings()
        return serving.as_json(backends.Holdings(tuple(held)))

    def _cache(self, raw: serving.Request) -> serving.Response:
        after = int(raw.query.get('after', '0'))
        now = time.monotonic()
        return serving.as_json(self._prefiller.cache.events(after, now))

    def _order(self, raw: serving.Request) -> serving.Response:
        order = msgspec.json.decode(raw.body, type=backends.Order)
        return _answer(self._settings.take(order))

    def _observe(self, _: serving.Request) -> serving.Response:
        return serving.as_json(self._settings.observed())

    def _set_faults(self, raw: serving.Request) -> serving.Response:
        faults = serving.merge(self._faults, raw.body)
        self._spoiler.faults = faults
        self._prefiller.slow = self._decoder.slow = faults.slow
        return serving.as_json(faults)

    def _refuses(self, role: str) -> serving.Response | None:
        if self._faults.leaving:
            self._refused += 1
            return _fault('leaving')
        if self._settings.value('role') != role:
            return _fault('wrong-role')
        return None

    def _use_link(self, tokens: int) -> None:
        """Waits until the shared link has carried so many tokens."""
        with self._lock:
            now = time.monotonic()
            start = max(now, self._link_free)
            self._link_free = start + tokens / self._cfg.link_tokens_s
            wait = self._link_free - now
        time.sleep(wait)

    def _measure(self) -> backends.Load:
        working, queued, backlog = self._prefiller.load()
        return backends.Load(
            name=self._cfg.name,
            slots=self._slots,
            running=working + self._decoder.used(),
            queued=queued,
            backlog_tokens=backlog,
            age_ms=0,
        )

    def _watch_load(self) -> None:
        while True:
            time.sleep(self._cfg.load_lag_s)
            if not self._faults.freeze_load:
                self._load = self._measure()
                self._load_at = time.monotonic()


def _fault(code: str, message: str = '') -> serving.Response:
    return serving.as_json(backends.BackendError(code, message), _STATUS[code])


def _answer(found: msgspec.Struct) -> serving.Response:
    if isinstance(found, backends.BackendError):
        return _fault(found.code, found.message)
    return serving.as_json(found)


def main(
    *,
    name: str = 'engine',
    role: str = 'prefill',
    address: str = '127.0.0.1:0',
    model: str = '',
    fenced: bool = False,
    slots: int = 20,
    step_ms: float = 40.0,
    token_ms: float = 10.0,
    kv_lives_ms: int = 900,
    cache_tokens: int = 65_536,
    cache_lag_s: float = 0.5,
    load_lag_s: float = 0.3,
    linger_s: float = 5.0,
    link_tokens_s: float = 200_000.0,
    order_ms: float = 20.0,
) -> None:
    """Runs the engine stand-in.

    Args:
        name: Name of the backend server.
        role: prefill or decode.
        address: Where to listen; port 0 lets the kernel choose.
        model: Model that is loaded; empty takes any.
        fenced: Refuse orders that carry an old fencing number.
        slots: Requests that a decode worker holds.
        step_ms: Time for a thousand prompt tokens, milliseconds.
        token_ms: Time between tokens, milliseconds.
        kv_lives_ms: How long a prefill result lives, milliseconds.
        cache_tokens: Size of the prefix cache.
        cache_lag_s: How late cache events are told, seconds.
        load_lag_s: Time between load reports, seconds.
        linger_s: How long a finished stream stays, seconds.
        link_tokens_s: Tokens of KV cache that the link carries a second.
        order_ms: Time that an order takes, milliseconds.
    """
    engine = Engine(
        Config(name, role, model, fenced, order_ms, load_lag_s, link_tokens_s),
        prefiller.Config(step_ms, kv_lives_ms, cache_tokens, cache_lag_s),
        decoder.Config(slots, token_ms, linger_s),
    )
    engine.start()
    serving.run(engine.handle, address, threads=2 * slots + 24)


if __name__ == '__main__':
    defopt.run(main)
