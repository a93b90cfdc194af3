"""An entry's work for one request, as a state machine on the fakes.

ask -> prefill -> import -> transfer -> decode -> whole answer. The placer (the
policy under measurement) answers each ask; everything else is the same for
all policies.
"""

from collections.abc import Callable
from typing import Final
from typing import Protocol

from bench import clock
from bench import engines
from bench import meter
from bench import workload
from bench import world
from foxtaildale import codes
from foxtaildale import ledger
from foxtaildale import messages
from foxtaildale import retry_budgets

Reply = messages.SlotGrant | messages.Queued | messages.Refused

# An import that the decode worker is too full for is tried again, seconds.
_FULL_AGAIN_S: Final = 0.025
# A transfer that takes this many times its normal time, and this much more,
# counts as stalled; seconds.
_STALL_FACTOR: Final = 2.0
_STALL_S: Final = 0.2
# A caller without its first token after so many targets has left.
_PATIENCE: Final = 3.0


class Placer(Protocol):
    """The policy under measurement, as an entry meets it."""

    # Whether a finished prefill may be taken to another decode worker.
    recovers: bool

    def ask(
        self, vm: int, msg: messages.SlotRequest, reply: Callable[[Reply], None]
    ) -> None:
        """Asks for workers; the reply comes when it comes."""

    def end(self, vm: int, msg: messages.SlotRelease) -> None:
        """Tells that a grant is used up."""


class Call:
    """One request at one entry VM."""

    def __init__(
        self,
        wld: world.World,
        placer: Placer,
        bud: retry_budgets.RetryBudget,
        arrival: workload.Arrival,
        *,
        vm: int,
        over: Callable[['Call', Reply | None], None],
    ) -> None:
        self.arrival = arrival
        self.vm = vm
        self.holder = f'e{vm}'
        # The grant in use, and whether it was given back.
        self.granted: messages.SlotGrant | None = None
        self._world = wld
        self._placer = placer
        self._budget = bud
        self._over = over
        self._began = wld.clock.now
        self._attempt = 0
        self._ended = False
        self._timer: clock.Timer | None = None
        # The prefill of this attempt; its key is also that of the result.
        self._prefill: engines.Prefill | None = None
        self._source = ''
        self._key = ''
        # Times of this attempt.
        self._sent_at = 0.0
        self._decode_at = 0.0
        self._first_at = 0.0
        self._transfer_s = 0.0
        self._avoid = ''
        bud.record_first_attempt(wld.clock.now)
        if arrival.leaves_after:
            wld.clock.after(arrival.leaves_after, self._leave)
        wld.clock.after(
            wld.dep.first_answer_s * _PATIENCE, self._leave_unanswered
        )
        self._try()

    def vanish(self) -> None:
        """The entry VM dies; nobody cleans up after it."""
        self._finish(meter.FAILED, None)

    def _try(self) -> None:
        self._attempt += 1
        self._prefill = None
        self._source = ''
        self._sent_at = 0.0
        self._transfer_s = 0.0
        self._ask()

    def _ask(self) -> None:
        attempt = self._attempt
        self._placer.ask(
            self.vm,
            self._ask_msg(),
            lambda reply: self._answered(attempt, reply),
        )

    def _ask_msg(self) -> messages.SlotRequest:
        arrival = self.arrival
        return messages.SlotRequest(
            service=self._world.dep.model,
            request=arrival.request,
            attempt=self._attempt,
            holder=self.holder,
            prompt_tokens=arrival.prompt,
            output_tokens=self._world.dep.service.expected_tokens,
            prefix_digests=(arrival.prefix,) if arrival.prefix else (),
            waited_ms=round((self._world.clock.now - self._began) * 1000),
            prefilled_at=self._source,
            excluded_worker=self._avoid,
        )

    def _answered(self, attempt: int, reply: Reply) -> None:
        if self._ended or attempt != self._attempt or self.granted:
            if isinstance(reply, messages.SlotGrant) and self._ended:
                self._give_back(reply, 'cancelled')
            return
        if isinstance(reply, messages.Refused):
            self._clean()
            self._drop('refused')
            self._finish(f'refused-{reply.code}', reply)
        elif isinstance(reply, messages.Queued):
            self._later(reply.retry_in_ms / 1000, self._ask)
        else:
            self.granted = reply
            start = self._import if self._source else self._start_prefill
            self._later(reply.start_in_ms / 1000, start)

    def _start_prefill(self) -> None:
        assert self.granted is not None
        attempt = self._attempt
        self._source = self.granted.prefill_worker
        self._key = ledger.grant_name(self.arrival.request, attempt)
        self._world.holders[self._key] = self.vm
        self._prefill = engines.Prefill(
            self._key,
            self.arrival,
            done=lambda: self._prefilled(attempt),
            failed=lambda: self._failed(attempt, 'prefill-failed'),
        )
        self._world.prefills[self._source].start(self._prefill)

    def _prefilled(self, attempt: int) -> None:
        if not self._ended and attempt == self._attempt:
            self._import()

    def _import(self) -> None:
        assert self.granted is not None
        source = self._world.prefills[self._source]
        if not source.lives(self._key):
            self._failed(self._attempt, 'evicted')
            return
        if not self._world.decodes[self.granted.decode_worker].reserve(
            self._key
        ):
            again = self._move if self._placer.recovers else self._import
            self._later(_FULL_AGAIN_S, again)
            return
        source.pin(self._key, True)
        self._sent_at = self._world.clock.now
        attempt = self._attempt
        key = self._key
        source.link.send(
            key, self.arrival.prompt, lambda: self._arrived(attempt)
        )
        normal_s = self.arrival.prompt / workload.LINK_RATE
        self._later(normal_s * _STALL_FACTOR + _STALL_S, self._stalled)

    def _move(self) -> None:
        """The granted worker is full: is a slot free at another?"""
        attempt = self._attempt

        def moved(reply: Reply) -> None:
            if self._ended or attempt != self._attempt:
                return
            if isinstance(reply, messages.SlotGrant):
                self.granted = reply
            self._import()

        self._placer.ask(self.vm, self._ask_msg(), moved)

    def _stalled(self) -> None:
        """The transfer is silent; the prefill's result may still live."""
        assert self.granted is not None
        source = self._world.prefills[self._source]
        source.link.cancel(self._key)
        source.pin(self._key, False)
        self._transfer_s = self._world.clock.now - self._sent_at
        self._world.decodes[self.granted.decode_worker].cancel(self._key)
        if self._placer.recovers and source.lives(self._key):
            self._world.meter.retries += 1
            self._give_back(self.granted, 'transfer-failed')
            self.granted = None
            self._attempt += 1
            self._ask()
        else:
            self._failed(self._attempt, 'transfer-failed')

    def _arrived(self, attempt: int) -> None:
        if self._ended or attempt != self._attempt or self.granted is None:
            return
        self._cancel_timer()
        now = self._world.clock.now
        self._transfer_s = now - self._sent_at
        self._decode_at = now
        self._world.prefills[self._source].cancel(self._key)
        stream = engines.Stream(
            self.arrival.answer,
            first=lambda: self._first(attempt),
            done=lambda: self._done(attempt),
            failed=lambda: self._failed(attempt, 'decode-failed'),
        )
        self._world.decodes[self.granted.decode_worker].start(self._key, stream)

    def _first(self, attempt: int) -> None:
        if not self._ended and attempt == self._attempt:
            self._first_at = self._world.clock.now
            self._drop('used')

    def _done(self, attempt: int) -> None:
        if self._ended or attempt != self._attempt:
            return
        now = self._world.clock.now
        gaps = max(1, self.arrival.answer - 1)
        self._world.meter.answered(
            self.arrival.request,
            self.vm,
            self._first_at - self._began,
            (now - self._first_at) / gaps,
        )
        assert self.granted is not None
        self._give_back(self.granted, 'done')
        self._finish('', None)

    def _failed(self, attempt: int, result: str) -> None:
        """An attempt failed; another follows if the budget allows."""
        if self._ended or attempt != self._attempt:
            return
        now = self._world.clock.now
        granted = self.granted
        self._clean()
        self._drop('failed')
        if granted is not None:
            self._give_back(granted, result)
            blamed = result in ('transfer-failed', 'decode-failed')
            self._avoid = granted.decode_worker if blamed else ''
        self.granted = None
        deadline = self._began + self._world.dep.first_answer_s
        if self._first_at or not self._budget.acquire(now, deadline):
            self._finish(meter.FAILED, None)
            return
        self._world.meter.retries += 1
        self._try()

    def _leave(self) -> None:
        """The caller goes away; whatever is held is cancelled."""
        if self._ended:
            return
        granted = self.granted
        self._clean()
        self._drop('left')
        if granted is not None:
            self._give_back(granted, 'cancelled')
        else:
            name = ledger.grant_name(self.arrival.request, self._attempt)
            self._placer.end(
                self.vm,
                messages.SlotRelease(
                    service=self._world.dep.model,
                    grant=name,
                    result='cancelled',
                ),
            )
        self._finish(meter.LEFT, None)

    def _leave_unanswered(self) -> None:
        if not self._first_at and not self._ended:
            granted = self.granted
            self._clean()
            self._drop('late')
            if granted is not None:
                self._give_back(granted, 'cancelled')
            self._finish(meter.LATE, None)

    def _clean(self) -> None:
        """Cancels at the engines."""
        self._cancel_timer()
        if self._source:
            source = self._world.prefills[self._source]
            source.link.cancel(self._key)
            source.cancel(self._key)
        if self.granted is not None and self._key:
            self._world.decodes[self.granted.decode_worker].cancel(self._key)

    def _drop(self, why: str) -> None:
        """Books the attempt's prefilled tokens under what became of them."""
        if self._prefill is not None:
            self._world.meter.tokens[why] += self._prefill.computed
            self._prefill.computed = 0

    def _give_back(self, granted: messages.SlotGrant, result: str) -> None:
        now = self._world.clock.now
        job = self._prefill
        finished = job is not None and self._sent_at > 0
        self._placer.end(
            self.vm,
            messages.SlotRelease(
                service=self._world.dep.model,
                grant=granted.grant,
                result=result,
                prefill_ms=round(job.took * 1000) if job and finished else 0,
                transfer_ms=round(self._transfer_s * 1000),
                decode_ms=round((now - self._decode_at) * 1000)
                if self._decode_at
                else 0,
                output_tokens=self.arrival.answer if result == 'done' else 0,
                cached_tokens=job.cached if job else 0,
            ),
        )

    def _later(self, delay: float, call: Callable[[], None]) -> None:
        self._cancel_timer()

        def made() -> None:
            if not self._ended:
                call()

        self._timer = self._world.clock.after(delay, made)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _finish(self, result: str, reply: Reply | None) -> None:
        self._ended = True
        self._cancel_timer()
        if result:
            self._world.meter.result(self.arrival.request, self.vm, result)
        self._over(self, reply)


def refused(code: codes.Code, retry_after_ms: int) -> messages.Refused:
    """Returns a refusal without figures."""
    return messages.Refused(
        code=code.name, figures=(), retry_after_ms=retry_after_ms
    )
