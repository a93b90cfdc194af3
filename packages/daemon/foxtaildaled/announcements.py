"""What backend servers announce of themselves, as one router believes it.

Part of its beliefs, and owned by their actor: which servers leave (`leaves`) and which
want a time without requests (`rests`), from their answers, the list and other VMs.
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

    def leaves(self, server: forwarding.Backend, now: float) -> None:
        """Takes an answer that says that its server leaves."""
        if self._fleet.leaves.said(now, server.id, server.born):
            self._leave_changed(server.id, 'answer')

    def stays(self, server: forwarding.Backend, now: float) -> None:
        """Takes an answer that says so no more."""
        if self._fleet.leaves.withdrawn(now, server.id, server.born):
            self._leave_changed(server.id, 'answer')

    def rests(
        self, server: forwarding.Backend, rest_s: float, now: float
    ) -> None:
        """Takes that a server wants nothing from this entry VM for a time."""
        if self._fleet.rests.asked(now, server.id, server.born, rest_s):
            logs.event(
                logging.INFO,
                'rest asked',
                server=server.id,
                born=server.born,
                service=server.service,
                rest_s=rest_s,
            )

    def listed(
        self, server: forwarding.Backend, now: float, source: str
    ) -> None:
        """Takes an entry of the list."""
        leaves = self._fleet.leaves
        if server.leaving:
            leaves.said(now, server.id, server.born)
        # Others pass on the first of several alike only.
        elif source == 'store' and leaves.listed(now, server.id, server.born):
            self._leave_changed(server.id, source)

    def take(
        self, msg: messages.AskRecords | messages.RecordsReply, now: float
    ) -> None:
        """Takes what another entry VM knows."""
        for server in self._fleet.leaves.take(now, msg.leaves):
            self._leave_changed(server, 'peer')
        self._fleet.rests.take(now, msg.rests)

    def _leave_changed(self, server: str, source: str) -> None:
        self._fleet.left(server)
        born, revision = self._fleet.leaves.words()[server]
        logs.event(
            logging.INFO,
            'leave announced' if revision % 2 else 'leave withdrawn',
            server=server,
            born=born,
            revision=revision,
            source=source,
        )
