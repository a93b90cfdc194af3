"""Takes what backend servers say of themselves in their answers."""

import logging

from foxtaildale import forwarding
from foxtaildale_adapters import logs
from foxtaildaled import sendlimits


class SelfReports:
    """The one way in for it; safe for concurrent use."""

    __slots__ = ('_send_limits',)

    def __init__(self, send_limits: sendlimits.SendLimits) -> None:
        self._send_limits = send_limits

    def hear(self, server: forwarding.Backend, said: forwarding.Said) -> None:
        """Takes what one answer says of the server that gave it."""
        self._send_limits.told(server, said.limit)
        if said.leaving:
            logs.event(
                logging.INFO,
                'leave announced',
                server=server.id,
                born=server.born,
                service=server.service,
                source='answer',
            )
        if said.rest_s is not None:
            logs.event(
                logging.INFO,
                'rest asked',
                server=server.id,
                born=server.born,
                service=server.service,
                rest_s=said.rest_s,
                source='answer',
            )
