"""Finds requests that crash servers and quarantines them on all entry VMs.

Each entry VM reports the requests that ran on a crashed server to the
coordinator of crash reports (`coordinator_client`) and to its successors. A
coordinator or successor that is new or has restarted gets all reports that any
VM has, since the VM that first sent a report may have stopped too. The
coordinator decides which requests are to blame (`crashes`), and which parts of
prompts, after it has queried all VMs which servers are running and which parts
completed there. It sends the result to all VMs at once, and saves the
quarantine in the store, since a loss of power on all VMs would lose it
otherwise. A VM that missed an update gets it with its next request to the store
reader (`router_state`).
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging
import math
import random
import threading
from typing import Final

import msgspec

from foxtaildale import errors
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import part_blame
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import coordinator_client
from foxtaildaled import crash_evidence
from foxtaildaled import router_state

# Subject by which the coordinator of crash reports is chosen.
COORDINATOR_SUBJECT: Final = 'crashes'
# Interval of the loop while a crash is being examined, and otherwise, seconds.
# A report wakes the loop earlier.
BUSY_INTERVAL_S: Final = 0.25
IDLE_INTERVAL_S: Final = 1.0
# Number of successors of the coordinator that get a copy of each report.
SUCCESSORS: Final = 2
# How long a VM acts as coordinator after it has received reports, seconds.
ACTING_COORDINATOR_S: Final = 5.0
# Longest wait for the coordinator's reply, and for those of all VMs, seconds.
REPLY_TIMEOUT_S: Final = 0.25
# Maximum number of own reports that wait for delivery to a coordinator.
MAX_PENDING_REPORTS: Final = 256
# Maximum number of remembered requests that completed here, and how long they
# are remembered, seconds.
MAX_COMPLETED: Final = 2048
COMPLETED_TTL_S: Final = 300.0
# Interval at which the quarantine is saved in the store, seconds.
SAVE_INTERVAL_S: Final = 1.0
# Maximum number of queries to all VMs about parts in one round, and the interval
# between queries that lead to no decision, seconds.
MAX_PART_QUERIES: Final = 4
QUERY_INTERVAL_S: Final = 1.0

# When a server crashed, seconds, and the request that ran on it.
_Report = tuple[float, messages.Crash]


class QuarantineManager:
    """Reports crashes and, as coordinator, decides on the quarantine.

    Safe for concurrent use.
    """

    __slots__ = (
        '_acting_until',
        '_clock',
        '_codec',
        '_completed',
        '_coordinator_decides_on_parts',
        '_coordinator_id',
        '_coordinators',
        '_evidence',
        '_informed_coordinator',
        '_informed_successors',
        '_is_changed',
        '_lock',
        '_owner',
        '_peers',
        '_pending',
        '_pending_cleared',
        '_query_parts_at',
        '_query_requests_at',
        '_save_at',
        '_store',
        'on_report',
    )

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
        coordinators: coordinator_client.CoordinatorClient,
        evidence: crash_evidence.CrashEvidence,
        peers: ports.PeerGroup,
        codec: ports.RecordCodec,
        store: ports.KeyedTopics,
        clock: ports.Clock,
    ) -> None:
        self._owner = owner
        self._coordinators = coordinators
        self._evidence = evidence
        self._peers = peers
        self._codec = codec
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        # Own reports that the coordinator has not received, with their times,
        # oldest first.
        self._pending: list[_Report] = []
        # When VMs may be queried about parts and about requests again, seconds.
        self._query_parts_at = 0.0
        self._query_requests_at = 0.0
        # Whether the coordinator decides on parts of prompts; one of an earlier
        # version does not, and each VM then decides by the reports that it has.
        self._coordinator_decides_on_parts = True
        # Requests cleared here that the coordinator does not know of yet.
        self._pending_cleared: list[int] = []
        # When requests completed here, seconds, by fingerprint.
        self._completed: dict[int, float] = {}
        # Distinguishes this process from other present or past coordinators.
        self._coordinator_id = random.getrandbits(48)
        # Id of the coordinator that has received all reports known here.
        self._informed_coordinator = 0
        # Ids of the successors that have received all reports known here, by
        # address.
        self._informed_successors: dict[str, int] = {}
        self._save_at = 0.0
        # Until when this VM acts as coordinator for the VMs that sent it
        # reports, seconds. It does so even if it is not the coordinator by its
        # own view: the senders may have excluded one that it has not.
        self._acting_until = 0.0
        # Whether the coordinator must announce a change to the other VMs.
        self._is_changed = False
        # Wakes the loop.
        self.on_report: Callable[[], None] = lambda: None

    def record_crash(
        self,
        server: forwarding.Backend,
        request: int,
        *,
        ran_s: float,
        parts: Iterable[int] = (),
        ended_s: float | None = None,
    ) -> None:
        """Records a request that ran on a server when it crashed.

        Args:
            server: The server.
            request: The request's fingerprint.
            ran_s: How long the request had run, seconds; the time since it
                was sent, if the start is not known.
            parts: Fingerprints of the parts of its prompt that other requests
                may share.
            ended_s: Time since the request was given up, seconds, if the list
                has named a later incarnation of the server since; None if
                the server crashed now.
        """
        # The smallest ones, if there are too many: all VMs choose alike.
        reported = sorted(
            set(parts).difference(self._evidence.completed(parts))
        )
        crash = messages.Crash(
            server=server.id,
            started_at=server.born,
            fingerprint=request,
            ran_ms=int(ran_s * 1000),
            service=server.service,
            parts=tuple(reported[: part_blame.MAX_REPORTED_PARTS]),
            is_proven=ended_s is not None,
        )
        now = self._clock()
        with self._lock:
            if now - self._completed.get(request, -math.inf) < COMPLETED_TTL_S:
                return
            self._pending.append((now - (ended_s or 0.0), crash))
            del self._pending[:-MAX_PENDING_REPORTS]
        self.on_report()

    def record_completed(
        self, request: int, service: str = '', parts: Iterable[int] = ()
    ) -> None:
        """Records a request that completed without an error.

        Args:
            request: The request's fingerprint.
            service: The service that ran it.
            parts: Fingerprints of the parts of its prompt that other requests
                may share.
        """
        self._evidence.record_completed(service, parts)
        now = self._clock()
        with self._lock:
            self._completed.pop(request, None)
            self._completed[request] = now
            if len(self._completed) > MAX_COMPLETED:
                del self._completed[next(iter(self._completed))]

    def apply_reports(
        self, msg: messages.CrashReports
    ) -> messages.QuarantineUpdate:
        """Handles reports of another VM as coordinator."""

        def change(
            state: router_state.RouterState, now: float
        ) -> messages.QuarantineUpdate:
            for crash in msg.crashes:
                state.quarantine_state.crashes.record(now, crash)
            for request in msg.cleared:
                state.quarantine_state.clear_request(now, request)
            return self._update(state, now)

        reply = self._owner.run(change)
        if msg.cleared:
            self._is_changed = True
        if not msg.to_successor:
            self._acting_until = self._clock() + ACTING_COORDINATOR_S
        if msg.crashes or msg.cleared:
            self.on_report()
        return reply

    def apply_update(self, msg: messages.QuarantineUpdate) -> messages.Pong:
        """Applies the quarantine that another VM sent."""
        self._owner.run(
            lambda state, now: state.quarantine_state.merge(
                now,
                msg.quarantined,
                msg.cleared,
                'home',
                part_sets=msg.part_sets,
            )
        )
        return messages.Pong()

    def interval_s(self) -> float:
        """Returns the time until the next round of the loop, seconds."""
        has_settling = self._owner.run(
            lambda state, now: state.quarantine_state.crashes.is_settling(now)
        )
        return BUSY_INTERVAL_S if has_settling else IDLE_INTERVAL_S

    def exchange_reports(self) -> None:
        """Runs one round: sends reports, decides, announces and saves."""
        self._clear_completed()
        all_delivered = self._send_reports()
        is_coordinator = self._coordinators.is_coordinator(COORDINATOR_SUBJECT)
        self._inform_successors(is_coordinator=is_coordinator)
        now = self._clock()
        # Only the coordinator has the reports of all VMs. From the reports of
        # one VM alone, a request may be blamed for a crash that the reports of
        # other VMs explain.
        is_acting = is_coordinator or now < self._acting_until
        must_decide = is_acting or not all_delivered
        has_new_sets = (
            must_decide or not self._coordinator_decides_on_parts
        ) and self._quarantine_parts()
        if must_decide and self._quarantine_requests():
            self._is_changed = True
        if has_new_sets or (self._is_changed and is_acting):
            self._is_changed = False
            self._announce()
        if (is_acting or has_new_sets) and now >= self._save_at:
            self._save_at = now + SAVE_INTERVAL_S
            self._save()

    def send_pending(self) -> None:
        """Sends the reports that the loop has not sent; called by a stop."""
        with self._lock:
            has_pending = bool(self._pending)
        if has_pending and not self._send_reports():
            logs.event(logging.WARNING, 'crash reports dropped')

    def _quarantine_parts(self) -> bool:
        """Quarantines parts of prompts that explain crashes.

        Returns:
            Whether any were added.
        """
        changed = False
        for _ in range(MAX_PART_QUERIES):
            found = self._owner.run(
                lambda state, now: state.quarantine_state.suspected_parts(now)
            )
            if found is None or self._clock() < self._query_parts_at:
                break
            known = self._evidence.query(found)
            if known.refuted or known.completed:
                # The suspicion was wrong; another one may remain.
                continue
            if not known.service_completes:
                # Nothing tells a part at fault from servers that crash by
                # themselves.
                self._query_parts_at = self._clock() + QUERY_INTERVAL_S
                break
            if not self._quarantine_set(found):
                # It was cleared before.
                self._query_parts_at = self._clock() + QUERY_INTERVAL_S
                break
            changed = True
        return changed

    def _quarantine_requests(self) -> bool:
        """Quarantines whole requests that explain crashes.

        Returns:
            Whether any were added.
        """
        if self._clock() < self._query_requests_at or not self._owner.run(
            lambda state, now: state.quarantine_state.suspected_requests(now)
        ):
            return False
        self._evidence.query(part_blame.PartSet('', ()))
        changed = self._owner.run(
            lambda state, now: state.quarantine_state.quarantine_blamed(now)
        )
        if not changed:
            # They were cleared before, or the servers did not crash.
            self._query_requests_at = self._clock() + QUERY_INTERVAL_S
        return changed

    def _quarantine_set(self, found: part_blame.PartSet) -> bool:
        def change(state: router_state.RouterState, now: float) -> bool:
            return state.quarantine_state.quarantine_parts(now, found)

        return self._owner.run(change)

    def _clear_completed(self) -> None:
        """Clears quarantined requests that completed on this VM.

        A set of parts is cleared if each of them completed here.
        """
        quarantined, part_sets = self._owner.run(
            lambda state, now: (
                state.quarantine_state.quarantine.quarantined(now),
                state.quarantine_state.part_sets(now),
            )
        )
        now = self._clock()
        with self._lock:
            completed = [
                request
                for request in quarantined
                if now - self._completed.get(request, -math.inf)
                < COMPLETED_TTL_S
            ]
            completed += [
                key
                for key, parts in part_sets.items()
                if len(self._evidence.completed(parts)) == len(parts)
            ]
            self._pending_cleared.extend(completed)
        for request in completed:
            self._clear(request)
            logs.event(
                logging.INFO,
                'request cleared',
                fingerprint=fingerprint.to_text(request),
            )

    def _clear(self, request: int) -> None:
        def change(state: router_state.RouterState, now: float) -> None:
            state.quarantine_state.clear_request(now, request)

        self._owner.run(change)

    def _send_reports(self) -> bool:
        """Sends pending reports.

        Returns:
            Whether the coordinator has received everything.
        """
        with self._lock:
            sent, self._pending = self._pending, []
            cleared, self._pending_cleared = self._pending_cleared, []
        if not self._record(sent) and not cleared:
            return True
        reply = self._request_coordinator(
            _with_ages(sent, self._clock()), cleared
        )
        if reply is None:
            with self._lock:
                self._pending = sent + self._pending
                self._pending_cleared = cleared + self._pending_cleared
            return False
        if reply.coordinator_id not in (
            self._informed_coordinator,
            self._coordinator_id,
        ):
            known_reports = self._owner.run(
                lambda state, now: state.quarantine_state.crashes.reports(now)
            )
            if len(known_reports) > len(sent):
                if self._request_coordinator(known_reports, []) is None:
                    return False
                logs.event(
                    logging.INFO, 'ends told', reports=len(known_reports)
                )
        self._informed_coordinator = reply.coordinator_id
        self._coordinator_decides_on_parts = reply.decides_on_parts
        return True

    def _inform_successors(self, *, is_coordinator: bool) -> None:
        """Sends all known reports to successors that may lack them.

        A VM that joins or restarts after a report has no copy of it, and may be
        the only one left when the others stop. Only the coordinator looks for
        restarts, which spares the successors a request of each VM.
        """
        known_reports = self._owner.run(
            lambda state, now: state.quarantine_state.crashes.reports(now)
        )
        if not known_reports:
            self._informed_successors.clear()
            return
        successors = self._successors()
        informed = self._informed_successors = {
            address: informed_id
            for address, informed_id in self._informed_successors.items()
            if address in successors
        }
        probed = [
            address
            for address in successors
            if is_coordinator or address not in informed
        ]
        uninformed = {
            address: found_id
            for address, found_id in self._send_copies(
                probed, messages.CrashReports()
            ).items()
            if informed.get(address) != found_id
        }
        received = self._send_copies(
            list(uninformed), messages.CrashReports(tuple(known_reports))
        )
        informed.update(received)
        if received:
            logs.event(
                logging.INFO,
                'ends copied',
                reports=len(known_reports),
                successors=list(received),
            )

    def _successors(self) -> list[str]:
        """Returns the addresses of the VMs that get a copy of each report.

        These are also the seeds while too few VMs are listed: the list is short
        at the start of the system, and if the store was restored from a copy.
        """
        listed = self._coordinators.successor_addresses(
            COORDINATOR_SUBJECT, SUCCESSORS
        )
        if len(listed) >= SUCCESSORS:
            return listed
        seeds = self._owner.run(lambda state, _: state.seeds())
        return [*listed, *(seed for seed in seeds if seed not in listed)]

    def _send_copies(
        self, addresses: Sequence[str], msg: messages.CrashReports
    ) -> dict[str, int]:
        """Sends copies of reports; returns the ids of the VMs that replied."""
        copy = msgspec.structs.replace(msg, to_successor=True)
        replies = self._peers.request_all(addresses, copy, REPLY_TIMEOUT_S)
        received = {
            address: reply.coordinator_id
            for address, reply in replies.items()
            if isinstance(reply, messages.QuarantineUpdate)
        }
        self._coordinators.record_replies(addresses, received)
        return received

    def _record(self, sent: list[_Report]) -> bool:
        """Records own reports; returns whether any crashes are known here."""

        def change(state: router_state.RouterState, now: float) -> bool:
            for crash in _with_ages(sent, now):
                state.quarantine_state.crashes.record(now, crash)
            return state.quarantine_state.crashes.has_crashes(now)

        return self._owner.run(change)

    def _request_coordinator(
        self, reported: Sequence[messages.Crash], cleared: list[int]
    ) -> messages.QuarantineUpdate | None:
        msg = messages.CrashReports(
            crashes=tuple(reported), cleared=tuple(cleared)
        )
        if reported:
            # Without the copies, reports that a coordinator sends to itself
            # would be lost with it.
            successors = self._successors()
            received = self._send_copies(successors, msg)
            for address in successors:
                if address not in received:
                    # It gets all reports in a later round.
                    self._informed_successors.pop(address, None)
        reply = self._coordinators.request(
            COORDINATOR_SUBJECT,
            msg,
            (messages.QuarantineUpdate,),
            REPLY_TIMEOUT_S,
        )
        if reply is not None:
            self.apply_update(reply)
        return reply

    def _announce(self) -> None:
        msg, addresses = self._owner.run(
            lambda state, now: (self._update(state, now), state.peers())
        )
        self._peers.request_all(addresses, msg, REPLY_TIMEOUT_S)

    def _update(
        self, state: router_state.RouterState, now: float
    ) -> messages.QuarantineUpdate:
        return messages.QuarantineUpdate(
            coordinator_id=self._coordinator_id,
            quarantined=state.quarantine_state.quarantine.quarantined(now),
            cleared=state.quarantine_state.quarantine.cleared(now),
            part_sets=state.quarantine_state.part_sets(now),
            decides_on_parts=True,
        )

    def _save(self) -> None:
        """Saves new quarantined requests and removes expired ones."""
        records = self._owner.run(
            lambda state, now: state.quarantine_state.unsaved_records(now)
        )
        for key, value in records:
            try:
                self._store.put(self._codec.members_topic, key, value)
            except errors.PortError as exc:
                logs.event(
                    logging.WARNING, 'quarantine not saved', error=str(exc)
                )
                return


def _with_ages(
    reports: list[_Report], now: float
) -> tuple[messages.Crash, ...]:
    """Returns reports as they are sent, with the age of each."""
    return tuple(
        msgspec.structs.replace(crash, age_ms=int((now - crashed_at) * 1000))
        for crashed_at, crash in reports
    )
