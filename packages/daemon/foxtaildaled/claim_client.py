"""Claims at an entry: whether a request may run, and outcomes of earlier ones.

The keeper of this VM appends a claim to the platform's log and replies when it
has read the claim back. The outcome of another request's claim is requested
from the VM that owns the claim.
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
from foxtaildaled import request_context
from foxtaildaled import slot_acquisition

# Timeout for the decision of a claim by the log, seconds.
_CLAIM_TIMEOUT_S: Final = 6.0
# Timeout of a message about the outcome of a claim, seconds.
_OUTCOME_TIMEOUT_S: Final = 1.0
# Delay before a retry, seconds.
_RETRY_AFTER_S: Final = 1.0


class ClaimClient:
    """Makes claims and reports their outcomes."""

    __slots__ = ('_cfg', '_holder', '_peers', '_replies')

    _cfg: options.Options
    # Incarnation of this entry process.
    _holder: str
    _peers: ports.Peers
    _replies: request_context.Replies

    def __init__(
        self,
        cfg: options.Options,
        holder: str,
        peers: ports.Peers,
        replies: request_context.Replies,
    ) -> None:
        self._cfg = cfg
        self._replies = replies
        self._holder = holder
        self._peers = peers

    def claim(
        self, context: request_context.RequestContext, name: str, call: str
    ) -> slot_acquisition.FinalResult | None:
        """Claims a request's key; returns None if the request may run."""
        if not context.key:
            return slot_acquisition.FinalResult(codes.KEY_NEEDED)
        msg = messages.ClaimRequest(
            service=name,
            key=context.key,
            body_digest=tickets.digest(call, context.exchange.body),
            request=context.request,
            holder=self._holder,
        )
        try:
            reply = self._peers.request(self._cfg.keeper, msg, _CLAIM_TIMEOUT_S)
        except errors.UnreachableError:
            return _log_unavailable(context)
        except errors.PortError:
            # The log may contain the claim of this request, which never runs;
            # an earlier attempt with the same key may run. Without this report
            # the keeper would treat the key as in progress forever.
            self.report_outcome(
                name, context.key, self._not_run_outcome(context, name)
            )
            return slot_acquisition.FinalResult(
                claims.refusal_code(codes.LOG_DOWN, context.is_first_attempt),
                (),
                _RETRY_AFTER_S,
            )
        return self._handle_reply(context, name, reply)

    def report_outcome(
        self, name: str, key: str, outcome: values.Outcome, answer: bytes = b''
    ) -> None:
        """Reports the outcome of a claim to the keeper."""
        msg = messages.ClaimReport(
            service=name, key=key, outcome=outcome, response=answer
        )
        try:
            self._peers.request(self._cfg.keeper, msg, _OUTCOME_TIMEOUT_S)
        except errors.PortError:
            # The keeper replies "outcome unknown" to later requests, which is
            # correct.
            return

    def _not_run_outcome(
        self, context: request_context.RequestContext, name: str
    ) -> values.Outcome:
        return self._replies.make_outcome(
            codes.LOG_DOWN, context.request, name, context.snapshot
        )

    def _handle_reply(
        self,
        context: request_context.RequestContext,
        name: str,
        reply: messages.Message,
    ) -> slot_acquisition.FinalResult | None:
        if not isinstance(reply, messages.ClaimReply):
            return _log_unavailable(context)
        if reply.status == 'won':
            return None
        if reply.status == 'lost':
            return self._request_outcome(name, context.key, reply)
        code = (
            claims.refusal_of_reply(reply, context.is_first_attempt)
            or codes.CLAIM_UNSURE
        )
        return slot_acquisition.FinalResult(
            code, (), reply.retry_after_ms / 1000
        )

    def _request_outcome(
        self, name: str, key: str, claim: messages.ClaimReply
    ) -> slot_acquisition.FinalResult:
        msg = messages.OutcomeRequest(service=name, key=key)
        known_code = codes.UNKNOWN.name
        if claim.outcome is not None:
            known_code = claim.outcome.code
        try:
            reply = self._peers.request(
                claim.owner_address, msg, _OUTCOME_TIMEOUT_S
            )
        except errors.RejectedError as exc:
            return _earlier_result(
                claim, exc.code if claim.outcome is None else known_code
            )
        except errors.PortError:
            return _earlier_result(claim, known_code)
        if not isinstance(reply, messages.RunReply):
            return _earlier_result(claim, known_code)
        return _earlier_result(claim, reply.outcome.code, reply.response)


def _log_unavailable(
    context: request_context.RequestContext,
) -> slot_acquisition.FinalResult:
    code = claims.refusal_code(codes.LOG_DOWN, context.is_first_attempt)
    return slot_acquisition.FinalResult(code, (), _RETRY_AFTER_S)


def _earlier_result(
    claim: messages.ClaimReply, code_name: str, answer: bytes = b''
) -> slot_acquisition.FinalResult:
    """Returns the result for a request whose key another request claimed."""
    code = codes.ALL.get(code_name, codes.UNKNOWN)
    if code is codes.OK:
        code = codes.DONE_BEFORE
    figures = (
        values.Figure('first_request', claim.request),
        values.Figure('first_outcome', code_name),
    )
    return slot_acquisition.FinalResult(code, figures, _RETRY_AFTER_S, answer)
