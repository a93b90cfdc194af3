"""Takes what backend servers say of themselves in their answers.

The one way in for answers of every kind, as soon as their head is there: what a
server says holds for the next send, whatever becomes of the body.
"""

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildaled import actors
from foxtaildaled import beliefs
from foxtaildaled import sendlimits


class SelfReports:
    """Safe for concurrent use."""

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
        answer: forwarding.Head | forwarding.Reply,
        *,
        leave: int = 0,
        streams: bool = False,
    ) -> None:
        """Takes what one answer says of the server that gave it.

        Args:
            server: Where the call was sent.
            answer: Its answer.
            leave: What `mark` returned before it was sent.
            streams: Whether the server is still at work on it.
        """
        is_head = isinstance(answer, forwarding.Head)
        # Whoever answers in its place may not name itself.
        if not answer.misdirected or answer.server == server.id:
            self._take(server, answer.report, leave, is_whole=is_head)
        load = answer.report.load

        def turn(state: beliefs.Beliefs, now: float) -> None:
            if answer.not_run:
                state.fleet.not_run(
                    server.id, now, misdirected=answer.misdirected
                )
            elif load is not None:
                state.fleet.loaded(server.id, now, load, streams=streams)

        if answer.not_run or load is not None:
            self._owner.run(turn)

    def mark(self, server: forwarding.Backend) -> int:
        """Returns what is known of a server's leave as something is sent."""
        return self._departures.revision(server.id, server.born)

    def _take(
        self,
        server: forwarding.Backend,
        said: forwarding.SelfReport,
        leave: int,
        *,
        is_whole: bool,
    ) -> None:
        # Only answers to requests are known to name all that holds.
        if is_whole or said.limit is not None:
            self._send_limits.told(server, said.limit)
        if said.leaving:
            if not self._departures.leaving(server.id, server.born):
                self._owner.run(
                    lambda state, now: state.announcements.departs(server, now)
                )
        elif is_whole and leave % 2 and leave == self.mark(server):
            # Sent after the word came, so it is newer than that.
            self._owner.run(
                lambda state, now: state.announcements.stays(server, now)
            )
        if backoff_s := said.backoff_s:
            self._owner.run(
                lambda state, now: state.announcements.backs_off(
                    server, backoff_s, now
                )
            )

    def check_backoff(self, server: forwarding.Backend) -> None:
        """Lets a call that carries no request go out.

        Raises:
            errors.UnreachableError: The server wants nothing from this entry VM.
        """
        left_s = self._owner.run(
            lambda state, now: state.fleet.backoffs.own_s(
                now, server.id, server.born
            )
        )
        if left_s:
            raise errors.UnreachableError(f'backoff for {left_s:.1f} s')
