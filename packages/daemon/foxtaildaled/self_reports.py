"""Applies what backend servers report about themselves in their responses.

Responses of every kind are handled here, as soon as their head has arrived: a
server's report applies to the next send, even if the body fails.
"""

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildaled import actors
from foxtaildaled import router_state
from foxtaildaled import sendlimits


class SelfReportHandler:
    """Handles the self-reports in responses; safe for concurrent use."""

    __slots__ = ('_departures', '_owner', '_send_limits')

    def __init__(
        self,
        owner: actors.StateOwner[router_state.RouterState],
        send_limits: sendlimits.SendLimits,
    ) -> None:
        self._owner = owner
        self._departures = owner.run(lambda state, _: state.fleet.departures)
        self._send_limits = send_limits

    def apply_response(
        self,
        server: forwarding.Backend,
        response: forwarding.ResponseHead | forwarding.ControlResponse,
        *,
        leave_revision: int = 0,
        is_streaming: bool = False,
    ) -> None:
        """Applies the report in one response about the server that sent it.

        Args:
            server: Where the call was sent.
            response: The response to the call.
            leave_revision: What `leave_revision` returned before the call was
                sent.
            is_streaming: Whether the server is still working on the call.
        """
        is_head = isinstance(response, forwarding.ResponseHead)
        # Another server that responds at the same address may not give its id.
        if not response.misdirected or response.server == server.id:
            self._apply_report(
                server, response.report, leave_revision, is_complete=is_head
            )
        load = response.report.load

        def update(state: router_state.RouterState, now: float) -> None:
            if response.not_run:
                state.fleet.record_not_run(
                    server.id, now, misdirected=response.misdirected
                )
            elif load is not None:
                state.fleet.record_load(
                    server.id, now, load, streaming=is_streaming
                )

        if response.not_run or load is not None:
            self._owner.run(update)

    def leave_revision(self, server: forwarding.Backend) -> int:
        """Returns the revision of a server's leave state before a send."""
        return self._departures.revision(server.id, server.born)

    def _apply_report(
        self,
        server: forwarding.Backend,
        report: forwarding.SelfReport,
        leave_revision: int,
        *,
        is_complete: bool,
    ) -> None:
        # Only responses to requests are known to contain the complete report.
        if is_complete or report.limit is not None:
            self._send_limits.record_limit(server, report.limit)
        if report.leaving:
            if not self._departures.is_leaving(server.id, server.born):
                self._owner.run(
                    lambda state, now: state.announcements.record_leaving(
                        server, now
                    )
                )
        elif (
            is_complete
            and leave_revision % 2
            and leave_revision == self.leave_revision(server)
        ):
            # The call was sent after the announcement arrived, so its response
            # is newer than the announcement.
            self._owner.run(
                lambda state, now: state.announcements.record_withdrawal(
                    server, now
                )
            )
        if backoff_s := report.backoff_s:
            self._owner.run(
                lambda state, now: state.announcements.record_backoff(
                    server, backoff_s, now
                )
            )

    def check_backoff(self, server: forwarding.Backend) -> None:
        """Checks whether a call that carries no request may be sent.

        Raises:
            errors.UnreachableError: The server has requested a backoff of this
                entry VM.
        """
        left_s = self._owner.run(
            lambda state, now: state.fleet.backoffs.local_s(
                now, server.id, server.born
            )
        )
        if left_s:
            raise errors.UnreachableError(f'backoff for {left_s:.1f} s')
