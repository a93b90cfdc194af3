"""The stages of an attempt before its stream: prefill and transfer.

An engine evicts the result of a prefill within a second, and a prefill costs as
much as the decoding of many tokens. A stalled transfer is therefore aborted
while the result may still be available, and if the chosen decode worker has no
free slot, the result is transferred to another worker that has one.
"""

from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import transfer_timeouts
from foxtaildale_adapters import metrics
from foxtaildaled import job as jobs
from foxtaildaled import slot_acquisition

# Timeout of one prefill, seconds.
_PREFILL_TIMEOUT_S: Final = 60.0
# Time between two slot requests for a finished prefill, seconds.
_SLOT_RETRY_S: Final = 0.025
# Error codes of the engines: no slot is free; the prefill was evicted.
_FULL: Final = 'full'
_EVICTED: Final = 'gone'


class FinishedPrefill(msgspec.Struct, frozen=True):
    """A finished prefill and the worker that holds its result."""

    worker: str
    address: str
    reply: backends.PrefillReply
    # When the engine evicts it; seconds, monotonic.
    until: float


class AttemptFailure(msgspec.Struct, frozen=True):
    """An attempt that did not end in a complete response."""

    # One of prefill-failed, transfer-failed, decode-failed and evicted.
    stage: str
    reason: str
    # Decode worker that the next attempt is to avoid; or ''.
    decode: str = ''
    # Backend server that the attempt failed at; or ''.
    at: str = ''
    # Whether the engine may have begun to decode.
    begun: bool = False
    # Error code of an engine that rejected the request without acting on it.
    rejected: str = ''
    # A finished prefill that the next attempt may transfer.
    ready: 'FinishedPrefill | None' = None


class StageTimes:
    """Durations (milliseconds) and token counts of one attempt."""

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
    # Prompt tokens that were in the prefix cache.
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
    _slots: slot_acquisition.SlotClient
    _metrics: metrics.Metrics
    _clock: ports.Clock
    _pace: transfer_timeouts.TransferTimeouts

    def __init__(
        self,
        engines: ports.Engines,
        acquirer: slot_acquisition.SlotClient,
        request_metrics: metrics.Metrics,
        clock: ports.Clock,
    ) -> None:
        self._engines = engines
        self._slots = acquirer
        self._metrics = request_metrics
        self._clock = clock
        self._pace = transfer_timeouts.TransferTimeouts()

    def prefill(
        self, job: jobs.Job, grant: messages.SlotGrant, measured: StageTimes
    ) -> FinishedPrefill | AttemptFailure | slot_acquisition.FinalResult:
        """Runs the prefill of an attempt."""
        if not job.try_add_reservation(grant.prefill_address):
            return slot_acquisition.FinalResult(codes.GONE)
        began_at = self._clock()
        req = backends.PrefillReq(
            request=job.request,
            attempt=job.attempt,
            holder=job.holder,
            model=job.service_name,
            prompt=job.prompt,
            priority=job.service.priority,
        )
        try:
            reply = self._engines.prefill(
                grant.prefill_address, req, _PREFILL_TIMEOUT_S
            )
        except errors.PortError as exc:
            return self.make_failure(
                job, 'prefill-failed', exc, grant.prefill_worker
            )
        measured.prefill_ms = self.elapsed_ms(began_at)
        self._metrics.prefill_tokens.add(
            reply.tokens - reply.cached, job.service_name
        )
        if (reply.request, reply.attempt) != (job.request, job.attempt):
            return AttemptFailure('prefill-failed', 'reply to another request')
        measured.cached_tokens = reply.cached
        job.may_have_run = True
        return FinishedPrefill(
            grant.prefill_worker,
            grant.prefill_address,
            reply,
            self._clock() + reply.lives_ms / 1000,
        )

    def transfer(
        self,
        job: jobs.Job,
        grant: messages.SlotGrant,
        ready: FinishedPrefill,
        measured: StageTimes,
    ) -> messages.SlotGrant | AttemptFailure | slot_acquisition.FinalResult:
        """Transfers the KV cache to a decode worker and returns its grant."""
        while True:
            failure = self._fetch(job, grant, ready, measured)
            if failure is None:
                job.remove_reservation(ready.address)
                return grant
            if failure.rejected != _FULL or self._clock() >= ready.until:
                return failure
            # The granted slot is not free yet. The result of the prefill is
            # still available and may go to any worker that has a free slot.
            job.caller_disconnected.wait(_SLOT_RETRY_S)
            reply = self._slots.acquire(job, ready.worker, '')
            if isinstance(reply, slot_acquisition.FinalResult):
                return reply
            grant = reply

    def _fetch(
        self,
        job: jobs.Job,
        grant: messages.SlotGrant,
        ready: FinishedPrefill,
        measured: StageTimes,
    ) -> AttemptFailure | None:
        if not job.try_add_reservation(grant.decode_address):
            return AttemptFailure('transfer-failed', 'the caller disconnected')
        began_at = self._clock()
        req = backends.ImportReq(
            request=job.request,
            attempt=job.attempt,
            holder=job.holder,
            source=ready.address,
            kv=ready.reply.kv,
        )
        timeout_s = self._pace.timeout_s(
            ready.reply.tokens, ready.reply.lives_ms / 1000
        )
        try:
            reply = self._engines.import_kv(
                grant.decode_address, req, timeout_s
            )
        except errors.PortError as exc:
            measured.transfer_ms = self.elapsed_ms(began_at)
            return self._transfer_failure(job, grant, ready, exc)
        measured.transfer_ms = self.elapsed_ms(began_at)
        self._pace.record(ready.reply.tokens, self._clock() - began_at)
        if (reply.request, reply.attempt) != (job.request, job.attempt):
            return AttemptFailure('transfer-failed', 'reply to another request')
        return None

    def _transfer_failure(
        self,
        job: jobs.Job,
        grant: messages.SlotGrant,
        ready: FinishedPrefill,
        exc: errors.PortError,
    ) -> AttemptFailure:
        failure = self.make_failure(
            job, 'transfer-failed', exc, grant.decode_worker
        )
        if failure.rejected == _EVICTED:
            # The prefill was evicted before its transfer began, which is not a
            # failure of the decode worker.
            return msgspec.structs.replace(failure, stage='evicted', decode='')
        if self._clock() < ready.until:
            return msgspec.structs.replace(failure, ready=ready)
        return failure

    def elapsed_ms(self, began_at: float) -> int:
        """Returns the time since `began_at`, milliseconds."""
        return round((self._clock() - began_at) * 1000)

    def usable_prefill(
        self, last: AttemptFailure | None
    ) -> FinishedPrefill | None:
        """Returns the last attempt's prefill if it can still be transferred."""
        if last is None or last.ready is None:
            return None
        return last.ready if self._clock() < last.ready.until else None

    def make_failure(
        self, job: jobs.Job, stage: str, exc: errors.PortError, at: str
    ) -> AttemptFailure:
        """Returns the failure for an engine's error.

        Also records in `job` whether the request may have run.
        """
        rejected = exc.code if isinstance(exc, errors.RejectedError) else ''
        if not rejected and not isinstance(exc, errors.UnreachableError):
            job.may_have_run = True
        return AttemptFailure(
            stage,
            str(exc),
            at if stage != 'prefill-failed' else '',
            at=at,
            rejected=rejected,
        )


def reusable_prefill_address(
    result: slot_acquisition.FinalResult | AttemptFailure | None,
) -> str:
    """Returns the address of a prefill that the next attempt may transfer."""
    if isinstance(result, AttemptFailure) and result.ready is not None:
        return result.ready.address
    return ''
