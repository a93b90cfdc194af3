"""Finds requests that end servers, and has all entry VMs hold them back.

Each VM tells the home of all such reports (`asking`) what ran under servers that
ended, and those that would be home next. A home that is new or started again hears
of all that is known from each VM that knows any, since the VM that reported it may
have ended too. The home judges (`crashes`), tells all VMs at once, and keeps what is
held in the store, since no VM is left to ask after all have lost power. What a VM
missed comes with its next question to the reader (`beliefs`).
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

# What it is the home of.
HOME: Final = 'crashes'
# Time between looks while an end is judged, and else, seconds; a report
# wakes the loop.
LOOK_S: Final = 0.25
REST_S: Final = 1.0
# Other VMs that are told of reports: those that would be home next.
HEIRS: Final = 2
# How long a VM that was told of reports judges them, seconds.
JUDGES_S: Final = 5.0
# Longest wait for the home's answer, and for those of all VMs, seconds.
ANSWER_S: Final = 0.25
# Own reports that wait until a home hears of them.
MOST_REPORTS: Final = 256
# Requests that ran to their end here and are remembered, and for how long,
# seconds.
MOST_COMPLETED: Final = 2048
COMPLETED_S: Final = 300.0
# Time between looks at what the store keeps, seconds.
SAVE_S: Final = 1.0

# When a server ended, seconds, and what ran there.
_Report = tuple[float, messages.Crash]


class Quarantining:
    """Reports, judges and tells; safe for concurrent use."""

    __slots__ = (
        '_clock',
        '_codec',
        '_completed',
        '_home',
        '_homes',
        '_judge',
        '_judges_until',
        '_lock',
        '_owner',
        '_peers',
        '_pending',
        '_save_at',
        '_store',
        '_tell',
        '_untold',
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
        self._homes = homes
        self._peers = peers
        self._codec = codec
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        # Own reports that the home has not heard of, with the time of each,
        # oldest first.
        self._pending: list[_Report] = []
        # Cleared here, and not told to the home yet.
        self._untold: list[int] = []
        # When requests ran to their end here, seconds, by fingerprint.
        self._completed: dict[int, float] = {}
        # Tells this process from others that are or were the home.
        self._judge = random.getrandbits(48)
        # The home that has heard of all reports known here.
        self._home = 0
        self._save_at = 0.0
        # Until when it judges, tells and saves for those that asked it, home or
        # not, seconds: they have passed over one that it has not.
        self._judges_until = 0.0
        # Whether others must hear of a change, if this is the home.
        self._tell = False
        # Wakes the loop.
        self.on_report: Callable[[], None] = lambda: None

    def crashed(
        self,
        server: forwarding.Backend,
        request: int,
        *,
        ran_s: float,
    ) -> None:
        """Takes a request that ran on a server as that ended.

        Args:
            server: The server.
            request: The request's fingerprint.
            ran_s: For how long it had run, or been there if that is not
                known, seconds.
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
        """Takes a request that ran to its good end."""
        with self._lock:
            self._completed.pop(request, None)
            self._completed[request] = self._clock()
            if len(self._completed) > MOST_COMPLETED:
                del self._completed[next(iter(self._completed))]

    def report(self, msg: messages.CrashReports) -> messages.Quarantined:
        """Takes reports as the home."""

        def turn(state: beliefs.Beliefs, now: float) -> messages.Quarantined:
            for crash in msg.crashes:
                state.verdicts.crashes.note(now, crash)
            for request in msg.cleared:
                state.verdicts.acquit(now, request)
            return self._told(state, now)

        reply = self._owner.run(turn)
        if msg.cleared:
            self._tell = True
        if not msg.copy:
            self._judges_until = self._clock() + JUDGES_S
        if msg.crashes or msg.cleared:
            self.on_report()
        return reply

    def take(self, msg: messages.Quarantined) -> messages.Pong:
        """Takes what another VM says is held."""
        self._owner.run(
            lambda state, now: state.verdicts.take(
                now, msg.held, msg.cleared, 'home'
            )
        )
        return messages.Pong()

    def pace_s(self) -> float:
        """Returns when to look again, seconds."""
        busy = self._owner.run(
            lambda state, now: state.verdicts.crashes.is_settling(now)
        )
        return LOOK_S if busy else REST_S

    def step(self) -> None:
        """Reports, judges and tells what is due, as a loop."""
        self._object()
        heard = self._tell_home()
        is_home = self._homes.is_home(HOME)
        now = self._clock()
        # Only the home has the reports of all VMs; judged by one VM's alone, a
        # request may be blamed for an end that others' reports explain.
        is_asked = is_home or now < self._judges_until
        if (is_asked or not heard) and self._owner.run(
            lambda state, now: state.verdicts.judge(now)
        ):
            self._tell = True
        if self._tell and is_asked:
            self._tell = False
            self._tell_all()
        if is_asked and now >= self._save_at:
            self._save_at = now + SAVE_S
            self._save()

    def _object(self) -> None:
        """Clears what is held although it ran to its end here."""
        held = self._owner.run(
            lambda state, now: state.verdicts.quarantine.held(now)
        )
        now = self._clock()
        with self._lock:
            wrong = [
                request
                for request in held
                if now - self._completed.get(request, -math.inf) < COMPLETED_S
            ]
            self._untold.extend(wrong)
        for request in wrong:
            self._acquit(request)
            logs.event(
                logging.INFO,
                'request cleared',
                fingerprint=fingerprint.text(request),
            )

    def _acquit(self, request: int) -> None:
        def turn(state: beliefs.Beliefs, now: float) -> None:
            state.verdicts.acquit(now, request)

        self._owner.run(turn)

    def _tell_home(self) -> bool:
        """Tells what is due; returns whether the home has heard it all."""
        with self._lock:
            sent, self._pending = self._pending, []
            cleared, self._untold = self._untold, []
        if not self._note(sent) and not cleared:
            return True
        reply = self._ask_home(_aged(sent, self._clock()), cleared)
        if reply is None:
            with self._lock:
                self._pending = sent + self._pending
                self._untold = cleared + self._untold
            return False
        if reply.judge not in (self._home, self._judge):
            known = self._owner.run(
                lambda state, now: state.verdicts.crashes.reports(now)
            )
            if len(known) > len(sent):
                if self._ask_home(known, []) is None:
                    return False
                logs.event(logging.INFO, 'ends told', reports=len(known))
        self._home = reply.judge
        return True

    def _note(self, sent: list[_Report]) -> bool:
        """Notes own reports; returns whether any are known here."""

        def turn(state: beliefs.Beliefs, now: float) -> bool:
            for crash in _aged(sent, now):
                state.verdicts.crashes.note(now, crash)
            return state.verdicts.crashes.pending(now)

        return self._owner.run(turn)

    def _ask_home(
        self, found: Sequence[messages.Crash], cleared: list[int]
    ) -> messages.Quarantined | None:
        msg = messages.CrashReports(
            crashes=tuple(found), cleared=tuple(cleared)
        )
        if found:
            # Else they would end with a home that reports to itself.
            heirs = self._homes.heirs(HOME, HEIRS)
            copy = msgspec.structs.replace(msg, copy=True)
            self._peers.ask_all(heirs, copy, ANSWER_S)
        reply = self._homes.ask(HOME, msg, (messages.Quarantined,), ANSWER_S)
        if reply is not None:
            self.take(reply)
        return reply

    def _tell_all(self) -> None:
        msg, addresses = self._owner.run(
            lambda state, now: (self._told(state, now), state.peers())
        )
        self._peers.ask_all(addresses, msg, ANSWER_S)

    def _told(self, state: beliefs.Beliefs, now: float) -> messages.Quarantined:
        return messages.Quarantined(
            judge=self._judge,
            held=state.verdicts.quarantine.held(now),
            cleared=state.verdicts.quarantine.cleared(now),
        )

    def _save(self) -> None:
        """Writes to the store what it does not keep yet, removes what lapsed."""
        due = self._owner.run(lambda state, now: state.verdicts.unsaved(now))
        for key, value in due:
            try:
                self._store.put(self._codec.members_topic, key, value)
            except errors.PortError as exc:
                logs.event(
                    logging.WARNING, 'quarantine not saved', error=str(exc)
                )
                return


def _aged(reports: list[_Report], now: float) -> tuple[messages.Crash, ...]:
    """Returns reports as they are told, with how long ago each was."""
    return tuple(
        msgspec.structs.replace(crash, age_ms=int((now - at) * 1000))
        for at, crash in reports
    )
