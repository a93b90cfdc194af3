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
from foxtaildale_adapters import stream_reader
from foxtaildaled import attempt_stages
from foxtaildaled import entry_retry_budgets
from foxtaildaled import job as jobs
from foxtaildaled import response_reading
from foxtaildaled import sinks
from foxtaildaled import slot_acquisition
from foxtaildaled import view

# Maximum number of times that a broken stream is resumed.
_MAX_RESUMES: Final = 5
# Attempts up to which a rejection by an engine does not use the retry budget.
_FREE_ATTEMPTS: Final = 4
# Error code of an engine that is shutting down as planned.
_LEAVING: Final = 'leaving'


class Completions:
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
    _slots: slot_acquisition.SlotClient
    _retries: entry_retry_budgets.RetryBudgets
    _metrics: metrics.Metrics
    _clock: ports.Clock
    _view: view.View
    _pump: stream_reader.StreamReader
    _stages: attempt_stages.Stages

    def __init__(
        self,
        *,
        cfg: options.Options,
        engines: ports.Engines,
        current_view: view.View,
        stream_pump: stream_reader.StreamReader,
        slot_client: slot_acquisition.SlotClient,
        budgets: entry_retry_budgets.RetryBudgets,
        request_metrics: metrics.Metrics,
        clock: ports.Clock,
    ) -> None:
        self._cfg = cfg
        self._engines = engines
        self._slots = slot_client
        self._retries = budgets
        self._metrics = request_metrics
        self._clock = clock
        self._view = current_view
        self._pump = stream_pump
        self._stages = attempt_stages.Stages(
            engines, slot_client, request_metrics, clock
        )

    def run(
        self, job: jobs.Job, sink: sinks.Sink
    ) -> slot_acquisition.FinalResult:
        """Runs a request to its end and returns its final result."""
        self._retries.record_first_attempt(job.service_name, job.snapshot)
        last: attempt_stages.AttemptFailure | None = None
        while True:
            job.attempt += 1
            result = self._attempt(job, sink, last)
            if isinstance(result, slot_acquisition.FinalResult):
                return _final_refusal(job, result)
            if job.caller_disconnected.is_set():
                return slot_acquisition.FinalResult(codes.CANCELLED)
            self._report_leaving(job, result)
            if not self._may_retry(job, sink, result):
                return _failure_result(job, result, sink)
            last = result

    def resume_stream(
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
        sink.begin_attempt(event.worker, event.stream)
        checker = streams.Checker(
            request, attempt_number, event.stream, event.position + 1
        )
        reader = response_reading.ResponseReader(
            caller_disconnected=disconnected,
            sink=sink,
            checker=checker,
            clock=self._clock,
            sent_times=[],
            stream_pump=self._pump,
            max_silence_s=self._cfg.silence_s,
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

    def _report_leaving(
        self, job: jobs.Job, failure: attempt_stages.AttemptFailure
    ) -> None:
        """Notifies the keepers of a backend server that is shutting down."""
        if failure.rejected == _LEAVING:
            server = job.snapshot.server(failure.at)
            if server is not None:
                self._view.report_leaving(server)

    def _may_retry(
        self,
        job: jobs.Job,
        sink: sinks.Sink,
        failure: attempt_stages.AttemptFailure,
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
        if not self._retries.acquire(job.service_name, job.snapshot, deadline):
            return False
        self._metrics.retries.add(1, job.service_name)
        return True

    def _attempt(
        self,
        job: jobs.Job,
        sink: sinks.Sink,
        last: attempt_stages.AttemptFailure | None,
    ) -> slot_acquisition.FinalResult | attempt_stages.AttemptFailure:
        ready = self._stages.usable_prefill(last)
        grant = self._slots.acquire(
            job, ready.worker if ready else '', last.decode if last else ''
        )
        if isinstance(grant, slot_acquisition.FinalResult):
            return grant
        measured = attempt_stages.StageTimes()
        result: (
            slot_acquisition.FinalResult | attempt_stages.AttemptFailure | None
        ) = None
        try:
            job.caller_disconnected.wait(grant.start_in_ms / 1000)
            result = self._run_stages(job, sink, grant, measured, ready)
        finally:
            if (
                not isinstance(result, slot_acquisition.FinalResult)
                or job.caller_disconnected.is_set()
            ):
                job.cancel_attempt(
                    attempt_stages.reusable_prefill_address(result)
                )
            self._slots.release(
                job, _release_message(job, grant, measured, result)
            )
        return result

    def _run_stages(
        self,
        job: jobs.Job,
        sink: sinks.Sink,
        grant: messages.SlotGrant,
        measured: attempt_stages.StageTimes,
        ready: attempt_stages.FinishedPrefill | None,
    ) -> slot_acquisition.FinalResult | attempt_stages.AttemptFailure:
        """Runs the prefill, transfer and decode stages of one attempt."""
        if ready is None:
            prefilled = self._stages.prefill(job, grant, measured)
            if not isinstance(prefilled, attempt_stages.FinishedPrefill):
                return prefilled
            ready = prefilled
        transferred = self._stages.transfer(job, grant, ready, measured)
        if not isinstance(transferred, messages.SlotGrant):
            if not attempt_stages.reusable_prefill_address(transferred):
                self._metrics.wasted_prefill_tokens.add(
                    ready.reply.tokens - ready.reply.cached, job.service_name
                )
            return transferred
        began_at = self._clock()
        result = self._decode(job, sink, transferred)
        measured.decode_ms = self._stages.elapsed_ms(began_at)
        measured.output_tokens = len(job.chunk_times)
        return result

    def _decode(
        self, job: jobs.Job, sink: sinks.Sink, grant: messages.SlotGrant
    ) -> slot_acquisition.FinalResult | attempt_stages.AttemptFailure:
        """Reads the stream to its end, and resumes it if a connection fails."""
        req = backends.DecodeReq(
            request=job.request,
            attempt=job.attempt,
            holder=job.holder,
            stream=job.stream_name,
            max_tokens=job.max_output_tokens,
            priority=job.service.priority,
        )
        checker = streams.Checker(job.request, job.attempt, job.stream_name)
        sink.begin_attempt(grant.decode_worker, job.stream_name)
        job.chunk_times.clear()
        reader = response_reading.ResponseReader(
            caller_disconnected=job.caller_disconnected,
            sink=sink,
            checker=checker,
            clock=self._clock,
            sent_times=job.chunk_times,
            stream_pump=self._pump,
            max_silence_s=self._cfg.silence_s,
        )
        reason = ''
        for connection_index in range(_MAX_RESUMES + 1):
            if job.caller_disconnected.is_set():
                break
            try:
                chunks = self._open_stream(
                    job, grant, req, checker, connection_index
                )
                with job.closing_stream(chunks):
                    reason = reader.read(chunks)
            except errors.RejectedError as exc:
                failure = self._stages.make_failure(
                    job, 'decode-failed', exc, grant.decode_worker
                )
                return msgspec.structs.replace(
                    failure, begun=connection_index > 0
                )
            except errors.UnreachableError as exc:
                reason = str(exc)
                if connection_index == 0:
                    return self._stages.make_failure(
                        job, 'decode-failed', exc, grant.decode_worker
                    )
            except errors.PortError as exc:
                reason = str(exc)
            if not reason:
                job.remove_reservation(grant.decode_address)
                self._observe_times(job)
                return slot_acquisition.FinalResult(codes.OK)
        job.may_have_run = True
        return attempt_stages.AttemptFailure(
            'decode-failed', reason, grant.decode_worker, begun=True
        )

    def _observe_times(self, job: jobs.Job) -> None:
        times = job.chunk_times
        if not times:
            return
        self._metrics.first_answer_seconds.observe(
            [times[0] - job.arrived_at], job.service_name
        )
        self._metrics.between_tokens_seconds.observe(
            [later - earlier for earlier, later in itertools.pairwise(times)],
            job.service_name,
        )

    def _open_stream(
        self,
        job: jobs.Job,
        grant: messages.SlotGrant,
        req: backends.DecodeReq,
        checker: streams.Checker,
        connection_index: int,
    ) -> ports.EventStream:
        silence_s = self._cfg.silence_s
        if connection_index == 0:
            return self._engines.decode(grant.decode_address, req, silence_s)
        return self._engines.resume(
            grant.decode_address,
            job.stream_name,
            checker.position,
            job.holder,
            silence_s,
        )


def _final_refusal(
    job: jobs.Job, refusal: slot_acquisition.FinalResult
) -> slot_acquisition.FinalResult:
    """Returns a refusal with the code that is true after earlier attempts."""
    if not job.may_have_run or refusal.code.ran != 'no':
        return refusal
    # An earlier attempt was sent to a backend server, so "not run" would be
    # wrong.
    code = codes.CANCELLED if refusal.code is codes.GONE else codes.FAILED
    return slot_acquisition.FinalResult(
        code, refusal.figures, refusal.retry_after_s
    )


def _failure_result(
    job: jobs.Job, failure: attempt_stages.AttemptFailure, sink: sinks.Sink
) -> slot_acquisition.FinalResult:
    code = codes.FAILED
    if sink.started:
        code = codes.BROKEN
    elif not job.may_have_run:
        code = codes.BACKEND_REFUSED
    return slot_acquisition.FinalResult(
        code,
        (
            values.Figure('stage', failure.stage),
            values.Figure('reason', failure.reason),
        ),
        1.0,
    )


def _release_message(
    job: jobs.Job,
    grant: messages.SlotGrant,
    measured: attempt_stages.StageTimes,
    result: slot_acquisition.FinalResult | attempt_stages.AttemptFailure | None,
) -> messages.SlotRelease:
    if job.caller_disconnected.is_set():
        outcome = 'cancelled'
    elif isinstance(result, attempt_stages.AttemptFailure):
        outcome = result.stage
    else:
        outcome = 'done'
    return messages.SlotRelease(
        service=job.service_name,
        grant=grant.grant,
        result=outcome,
        prefill_ms=measured.prefill_ms,
        transfer_ms=measured.transfer_ms,
        decode_ms=measured.decode_ms,
        output_tokens=measured.output_tokens,
        cached_tokens=measured.cached_tokens,
    )
