"""Completions of model services: prefill, transfer, decode, stream.

A request is served in one or more attempts. An attempt acquires a slot, runs
the prefill so that it ends when the slot is free, transfers the KV cache to the
decode worker, and reads the stream. An attempt that fails before the first
chunk was sent to the caller is retried within the retry budget. After the first
chunk, only the same stream is resumed, since another stream might contain
different text.

A request of a service with claims runs at most once: its decode is started at
one engine and never restarted, also after a failure.
"""

import itertools
import threading
from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import ports
from foxtaildale import streams
from foxtaildale import values
from foxtaildale_adapters import metrics
from foxtaildale_adapters import pump
from foxtaildaled import job as jobs
from foxtaildaled import reading
from foxtaildaled import retries
from foxtaildaled import sinks
from foxtaildaled import slots
from foxtaildaled import stages
from foxtaildaled import view

# Maximum number of times that a broken stream is resumed.
_MAX_RESUMES: Final = 5
# Attempts up to which a rejection by an engine does not use the retry budget.
_FREE_ATTEMPTS: Final = 4
# Error code of an engine that is shutting down as planned.
_LEAVING: Final = 'leaving'


class Answers:
    """Runs requests to model services."""

    __slots__ = (
        '_cfg',
        '_clock',
        '_engines',
        '_metrics',
        '_pump',
        '_retries',
        '_slots',
        '_stages',
        '_view',
    )

    _cfg: options.Options
    _engines: ports.Engines
    _slots: slots.Slots
    _retries: retries.Retries
    _metrics: metrics.Metrics
    _clock: ports.Clock
    _view: view.View
    _pump: pump.Pump
    _stages: stages.Stages

    def __init__(
        self,
        *,
        cfg: options.Options,
        engines: ports.Engines,
        seen: view.View,
        carrier: pump.Pump,
        getter: slots.Slots,
        budget: retries.Retries,
        counts: metrics.Metrics,
        clock: ports.Clock,
    ) -> None:
        self._cfg = cfg
        self._engines = engines
        self._slots = getter
        self._retries = budget
        self._metrics = counts
        self._clock = clock
        self._view = seen
        self._pump = carrier
        self._stages = stages.Stages(engines, getter, counts, clock)

    def run(self, job: jobs.Job, sink: sinks.Sink) -> slots.Refusal:
        """Runs a request to its end and returns its final result."""
        self._retries.first(job.name, job.snapshot)
        last: stages.Failure | None = None
        while True:
            job.attempt += 1
            result = self._attempt(job, sink, last)
            if isinstance(result, slots.Refusal):
                return _final_refusal(job, result)
            if job.gone.is_set():
                return slots.Refusal(codes.CANCELLED)
            self._report_leaving(job, result)
            if not self._may_retry(job, sink, result):
                return _failure_result(job, result, sink)
            last = result

    def read_on(
        self,
        address: str,
        event: streams.EventId,
        holder: str,
        sink: sinks.Sink,
        disconnected: threading.Event,
    ) -> codes.Code:
        """Resumes a stream after an event, for a caller that reconnected."""
        request, _dot, attempt = event.stream.rpartition('.')
        attempt_number = int(attempt) if attempt.isdecimal() else 0
        sink.begin(event.worker, event.stream)
        checker = streams.Checker(
            request, attempt_number, event.stream, event.position + 1
        )
        reader = reading.Reader(
            gone=disconnected,
            sink=sink,
            checker=checker,
            clock=self._clock,
            times=[],
            carrier=self._pump,
            silence_s=self._cfg.silence_s,
        )
        try:
            chunks = self._engines.resume(
                address,
                event.stream,
                checker.position,
                holder,
                self._cfg.silence_s,
            )
            reason = reader.read(chunks)
        except errors.RejectedError:
            return codes.NO_STREAM
        except errors.PortError:
            reason = 'the stream ended early'
        if disconnected.is_set():
            return codes.CANCELLED
        return codes.BROKEN if reason else codes.OK

    def _report_leaving(self, job: jobs.Job, failure: stages.Failure) -> None:
        """Notifies the keepers of a backend server that is shutting down."""
        if failure.rejected == _LEAVING:
            server = job.snapshot.server(failure.at)
            if server is not None:
                self._view.report_leaving(server)

    def _may_retry(
        self, job: jobs.Job, sink: sinks.Sink, failure: stages.Failure
    ) -> bool:
        if sink.started:
            return False
        if failure.begun and job.service.once != 'none':
            return False
        if failure.rejected and job.attempt <= _FREE_ATTEMPTS:
            # The engine did no work, so the attempt does not count against the
            # retry budget; planned shutdowns must not exhaust it.
            return True
        deadline = None
        if job.first_answer_ms:
            deadline = job.arrived_at + job.first_answer_ms / 1000
        if not self._retries.take(job.name, job.snapshot, deadline):
            return False
        self._metrics.retries.add(1, job.name)
        return True

    def _attempt(
        self, job: jobs.Job, sink: sinks.Sink, last: stages.Failure | None
    ) -> slots.Refusal | stages.Failure:
        ready = self._stages.still_ready(last)
        grant = self._slots.get(
            job, ready.worker if ready else '', last.decode if last else ''
        )
        if isinstance(grant, slots.Refusal):
            return grant
        measured = stages.Measured()
        result: slots.Refusal | stages.Failure | None = None
        try:
            job.gone.wait(grant.start_in_ms / 1000)
            result = self._run_stages(job, sink, grant, measured, ready)
        finally:
            if not isinstance(result, slots.Refusal) or job.gone.is_set():
                job.abandon(stages.kept(result))
            self._slots.end(job, _release_message(job, grant, measured, result))
        return result

    def _run_stages(
        self,
        job: jobs.Job,
        sink: sinks.Sink,
        grant: messages.Granted,
        measured: stages.Measured,
        ready: stages.Ready | None,
    ) -> slots.Refusal | stages.Failure:
        """Runs the prefill, transfer and decode stages of one attempt."""
        if ready is None:
            prefilled = self._stages.prefill(job, grant, measured)
            if not isinstance(prefilled, stages.Ready):
                return prefilled
            ready = prefilled
        transferred = self._stages.transfer(job, grant, ready, measured)
        if not isinstance(transferred, messages.Granted):
            if not stages.kept(transferred):
                self._metrics.wasted_prefill_tokens.add(
                    ready.reply.tokens - ready.reply.cached, job.name
                )
            return transferred
        began_at = self._clock()
        result = self._decode(job, sink, transferred)
        measured.decode_ms = self._stages.since(began_at)
        measured.output_tokens = len(job.times)
        return result

    def _decode(
        self, job: jobs.Job, sink: sinks.Sink, grant: messages.Granted
    ) -> slots.Refusal | stages.Failure:
        """Reads the stream to its end, and resumes it if a connection fails."""
        req = backends.DecodeReq(
            request=job.request,
            attempt=job.attempt,
            holder=job.holder,
            stream=job.stream,
            max_tokens=job.max_tokens,
            priority=job.service.priority,
        )
        checker = streams.Checker(job.request, job.attempt, job.stream)
        sink.begin(grant.decode, job.stream)
        job.times.clear()
        reader = reading.Reader(
            gone=job.gone,
            sink=sink,
            checker=checker,
            clock=self._clock,
            times=job.times,
            carrier=self._pump,
            silence_s=self._cfg.silence_s,
        )
        reason = ''
        for connection_index in range(_MAX_RESUMES + 1):
            if job.gone.is_set():
                break
            try:
                chunks = self._open_stream(
                    job, grant, req, checker, connection_index
                )
                with job.reading(chunks):
                    reason = reader.read(chunks)
            except errors.RejectedError as exc:
                failure = self._stages.failed(
                    job, 'decode-failed', exc, grant.decode
                )
                return msgspec.structs.replace(
                    failure, begun=connection_index > 0
                )
            except errors.UnreachableError as exc:
                reason = str(exc)
                if connection_index == 0:
                    return self._stages.failed(
                        job, 'decode-failed', exc, grant.decode
                    )
            except errors.PortError as exc:
                reason = str(exc)
            if not reason:
                job.let_go(grant.decode_address)
                self._observe_times(job)
                return slots.Refusal(codes.OK)
        job.sent = True
        return stages.Failure('decode-failed', reason, grant.decode, begun=True)

    def _observe_times(self, job: jobs.Job) -> None:
        times = job.times
        if not times:
            return
        self._metrics.first_answer_seconds.observe(
            [times[0] - job.arrived_at], job.name
        )
        self._metrics.between_tokens_seconds.observe(
            [later - earlier for earlier, later in itertools.pairwise(times)],
            job.name,
        )

    def _open_stream(
        self,
        job: jobs.Job,
        grant: messages.Granted,
        req: backends.DecodeReq,
        checker: streams.Checker,
        connection_index: int,
    ) -> ports.Pieces:
        silence_s = self._cfg.silence_s
        if connection_index == 0:
            return self._engines.decode(grant.decode_address, req, silence_s)
        return self._engines.resume(
            grant.decode_address,
            job.stream,
            checker.position,
            job.holder,
            silence_s,
        )


def _final_refusal(job: jobs.Job, refusal: slots.Refusal) -> slots.Refusal:
    """Returns a refusal with the code that is true after earlier attempts."""
    if not job.sent or refusal.code.ran != 'no':
        return refusal
    # An earlier attempt was sent to a backend server, so "not run" would be
    # wrong.
    code = codes.CANCELLED if refusal.code is codes.GONE else codes.FAILED
    return slots.Refusal(code, refusal.figures, refusal.retry_after_s)


def _failure_result(
    job: jobs.Job, failure: stages.Failure, sink: sinks.Sink
) -> slots.Refusal:
    code = codes.FAILED
    if sink.started:
        code = codes.BROKEN
    elif not job.sent:
        code = codes.BACKEND_REFUSED
    return slots.Refusal(
        code,
        (
            values.Figure('stage', failure.stage),
            values.Figure('reason', failure.reason),
        ),
        1.0,
    )


def _release_message(
    job: jobs.Job,
    grant: messages.Granted,
    measured: stages.Measured,
    result: slots.Refusal | stages.Failure | None,
) -> messages.EndSlot:
    if job.gone.is_set():
        outcome = 'cancelled'
    elif isinstance(result, stages.Failure):
        outcome = result.stage
    else:
        outcome = 'done'
    return messages.EndSlot(
        service=job.name,
        grant=grant.grant,
        result=outcome,
        prefill_ms=measured.prefill_ms,
        transfer_ms=measured.transfer_ms,
        decode_ms=measured.decode_ms,
        output_tokens=measured.output_tokens,
        cached_tokens=measured.cached_tokens,
    )
