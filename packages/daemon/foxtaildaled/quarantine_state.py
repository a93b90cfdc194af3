"""State of a router about requests that crash servers.

Part of the router's state and owned by its actor. It holds the reports of
crashes (`crashes`), the quarantined requests (`quarantine`), and which of them
are saved in the store.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import logging
import types

from foxtaildale import crashes
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import mirror
from foxtaildale import part_blame
from foxtaildale import part_completions
from foxtaildale import ports
from foxtaildale import quarantine
from foxtaildale_adapters import logs


class QuarantineState:
    """Crash reports and the quarantine that follows from them.

    The methods get the current time as an argument.
    """

    __slots__ = (
        '_cleared_parts',
        '_codec',
        '_stored',
        '_wall',
        'crashes',
        'quarantine',
    )

    def __init__(self, codec: ports.RecordCodec, wall: ports.Clock) -> None:
        self._codec = codec
        # Wall clock for the times in records, seconds since the epoch.
        self._wall = wall
        self.crashes = crashes.Crashes()
        self.quarantine = quarantine.Quarantine()
        # Quarantined requests and sets according to the store, by fingerprint.
        self._stored: dict[int, forwarding.QuarantinedRequest] = {}
        # Until when parts of prompts stay cleared, seconds, by fingerprint.
        self._cleared_parts: dict[int, float] = {}

    def quarantine_blamed(self, now: float) -> bool:
        """Quarantines requests that the crash reports blame.

        Returns:
            Whether a request was added.
        """
        newly_blamed = self.suspected_requests(now)
        held = dict.fromkeys(newly_blamed, quarantine.QUARANTINE_S)
        return self.merge(now, held, {}, 'reports')

    def suspected_requests(self, now: float) -> list[int]:
        """Returns the requests that the crash reports newly blame."""
        if not self.crashes.has_crashes(now):
            return []
        return self.crashes.newly_blamed(
            now,
            self.quarantine.quarantined(now),
            self.quarantine.part_sets(now).values(),
        )

    def suspected_parts(self, now: float) -> part_blame.PartSet | None:
        """Returns parts of prompts that the crash reports suspect, if any."""
        if not self.crashes.has_crashes(now):
            return None
        self._cleared_parts = {
            part: until
            for part, until in self._cleared_parts.items()
            if until > now
        }
        return self.crashes.suspected_parts(
            now,
            self.quarantine.quarantined(now),
            self.quarantine.part_sets(now).values(),
            self._cleared_parts,
        )

    def record_cleared_parts(self, now: float, parts: Iterable[int]) -> None:
        """Records parts of prompts that completed and so crash no server."""
        until = now + part_completions.COMPLETION_TTL_S
        self._cleared_parts.update(dict.fromkeys(parts, until))

    def quarantine_parts(self, now: float, found: part_blame.PartSet) -> bool:
        """Quarantines a set of parts; returns whether that is a change."""
        key = found.fingerprint()
        return self.merge(
            now,
            {key: quarantine.QUARANTINE_S},
            {},
            'reports',
            part_sets={key: found.parts},
        )

    def merge(
        self,
        now: float,
        held: Mapping[int, float],
        cleared: Mapping[int, float],
        source: str,
        *,
        part_sets: Mapping[int, Iterable[int]] = types.MappingProxyType({}),
    ) -> bool:
        """Adds requests to the quarantine.

        Args:
            now: Seconds.
            held: Remaining time in seconds by fingerprint.
            cleared: The same, for requests that can't be quarantined.
            source: Where the report comes from, for the log.
            part_sets: Parts of the sets in `held`, by the set's fingerprint.

        Returns:
            Whether any is new here.
        """
        added = self.quarantine.merge(now, held, cleared, part_sets)
        for request in added:
            logs.event(
                logging.WARNING,
                'request held',
                fingerprint=fingerprint.to_text(request),
                parts=fingerprint.to_texts(part_sets.get(request, ())),
                left_s=int(held[request]),
                source=source,
            )
        return bool(added)

    def part_sets(self, now: float) -> dict[int, tuple[int, ...]]:
        """Returns the parts of quarantined sets, by the set's fingerprint."""
        return {
            key: tuple(sorted(parts))
            for key, parts in self.quarantine.part_sets(now).items()
        }

    def clear_request(self, now: float, request: int) -> None:
        """Clears a request that completed and so crashes no server.

        A set is cleared if each of its parts completed.
        """
        self.record_cleared_parts(now, self.part_sets(now).get(request, ()))
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
            self._stored.pop(request, None)
            return True
        record = self._codec.decode_quarantined(entry.value)
        self._stored[request] = record
        left_s = min(quarantine.QUARANTINE_S, record.until - self._wall())
        part_sets = {request: record.parts}
        self.merge(now, {request: left_s}, {}, source, part_sets=part_sets)
        return True

    def forget_stored(self) -> None:
        """Forgets saved records after the store was restored from a copy.

        The copy may lack records that the store had.
        """
        self._stored.clear()

    def unsaved_records(self, now: float) -> list[tuple[str, bytes]]:
        """Returns the records to add to the store, and those to remove."""
        wall_now = self._wall()
        held = self.quarantine.quarantined(now)
        part_sets = self.part_sets(now)
        records = [
            self._codec.encode_quarantined(
                forwarding.QuarantinedRequest(
                    request,
                    wall_now + left_s,
                    part_sets.get(request, ()),
                )
            )
            for request, left_s in held.items()
            if not self._is_stored(request, part_sets.get(request, ()))
        ]
        records += [
            (self._codec.quarantined_key(request), b'')
            for request in self._stored
            if request not in held
        ]
        return records

    def _is_stored(self, request: int, parts: tuple[int, ...]) -> bool:
        """Whether the store has a record of a request or set.

        A VM of an earlier version saves a set without its parts.
        """
        record = self._stored.get(request)
        return record is not None and (not parts or record.parts == parts)
