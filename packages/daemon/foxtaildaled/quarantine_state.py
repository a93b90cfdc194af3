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


class QuarantineState:
    """Crash reports and the quarantine that follows from them.

    The methods get the current time as an argument.
    """

    __slots__ = ('_codec', '_stored_until', '_wall', 'crashes', 'quarantine')

    def __init__(self, codec: ports.RecordCodec, wall: ports.Clock) -> None:
        self._codec = codec
        # Wall clock for the times in records, seconds since the epoch.
        self._wall = wall
        self.crashes = crashes.Crashes()
        self.quarantine = quarantine.Quarantine()
        # Until when requests are quarantined according to the store, seconds
        # since the epoch, by fingerprint.
        self._stored_until: dict[int, float] = {}

    def quarantine_blamed(self, now: float) -> bool:
        """Quarantines requests that the crash reports blame.

        Returns:
            Whether a request was added.
        """
        if not self.crashes.has_crashes(now):
            return False
        quarantined = self.quarantine.quarantined(now)
        newly_blamed = self.crashes.newly_blamed(now, quarantined)
        held = dict.fromkeys(newly_blamed, quarantine.QUARANTINE_S)
        return self.merge(now, held, {}, 'reports')

    def merge(
        self,
        now: float,
        held: Mapping[int, float],
        cleared: Mapping[int, float],
        source: str,
    ) -> bool:
        """Adds requests to the quarantine; returns whether any is new here."""
        added = self.quarantine.merge(now, held, cleared)
        for request in added:
            logs.event(
                logging.WARNING,
                'request held',
                fingerprint=fingerprint.to_text(request),
                left_s=int(held[request]),
                source=source,
            )
        return bool(added)

    def clear_request(self, now: float, request: int) -> None:
        """Clears a request that completed and so crashes no server."""
        self.crashes.remove_request(request)
        self.quarantine.clear(now, request)

    def apply_record(
        self, entry: mirror.Entry, now: float, source: str
    ) -> bool:
        """Applies a record of the store.

        Returns:
            Whether the record is about a quarantined request.

        Raises:
            errors.DecodeError: The record is about one and can't be decoded.
        """
        request = self._codec.quarantined_fingerprint(entry.key)
        if request is None:
            return False
        if not entry.value:
            self._stored_until.pop(request, None)
            return True
        until = self._codec.decode_quarantined(entry.value).until
        self._stored_until[request] = until
        left_s = min(quarantine.QUARANTINE_S, until - self._wall())
        self.merge(now, {request: left_s}, {}, source)
        return True

    def forget_stored(self) -> None:
        """Forgets saved records after the store was restored from a copy.

        The copy may lack records that the store had.
        """
        self._stored_until.clear()

    def unsaved_records(self, now: float) -> list[tuple[str, bytes]]:
        """Returns the records to add to the store, and those to remove."""
        wall_now = self._wall()
        held = self.quarantine.quarantined(now)
        records = [
            self._codec.encode_quarantined(
                forwarding.QuarantinedRequest(request, wall_now + left_s)
            )
            for request, left_s in held.items()
            if request not in self._stored_until
        ]
        records += [
            (self._codec.quarantined_key(request), b'')
            for request in self._stored_until
            if request not in held
        ]
        return records
