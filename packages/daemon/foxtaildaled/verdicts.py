"""What a router believes of requests that end servers.

Part of its beliefs, and owned by their actor: the reports of ends (`crashes`), what
is held (`quarantine`), and what of that the store keeps.
"""

from collections.abc import Mapping
import logging

from foxtaildale import crashes
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale import quarantine
from foxtaildale_adapters import logs


class Verdicts:
    """Reports and what followed from them; the time is an argument."""

    __slots__ = ('_codec', '_saved', '_wall', 'crashes', 'quarantine')

    def __init__(self, codec: ports.RecordCodec, wall: ports.Clock) -> None:
        self._codec = codec
        # Seconds since the epoch; records are dated by it.
        self._wall = wall
        self.crashes = crashes.Crashes()
        self.quarantine = quarantine.Quarantine()
        # Until when requests are held, by the store, seconds since the epoch.
        self._saved: dict[int, float] = {}

    def judge(self, now: float) -> bool:
        """Judges the reports; returns whether more is held now."""
        if not self.crashes.pending(now):
            return False
        known = self.quarantine.held(now)
        found = self.crashes.blamed(now, known)
        held = dict.fromkeys(found, quarantine.HELD_S)
        return self.take(now, held, {}, 'reports')

    def take(
        self,
        now: float,
        held: Mapping[int, float],
        cleared: Mapping[int, float],
        source: str,
    ) -> bool:
        """Takes requests to hold back; returns whether any is new here."""
        found = self.quarantine.take(now, held, cleared)
        for request in found:
            logs.event(
                logging.WARNING,
                'request held',
                fingerprint=fingerprint.text(request),
                left_s=int(held[request]),
                source=source,
            )
        return bool(found)

    def acquit(self, now: float, request: int) -> None:
        """Takes a request that ran to its end, and ends no server."""
        self.crashes.acquit(request)
        self.quarantine.clear(now, request)

    def learn(self, entry: mirror.Entry, now: float, source: str) -> bool:
        """Takes a record of the store; returns whether it is on a request.

        Raises:
            errors.DecodeError: It is, and can't be read.
        """
        request = self._codec.held_request(entry.key)
        if request is None:
            return False
        if not entry.value:
            self._saved.pop(request, None)
            return True
        until = self._codec.held(entry.value).until
        self._saved[request] = until
        left_s = min(quarantine.HELD_S, until - self._wall())
        self.take(now, {request: left_s}, {}, source)
        return True

    def store_changed(self) -> None:
        """Takes that the store came back from a copy, and lacks what it had."""
        self._saved.clear()

    def unsaved(self, now: float) -> list[tuple[str, bytes]]:
        """Returns the records that the store lacks, and those to remove."""
        wall = self._wall()
        held = self.quarantine.held(now)
        due = [
            self._codec.encode_held(forwarding.Held(request, wall + left_s))
            for request, left_s in held.items()
            if request not in self._saved
        ]
        due += [
            (self._codec.held_key(request), b'')
            for request in self._saved
            if request not in held
        ]
        return due
