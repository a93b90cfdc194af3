"""The processes of a random schedule.

They do what the daemons do with the real decision objects, in the fewest
lines.
"""

import functools

from foxtaildale import claims
from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildale import values
from tests import fakenet
from tests import oncebench

_STEP_S = 0.05
_ASK_S = 1.0
# Longer than an execution takes, so that a slow one isn't given up on.
_RUN_S = 4.0


class Keeper(fakenet.Process):
    """Witness and claims of one VM."""

    def __init__(self, bench: oncebench.Bench, address: str) -> None:
        super().__init__(bench.clock, address)
        self._bench = bench

    def start(self) -> None:
        rules = self._bench.rules
        self.witness = rules.witness_type(
            self.incarnation, 2 * oncebench.LIFE_S
        )
        self.claims = rules.claims_type(self.incarnation, self.address)
        self._waiting: dict[str, fakenet.Done] = {}
        self.act(self._step)

    def handle(self, msg: messages.Message, done: fakenet.Done) -> None:
        match msg:
            case messages.ClockRequest():
                done(self.witness.read_clock(self.now, msg))
            case messages.StartRequest():
                done(self.witness.record_start(self.now, msg))
            case messages.VoidRequest():
                done(self.witness.void(self.now, msg))
            case messages.OutcomeReport():
                done(self.witness.record_outcome(self.now, msg))
            case messages.ClaimRequest():
                reply = self.claims.request_claim(self.now, msg)
                if reply is None:
                    self._waiting[msg.request] = done
                else:
                    done(reply)
            case messages.ClaimReport():
                self.claims.record_outcome(self.now, msg)
                done(messages.Pong())
            case messages.OutcomeRequest():
                found = self.claims.outcome(msg)
                if isinstance(found, codes.Code):
                    found = self._bench.outcome('', found)
                done(messages.RunReply(outcome=found))

    def _step(self) -> None:
        self._settle(self.claims.expire(self.now))
        records = self.claims.take_batch(self.now)
        if records:
            self._append(records)
        if not self._bench.log_is_down:
            start = self.claims.next_offset()
            batch = self._bench.log.read(start)
            self._settle(self.claims.on_records(self.now, batch))
        self.act_after(_STEP_S, self._step)

    def _append(self, records: list[bytes]) -> None:
        bench = self._bench
        answer_s = bench.rng.uniform(0.01, 0.2)
        bad = bench.rng.random() < bench.rules.bad_appends
        if not bad and not bench.log_is_down:
            effect_s = bench.rng.uniform(0.0, answer_s)
            bench.clock.after(effect_s, lambda: bench.log.append(records))
            self.act_after(answer_s, lambda: self.claims.on_appended(self.now))
            return
        sent = bench.rng.random() < 0.7
        for _ in range(bench.rng.randint(0, 2) if sent else 0):
            late_s = bench.rng.choice([0.0, 0.5, 5.0])
            bench.clock.after(late_s, lambda: bench.log.append(records))
        self.act_after(
            answer_s,
            lambda: self._settle(self.claims.on_append_failed(self.now, sent)),
        )

    def _settle(self, settled: list[claims.SettledClaim]) -> None:
        for request, reply in settled:
            done = self._waiting.pop(request, None)
            if done:
                done(reply)


class Entry(fakenet.Process):
    """Runs tickets and claims of one VM."""

    def __init__(
        self, bench: oncebench.Bench, address: str, keepers: list[Keeper]
    ) -> None:
        super().__init__(bench.clock, address)
        self._bench = bench
        # The keeper of this VM comes first.
        self._keeper = keepers[0]
        self._others = keepers[1:]

    def start(self) -> None:
        self.executor = self._bench.rules.executor_type(
            self.incarnation, self.address, b'secret', oncebench.LIFE_S
        )
        self.act(self._read_witnesses)

    def mint(self) -> messages.Ticket | None:
        chosen = self._bench.rng.choice(self._others)
        return self.executor.issue(
            self.now, 'desk', chosen.incarnation, chosen.address
        )

    def _read_witnesses(self) -> None:
        for keeper in self._others:
            name = keeper.incarnation
            take = functools.partial(self._on_reading, name)
            msg = messages.ClockRequest(witness=name)
            self._ask(keeper.address, msg, take)
        self.act_after(1.0, self._read_witnesses)

    def _on_reading(self, name: str, reply: messages.Message | None) -> None:
        if isinstance(reply, messages.WitnessReply):
            self.executor.on_witness_clock(self.now, name, reply)

    def _ask(
        self,
        address: str,
        msg: messages.Message,
        done: fakenet.Done,
        timeout_s: float = _ASK_S,
    ) -> None:
        self._bench.net.ask(self, address, msg, timeout_s, done)

    def _ask_twice(
        self, address: str, msg: messages.Message, done: fakenet.Done
    ) -> None:
        """Asks again if no reply comes; only for what may come twice."""

        def again(got: messages.Message | None) -> None:
            if got is None and self._bench.rules.resend:
                self._ask(address, msg, done)
            else:
                done(got)

        self._ask(address, msg, again)

    def serve(self, req: oncebench.Request, reply: oncebench.Reply) -> None:
        """Serves a caller."""
        if req.ticket is None:
            self._claim(req, reply)
        elif req.ticket.executor == self.incarnation:
            self._execute(req, reply)
        else:
            msg = messages.RunRequest(
                ticket=req.ticket,
                call=oncebench.CALL,
                body=req.body,
                request=req.request,
            )
            self._ask(
                req.ticket.executor_address,
                msg,
                lambda got: self._passed_on(req, reply, got),
                _RUN_S,
            )

    def handle(self, msg: messages.Message, done: fakenet.Done) -> None:
        if isinstance(msg, messages.RunRequest):
            req = oncebench.Request(msg.request, 'desk', msg.body, msg.ticket)
            if msg.ticket.executor != self.incarnation:
                done(messages.ErrorReply(code='stranger'))
            else:
                self._execute(req, done)

    def _refuse(
        self, req: oncebench.Request, reply: oncebench.Reply, code: codes.Code
    ) -> None:
        outcome = self._bench.outcome(req.request, code)
        reply(messages.RunReply(outcome=outcome))

    def _passed_on(
        self,
        req: oncebench.Request,
        reply: oncebench.Reply,
        got: messages.Message | None,
    ) -> None:
        if isinstance(got, messages.RunReply):
            reply(got)
            return
        assert req.ticket is not None
        void = tickets.void_request(req.ticket, oncebench.CALL, req.body)
        address = req.ticket.witness_address

        def judge(got: messages.Message | None) -> None:
            self._voided(req, reply, got)

        def judge_first(got: messages.Message | None) -> None:
            noted = (
                isinstance(got, messages.WitnessReply) and got.status == 'noted'
            )
            if noted and self._bench.rules.resend:
                # The run may end while the caller still waits.
                self.act_after(
                    _ASK_S, lambda: self._ask_twice(address, void, judge)
                )
            else:
                judge(got)

        self._ask_twice(address, void, judge_first)

    def _voided(
        self,
        req: oncebench.Request,
        reply: oncebench.Reply,
        got: messages.Message | None,
    ) -> None:
        if not isinstance(got, messages.WitnessReply):
            got = None
        verdict = tickets.verdict_on_void(got)
        if verdict.outcome is None:
            self._refuse(req, reply, verdict.code)
        else:
            reply(
                messages.RunReply(
                    outcome=verdict.outcome, response=verdict.answer
                )
            )

    def _execute(self, req: oncebench.Request, reply: oncebench.Reply) -> None:
        assert req.ticket is not None
        admission = self.executor.admit(
            self.now, req.ticket, oncebench.CALL, req.body
        )
        match admission:
            case tickets.SendStart(note=note, address=address):
                decide = functools.partial(self._noted, req, reply)
                self._ask_twice(address, note, decide)
            case tickets.AlreadyFinished(outcome=outcome, answer=answer):
                reply(messages.RunReply(outcome=outcome, response=answer))
            case tickets.Refuse(code=code):
                self._refuse(req, reply, code)

    def _noted(
        self,
        req: oncebench.Request,
        reply: oncebench.Reply,
        got: messages.Message | None,
    ) -> None:
        assert req.ticket is not None
        if not isinstance(got, messages.WitnessReply):
            got = None
        identity = req.ticket.identity
        match self.executor.on_start_reply(self.now, identity, got):
            case tickets.Run():
                self._bench.execute(
                    req,
                    identity,
                    lambda answer: self.act(
                        lambda: self._ended(req, reply, answer)
                    ),
                )
            case tickets.Abandon(code=code) if code is codes.UNKNOWN:
                self._refuse(req, reply, code)
            case tickets.Abandon(code=code):
                self._finish(req, reply, code, b'')

    def _ended(
        self, req: oncebench.Request, reply: oncebench.Reply, answer: bytes
    ) -> None:
        code = codes.OK if answer else codes.FAILED
        self._finish(req, reply, code, answer)

    def _finish(
        self,
        req: oncebench.Request,
        reply: oncebench.Reply,
        code: codes.Code,
        answer: bytes,
    ) -> None:
        assert req.ticket is not None
        outcome = self._bench.outcome(req.request, code)
        tell = self.executor.finish(
            self.now, req.ticket.identity, outcome, answer
        )
        if tell and self._bench.rules.tell:
            self._ask_twice(req.ticket.witness_address, tell, lambda _: None)
        reply(messages.RunReply(outcome=outcome, response=answer))

    def _claim(self, req: oncebench.Request, reply: oncebench.Reply) -> None:
        msg = messages.ClaimRequest(
            service=req.service,
            key=req.key,
            body_digest=req.body.hex(),
            request=req.request,
            holder=self.incarnation,
        )
        self._ask(
            self._keeper.address,
            msg,
            lambda got: self._claimed(req, reply, got),
            _RUN_S,
        )

    def _claimed(
        self,
        req: oncebench.Request,
        reply: oncebench.Reply,
        got: messages.Message | None,
    ) -> None:
        if not isinstance(got, messages.ClaimReply):
            got = messages.ClaimReply(status='log-down')
            self._end_claim(req, codes.LOG_DOWN)
        code = claims.refusal_of_reply(got, req.alone)
        if code is not None:
            self._refuse(req, reply, code)
        elif got.status == 'won':
            done = functools.partial(self._summed_up, req, reply)
            self._bench.execute(
                req, req.key, lambda answer: self.act(lambda: done(answer))
            )
        elif got.outcome is not None:
            reply(messages.RunReply(outcome=got.outcome))
        else:
            question = messages.OutcomeRequest(service=req.service, key=req.key)
            self._ask_twice(
                got.owner_address,
                question,
                lambda got: self._learned(req, reply, got),
            )

    def _learned(
        self,
        req: oncebench.Request,
        reply: oncebench.Reply,
        got: messages.Message | None,
    ) -> None:
        if isinstance(got, messages.RunReply):
            reply(got)
        else:
            self._refuse(req, reply, codes.UNKNOWN)

    def _summed_up(
        self, req: oncebench.Request, reply: oncebench.Reply, answer: bytes
    ) -> None:
        code = codes.OK if answer else codes.FAILED
        outcome = self._end_claim(req, code)
        reply(messages.RunReply(outcome=outcome, response=answer))

    def _end_claim(
        self, req: oncebench.Request, code: codes.Code
    ) -> values.Outcome:
        outcome = self._bench.outcome(req.request, code)
        msg = messages.ClaimReport(
            service=req.service, key=req.key, outcome=outcome
        )
        self._ask_twice(self._keeper.address, msg, lambda _: None)
        return outcome
