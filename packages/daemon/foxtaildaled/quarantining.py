"""Finds requests that crash servers and quarantines them on all entry VMs.

Each entry VM reports the requests that ran on a crashed server to the
coordinator of crash reports (`asking`) and to its successors. A coordinator
that is new or has restarted gets all reports that any VM has, since the VM that
first sent a report may have stopped too. The coordinator decides which requests
are to blame (`crashes`), sends the result to all VMs at once, and saves the
quarantine in the store, since a loss of power on all VMs would lose it
otherwise. A VM that missed an update gets it with its next request to the store
reader (`beliefs`).
"""

from collections.abc import Callable
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
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import asking
from foxtaildaled import beliefs

# Subject by which the coordinator of crash reports is chosen.
HOME: Final = 'crashes'
# Interval of the loop while a crash is being examined, and otherwise, seconds.
# A report wakes the loop earlier.
LOOK_S: Final = 0.25
REST_S: Final = 1.0
# Number of successors of the coordinator that get a copy of each report.
HEIRS: Final = 2
# How long a VM acts as coordinator after it has received reports, seconds.
JUDGES_S: Final = 5.0
# Longest wait for the coordinator's reply, and for those of all VMs, seconds.
ANSWER_S: Final = 0.25
# Maximum number of own reports that wait for delivery to a coordinator.
MOST_REPORTS: Final = 256
# Maximum number of remembered requests that completed here, and how long they
# are remembered, seconds.
MOST_COMPLETED: Final = 2048
COMPLETED_S: Final = 300.0
# Interval at which the quarantine is saved in the store, seconds.
SAVE_S: Final = 1.0

# When a server crashed, seconds, and the request that ran on it.
_Report = tuple[float, messages.Crash]


class Quarantining:
    """Reports crashes and, as coordinator, decides on the quarantine.

    Safe for concurrent use.
    """

    __slots__ = (
        '_acting_until',
        '_clock',
        '_codec',
        '_completed',
        '_coordinator_id',
        '_coordinators',
        '_informed_coordinator',
        '_is_changed',
        '_lock',
        '_owner',
        '_peers',
        '_pending',
        '_pending_cleared',
        '_save_at',
        '_store',
        'on_report',
    )

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        homes: asking.Asking,
        peers: ports.PeerGroup,
        codec: ports.RecordCodec,
        store: ports.Topics,
        clock: ports.Clock,
    ) -> None:
        self._owner = owner
        self._coordinators = homes
        self._peers = peers
        self._codec = codec
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        # Own reports that the coordinator has not received, with their times,
        # oldest first.
        self._pending: list[_Report] = []
        # Requests cleared here that the coordinator does not know of yet.
        self._pending_cleared: list[int] = []
        # When requests completed here, seconds, by fingerprint.
        self._completed: dict[int, float] = {}
        # Distinguishes this process from other present or past coordinators.
        self._coordinator_id = random.getrandbits(48)
        # Id of the coordinator that has received all reports known here.
        self._informed_coordinator = 0
        self._save_at = 0.0
        # Until when this VM acts as coordinator for the VMs that sent it
        # reports, seconds. It does so even if it is not the coordinator by its
        # own view: the senders may have excluded one that it has not.
        self._acting_until = 0.0
        # Whether the coordinator must announce a change to the other VMs.
        self._is_changed = False
        # Wakes the loop.
        self.on_report: Callable[[], None] = lambda: None

    def crashed(
        self,
        server: forwarding.Backend,
        request: int,
        *,
        ran_s: float,
    ) -> None:
        """Records a request that ran on a server when it crashed.

        Args:
            server: The server.
            request: The request's fingerprint.
            ran_s: How long the request had run, seconds; the time since it
                was sent, if the start is not known.
        """
        crash = messages.Crash(
            server=server.id,
            born=server.born,
            fingerprint=request,
            ran_ms=int(ran_s * 1000),
        )
        now = self._clock()
        with self._lock:
            if now - self._completed.get(request, -math.inf) < COMPLETED_S:
                return
            self._pending.append((now, crash))
            del self._pending[:-MOST_REPORTS]
        self.on_report()

    def completed(self, request: int) -> None:
        """Records a request that completed without an error."""
        with self._lock:
            self._completed.pop(request, None)
            self._completed[request] = self._clock()
            if len(self._completed) > MOST_COMPLETED:
                del self._completed[next(iter(self._completed))]

    def report(self, msg: messages.CrashReports) -> messages.Quarantined:
        """Handles reports of another VM as coordinator."""

        def change(state: beliefs.Beliefs, now: float) -> messages.Quarantined:
            for crash in msg.crashes:
                state.verdicts.crashes.note(now, crash)
            for request in msg.cleared:
                state.verdicts.acquit(now, request)
            return self._update(state, now)

        reply = self._owner.run(change)
        if msg.cleared:
            self._is_changed = True
        if not msg.copy:
            self._acting_until = self._clock() + JUDGES_S
        if msg.crashes or msg.cleared:
            self.on_report()
        return reply

    def take(self, msg: messages.Quarantined) -> messages.Pong:
        """Applies the quarantine that another VM sent."""
        self._owner.run(
            lambda state, now: state.verdicts.take(
                now, msg.held, msg.cleared, 'home'
            )
        )
        return messages.Pong()

    def pace_s(self) -> float:
        """Returns the time until the next round of the loop, seconds."""
        has_settling = self._owner.run(
            lambda state, now: state.verdicts.crashes.is_settling(now)
        )
        return LOOK_S if has_settling else REST_S

    def step(self) -> None:
        """Runs one round: sends reports, decides, announces and saves."""
        self._clear_completed()
        all_delivered = self._send_reports()
        is_coordinator = self._coordinators.is_home(HOME)
        now = self._clock()
        # Only the coordinator has the reports of all VMs. From the reports of
        # one VM alone, a request may be blamed for a crash that the reports of
        # other VMs explain.
        is_acting = is_coordinator or now < self._acting_until
        if (is_acting or not all_delivered) and self._owner.run(
            lambda state, now: state.verdicts.judge(now)
        ):
            self._is_changed = True
        if self._is_changed and is_acting:
            self._is_changed = False
            self._announce()
        if is_acting and now >= self._save_at:
            self._save_at = now + SAVE_S
            self._save()

    def _clear_completed(self) -> None:
        """Clears quarantined requests that completed on this VM."""
        quarantined = self._owner.run(
            lambda state, now: state.verdicts.quarantine.held(now)
        )
        now = self._clock()
        with self._lock:
            completed = [
                request
                for request in quarantined
                if now - self._completed.get(request, -math.inf) < COMPLETED_S
            ]
            self._pending_cleared.extend(completed)
        for request in completed:
            self._clear(request)
            logs.event(
                logging.INFO,
                'request cleared',
                fingerprint=fingerprint.text(request),
            )

    def _clear(self, request: int) -> None:
        def change(state: beliefs.Beliefs, now: float) -> None:
            state.verdicts.acquit(now, request)

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
        if reply.judge not in (
            self._informed_coordinator,
            self._coordinator_id,
        ):
            known_reports = self._owner.run(
                lambda state, now: state.verdicts.crashes.reports(now)
            )
            if len(known_reports) > len(sent):
                if self._request_coordinator(known_reports, []) is None:
                    return False
                logs.event(
                    logging.INFO, 'ends told', reports=len(known_reports)
                )
        self._informed_coordinator = reply.judge
        return True

    def _record(self, sent: list[_Report]) -> bool:
        """Records own reports; returns whether any crashes are known here."""

        def change(state: beliefs.Beliefs, now: float) -> bool:
            for crash in _with_ages(sent, now):
                state.verdicts.crashes.note(now, crash)
            return state.verdicts.crashes.pending(now)

        return self._owner.run(change)

    def _request_coordinator(
        self, reported: Sequence[messages.Crash], cleared: list[int]
    ) -> messages.Quarantined | None:
        msg = messages.CrashReports(
            crashes=tuple(reported), cleared=tuple(cleared)
        )
        if reported:
            # Without the copies, reports that a coordinator sends to itself
            # would be lost with it.
            successors = self._coordinators.heirs(HOME, HEIRS)
            copy = msgspec.structs.replace(msg, copy=True)
            self._peers.ask_all(successors, copy, ANSWER_S)
        reply = self._coordinators.ask(
            HOME, msg, (messages.Quarantined,), ANSWER_S
        )
        if reply is not None:
            self.take(reply)
        return reply

    def _announce(self) -> None:
        msg, addresses = self._owner.run(
            lambda state, now: (self._update(state, now), state.peers())
        )
        self._peers.ask_all(addresses, msg, ANSWER_S)

    def _update(
        self, state: beliefs.Beliefs, now: float
    ) -> messages.Quarantined:
        return messages.Quarantined(
            judge=self._coordinator_id,
            held=state.verdicts.quarantine.held(now),
            cleared=state.verdicts.quarantine.cleared(now),
        )

    def _save(self) -> None:
        """Saves new quarantined requests and removes expired ones."""
        records = self._owner.run(
            lambda state, now: state.verdicts.unsaved(now)
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
