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

# Longest wait for the log to settle a claim, seconds.
_CLAIM_S: Final = 6.0
# Longest wait for another VM to tell what came of a claim, seconds.
_OUTCOME_S: Final = 1.0
# When to come back to ask again, seconds.
_AGAIN_S: Final = 1.0


class Claiming:
    """Makes claims and ends them."""

    __slots__ = ('_cfg', '_holder', '_peers')

    _cfg: options.Options
    # Incarnation of this entry.
    _holder: str
    _peers: ports.Peers

    def __init__(
        self, cfg: options.Options, holder: str, peers: ports.Peers
    ) -> None:
        self._cfg = cfg
        self._holder = holder
        self._peers = peers

    def claim(
        self, name: str, request: str, key: str, call: str, body: bytes
    ) -> slots.Refusal | None:
        """Claims a key for a request; None means that it may run."""
        if not key:
            return slots.Refusal(codes.KEY_NEEDED)
        msg = messages.AskClaim(
            service=name,
            key=key,
            body=tickets.digest(call, body),
            request=request,
            holder=self._holder,
        )
        try:
            reply = self._peers.ask(self._cfg.keeper, msg, _CLAIM_S)
        except errors.UnreachableError:
            return slots.Refusal(codes.LOG_DOWN, (), _AGAIN_S)
        except errors.PortError:
            # The claim may be in the log under this request, which will never
            # run; but an earlier try of the same key may.
            return slots.Refusal(codes.CLAIM_UNSURE, (), _AGAIN_S)
        return self._judge(name, key, reply)

    def end(self, name: str, key: str, outcome: values.Outcome) -> None:
        """Tells the keeper what came of a claim."""
        msg = messages.EndClaim(service=name, key=key, outcome=outcome)
        try:
            self._peers.ask(self._cfg.keeper, msg, _OUTCOME_S)
        except errors.PortError:
            # Askers are told "outcome unknown", which is true.
            return

    def _judge(
        self, name: str, key: str, reply: messages.Any
    ) -> slots.Refusal | None:
        if not isinstance(reply, messages.ClaimReply):
            return slots.Refusal(codes.LOG_DOWN, (), _AGAIN_S)
        if reply.status == 'won':
            return None
        if reply.status == 'lost':
            return self._look_up(name, key, reply)
        # Nobody says that this is the key's first try, so an earlier one may
        # be running at another VM.
        code = claims.refusal(reply, first_try=False) or codes.CLAIM_UNSURE
        return slots.Refusal(code, (), reply.retry_after_ms / 1000)

    def _look_up(
        self, name: str, key: str, claim: messages.ClaimReply
    ) -> slots.Refusal:
        if claim.outcome is not None:
            return _seen(claim, claim.outcome.code)
        msg = messages.AskOutcome(service=name, key=key)
        try:
            reply = self._peers.ask(claim.owner_address, msg, _OUTCOME_S)
        except errors.RejectedError as exc:
            return _seen(claim, exc.code)
        except errors.PortError:
            return _seen(claim, codes.UNKNOWN.name)
        if not isinstance(reply, messages.RunReply):
            return _seen(claim, codes.UNKNOWN.name)
        return _seen(claim, reply.outcome.code)


def _seen(claim: messages.ClaimReply, found: str) -> slots.Refusal:
    """Returns the answer to one who asks for what another request did."""
    code = codes.ALL.get(found, codes.UNKNOWN)
    if code is codes.OK:
        code = codes.DONE_BEFORE
    figures = (
        values.Figure('first_request', claim.request),
        values.Figure('first_outcome', found),
    )
    return slots.Refusal(code, figures, _AGAIN_S)
