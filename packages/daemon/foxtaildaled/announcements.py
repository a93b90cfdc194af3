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


class Announcements:
    """Applies announcements to the fleet.

    The methods get the current time as an argument.
    """

    __slots__ = ('_fleet',)

    def __init__(self, servers: fleet.Fleet) -> None:
        self._fleet = servers

    def departs(self, server: forwarding.Backend, now: float) -> None:
        """Records a response which reports that its server is leaving."""
        if self._fleet.departures.said(now, server.id, server.born):
            self._leave_changed(server.id, 'answer')

    def stays(self, server: forwarding.Backend, now: float) -> None:
        """Records a response which no longer reports that its server leaves."""
        if self._fleet.departures.withdrawn(now, server.id, server.born):
            self._leave_changed(server.id, 'answer')

    def backs_off(
        self, server: forwarding.Backend, backoff_s: float, now: float
    ) -> None:
        """Records that a server requested a backoff of this entry VM."""
        if self._fleet.backoffs.asked(now, server.id, server.born, backoff_s):
            logs.event(
                logging.INFO,
                'backoff asked',
                server=server.id,
                born=server.born,
                service=server.service,
                backoff_s=backoff_s,
            )

    def listed(
        self, server: forwarding.Backend, now: float, source: str
    ) -> None:
        """Applies an entry of the list of servers."""
        departures = self._fleet.departures
        if server.leaving:
            departures.said(now, server.id, server.born)
        # Other VMs forward only the first of several equal entries, so only
        # entries read from the store are counted.
        elif source == 'store' and departures.listed(
            now, server.id, server.born
        ):
            self._leave_changed(server.id, source)

    def take(
        self, msg: messages.AskRecords | messages.RecordsReply, now: float
    ) -> None:
        """Merges the departures and backoffs that another entry VM knows."""
        for server in self._fleet.departures.take(now, msg.departures):
            self._leave_changed(server, 'peer')
        self._fleet.backoffs.take(now, msg.backoffs)

    def _leave_changed(self, server: str, source: str) -> None:
        self._fleet.left(server)
        born, revision = self._fleet.departures.word(server)
        logs.event(
            logging.INFO,
            'leave announced' if revision % 2 else 'leave withdrawn',
            server=server,
            born=born,
            revision=revision,
            source=source,
        )
