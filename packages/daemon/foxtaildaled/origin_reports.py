"""Reports where streams began to other entry VMs, and saves it in the store.

A caller resumes a stream when the entry VM that served it may have ended, so
each origin is reported to another VM. While a service has servers of several
software versions, two VMs get each report at once, and the first of them saves
it in the store. A VM that knows no other VM saves its origins itself, at once.

The first event of a stream that is not of the default version of its service
waits until the origin is saved (`default_versions`). In a small deployment each
VM saves such origins itself; in a larger one, where the VMs together would write
too often, the first VM that gets the report saves them and confirms it. While
origins are not saved in time, new streams begin at the default version
(`origin_finder`).
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import logging
import threading
import time
from typing import Final
from typing import Literal

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import stream_origins
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import background_queue
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
# Minimum interval of the batches for which first events wait, seconds. It is
# shorter than the longest wait of a first event for its batch.
MIN_SAVE_INTERVAL_S: Final = 0.04
# Maximum number of entry VMs that save origins themselves; more would write too
# often.
MAX_SAVING_VMS: Final = 16
# Longest wait for the reply to a confirmation, seconds, and maximum number of
# confirmations that are queued.
CONFIRM_TIMEOUT_S: Final = 0.1
MAX_CONFIRMATIONS: Final = 256
# Time after a save that failed or was late in which the next ones are expected to
# fail or to be late, seconds. A failed save is repeated within a shorter time.
SAVE_FAULT_S: Final = 2.0
# Maximum number of origins that wait for a report, and of those in a batch.
_MAX_PENDING: Final = 4096
_MAX_BATCH: Final = 2048

# When a stream began, seconds, and its origin.
_Began = tuple[float, messages.StreamOrigin]
# A stream that began, and whether its first event waits until it is saved: by
# this VM, by the one that gets the report, or not at all.
_Saver = Literal['', 'self', 'receiver']
_Pending = tuple[float, messages.StreamOrigin, _Saver]
# Peer address of a VM, and keys of streams that are saved for it.
_Confirmation = tuple[str, tuple[int, ...]]


def subject(stream: int) -> str:
    """Returns the name by which the coordinators of a stream are chosen."""
    return f'origins/{stream % GROUPS}'


class OriginReports:
    """The origins known to this entry VM; safe for concurrent use."""

    __slots__ = (
        '_awaited',
        '_clock',
        '_confirmations',
        '_coordinators',
        '_entry_vm',
        '_lock',
        '_origins',
        '_owner',
        '_peer_address',
        '_peers',
        '_pending',
        '_requested_by',
        '_save_now_at',
        '_saves_fail_until',
        '_saves_late_until',
        '_share_at',
        '_store',
        '_unsaved',
        '_unshared',
        'on_report',
        'on_save',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        peer_address: str,
        owner: actors.StateOwner[router_state.RouterState],
        coordinators: coordinator_client.CoordinatorClient,
        peers: ports.PeerGroup,
        store: origin_store.OriginStore,
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._peer_address = peer_address
        self._owner = owner
        self._coordinators = coordinators
        self._peers = peers
        self._store = store
        self._clock = clock
        # Guards the fields below.
        self._lock = threading.Lock()
        self._origins = stream_origins.StreamOrigins()
        # Own origins that are not reported yet.
        self._pending: list[_Pending] = []
        # When origins of services with one version are reported next, seconds.
        self._share_at = 0.0
        # When origins that no other VM gets are saved next, seconds.
        self._save_now_at = 0.0
        # Until when saves are expected to fail, and to be late, seconds.
        self._saves_fail_until = 0.0
        self._saves_late_until = 0.0
        # Set as soon as an own origin is reported, or saved if that is what its
        # first event waits for; by stream.
        self._awaited: dict[int, threading.Event] = {}
        # Peer address of the VM that waits until an origin is saved, by stream.
        self._requested_by: dict[int, str] = {}
        # Own origins of services that had one version, reported to one VM; by
        # service, the oldest first.
        self._unshared: dict[str, collections.deque[_Began]] = {}
        # Origins that this VM has to save.
        self._unsaved: list[_Began] = []
        # Wakes the loop that sends reports, and the one that saves.
        self.on_report: Callable[[], None] = _no_op
        self.on_save: Callable[[], None] = _no_op
        self._confirmations: background_queue.BackgroundQueue[_Confirmation] = (
            background_queue.BackgroundQueue(
                'origins saved', MAX_CONFIRMATIONS, self._send_confirmation
            )
        )

    def __len__(self) -> int:
        with self._lock:
            return len(self._origins)

    def record(
        self,
        origin: messages.StreamOrigin,
        wait_s: float = 0.0,
        *,
        must_save: bool = False,
        late_wait_s: float = 0.0,
    ) -> bool:
        """Records where a stream begins.

        Args:
            origin: The origin.
            wait_s: Maximum time to wait until another VM has the report, or
                until the origin is saved, seconds.
            must_save: Whether it must be saved, as the stream is not of the
                default version.
            late_wait_s: Further time to wait for a save that is late, seconds.

        Returns:
            Whether what was waited for came.
        """
        now = self._clock()
        saver: _Saver = ''
        if must_save:
            saver = 'self' if self._saves_itself() else 'receiver'
        done = threading.Event()
        with self._lock:
            self._origins.record(now, origin)
            is_full = len(self._pending) >= _MAX_PENDING
            if not is_full:
                self._pending.append((now, origin, saver))
            if wait_s:
                self._awaited[origin.stream] = done
        if is_full:
            _log_unreported(1, 0, 0)
        if must_save and (is_full or saver == 'self'):
            self._save_later([(now, origin)])
            self.on_save()
        if not wait_s:
            return True
        self.on_report()
        if done.wait(wait_s):
            return True
        if must_save:
            with self._lock:
                self._saves_late_until = self._clock() + SAVE_FAULT_S
        if saver == 'receiver':
            # Its confirmation, or the receiver itself, may be lost.
            self._save_later([(now, origin)])
            self.on_save()
        is_saved = done.wait(late_wait_s)
        with self._lock:
            self._awaited.pop(origin.stream, None)
        if must_save and not is_saved:
            logs.event(
                logging.WARNING,
                'origin not saved in time',
                stream=origin.stream,
                service=origin.service,
                software=origin.version,
                held=late_wait_s > 0,
            )
        return is_saved

    def saves_in_time(self) -> bool:
        """Whether the origin of a new stream will probably be saved in time."""
        with self._lock:
            return self._clock() >= self._saves_late_until

    def saves_fail(self) -> bool:
        """Whether the origin of a new stream will probably not be saved."""
        with self._lock:
            return self._clock() < self._saves_fail_until

    def start(self) -> None:
        """Starts the thread that sends confirmations."""
        self._confirmations.start()

    def close(self, timeout_s: float) -> int:
        """Sends the queued confirmations; returns how many were dropped.

        Args:
            timeout_s: Time for that, seconds.
        """
        return self._confirmations.close(timeout_s)

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
            if msg.reply_to:
                with self._lock:
                    if len(self._requested_by) > stream_origins.MAX_ORIGINS:
                        self._requested_by.clear()
                    for item in msg.origins:
                        self._requested_by[item.stream] = msg.reply_to
            self._save_later(
                [(now - item.age_ms / 1000, item) for item in msg.origins]
            )
            if msg.reply_to:
                self.on_save()
        return messages.Pong()

    def apply_confirmation(self, msg: messages.OriginsSaved) -> messages.Pong:
        """Handles the confirmation that origins of this VM are saved."""
        self._end_waits(msg.streams)
        return messages.Pong()

    def send(self) -> None:
        """Reports the origins that are not reported yet; run by a loop."""
        with self._lock:
            pending, self._pending = self._pending, []
            unshared = set(self._unshared)
        services = {origin.service for _, origin, _ in pending} | unshared
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
            no_saver: _Saver = ''
            pending = [
                (began_at, origin, no_saver)
                for began_at, origin in self._take_unshared(mixed)
            ] + pending
        pending = self._hold_back(pending, mixed)
        groups: dict[tuple[int, bool, _Saver], list[_Began]] = {}
        # First events wait for the first ones.
        for began_at, origin, saver in sorted(
            pending, key=lambda item: item[2] != 'receiver'
        ):
            is_urgent = bool(saver) or origin.service in mixed
            key = (origin.stream % GROUPS, is_urgent, saver)
            groups.setdefault(key, []).append((began_at, origin))
        unreported: list[_Began] = []
        for (_, is_urgent, saver), group in groups.items():
            knows_others = self._report(
                group,
                is_urgent=is_urgent,
                save=is_urgent and saver != 'self',
                must_save=bool(saver),
            )
            if is_urgent and not knows_others and saver != 'self':
                unreported += group
        if unreported:
            self._save_now(unreported)

    def _saves_itself(self) -> bool:
        """Whether each VM saves the origins that its first events wait for."""
        return (
            self._owner.run(lambda state, _: len(state.entry_vms))
            <= MAX_SAVING_VMS
        )

    def _hold_back(
        self, pending: list[_Pending], mixed: set[str]
    ) -> list[_Pending]:
        """Returns what is reported now; the rest waits for the next batch."""
        now = self._clock()
        if now >= self._share_at:
            self._share_at = now + SHARE_INTERVAL_S
            return pending
        held = [
            item
            for item in pending
            if not item[2] and item[1].service not in mixed
        ]
        with self._lock:
            self._pending[:0] = held
        return [item for item in pending if item[2] or item[1].service in mixed]

    def save(self) -> None:
        """Saves origins in the store; run by a loop."""
        with self._lock:
            if not self._unsaved:
                return
        time.sleep(max(0.0, self._save_now_at - self._clock()))
        with self._lock:
            batch = self._unsaved[:_MAX_BATCH]
            del self._unsaved[:_MAX_BATCH]
            has_more = bool(self._unsaved)
        self._save(batch)
        if has_more:
            self.on_save()

    def _save_now(self, group: list[_Began]) -> None:
        """Saves origins that no other VM has; their first events wait."""
        time.sleep(max(0.0, self._save_now_at - self._clock()))
        self._save(group)

    def _save(self, batch: list[_Began]) -> None:
        self._save_now_at = self._clock() + MIN_SAVE_INTERVAL_S
        origins = _with_ages(batch, self._clock())
        if not self._store.save(self._entry_vm, origins):
            with self._lock:
                self._saves_fail_until = self._clock() + SAVE_FAULT_S
                self._saves_late_until = self._saves_fail_until
            self._save_later(batch)
            return
        streams = [origin.stream for _, origin in batch]
        self._end_waits(streams)
        confirmed: dict[str, list[int]] = {}
        with self._lock:
            for stream in streams:
                address = self._requested_by.pop(stream, '')
                if address:
                    confirmed.setdefault(address, []).append(stream)
        for address, saved in confirmed.items():
            if not self._confirmations.put((address, tuple(saved))):
                _log_unconfirmed(address, len(saved), 'too many are queued')

    def _send_confirmation(self, confirmation: _Confirmation) -> None:
        address, streams = confirmation
        msg = messages.OriginsSaved(streams=streams)
        try:
            self._peers.request(address, msg, CONFIRM_TIMEOUT_S)
        except errors.PortError as exc:
            _log_unconfirmed(address, len(streams), str(exc))

    def _report(
        self,
        group: list[_Began],
        *,
        is_urgent: bool,
        save: bool,
        must_save: bool,
    ) -> bool:
        """Reports the origins of one group of streams.

        Args:
            group: The streams.
            is_urgent: Whether several VMs get the report.
            save: Whether the first of them saves the origins.
            must_save: Whether first events wait until they are saved.

        Returns:
            Whether any other VM is known.
        """
        addresses = self._coordinators.successor_addresses(
            subject(group[0][1].stream), COPIES if is_urgent else 1
        )
        if not addresses:
            if is_urgent:
                _log_unreported(len(group), 0, 0)
            else:
                self._keep_unshared(group)
            self._end_report_waits(group, is_awaited=not must_save)
            return False
        origins = _with_ages(group, self._clock())
        replied: set[str] = set()
        alive: set[str] = set()
        for number, address in enumerate(addresses):
            is_saver = save and not number
            msg = messages.OriginReport(
                origins=origins,
                save=is_saver,
                reply_to=self._peer_address if is_saver and must_save else '',
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
                self._end_report_waits(group, is_awaited=not must_save)
        self._end_report_waits(group, is_awaited=not must_save)
        self._coordinators.record_replies(addresses, replied | alive)
        if not is_urgent:
            self._keep_unshared(group)
        elif save and addresses[0] not in replied:
            self._save_later(group)
            self.on_save()
        if len(replied) < len(addresses):
            _log_unreported(len(group), len(addresses), len(replied))
        return True

    def _end_report_waits(
        self, group: list[_Began], *, is_awaited: bool
    ) -> None:
        """Ends the waits for a report, where that is what is waited for."""
        if is_awaited:
            self._end_waits(origin.stream for _, origin in group)

    def _end_waits(self, streams: Iterable[int]) -> None:
        with self._lock:
            for stream in streams:
                saved = self._awaited.pop(stream, None)
                if saved is not None:
                    saved.set()

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


def _log_unconfirmed(address: str, count: int, error: str) -> None:
    logs.event(
        logging.INFO,
        'origins not confirmed',
        address=address,
        count=count,
        error=error,
    )


def _no_op() -> None:
    """Default callback that does nothing."""
