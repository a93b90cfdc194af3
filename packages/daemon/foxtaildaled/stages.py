"""The stages of an attempt before its stream: prefill and transfer.

A prefill's result is evicted within a second, and making it costs as much as
many tokens. So a transfer that stalls is given up while the result may still
live, and a result that finds no free slot moves to whichever worker has one.
"""

from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import pace
from foxtaildale import ports
from foxtaildale_adapters import metrics
from foxtaildaled import job as jobs
from foxtaildaled import slots

# Bound on one prefill, seconds.
_PREFILL_S: Final = 60.0
# Time before a finished prefill asks again for a slot, seconds.
_FULL_WAIT_S: Final = 0.025
# The engines' words for no slot free, and for what they hold no more.
_FULL: Final = 'full'
_GONE: Final = 'gone'


class Ready(msgspec.Struct, frozen=True):
    """A finished prefill and where it lies."""

    worker: str
    address: str
    reply: backends.PrefillReply
    # When the engine evicts it; seconds, monotonic.
    until: float


class Failure(msgspec.Struct, frozen=True):
    """An attempt that did not end in a whole answer."""

    # prefill-failed, transfer-failed, decode-failed
    stage: str
    reason: str
    # Decode worker that it failed at, for the next attempt to avoid.
    decode: str = ''
    # Backend server that it failed at.
    at: str = ''
    # Whether the engine may have begun the answer itself.
    begun: bool = False
    # The engine's own word where it said that it did not act.
    rejected: str = ''
    # A finished prefill that may be fetched again.
    ready: 'Ready | None' = None


class Measured:
    """How long the stages of one attempt took, milliseconds."""

    __slots__ = (
        'cached_tokens',
        'decode_ms',
        'output_tokens',
        'prefill_ms',
        'transfer_ms',
    )

    prefill_ms: int
    transfer_ms: int
    decode_ms: int
    output_tokens: int
    # Prompt tokens that the prefix cache had.
    cached_tokens: int

    def __init__(self) -> None:
        self.cached_tokens = 0
        self.prefill_ms = 0
        self.transfer_ms = 0
        self.decode_ms = 0
        self.output_tokens = 0


class Stages:
    """Runs prefills and transfers."""

    __slots__ = ('_clock', '_engines', '_metrics', '_pace', '_slots')

    _engines: ports.Engines
    _slots: slots.Slots
    _metrics: metrics.Metrics
    _clock: ports.Clock
    _pace: pace.Pace

    def __init__(
        self,
        engines: ports.Engines,
        getter: slots.Slots,
        counts: metrics.Metrics,
        clock: ports.Clock,
    ) -> None:
        self._engines = engines
        self._slots = getter
        self._metrics = counts
        self._clock = clock
        self._pace = pace.Pace()

    def prefill(
        self, job: jobs.Job, grant: messages.Granted, measured: Measured
    ) -> Ready | Failure | slots.Refusal:
        """Runs the prefill of an attempt."""
        if not job.hold(grant.prefill_address):
            return slots.Refusal(codes.GONE)
        began_at = self._clock()
        req = backends.PrefillReq(
            request=job.request,
            attempt=job.attempt,
            holder=job.holder,
            model=job.name,
            prompt=job.prompt,
            priority=job.service.priority,
        )
        try:
            reply = self._engines.prefill(
                grant.prefill_address, req, _PREFILL_S
            )
        except errors.PortError as exc:
            return self.failed(job, 'prefill-failed', exc, grant.prefill)
        measured.prefill_ms = self.since(began_at)
        self._metrics.prefill_tokens.add(reply.tokens - reply.cached, job.name)
        if (reply.request, reply.attempt) != (job.request, job.attempt):
            return Failure('prefill-failed', 'answer of another request')
        measured.cached_tokens = reply.cached
        job.sent = True
        return Ready(
            grant.prefill,
            grant.prefill_address,
            reply,
            self._clock() + reply.lives_ms / 1000,
        )

    def transfer(
        self,
        job: jobs.Job,
        grant: messages.Granted,
        ready: Ready,
        measured: Measured,
    ) -> messages.Granted | Failure | slots.Refusal:
        """Has a decode worker fetch the KV cache; returns its grant."""
        while True:
            failure = self._fetch(job, grant, ready, measured)
            if failure is None:
                job.let_go(ready.address)
                return grant
            if failure.rejected != _FULL or self._clock() >= ready.until:
                return failure
            # The slot that was to be free is not yet. Nothing was lost: the
            # result may go to whichever worker has a slot now.
            job.gone.wait(_FULL_WAIT_S)
            moved = self._slots.get(job, ready.worker, '')
            if isinstance(moved, slots.Refusal):
                return moved
            grant = moved

    def _fetch(
        self,
        job: jobs.Job,
        grant: messages.Granted,
        ready: Ready,
        measured: Measured,
    ) -> Failure | None:
        if not job.hold(grant.decode_address):
            return Failure('transfer-failed', 'the caller went away')
        began_at = self._clock()
        req = backends.ImportReq(
            request=job.request,
            attempt=job.attempt,
            holder=job.holder,
            source=ready.address,
            kv=ready.reply.kv,
        )
        bound_s = self._pace.bound_s(
            ready.reply.tokens, ready.reply.lives_ms / 1000
        )
        try:
            reply = self._engines.fetch(grant.decode_address, req, bound_s)
        except errors.PortError as exc:
            measured.transfer_ms = self.since(began_at)
            return self._lost_transfer(job, grant, ready, exc)
        measured.transfer_ms = self.since(began_at)
        self._pace.learn(ready.reply.tokens, self._clock() - began_at)
        if (reply.request, reply.attempt) != (job.request, job.attempt):
            return Failure('transfer-failed', 'answer of another request')
        return None

    def _lost_transfer(
        self,
        job: jobs.Job,
        grant: messages.Granted,
        ready: Ready,
        exc: errors.PortError,
    ) -> Failure:
        failure = self.failed(job, 'transfer-failed', exc, grant.decode)
        if failure.rejected == _GONE:
            # Evicted before its transfer began: nobody is to blame.
            return msgspec.structs.replace(failure, stage='evicted', decode='')
        if self._clock() < ready.until:
            return msgspec.structs.replace(failure, ready=ready)
        return failure

    def since(self, began_at: float) -> int:
        """Returns the milliseconds since a time."""
        return round((self._clock() - began_at) * 1000)

    def still_ready(self, last: Failure | None) -> Ready | None:
        """Returns the last attempt's prefill if it can still be fetched."""
        if last is None or last.ready is None:
            return None
        return last.ready if self._clock() < last.ready.until else None

    def failed(
        self, job: jobs.Job, stage: str, exc: errors.PortError, at: str
    ) -> Failure:
        """Returns what an engine's error means; notes what may have run."""
        rejected = exc.code if isinstance(exc, errors.RejectedError) else ''
        if not rejected and not isinstance(exc, errors.UnreachableError):
            job.sent = True
        return Failure(
            stage,
            str(exc),
            at if stage != 'prefill-failed' else '',
            at=at,
            rejected=rejected,
        )


def kept(result: slots.Refusal | Failure | None) -> str:
    """Returns the address whose prefill the next attempt fetches."""
    if isinstance(result, Failure) and result.ready is not None:
        return result.ready.address
    return ''
