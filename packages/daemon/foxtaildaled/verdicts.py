"""State of a router about requests that crash servers.

Part of the router's state and owned by its actor. It holds the reports of
crashes (`crashes`), the quarantined requests (`quarantine`), and which of them
are saved in the store.
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
    """Crash reports and the quarantine that follows from them.

    The methods get the current time as an argument.
    """

    __slots__ = ('_codec', '_saved', '_wall', 'crashes', 'quarantine')

    def __init__(self, codec: ports.RecordCodec, wall: ports.Clock) -> None:
        self._codec = codec
        # Wall clock for the times in records, seconds since the epoch.
        self._wall = wall
        self.crashes = crashes.Crashes()
        self.quarantine = quarantine.Quarantine()
        # Until when requests are quarantined according to the store, seconds
        # since the epoch, by fingerprint.
        self._saved: dict[int, float] = {}

    def judge(self, now: float) -> bool:
        """Quarantines requests that the crash reports blame.

        Returns:
            Whether a request was added.
        """
        if not self.crashes.pending(now):
            return False
        quarantined = self.quarantine.held(now)
        newly_blamed = self.crashes.blamed(now, quarantined)
        held = dict.fromkeys(newly_blamed, quarantine.HELD_S)
        return self.take(now, held, {}, 'reports')

    def take(
        self,
        now: float,
        held: Mapping[int, float],
        cleared: Mapping[int, float],
        source: str,
    ) -> bool:
        """Adds requests to the quarantine; returns whether any is new here."""
        added = self.quarantine.take(now, held, cleared)
        for request in added:
            logs.event(
                logging.WARNING,
                'request held',
                fingerprint=fingerprint.text(request),
                left_s=int(held[request]),
                source=source,
            )
        return bool(added)

    def acquit(self, now: float, request: int) -> None:
        """Clears a request that completed and so crashes no server."""
        self.crashes.acquit(request)
        self.quarantine.clear(now, request)

    def learn(self, entry: mirror.Entry, now: float, source: str) -> bool:
        """Applies a record of the store.

        Returns:
            Whether the record is about a quarantined request.

        Raises:
            errors.DecodeError: The record is about one and can't be decoded.
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
        """Forgets saved records after the store was restored from a copy.

        The copy may lack records that the store had.
        """
        self._saved.clear()

    def unsaved(self, now: float) -> list[tuple[str, bytes]]:
        """Returns the records to add to the store, and those to remove."""
        wall_now = self._wall()
        held = self.quarantine.held(now)
        records = [
            self._codec.encode_held(forwarding.Held(request, wall_now + left_s))
            for request, left_s in held.items()
            if request not in self._saved
        ]
        records += [
            (self._codec.held_key(request), b'')
            for request in self._saved
            if request not in held
        ]
        return records
