"""Claims at an entry: may this request run, and what came of the others.

The keeper of this VM puts a claim into the platform's log and answers when it
has read it back. Another's claim is looked up at the VM that owns it.
"""

from typing import Final

from foxtaildale import claims
from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import ports
from foxtaildale import tickets
from foxtaildale import values
from foxtaildaled import slots
from foxtaildaled import visit as visits

# Longest wait for the log to settle a claim, seconds.
_CLAIM_S: Final = 6.0
# Longest wait for another VM to tell what came of a claim, seconds.
_OUTCOME_S: Final = 1.0
# When to come back to ask again, seconds.
_AGAIN_S: Final = 1.0


class Claiming:
    """Makes claims and ends them."""

    __slots__ = ('_cfg', '_holder', '_peers', '_replies')

    _cfg: options.Options
    # Incarnation of this entry.
    _holder: str
    _peers: ports.Peers
    _replies: visits.Replies

    def __init__(
        self,
        cfg: options.Options,
        holder: str,
        peers: ports.Peers,
        replies: visits.Replies,
    ) -> None:
        self._cfg = cfg
        self._replies = replies
        self._holder = holder
        self._peers = peers

    def claim(
        self, visit: visits.Visit, name: str, call: str
    ) -> slots.Refusal | None:
        """Claims a request's key; None means that it may run."""
        if not visit.key:
            return slots.Refusal(codes.KEY_NEEDED)
        msg = messages.AskClaim(
            service=name,
            key=visit.key,
            body=tickets.digest(call, visit.ex.body),
            request=visit.request,
            holder=self._holder,
        )
        try:
            reply = self._peers.ask(self._cfg.keeper, msg, _CLAIM_S)
        except errors.UnreachableError:
            return _down(visit)
        except errors.PortError:
            # The claim may be in the log under this request, which will never
            # run; but an earlier try of the same key may. Were the keeper not
            # told, it would call the key's run in progress for ever.
            self.end(name, visit.key, self._never(visit, name))
            return slots.Refusal(
                claims.covering(codes.LOG_DOWN, visit.alone), (), _AGAIN_S
            )
        return self._judge(visit, name, reply)

    def end(
        self, name: str, key: str, outcome: values.Outcome, answer: bytes = b''
    ) -> None:
        """Tells the keeper what came of a claim."""
        msg = messages.EndClaim(
            service=name, key=key, outcome=outcome, answer=answer
        )
        try:
            self._peers.ask(self._cfg.keeper, msg, _OUTCOME_S)
        except errors.PortError:
            # Askers are told "outcome unknown", which is true.
            return

    def _never(self, visit: visits.Visit, name: str) -> values.Outcome:
        return self._replies.stamp(
            codes.LOG_DOWN, visit.request, name, visit.snapshot
        )

    def _judge(
        self, visit: visits.Visit, name: str, reply: messages.Any
    ) -> slots.Refusal | None:
        if not isinstance(reply, messages.ClaimReply):
            return _down(visit)
        if reply.status == 'won':
            return None
        if reply.status == 'lost':
            return self._look_up(name, visit.key, reply)
        code = claims.refusal(reply, visit.alone) or codes.CLAIM_UNSURE
        return slots.Refusal(code, (), reply.retry_after_ms / 1000)

    def _look_up(
        self, name: str, key: str, claim: messages.ClaimReply
    ) -> slots.Refusal:
        msg = messages.AskOutcome(service=name, key=key)
        known = codes.UNKNOWN.name
        if claim.outcome is not None:
            known = claim.outcome.code
        try:
            reply = self._peers.ask(claim.owner_address, msg, _OUTCOME_S)
        except errors.RejectedError as exc:
            return _seen(claim, exc.code if claim.outcome is None else known)
        except errors.PortError:
            return _seen(claim, known)
        if not isinstance(reply, messages.RunReply):
            return _seen(claim, known)
        return _seen(claim, reply.outcome.code, reply.answer)


def _down(visit: visits.Visit) -> slots.Refusal:
    code = claims.covering(codes.LOG_DOWN, visit.alone)
    return slots.Refusal(code, (), _AGAIN_S)


def _seen(
    claim: messages.ClaimReply, found: str, answer: bytes = b''
) -> slots.Refusal:
    """Returns the answer to one who asks for what another request did."""
    code = codes.ALL.get(found, codes.UNKNOWN)
    if code is codes.OK:
        code = codes.DONE_BEFORE
    figures = (
        values.Figure('first_request', claim.request),
        values.Figure('first_outcome', found),
    )
    return slots.Refusal(code, figures, _AGAIN_S, answer)
