"""Claims at an entry: may this request run, and what came of the others.

The keeper of this VM puts a claim into the platform's log and answers when it
has read it back. Another's claim is looked up at the VM that owns it.
"""

from typing import Final

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
# Longest Idempotency-Key, characters.
_KEY_MAX: Final = 200

_REFUSALS: Final = {
    'log-down': codes.LOG_DOWN,
    'other-body': codes.OTHER_BODY,
    'old': codes.KEY_OLD,
}


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
        if len(key) > _KEY_MAX or not key.isprintable():
            return slots.Refusal(codes.KEY_BAD)
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
            # The claim may be in the log under this request. It is never run:
            # nobody but this call could have run it. But another asker of the
            # same key is told of a claim in progress, so this is no "not run"
            # that could be repeated at once.
            return slots.Refusal(codes.CLAIM_LOST, (), _AGAIN_S)
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
        return slots.Refusal(
            _REFUSALS.get(reply.status, codes.LOG_DOWN),
            (),
            reply.retry_after_ms / 1000,
        )

    def _look_up(
        self, name: str, key: str, claim: messages.ClaimReply
    ) -> slots.Refusal:
        msg = messages.AskOutcome(service=name, key=key)
        figures = (values.Figure('first_request', claim.request),)
        try:
            reply = self._peers.ask(claim.owner_address, msg, _OUTCOME_S)
        except errors.PortError:
            return slots.Refusal(codes.UNKNOWN, figures, _AGAIN_S)
        if not isinstance(reply, messages.RunReply):
            return slots.Refusal(codes.UNKNOWN, figures, _AGAIN_S)
        figures += (values.Figure('first_outcome', reply.outcome.code),)
        return slots.Refusal(_seen(reply.outcome), figures, _AGAIN_S)


def _seen(outcome: values.Outcome) -> codes.Code:
    """Returns the code for one who asks for an outcome that another had."""
    if outcome.code == codes.OK.name:
        return codes.DONE_BEFORE
    return codes.ALL.get(outcome.code, codes.UNKNOWN)
