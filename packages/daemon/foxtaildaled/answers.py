"""Answers of model services: prefill, transfer, decode, stream.

One request goes through attempts. An attempt gets a slot, runs the prefill so
that it ends when the slot is free, has the decode worker fetch the KV cache,
and reads the stream. What fails before the caller was sent a first piece is
tried again within the retry budget; after that only the same stream is read
on, since another one might say something else.

A service with claims runs at most once: its decode is begun at one engine and
never again, whatever becomes of it.
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

# Times that a broken stream is read on.
_RESUMES: Final = 5
# Attempts after which an engine's refusal counts as a failure like any other.
_FREE_TRIES: Final = 4
# The engines' word for a planned stop.
_LEAVING: Final = 'leaving'


class Answers:
    """Runs requests of model services."""

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
        """Runs a request to its end and returns its code and figures."""
        self._retries.first(job.name, job.snapshot)
        last: stages.Failure | None = None
        while True:
            job.attempt += 1
            result = self._attempt(job, sink, last)
            if isinstance(result, slots.Refusal):
                return _refusal(job, result)
            if job.gone.is_set():
                return slots.Refusal(codes.CANCELLED)
            self._report(job, result)
            if not self._may_retry(job, sink, result):
                return _given_up(job, result, sink)
            last = result

    def read_on(
        self,
        address: str,
        event: streams.EventId,
        holder: str,
        sink: sinks.Sink,
        gone: threading.Event,
    ) -> codes.Code:
        """Reads a stream on behind an event, for a caller that came back."""
        request, _dot, attempt = event.stream.rpartition('.')
        number = int(attempt) if attempt.isdecimal() else 0
        sink.begin(event.worker, event.stream)
        checker = streams.Checker(
            request, number, event.stream, event.position + 1
        )
        reader = reading.Reader(
            gone=gone,
            sink=sink,
            checker=checker,
            clock=self._clock,
            times=[],
            carrier=self._pump,
            silence_s=self._cfg.silence_s,
        )
        try:
            items = self._engines.resume(
                address,
                event.stream,
                checker.position,
                holder,
                self._cfg.silence_s,
            )
            reason = reader.read(items)
        except errors.RejectedError:
            return codes.NO_STREAM
        except errors.PortError:
            reason = 'the stream broke off'
        if gone.is_set():
            return codes.CANCELLED
        return codes.BROKEN if reason else codes.OK

    def _report(self, job: jobs.Job, failure: stages.Failure) -> None:
        """Tells the keepers of a backend server that refused as leaving."""
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
        if failure.rejected and job.attempt <= _FREE_TRIES:
            # The engine did nothing, so this try has cost nothing; a planned
            # stop of a backend server must not use up the budget.
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
            result = self._work(job, sink, grant, measured, ready)
        finally:
            if not isinstance(result, slots.Refusal) or job.gone.is_set():
                job.abandon(stages.kept(result))
            self._slots.end(job, _end(job, grant, measured, result))
        return result

    def _work(
        self,
        job: jobs.Job,
        sink: sinks.Sink,
        grant: messages.Granted,
        measured: stages.Measured,
        ready: stages.Ready | None,
    ) -> slots.Refusal | stages.Failure:
        """Runs the three stages of one attempt."""
        if ready is None:
            prefilled = self._stages.prefill(job, grant, measured)
            if not isinstance(prefilled, stages.Ready):
                return prefilled
            ready = prefilled
        moved = self._stages.transfer(job, grant, ready, measured)
        if not isinstance(moved, messages.Granted):
            if not stages.kept(moved):
                self._metrics.wasted_prefill_tokens.add(
                    ready.reply.tokens - ready.reply.cached, job.name
                )
            return moved
        began_at = self._clock()
        result = self._decode(job, sink, moved)
        measured.decode_ms = self._stages.since(began_at)
        measured.output_tokens = len(job.times)
        return result

    def _decode(
        self, job: jobs.Job, sink: sinks.Sink, grant: messages.Granted
    ) -> slots.Refusal | stages.Failure:
        """Reads the stream to its end, over new connections if need be."""
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
        for turn in range(_RESUMES + 1):
            if job.gone.is_set():
                break
            try:
                items = self._open(job, grant, req, checker, turn)
                with job.reading(items):
                    reason = reader.read(items)
            except errors.RejectedError as exc:
                failure = self._stages.failed(
                    job, 'decode-failed', exc, grant.decode
                )
                return msgspec.structs.replace(failure, begun=turn > 0)
            except errors.UnreachableError as exc:
                reason = str(exc)
                if turn == 0:
                    return self._stages.failed(
                        job, 'decode-failed', exc, grant.decode
                    )
            except errors.PortError as exc:
                reason = str(exc)
            if not reason:
                job.let_go(grant.decode_address)
                self._observe(job)
                return slots.Refusal(codes.OK)
        job.sent = True
        return stages.Failure('decode-failed', reason, grant.decode, begun=True)

    def _observe(self, job: jobs.Job) -> None:
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

    def _open(
        self,
        job: jobs.Job,
        grant: messages.Granted,
        req: backends.DecodeReq,
        checker: streams.Checker,
        turn: int,
    ) -> ports.Pieces:
        silence_s = self._cfg.silence_s
        if turn == 0:
            return self._engines.decode(grant.decode_address, req, silence_s)
        return self._engines.resume(
            grant.decode_address,
            job.stream,
            checker.position,
            job.holder,
            silence_s,
        )


def _refusal(job: jobs.Job, refusal: slots.Refusal) -> slots.Refusal:
    """Returns a refusal as it is true after earlier attempts."""
    if not job.sent or refusal.code.ran != 'no':
        return refusal
    # An earlier attempt was sent to a backend server: "not run" would not be
    # true any more.
    code = codes.CANCELLED if refusal.code is codes.GONE else codes.FAILED
    return slots.Refusal(code, refusal.figures, refusal.retry_after_s)


def _given_up(
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


def _end(
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
