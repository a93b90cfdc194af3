"""The entry: what callers reach.

    POST /v1/chat/completions     an answer of a model service
    GET  /v1/streams              reads an answer on (Last-Event-ID)
    POST /v1/services/NAME/CALL   a call of a plain service
    POST /v1/tickets              tickets for services that take them
    GET  /v1/keys                 how new idempotency keys begin
    GET  /v1/outcomes/REQUEST     the outcome of a request decided here

Each request gets an identity and ends in one outcome, which goes to the
caller, to the log and to `records`. Routing, checks and refusals are here; the
work itself is in `answers`, `plain` and `desk`.
"""

from collections.abc import Callable
import threading
import time
from typing import Annotated
from typing import Final
import uuid

import msgspec

from foxtaildale import backends
from foxtaildale import chat
from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import options
from foxtaildale import outcomes
from foxtaildale import ports
from foxtaildale import streams
from foxtaildale import tickets
from foxtaildale import values
from foxtaildale_adapters import callers
from foxtaildaled import answers
from foxtaildaled import cancels
from foxtaildaled import claiming
from foxtaildaled import desk
from foxtaildaled import job as jobs
from foxtaildaled import plain
from foxtaildaled import records
from foxtaildaled import sinks
from foxtaildaled import slots
from foxtaildaled import view

TICKET_HEADER: Final = 'foxtaildale-ticket'
KEY_HEADER: Final = 'idempotency-key'
FIRST_ANSWER_HEADER: Final = 'foxtaildale-first-answer-ms'
RESUME_HEADER: Final = 'foxtaildale-resume-within-s'
EVENT_HEADER: Final = 'last-event-id'
# When to come back where nothing better is known, seconds.
_AGAIN_S: Final = 1.0


class TicketsReq(msgspec.Struct, frozen=True):
    """Asks for tickets."""

    service: str
    count: Annotated[int, msgspec.Meta(ge=1, le=desk.MAX_COUNT)] = 1


class TicketsReply(msgspec.Struct, frozen=True):
    """Fresh tickets."""

    service: str
    tickets: tuple[str, ...]


class KeysReply(msgspec.Struct, frozen=True):
    """How new idempotency keys begin."""

    prefix: str


class Stamp:
    """Makes outcomes that name this entry."""

    __slots__ = ('_entry_vm',)

    _entry_vm: str

    def __init__(self, entry_vm: str) -> None:
        self._entry_vm = entry_vm

    def __call__(
        self,
        code: codes.Code,
        request: str,
        service: str,
        snapshot: view.Snapshot,
        *,
        figures: tuple[values.Figure, ...] = (),
        retry_after_s: float = 0.0,
    ) -> values.Outcome:
        """Returns the outcome."""
        source = outcomes.Source(
            request=request,
            service=service,
            revision=snapshot.revision,
            entry_vm=self._entry_vm,
            at=time.time(),
        )
        return outcomes.make(code, source, figures, retry_after_s)


class Entry:
    """Routes callers' requests."""

    __slots__ = (
        '_answers',
        '_cancels',
        '_cfg',
        '_claiming',
        '_clock',
        '_desk',
        '_incarnation',
        '_plain',
        '_records',
        '_stamp',
        '_view',
        'stopping',
    )

    _cfg: options.Options
    _incarnation: str
    _view: view.View
    _answers: answers.Answers
    _plain: plain.Plain
    _desk: desk.Desk
    _claiming: claiming.Claiming
    _records: records.Records
    _cancels: cancels.Cancels
    _stamp: Stamp
    _clock: ports.Clock
    # Whether the entry is being stopped.
    stopping: bool

    def __init__(
        self,
        *,
        cfg: options.Options,
        incarnation: str,
        seen: view.View,
        model: answers.Answers,
        calls: plain.Plain,
        ticket_desk: desk.Desk,
        claim_desk: claiming.Claiming,
        kept: records.Records,
        cancel_queue: cancels.Cancels,
        stamp: Stamp,
        clock: ports.Clock,
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._view = seen
        self._answers = model
        self._plain = calls
        self._desk = ticket_desk
        self._claiming = claim_desk
        self._records = kept
        self._cancels = cancel_queue
        self._stamp = stamp
        self._clock = clock
        self.stopping = False

    def handle(self, ex: callers.Exchange) -> None:
        """Serves one request of a caller."""
        request = f'{self._cfg.entry_vm}-{uuid.uuid4().hex[:16]}'
        route = self._route(ex)
        if route is None:
            self._refuse(ex, request, '', codes.BAD_REQUEST, 'no such path')
            return
        route(ex, request)

    def _route(
        self, ex: callers.Exchange
    ) -> Callable[[callers.Exchange, str], None] | None:
        exact = {
            ('POST', '/v1/chat/completions'): self._chat,
            ('GET', '/v1/streams'): self._resume,
            ('POST', '/v1/tickets'): self._tickets,
            ('GET', '/v1/keys'): self._keys,
        }
        if (ex.method, ex.path) in exact:
            return exact[(ex.method, ex.path)]
        if ex.method == 'POST' and ex.path.startswith('/v1/services/'):
            return self._service
        if ex.method == 'GET' and ex.path.startswith('/v1/outcomes/'):
            return self._outcome
        return None

    def _chat(self, ex: callers.Exchange, request: str) -> None:
        snapshot = self._view.now
        try:
            req = chat.decode(ex.body)
        except errors.DecodeError as exc:
            self._refuse(ex, request, '', codes.BAD_REQUEST, str(exc))
            return
        service = self._admitted(ex, request, snapshot, req.model, 'model')
        if service is None:
            return
        job = self._job(ex, request, snapshot, service, req)
        sink = sinks.make(ex, request, req.model, stream=req.stream)
        ex.watch(job.on_gone)
        if service.once == 'claim':
            result = self._claimed(ex, job, sink)
        else:
            result = self._answers.run(job, sink)
        self._finish(sink, job, result)

    def _job(
        self,
        ex: callers.Exchange,
        request: str,
        snapshot: view.Snapshot,
        service: values.Service,
        req: chat.ChatReq,
    ) -> jobs.Job:
        target = _number(ex.headers.get(FIRST_ANSWER_HEADER, ''))
        resume_s = _number(ex.headers.get(RESUME_HEADER, ''))
        return jobs.Job(
            req=req,
            request=request,
            service=service,
            snapshot=snapshot,
            holder=self._incarnation,
            cancel_queue=self._cancels,
            arrived_at=self._clock(),
            first_answer_ms=round(target) or service.first_answer_ms,
            resume_s=min(resume_s, self._cfg.grace_s),
        )

    def _claimed(
        self, ex: callers.Exchange, job: jobs.Job, sink: sinks.Sink
    ) -> slots.Refusal:
        key = ex.headers.get(KEY_HEADER, '')
        refusal = self._claiming.claim(
            job.name, job.request, key, 'chat', ex.body
        )
        if refusal is not None:
            return refusal
        result = self._answers.run(job, sink)
        self._claiming.end(job.name, key, self._outcome_of(job, result))
        return result

    def _finish(
        self, sink: sinks.Sink, job: jobs.Job, result: slots.Refusal
    ) -> None:
        outcome = self._outcome_of(job, result)
        self._records.add(outcome)
        sink.end(outcome)

    def _outcome_of(
        self, job: jobs.Job, result: slots.Refusal
    ) -> values.Outcome:
        return self._stamp(
            result.code,
            job.request,
            job.name,
            job.snapshot,
            figures=result.figures,
            retry_after_s=result.retry_after_s,
        )

    def _resume(self, ex: callers.Exchange, request: str) -> None:
        """Reads on a stream that another connection, or VM, had begun."""
        snapshot = self._view.now
        try:
            event = streams.parse_id(ex.headers.get(EVENT_HEADER, ''))
        except errors.DecodeError as exc:
            self._refuse(ex, request, '', codes.BAD_REQUEST, str(exc))
            return
        server = snapshot.server(event.worker)
        if server is None:
            self._end(ex, self._plain_outcome(codes.NO_STREAM, request))
            return
        self._cancels.drop(event.stream.rpartition('.')[0])
        sink = sinks.EventSink(ex, request, server.service)
        gone = self._watch_resumed(ex, server, event)
        code = self._answers.read_on(
            server.address, event, self._incarnation, sink, gone
        )
        outcome = self._stamp(code, request, server.service, snapshot)
        self._records.add(outcome)
        sink.end(outcome)

    def _watch_resumed(
        self,
        ex: callers.Exchange,
        server: values.BackendServer,
        event: streams.EventId,
    ) -> threading.Event:
        """Cancels a resumed stream when its caller goes away again."""
        gone = threading.Event()
        req = backends.CancelReq(
            request=event.stream.rpartition('.')[0], holder=self._incarnation
        )

        def on_gone() -> None:
            gone.set()
            self._cancels.add(server.address, req)

        ex.watch(on_gone)
        return gone

    def _service(self, ex: callers.Exchange, request: str) -> None:
        snapshot = self._view.now
        name, _slash, call = ex.path.removeprefix('/v1/services/').partition(
            '/'
        )
        service = self._admitted(ex, request, snapshot, name, 'plain')
        if service is None:
            return
        if not call:
            self._refuse(ex, request, name, codes.BAD_REQUEST, 'no call named')
            return
        if service.once == 'ticket':
            self._ticketed(ex, request, snapshot, name, call)
            return
        if service.once == 'claim':
            self._claimed_call(ex, request, snapshot, name, call)
            return
        result = self._plain.call(snapshot, name, call, ex.body, request)
        self._answer(ex, request, name, snapshot, result)

    def _ticketed(
        self,
        ex: callers.Exchange,
        request: str,
        snapshot: view.Snapshot,
        name: str,
        call: str,
    ) -> None:
        text = ex.headers.get(TICKET_HEADER, '')
        if not text:
            self._refuse_ticket(
                ex, request, snapshot, name, codes.TICKET_NEEDED
            )
            return
        ticket = tickets.from_text(text)
        wrong = (
            codes.TICKET_BAD
            if ticket is None
            else self._desk.check(ticket, name)
        )
        if ticket is None or wrong is not None:
            self._refuse_ticket(
                ex, request, snapshot, name, wrong or codes.TICKET_BAD
            )
            return
        reply = self._desk.run(ticket, call, ex.body, request)
        if reply.outcome.request == request:
            self._records.add(reply.outcome)
        answer = desk.unpack(reply.answer)
        if reply.outcome.code == codes.OK.name and answer is not None:
            self._pass_on(ex, reply.outcome, answer)
            return
        fresh: tuple[str, ...] = ()
        if codes.ALL[reply.outcome.code].ran == 'no':
            fresh = self._desk.mint(name, 1)
        self._end(ex, reply.outcome, fresh)

    def _refuse_ticket(
        self,
        ex: callers.Exchange,
        request: str,
        snapshot: view.Snapshot,
        name: str,
        code: codes.Code,
    ) -> None:
        outcome = self._stamp(code, request, name, snapshot)
        self._records.add(outcome)
        self._end(ex, outcome, self._desk.mint(name, 1))

    def _claimed_call(
        self,
        ex: callers.Exchange,
        request: str,
        snapshot: view.Snapshot,
        name: str,
        call: str,
    ) -> None:
        key = ex.headers.get(KEY_HEADER, '')
        refusal = self._claiming.claim(name, request, key, call, ex.body)
        if refusal is not None:
            outcome = self._stamp(
                refusal.code,
                request,
                name,
                snapshot,
                figures=refusal.figures,
                retry_after_s=refusal.retry_after_s,
            )
            self._records.add(outcome)
            self._end(ex, outcome)
            return
        result = self._plain.call(snapshot, name, call, ex.body, request)
        outcome = self._answer(ex, request, name, snapshot, result)
        self._claiming.end(name, key, outcome)

    def _answer(
        self,
        ex: callers.Exchange,
        request: str,
        name: str,
        snapshot: view.Snapshot,
        result: plain.Result,
    ) -> values.Outcome:
        outcome = self._stamp(
            result.code,
            request,
            name,
            snapshot,
            figures=result.figures,
            retry_after_s=result.retry_after_s,
        )
        self._records.add(outcome)
        if result.reply is None:
            self._end(ex, outcome)
        else:
            self._pass_on(ex, outcome, result.reply)
        return outcome

    def _tickets(self, ex: callers.Exchange, request: str) -> None:
        snapshot = self._view.now
        try:
            req = msgspec.json.decode(ex.body, type=TicketsReq)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            self._refuse(ex, request, '', codes.BAD_REQUEST, str(exc))
            return
        service = self._admitted(ex, request, snapshot, req.service, 'plain')
        if service is None:
            return
        if service.once != 'ticket':
            self._refuse(
                ex,
                request,
                req.service,
                codes.BAD_REQUEST,
                'the service takes no tickets',
            )
            return
        minted = self._desk.mint(req.service, req.count)
        if not minted:
            outcome = self._stamp(
                codes.NO_WITNESS,
                request,
                req.service,
                snapshot,
                retry_after_s=_AGAIN_S,
            )
            self._records.add(outcome)
            self._end(ex, outcome)
            return
        ex.respond(
            200,
            {'Content-Type': outcomes.JSON},
            msgspec.json.encode(TicketsReply(req.service, minted)),
        )

    def _keys(self, ex: callers.Exchange, request: str) -> None:
        prefix = self._view.now.key_prefix
        if not prefix:
            outcome = self._stamp(
                codes.LOG_DOWN,
                request,
                '',
                self._view.now,
                retry_after_s=_AGAIN_S,
            )
            self._records.add(outcome)
            self._end(ex, outcome)
            return
        ex.respond(
            200,
            {'Content-Type': outcomes.JSON},
            msgspec.json.encode(KeysReply(prefix)),
        )

    def _outcome(self, ex: callers.Exchange, request: str) -> None:
        wanted = ex.path.removeprefix('/v1/outcomes/')
        outcome = self._records.find(wanted)
        if outcome is None:
            self._refuse(
                ex, request, '', codes.NO_OUTCOME, 'not decided here lately'
            )
            return
        ex.respond(
            200,
            {'Content-Type': outcomes.JSON},
            outcomes.body(outcome),
        )

    def _admitted(
        self,
        ex: callers.Exchange,
        request: str,
        snapshot: view.Snapshot,
        name: str,
        kind: str,
    ) -> values.Service | None:
        """Returns the service, or answers why there is none."""
        service = snapshot.service(name)
        code = None
        figures: tuple[values.Figure, ...] = ()
        if self.stopping:
            code = codes.STOPPING
        elif snapshot.in_force is None:
            code = codes.NO_PRESET
        elif service is None or service.kind != kind:
            code, figures = codes.NO_SERVICE, (values.Figure('service', name),)
        elif len(ex.body) > service.max_body_bytes:
            code = codes.TOO_LARGE
            figures = (
                values.Figure('found', len(ex.body)),
                values.Figure('limit', service.max_body_bytes),
            )
        if code is None:
            return service
        again_s = _AGAIN_S if code.status == 503 else 0.0
        outcome = self._stamp(
            code,
            request,
            name,
            snapshot,
            figures=figures,
            retry_after_s=again_s,
        )
        self._records.add(outcome)
        self._end(ex, outcome)
        return None

    def _refuse(
        self,
        ex: callers.Exchange,
        request: str,
        name: str,
        code: codes.Code,
        reason: str,
    ) -> None:
        outcome = self._stamp(
            code,
            request,
            name,
            self._view.now,
            figures=(values.Figure('reason', reason),),
        )
        self._records.add(outcome)
        self._end(ex, outcome)

    def _plain_outcome(self, code: codes.Code, request: str) -> values.Outcome:
        outcome = self._stamp(code, request, '', self._view.now)
        self._records.add(outcome)
        return outcome

    def _end(
        self,
        ex: callers.Exchange,
        outcome: values.Outcome,
        fresh: tuple[str, ...] = (),
    ) -> None:
        ex.respond(
            codes.ALL[outcome.code].status,
            outcomes.headers(outcome),
            outcomes.body(outcome, fresh),
        )

    def _pass_on(
        self, ex: callers.Exchange, outcome: values.Outcome, reply: ports.Reply
    ) -> None:
        ex.respond(reply.status, outcomes.headers(outcome), reply.body)


def _number(text: str) -> float:
    """Returns the number in a header; 0 for none or nonsense."""
    try:
        number = float(text)
    except ValueError:
        return 0.0
    return number if 0 < number < 1e9 else 0.0
