"""The default version of each service in the store (`default_versions`).

One entry VM, the coordinator of the topic, writes changes. The others read the
topic when the versions of a service change, and when a stream is resumed. A VM
that can't read it copies what other VMs have read, so that it can begin streams.
"""

import logging
import math
import threading
from typing import Final

import msgspec

from foxtaildale import decoding
from foxtaildale import default_versions
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import positions
from foxtaildale import routes
from foxtaildale import stream_origins
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import coordinator_client
from foxtaildaled import origin_store
from foxtaildaled import router_state

# Topic of the store, and name under which its coordinator is selected.
TOPIC: Final = 'keyed.streamversions'
COORDINATOR_SUBJECT: Final = 'streamversions'
# Interval at which changed versions are noticed, seconds.
POLL_INTERVAL_S: Final = 0.25
# Interval of the reads while the default version of a service has no server, and
# between attempts while the store fails, seconds.
REREAD_INTERVAL_S: Final = 5.0
RETRY_INTERVAL_S: Final = 1.0
# Maximum wait for the read of another request, seconds.
MAX_WAIT_S: Final = 0.6
# Number of VMs that are asked for what they have read, and longest wait for their
# replies, seconds.
ASKED_VMS: Final = 3
REPLY_TIMEOUT_S: Final = 0.25
# Maximum age of the list of servers by which a default version is changed,
# seconds.
MAX_LIST_AGE_S: Final = 1.5
# Time after the first start of all VMs in which the first default version is
# written, seconds. Callers come later.
FIRST_START_S: Final = 60.0
# Time after its first event in which a stream may be resumed, in timeouts of its
# route, and its minimum, seconds.
_WINDOW_TIMEOUTS: Final = 2.0
_MIN_WINDOW_S: Final = 10.0

_default: Final = msgspec.msgpack.Decoder(default_versions.DefaultVersion)
# Maximum length of a software version, as in the records of servers.
_MAX_VERSION_CHARS: Final = 255

# Number of servers that begin streams, by version, and the versions whose streams
# may still be resumed.
_Versions = tuple[dict[str, int], frozenset[str]]


def resume_window_s(route: routes.Route) -> float:
    """Returns how long after its first event a stream may be resumed."""
    window_s = max(_MIN_WINDOW_S, _WINDOW_TIMEOUTS * route.timeout_s)
    return min(window_s, stream_origins.ORIGIN_TTL_S)


class DefaultVersionStore:
    """Reads and writes the default versions; safe for concurrent use."""

    __slots__ = (
        '_choices',
        '_clock',
        '_coordinators',
        '_defaults',
        '_end',
        '_failed_until',
        '_first_start_until',
        '_has_read',
        '_listed_at_read',
        '_lock',
        '_origins',
        '_owner',
        '_peers',
        '_read_began_at',
        '_read_lock',
        '_reader',
        '_values',
        '_writer',
    )

    def __init__(
        self,
        *,
        reader: ports.KeyedTopics,
        writer: ports.KeyedTopics,
        owner: actors.StateOwner[router_state.RouterState],
        coordinators: coordinator_client.CoordinatorClient,
        peers: ports.PeerGroup,
        origins: origin_store.OriginStore,
        clock: ports.Clock,
        first_start: bool = False,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._owner = owner
        self._coordinators = coordinators
        self._peers = peers
        self._origins = origins
        self._clock = clock
        # Until when no stream can have begun before this process was started,
        # seconds.
        self._first_start_until = (
            clock() + FIRST_START_S if first_start else -math.inf
        )
        # Only the loop uses it; by service.
        self._choices: dict[str, default_versions.DefaultChoice] = {}
        # Held during a read of the topic; taken before `_lock`.
        self._read_lock = threading.Lock()
        # Guards the fields below, and is never held during a read.
        self._lock = threading.Lock()
        # By service, and the records that they were decoded from.
        self._defaults: dict[str, default_versions.DefaultVersion] = {}
        self._values: dict[str, bytes] = {}
        # Versions that have had servers ever since the topic was last read, by
        # service.
        self._listed_at_read: dict[str, frozenset[str]] = {}
        # Position of the next record, and whether the topic was read before.
        self._end = 0
        self._has_read = False
        # When the last successful read began, and until when the topic is not
        # read after a failure, seconds.
        self._read_began_at = -math.inf
        self._failed_until = -math.inf

    def is_default(self, service: str, version: str) -> bool:
        """Whether streams of a version need not be saved.

        The default version may have changed while the version had no server, so
        what was read before its servers came says nothing.
        """
        with self._lock:
            default = self._defaults.get(service)
            return (
                default is not None
                and default.version == version
                and default.is_settled
                and not default.is_retired
                and default.epoch == positions.epoch(self._end)
                and version in self._listed_at_read.get(service, ())
            )

    def unsaved_version(self, service: str) -> str:
        """Returns the version of streams that may begin if they can't be saved.

        Such a stream is taken for one of this version later, or refused. If the
        service has no default version yet, the first one will be its only
        version. Empty if this VM does not know.
        """
        versions, epoch = self._owner.run(
            lambda state, now: (
                state.fleet.versions(service, now),
                positions.epoch(state.servers_position()),
            )
        )
        with self._lock:
            is_read = self._has_read and positions.epoch(self._end) == epoch
            default = self._defaults.get(service)
            if default is None:
                is_only = is_read and len(versions) == 1
                return next(iter(versions)) if is_only else ''
            is_known = (
                not default.is_retired
                and default.epoch == positions.epoch(self._end)
                and default.version in self._listed_at_read.get(service, ())
            )
            return default.version if is_known else ''

    def read(self, service: str) -> default_versions.DefaultVersion | None:
        """Reads the default version of a service; None if it has none.

        Raises:
            errors.PortError: The store could not be read.
            errors.DecodeError: Its response is invalid.
        """
        self._refresh()
        with self._lock:
            return self._defaults.get(service)

    def update(self) -> None:
        """Follows the versions of the services; run by a loop."""
        now = self._clock()
        versions = self._owner.run(_read_versions)
        self._drop_unlisted(versions)
        if now < self._failed_until:
            return
        try:
            if self._needs_read(now, versions):
                self._refresh()
            if versions and self._coordinators.is_coordinator(
                COORDINATOR_SUBJECT
            ):
                self._write_changes(now, versions)
        except (errors.PortError, errors.DecodeError) as exc:
            logs.event(
                logging.WARNING,
                'default versions not followed',
                error=str(exc),
            )
            self._copy_from_peer()

    def answer(
        self, _: messages.DefaultVersionsRequest
    ) -> messages.DefaultVersionsReply:
        """Handles the request of another VM for what this one has read."""
        with self._lock:
            if not self._has_read:
                return messages.DefaultVersionsReply(end=0)
            return messages.DefaultVersionsReply(
                end=self._end,
                age_ms=int((self._clock() - self._read_began_at) * 1000),
                defaults={
                    service: messages.ReadDefaultVersion(
                        value, tuple(self._listed_at_read.get(service, ()))
                    )
                    for service, value in self._values.items()
                },
            )

    def _drop_unlisted(
        self, versions: dict[str, tuple[_Versions, float]]
    ) -> None:
        """Drops versions that have lost their servers since the last read.

        The default version may be another one when they come back.
        """
        with self._lock:
            self._listed_at_read = {
                service: listed & versions[service][0][0].keys()
                for service, listed in self._listed_at_read.items()
                if service in versions
            }

    def _copy_from_peer(self) -> None:
        """Takes over what another VM has read since the last own read."""
        addresses = self._coordinators.successor_addresses(
            COORDINATOR_SUBJECT, ASKED_VMS
        )
        if not addresses:
            addresses = self._owner.run(lambda state, _: state.peers())
        asked_at = self._clock()
        replies = [
            reply
            for reply in self._peers.request_all(
                addresses[:ASKED_VMS],
                messages.DefaultVersionsRequest(),
                REPLY_TIMEOUT_S,
            ).values()
            if isinstance(reply, messages.DefaultVersionsReply)
            and reply.age_ms >= 0
        ]
        if not replies:
            return
        newest = min(replies, key=lambda reply: (-reply.end, reply.age_ms))
        began_at = asked_at - newest.age_ms / 1000
        listed = self._listed()
        with self._lock:
            if began_at <= self._read_began_at or newest.end < self._end:
                return
            self._values.clear()
            self._defaults.clear()
            for service, found in newest.defaults.items():
                self._record(service, found.value)
            self._end = newest.end
            self._has_read = True
            self._read_began_at = began_at
            self._listed_at_read = {
                service: frozenset(found.listed)
                & listed.get(service, frozenset())
                for service, found in newest.defaults.items()
            }
        logs.event(
            logging.INFO,
            'default versions copied',
            services=len(newest.defaults),
            read_age_ms=newest.age_ms,
            asked=len(addresses[:ASKED_VMS]),
            replied=len(replies),
        )

    def _listed(self) -> dict[str, frozenset[str]]:
        """Returns the versions that have servers now, by service."""
        return {
            service: frozenset(found)
            for service, ((found, _), _) in self._owner.run(
                _read_versions
            ).items()
        }

    def _needs_read(
        self, now: float, versions: dict[str, tuple[_Versions, float]]
    ) -> bool:
        with self._lock:
            is_restored = positions.epoch(self._end) != self._store_epoch()
            if not self._has_read or is_restored:
                return True
            for service, ((listed, _), _) in versions.items():
                if self._listed_at_read.get(service) != listed.keys():
                    return True
                default = self._defaults.get(service)
                age_s = now - self._read_began_at
                if default is None:
                    # The coordinator is about to write it.
                    if age_s >= RETRY_INTERVAL_S:
                        return True
                elif (
                    default.version not in listed and age_s >= REREAD_INTERVAL_S
                ):
                    return True
        return False

    def _write_changes(
        self, now: float, versions: dict[str, tuple[_Versions, float]]
    ) -> None:
        epoch = self._store_epoch()
        is_current = self._owner.run(
            lambda state, now: state.is_fresh(now, MAX_LIST_AGE_S)
        )
        if not is_current:
            return
        for service, ((listed, recent), window_s) in versions.items():
            with self._lock:
                current, end = self._defaults.get(service), self._end
            choice = self._choices.setdefault(
                service, default_versions.DefaultChoice()
            )
            changed = choice.next_default(
                now,
                current,
                listed,
                recent,
                window_s=window_s,
                epoch=epoch,
                saved_end=self._read_saved_end,
                first_start=now < self._first_start_until,
            )
            if changed is None:
                continue
            value = msgspec.msgpack.encode(changed)
            try:
                self._writer.put_if_unchanged(TOPIC, service, value, end)
            finally:
                # Another VM may have written, or the outcome is not known.
                self._refresh()
            logs.event(
                logging.INFO,
                'default version',
                service=service,
                software=changed.version,
                before=current.version if current else '',
                others_from=changed.others_from,
                settled=changed.is_settled,
                retired=changed.is_retired,
            )

    def _read_saved_end(self) -> int:
        return self._origins.read_end(self._store_epoch())

    def _store_epoch(self) -> int:
        return self._owner.run(
            lambda state, _: positions.epoch(state.servers_position())
        )

    def _refresh(self) -> None:
        """Reads the topic, unless a read has begun since the call.

        Raises:
            errors.PortError: The store could not be read.
            errors.DecodeError: Its response is invalid.
        """
        called_at = self._clock()
        if not self._read_lock.acquire(timeout=MAX_WAIT_S):
            raise errors.NoReplyError('another read takes too long')
        try:
            if self._read_began_at > called_at:
                return
            began_at = self._clock()
            if began_at < self._failed_until:
                raise errors.NoReplyError('a recent read failed')
            listed = self._listed()
            self._failed_until = began_at + RETRY_INTERVAL_S
            found, is_snapshot = self._read()
            self._failed_until = -math.inf
            with self._lock:
                if is_snapshot:
                    self._defaults.clear()
                    self._values.clear()
                for entry in found.entries:
                    self._record(entry.key, entry.value)
                self._end = found.end
                self._has_read = True
                self._read_began_at = began_at
                self._listed_at_read = listed
        finally:
            self._read_lock.release()

    def _record(self, service: str, value: bytes) -> None:
        """Records what was read; the caller holds the lock."""
        default = _decode(service, value)
        if default is not None:
            self._defaults[service] = default
            self._values[service] = value

    def _read(self) -> tuple[ports.KeyedRecords, bool]:
        """Returns new records, and whether they are all that there are."""
        if self._has_read:
            try:
                found = self._reader.wait_for_records(TOPIC, self._end, 0.0)
                return found, False
            except errors.RecordsExpiredError:
                pass  # All is read again.
        return self._reader.read_newest(TOPIC), True


def _decode_default(value: bytes) -> default_versions.DefaultVersion:
    default = _default.decode(value)
    if len(default.version) > _MAX_VERSION_CHARS:
        raise ValueError('version too long')
    if default.others_from < default_versions.ALONE:
        raise ValueError('others_from out of range')
    return default


def _decode(
    service: str, value: bytes
) -> default_versions.DefaultVersion | None:
    try:
        return decoding.decode(_decode_default, value)
    except errors.DecodeError as exc:
        # An entry of another writer; the default version stays.
        logs.event(
            logging.WARNING,
            'default version not readable',
            service=service[:80],
            error=str(exc),
        )
        return None


def _read_versions(
    state: router_state.RouterState, now: float
) -> dict[str, tuple[_Versions, float]]:
    """Returns the versions of the services whose streams may be resumed.

    With each, the time in which they may be resumed, seconds.
    """
    if state.matcher is None or not state.servers_received:
        return {}
    windows: dict[str, float] = {}
    for route in state.matcher.table.routes:
        if not route.resumable:
            continue
        for target in route.targets:
            windows[target.service] = max(
                windows.get(target.service, 0.0), resume_window_s(route)
            )
    return {
        service: (
            (
                state.fleet.accepting_versions(service, now),
                state.fleet.versions(service, now),
            ),
            window_s,
        )
        for service, window_s in windows.items()
    }
