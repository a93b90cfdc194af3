"""Reports where streams began to other entry VMs, and saves it in the store.

A caller resumes a stream when the entry VM that served it may have ended, so
each origin is reported to another VM. While a service has servers of several
software versions, two VMs get each report at once, and the first of them saves
it in the store. A VM that knows no other VM saves its origins itself, at once.
"""

import collections
from collections.abc import Callable
import logging
import threading
import time
from typing import Final

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import stream_origins
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import coordinator_client
from foxtaildaled import origin_store
from foxtaildaled import router_state

# Number of groups of streams; each group has its own coordinator, so that the
# reports of a large deployment go to many VMs.
GROUPS: Final = 16
# Number of VMs that get the report of a stream of a service with several
# versions.
COPIES: Final = 2
# Longest wait for the replies to a report, seconds.
REPLY_TIMEOUT_S: Final = 0.25
# Interval of the checks for a second version, and of the reports of services
# with one version, seconds. A message costs more than all else of a report.
REPORT_INTERVAL_S: Final = 0.25
SHARE_INTERVAL_S: Final = 1.0
# Interval of the batches in the store, seconds.
SAVE_INTERVAL_S: Final = 0.5
# Minimum interval of the batches of a VM that knows no other VM, seconds. It is
# shorter than the longest wait of a first event for its batch.
MIN_SAVE_INTERVAL_S: Final = 0.04
# Maximum number of origins that wait for a report, and of those in a batch.
_MAX_PENDING: Final = 4096
_MAX_BATCH: Final = 2048

# When a stream began, seconds, and its origin.
_Began = tuple[float, messages.StreamOrigin]


def subject(stream: int) -> str:
    """Returns the name by which the coordinators of a stream are chosen."""
    return f'origins/{stream % GROUPS}'


class OriginReports:
    """The origins known to this entry VM; safe for concurrent use."""

    __slots__ = (
        '_awaited',
        '_clock',
        '_coordinators',
        '_entry_vm',
        '_lock',
        '_origins',
        '_owner',
        '_peers',
        '_pending',
        '_save_now_at',
        '_share_at',
        '_store',
        '_unsaved',
        '_unshared',
        'on_report',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        owner: actors.StateOwner[router_state.RouterState],
        coordinators: coordinator_client.CoordinatorClient,
        peers: ports.PeerGroup,
        store: origin_store.OriginStore,
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._owner = owner
        self._coordinators = coordinators
        self._peers = peers
        self._store = store
        self._clock = clock
        # Guards the fields below.
        self._lock = threading.Lock()
        self._origins = stream_origins.StreamOrigins()
        # Own origins that are not reported yet.
        self._pending: list[_Began] = []
        # When origins of services with one version are reported next, seconds.
        self._share_at = 0.0
        # When origins that no other VM gets are saved next, seconds.
        self._save_now_at = 0.0
        # Set as soon as an own origin is reported, by stream.
        self._awaited: dict[int, threading.Event] = {}
        # Own origins of services that had one version, reported to one VM; by
        # service, the oldest first.
        self._unshared: dict[str, collections.deque[_Began]] = {}
        # Origins that this VM has to save.
        self._unsaved: list[_Began] = []
        # Wakes the loop that sends reports.
        self.on_report: Callable[[], None] = _no_op

    def __len__(self) -> int:
        with self._lock:
            return len(self._origins)

    def record(
        self, origin: messages.StreamOrigin, wait_s: float = 0.0
    ) -> None:
        """Records where a stream begins.

        Args:
            origin: The origin.
            wait_s: Maximum time to wait until another VM has the report,
                seconds.
        """
        now = self._clock()
        reported = threading.Event()
        with self._lock:
            self._origins.record(now, origin)
            is_full = len(self._pending) >= _MAX_PENDING
            if not is_full:
                self._pending.append((now, origin))
                if wait_s:
                    self._awaited[origin.stream] = reported
        if is_full:
            _log_unreported(1, 0, 0)
            return
        if wait_s:
            self.on_report()
            reported.wait(wait_s)

    def find(self, stream: int) -> messages.StreamOrigin | None:
        """Returns the origin of a stream if this VM knows it."""
        with self._lock:
            return self._origins.find(self._clock(), stream)

    def apply_report(self, msg: messages.OriginReport) -> messages.Pong:
        """Handles a report of another VM."""
        now = self._clock()
        with self._lock:
            for origin in msg.origins:
                self._origins.record(now, origin)
        if msg.save:
            self._save_later(
                [(now - item.age_ms / 1000, item) for item in msg.origins]
            )
        return messages.Pong()

    def send(self) -> None:
        """Reports the origins that are not reported yet; run by a loop."""
        with self._lock:
            pending, self._pending = self._pending, []
            unshared = set(self._unshared)
        services = {origin.service for _, origin in pending} | unshared
        if not services:
            return
        mixed = self._owner.run(
            lambda state, now: {
                service
                for service in services
                if len(state.fleet.versions(service, now)) > 1
            }
        )
        if mixed & unshared:
            # A second version has come: what was reported to one VM only is
            # reported to more, and saved.
            pending = self._take_unshared(mixed) + pending
        pending = self._hold_back(pending, mixed)
        groups: dict[tuple[int, bool], list[_Began]] = {}
        for began_at, origin in pending:
            key = (origin.stream % GROUPS, origin.service in mixed)
            groups.setdefault(key, []).append((began_at, origin))
        unreported: list[_Began] = []
        for (_, is_mixed), group in groups.items():
            knows_others = self._report(group, is_mixed=is_mixed)
            if is_mixed and not knows_others:
                unreported += group
        if unreported:
            self._save_now(unreported)

    def _hold_back(
        self, pending: list[_Began], mixed: set[str]
    ) -> list[_Began]:
        """Returns what is reported now; the rest waits for the next batch."""
        now = self._clock()
        if now >= self._share_at:
            self._share_at = now + SHARE_INTERVAL_S
            return pending
        held = [item for item in pending if item[1].service not in mixed]
        with self._lock:
            self._pending[:0] = held
        return [item for item in pending if item[1].service in mixed]

    def save(self) -> None:
        """Saves origins in the store; run by a loop."""
        with self._lock:
            batch = self._unsaved[:_MAX_BATCH]
            del self._unsaved[:_MAX_BATCH]
        if batch and not self._store.save(
            self._entry_vm, _with_ages(batch, self._clock())
        ):
            self._save_later(batch)

    def _save_now(self, group: list[_Began]) -> None:
        """Saves origins that no other VM has; their first events wait."""
        time.sleep(max(0.0, self._save_now_at - self._clock()))
        self._save_now_at = self._clock() + MIN_SAVE_INTERVAL_S
        origins = _with_ages(group, self._clock())
        if not self._store.save(self._entry_vm, origins):
            self._save_later(group)
        self._end_waits(group)

    def _report(self, group: list[_Began], *, is_mixed: bool) -> bool:
        """Reports the origins of one group of streams.

        Returns:
            Whether any other VM is known.
        """
        addresses = self._coordinators.successor_addresses(
            subject(group[0][1].stream), COPIES if is_mixed else 1
        )
        if not addresses:
            if is_mixed:
                _log_unreported(len(group), 0, 0)
            else:
                self._keep_unshared(group)
                self._end_waits(group)
            return False
        origins = _with_ages(group, self._clock())
        replied: set[str] = set()
        alive: set[str] = set()
        for number, address in enumerate(addresses):
            msg = messages.OriginReport(
                origins=origins, save=is_mixed and not number
            )
            try:
                self._peers.request(address, msg, REPLY_TIMEOUT_S)
            except errors.RejectedError:
                # It is being stopped, or of a build without origins.
                alive.add(address)
            except errors.PortError:
                continue
            else:
                replied.add(address)
                self._end_waits(group)
        self._end_waits(group)
        self._coordinators.record_replies(addresses, replied | alive)
        if not is_mixed:
            self._keep_unshared(group)
        elif addresses[0] not in replied:
            self._save_later(group)
        if len(replied) < len(addresses):
            _log_unreported(len(group), len(addresses), len(replied))
        return True

    def _end_waits(self, group: list[_Began]) -> None:
        with self._lock:
            for _, origin in group:
                reported = self._awaited.pop(origin.stream, None)
                if reported is not None:
                    reported.set()

    def _keep_unshared(self, group: list[_Began]) -> None:
        oldest = self._clock() - stream_origins.ORIGIN_TTL_S
        with self._lock:
            for began_at, origin in group:
                kept = self._unshared.setdefault(
                    origin.service,
                    collections.deque(maxlen=stream_origins.MAX_ORIGINS),
                )
                kept.append((began_at, origin))
                while kept[0][0] < oldest:
                    kept.popleft()

    def _take_unshared(self, services: set[str]) -> list[_Began]:
        oldest = self._clock() - stream_origins.ORIGIN_TTL_S
        with self._lock:
            taken = [
                item
                for service in services
                for item in self._unshared.pop(service, ())
            ]
        return [item for item in taken if item[0] >= oldest]

    def _save_later(self, group: list[_Began]) -> None:
        with self._lock:
            self._unsaved.extend(group)
            del self._unsaved[: -stream_origins.MAX_ORIGINS]


def _with_ages(
    group: list[_Began], now: float
) -> tuple[messages.StreamOrigin, ...]:
    return tuple(
        stream_origins.with_age(origin, now - began_at)
        for began_at, origin in group
    )


def _log_unreported(count: int, asked: int, replied: int) -> None:
    logs.event(
        logging.INFO,
        'origins not reported',
        count=count,
        asked=asked,
        replied=replied,
    )


def _no_op() -> None:
    """Default callback that does nothing."""
