"""Announcements of backend servers, as one router knows them.

Part of the router's state and owned by its actor. It records which servers are
leaving (`departures`) and which requested a backoff (`backoffs`). The sources
are the servers' responses, the list of servers and other entry VMs.
"""

import logging

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale_adapters import logs


class ServerAnnouncements:
    """Applies announcements to the fleet.

    The methods get the current time as an argument.
    """

    __slots__ = ('_fleet',)

    def __init__(self, servers: fleet.Fleet) -> None:
        self._fleet = servers

    def record_leaving(self, server: forwarding.Backend, now: float) -> None:
        """Records a response which reports that its server is leaving."""
        if self._fleet.departures.record_leaving(now, server.id, server.born):
            self._leave_changed(server.id, 'answer')

    def record_withdrawal(self, server: forwarding.Backend, now: float) -> None:
        """Records a response which no longer reports that its server leaves."""
        if self._fleet.departures.record_withdrawal(
            now, server.id, server.born
        ):
            self._leave_changed(server.id, 'answer')

    def record_backoff(
        self, server: forwarding.Backend, backoff_s: float, now: float
    ) -> None:
        """Records that a server requested a backoff of this entry VM."""
        if self._fleet.backoffs.record(now, server.id, server.born, backoff_s):
            logs.event(
                logging.INFO,
                'backoff asked',
                server=server.id,
                born=server.born,
                service=server.service,
                backoff_s=backoff_s,
            )

    def apply_entry(
        self, server: forwarding.Backend, now: float, source: str
    ) -> None:
        """Applies an entry of the list of servers."""
        departures = self._fleet.departures
        if server.leaving:
            departures.record_leaving(now, server.id, server.born)
        # Other VMs forward only the first of several equal entries, so only
        # entries read from the store are counted.
        elif source == 'store' and departures.count_ready_entry(
            now, server.id, server.born
        ):
            self._leave_changed(server.id, source)

    def merge(
        self, msg: messages.RecordsRequest | messages.RecordsReply, now: float
    ) -> None:
        """Merges the departures and backoffs that another entry VM knows."""
        for server in self._fleet.departures.merge(now, msg.departures):
            self._leave_changed(server, 'peer')
        self._fleet.backoffs.merge(now, msg.backoffs)

    def _leave_changed(self, server: str, source: str) -> None:
        self._fleet.update_departure(server)
        born, revision = self._fleet.departures.state(server)
        logs.event(
            logging.INFO,
            'leave announced' if revision % 2 else 'leave withdrawn',
            server=server,
            born=born,
            revision=revision,
            source=source,
        )
