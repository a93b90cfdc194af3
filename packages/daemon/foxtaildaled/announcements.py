"""What backend servers announce of themselves, as one router believes it.

Part of its beliefs, and owned by their actor: which servers leave (`departures`) and which
asked for backoff (`backoffs`), from their answers, the list and other VMs.
"""

import logging

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale_adapters import logs


class Announcements:
    """Changes the fleet by them; the time is an argument."""

    __slots__ = ('_fleet',)

    def __init__(self, found: fleet.Fleet) -> None:
        self._fleet = found

    def departs(self, server: forwarding.Backend, now: float) -> None:
        """Takes an answer that says that its server leaves."""
        if self._fleet.departures.said(now, server.id, server.born):
            self._leave_changed(server.id, 'answer')

    def stays(self, server: forwarding.Backend, now: float) -> None:
        """Takes an answer that says so no more."""
        if self._fleet.departures.withdrawn(now, server.id, server.born):
            self._leave_changed(server.id, 'answer')

    def backs_off(
        self, server: forwarding.Backend, backoff_s: float, now: float
    ) -> None:
        """Takes that a server wants nothing from this entry VM for a time."""
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
        """Takes an entry of the list."""
        departures = self._fleet.departures
        if server.leaving:
            departures.said(now, server.id, server.born)
        # Others pass on the first of several alike only.
        elif source == 'store' and departures.listed(
            now, server.id, server.born
        ):
            self._leave_changed(server.id, source)

    def take(
        self, msg: messages.AskRecords | messages.RecordsReply, now: float
    ) -> None:
        """Takes what another entry VM knows."""
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
