"""Requests to model services: new completions and resumed streams."""

import threading
from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import chat
from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import options
from foxtaildale import ports
from foxtaildale import streams
from foxtaildale import values
from foxtaildaled import cancels
from foxtaildaled import claim_client
from foxtaildaled import completions
from foxtaildaled import job as jobs
from foxtaildaled import request_checks
from foxtaildaled import request_context
from foxtaildaled import sinks
from foxtaildaled import slot_acquisition

FIRST_ANSWER_HEADER: Final = 'foxtaildale-first-answer-ms'
RESUME_HEADER: Final = 'foxtaildale-resume-within-s'
EVENT_HEADER: Final = 'last-event-id'
# Upper bound of a number in a header.
_MAX_HEADER_NUMBER: Final = 1e9


class ChatRequests:
    """Serves requests to model services."""

    __slots__ = (
        '_cancels',
        '_cfg',
        '_claiming',
        '_clock',
        '_completions',
        '_gate',
        '_incarnation',
        '_replies',
    )

    _cfg: options.Options
    _incarnation: str
    _gate: request_checks.RequestChecks
    _replies: request_context.Replies
    _completions: completions.Completions
    _claiming: claim_client.ClaimClient
    _cancels: cancels.CancelQueue
    _clock: ports.Clock

    def __init__(
        self,
        *,
        cfg: options.Options,
        incarnation: str,
        checks: request_checks.RequestChecks,
        replies: request_context.Replies,
        completion_runner: completions.Completions,
        claim_desk: claim_client.ClaimClient,
        cancel_queue: cancels.CancelQueue,
        clock: ports.Clock,
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._gate = checks
        self._replies = replies
        self._completions = completion_runner
        self._claiming = claim_desk
        self._cancels = cancel_queue
        self._clock = clock

    def complete(self, context: request_context.RequestContext) -> None:
        """Serves a request for a new completion."""
        try:
            req = chat.decode(context.exchange.body)
        except errors.DecodeError as exc:
            self._replies.reject(context, '', str(exc))
            return
        service = self._gate.admit(context, req.model, 'model')
        if service is None:
            return
        job = self._make_job(context, service, req)
        sink = sinks.make_sink(
            context.exchange,
            context.request,
            req.model,
            stream=req.stream,
            keep_response=service.once == 'claim',
        )
        context.exchange.on_disconnect(job.on_disconnected)
        if service.once == 'claim':
            result = self._run_claimed(context, job, sink)
        else:
            result = self._completions.run(job, sink)
        sink.finish(
            self._replies.make_recorded_outcome(
                context,
                job.service_name,
                result.code,
                figures=result.figures,
                retry_after_s=result.retry_after_s,
            ),
            result.answer,
        )

    def resume_stream(self, context: request_context.RequestContext) -> None:
        """Resumes a stream that began on another connection or VM."""
        try:
            event = streams.parse_event_id(
                context.exchange.headers.get(EVENT_HEADER, '')
            )
        except errors.DecodeError as exc:
            self._replies.reject(context, '', str(exc))
            return
        server = context.snapshot.server(event.worker)
        if server is None:
            self._replies.refuse(context, '', codes.NO_STREAM)
            return
        self._cancels.remove_request(_request_identity(event))
        sink = sinks.EventSink(
            context.exchange, context.request, server.service
        )
        disconnected = self._cancel_on_disconnect(context, server, event)
        code = self._completions.resume_stream(
            server.address, event, self._incarnation, sink, disconnected
        )
        sink.finish(
            self._replies.make_recorded_outcome(context, server.service, code)
        )

    def _make_job(
        self,
        context: request_context.RequestContext,
        service: values.Service,
        req: chat.ChatReq,
    ) -> jobs.Job:
        headers = context.exchange.headers
        target_ms = _parse_number(headers.get(FIRST_ANSWER_HEADER, ''))
        resume_s = _parse_number(headers.get(RESUME_HEADER, ''))
        return jobs.Job(
            req=req,
            request=context.request,
            service=service,
            snapshot=context.snapshot,
            holder=self._incarnation,
            cancel_queue=self._cancels,
            arrived_at=self._clock(),
            first_answer_ms=round(target_ms) or service.first_answer_ms,
            resume_window_s=min(resume_s, self._cfg.grace_s),
        )

    def _run_claimed(
        self,
        context: request_context.RequestContext,
        job: jobs.Job,
        sink: sinks.Sink,
    ) -> slot_acquisition.FinalResult:
        refusal = self._claiming.claim(context, job.service_name, 'chat')
        if refusal is not None:
            return refusal
        result = self._completions.run(job, sink)
        outcome = self._replies.make_outcome(
            result.code,
            job.request,
            job.service_name,
            job.snapshot,
            figures=result.figures,
        )
        document = sink.complete_response() if result.code is codes.OK else b''
        self._claiming.report_outcome(
            job.service_name, context.key, outcome, document
        )
        return msgspec.structs.replace(
            result, code=context.refusal_code(result.code)
        )

    def _cancel_on_disconnect(
        self,
        context: request_context.RequestContext,
        server: values.BackendServer,
        event: streams.EventId,
    ) -> threading.Event:
        """Cancels a resumed stream when its caller disconnects again."""
        disconnected = threading.Event()
        req = backends.CancelReq(
            request=_request_identity(event), holder=self._incarnation
        )

        def on_disconnected() -> None:
            disconnected.set()
            self._cancels.add(server.address, req)

        context.exchange.on_disconnect(on_disconnected)
        return disconnected


def _request_identity(event: streams.EventId) -> str:
    """Returns the identity of the request that a stream belongs to."""
    return event.stream.rpartition('.')[0]


def _parse_number(text: str) -> float:
    """Returns the number in a header; 0 if it is missing or invalid."""
    try:
        number = float(text)
    except ValueError:
        return 0.0
    return number if 0 < number < _MAX_HEADER_NUMBER else 0.0
