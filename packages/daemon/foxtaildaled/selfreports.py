"""Applies what backend servers report about themselves in their responses.

Responses of every kind are handled here, as soon as their head has arrived: a
server's report applies to the next send, even if the body fails.
"""

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildaled import actors
from foxtaildaled import beliefs
from foxtaildaled import sendlimits


class SelfReports:
    """Handles the self-reports in responses; safe for concurrent use."""

    __slots__ = ('_departures', '_owner', '_send_limits')

    def __init__(
        self,
        owner: actors.Owner[beliefs.Beliefs],
        send_limits: sendlimits.SendLimits,
    ) -> None:
        self._owner = owner
        self._departures = owner.run(lambda state, _: state.fleet.departures)
        self._send_limits = send_limits

    def hear(
        self,
        server: forwarding.Backend,
        response: forwarding.Head | forwarding.Reply,
        *,
        leave: int = 0,
        streams: bool = False,
    ) -> None:
        """Applies the report in one response about the server that sent it.

        Args:
            server: Where the call was sent.
            response: The response to the call.
            leave: What `mark` returned before the call was sent.
            streams: Whether the server is still working on the call.
        """
        is_head = isinstance(response, forwarding.Head)
        # Another server that responds at the same address may not give its id.
        if not response.misdirected or response.server == server.id:
            self._apply_report(
                server, response.report, leave, is_complete=is_head
            )
        load = response.report.load

        def update(state: beliefs.Beliefs, now: float) -> None:
            if response.not_run:
                state.fleet.not_run(
                    server.id, now, misdirected=response.misdirected
                )
            elif load is not None:
                state.fleet.loaded(server.id, now, load, streams=streams)

        if response.not_run or load is not None:
            self._owner.run(update)

    def mark(self, server: forwarding.Backend) -> int:
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
            self._send_limits.told(server, report.limit)
        if report.leaving:
            if not self._departures.leaving(server.id, server.born):
                self._owner.run(
                    lambda state, now: state.announcements.departs(server, now)
                )
        elif (
            is_complete
            and leave_revision % 2
            and leave_revision == self.mark(server)
        ):
            # The call was sent after the announcement arrived, so its response
            # is newer than the announcement.
            self._owner.run(
                lambda state, now: state.announcements.stays(server, now)
            )
        if backoff_s := report.backoff_s:
            self._owner.run(
                lambda state, now: state.announcements.backs_off(
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
            lambda state, now: state.fleet.backoffs.own_s(
                now, server.id, server.born
            )
        )
        if left_s:
            raise errors.UnreachableError(f'backoff for {left_s:.1f} s')
