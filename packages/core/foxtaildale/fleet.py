"""What one entry VM knows of the backend servers, and which one it chooses.

Every entry VM sees only its own requests and what answers tell, so the choice
weighs for each candidate the load that its last answer told (as long as that is
fresh), the requests that this entry VM has with it now, and how it treated the
last ones, those of this entry VM and those of all (`experience`). A server that fails, stalls or sheds loses weight for
a few seconds and then gets a request again, so that one which recovered is
found without probes.

Nothing here does I/O; the time is an argument.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import random
from typing import Final

import msgspec

from foxtaildale import backoffs
from foxtaildale import departures
from foxtaildale import forwarding

# A load report counts for this long, seconds. Requests of plain services take
# some 60 ms, so an older one says nothing about who runs there now.
LOAD_FRESH_S: Final = 0.5
# A failure loses half of its weight in this time, seconds: a grey server is
# tried again about every three seconds at the rates of the smallest site.
FAULT_HALF_S: Final = 3.0
# Weight of one failure, in requests of queue that a candidate must be shorter
# to be chosen all the same. Six slots a plain server: one failure is as bad
# as a server that is full.
FAULT_WEIGHT: Final = 6.0
# Weight of a server that fails all of its requests, in requests of queue: for a
# request that may run once only, whose caller gets nothing then, and for one
# that is sent again elsewhere. A queue of twenty makes a request late.
LOSS_WEIGHT: Final = 50.0
RETRY_WEIGHT: Final = 6.0
# Weight of a server that asked other entry VMs to back off, in requests of queue.
BACKOFF_WEIGHT: Final = 20.0
# How long what was told of that counts, seconds; it is told anew every 0.4 s.
FAILING_S: Final = 1.5
# Decayed failures above which a server is kept out of the plan: one failure
# counts for three seconds.
FAULTY: Final = 0.5
# A server that refused for want of room is passed over for this long, seconds,
# about the time in which one in ten slots comes free.
FULL_S: Final = 0.08
# A server that vanished from the list while the store was not well is used on
# for this long, seconds. Entries of living servers come back within two
# seconds of the store's return; a leaving one must get nothing two seconds
# after it was seen to leave, so the time stays under that bound.
VANISHED_S: Final = 1.5
# A server at whose address another one answered is passed over for this long,
# seconds: a heartbeat, in which its entry is renewed, changed or removed.
MISDIRECTED_S: Final = 1.2
# Servers whose newest start is remembered; more than a deployment lists.
_STARTS: Final = 4096
# How much a new measurement of the time a request takes counts.
_SPEED_SHARE: Final = 0.2


class Tally:
    """What is known of one backend server beyond its entry."""

    __slots__ = (
        'backend',
        'failing',
        'failing_at',
        'fault_at',
        'faults',
        'full_until',
        'held_tokens',
        'in_flight',
        'listed',
        'load',
        'load_at',
        'load_mine',
        'misdirected_until',
        'took_s',
        'vanished_at',
    )

    def __init__(self, backend: forwarding.Backend) -> None:
        # Its entry in the list, and the same with what it said since.
        self.listed = backend
        self.backend = backend
        # Requests of this entry VM that it has now, and KV memory of those.
        self.in_flight = 0
        self.held_tokens = 0
        self.load: forwarding.Load | None = None
        self.load_at = 0.0
        # How many of this entry VM's requests the load contains.
        self.load_mine = 0
        # Decaying count of failures, as of `fault_at`.
        self.faults = 0.0
        self.fault_at = 0.0
        self.full_until = 0.0
        self.misdirected_until = 0.0
        # Part of its requests that it fails beyond what the best server of its
        # service does, as all entry VMs see it, and when that was told.
        self.failing = 0.0
        self.failing_at = -math.inf
        # Smoothed time of one request, seconds; 0 until one was measured.
        self.took_s = 0.0
        # When it vanished from the list; None while it is listed.
        self.vanished_at: float | None = None

    def faults_now(self, now: float) -> float:
        """Returns the decayed count of failures."""
        if not self.faults:
            return 0.0
        return self.faults * math.exp2((self.fault_at - now) / FAULT_HALF_S)

    def failing_now(self, now: float) -> float:
        """Returns the part of its requests that it fails, if told lately."""
        return self.failing if now - self.failing_at < FAILING_S else 0.0

    def busy(self, now: float) -> float:
        """Returns how many requests it is thought to have."""
        others = 0
        if self.load is not None and now - self.load_at < LOAD_FRESH_S:
            told = self.load.running + self.load.waiting
            others = max(0, told - self.load_mine)
        return self.in_flight + others


class Fleet:
    """All backend servers; owned by one actor."""

    __slots__ = (
        '_born',
        '_data_centre',
        '_random',
        '_tallies',
        'backoffs',
        'departures',
    )

    # By id.
    _tallies: dict[str, Tally]

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._random = rng
        self._tallies = {}
        # Newest start of each server, also of some that are gone; those that
        # wrote last at the end.
        self._born: dict[str, int] = {}
        # Which servers have said that they leave, also some that are not listed.
        self.departures = departures.Departures()
        # Which ones asked for backoff.
        self.backoffs = backoffs.Backoffs()

    def put(self, backend: forwarding.Backend) -> bool:
        """Takes a new or changed entry of the list.

        A later start of a server under its id begins with nothing: neither the
        load, the failures nor the leave of the one before say anything of it.

        Returns:
            Whether it is taken; an entry of an earlier start is not. Taken, it
            would send requests where another start was seen to leave, or take
            a living one for one that leaves.
        """
        if backend.born < self.born(backend.id):
            return False
        self._note_start(backend)
        tally = self._tallies.get(backend.id)
        if tally is None or tally.backend.born < backend.born:
            tally = self._tallies[backend.id] = Tally(backend)
        elif tally.listed != backend:
            tally.misdirected_until = 0.0
        tally.listed = backend
        tally.vanished_at = None
        self.left(backend.id)
        return True

    def left(self, server: str) -> None:
        """Takes a change of what is known of a server's leave."""
        tally = self._tallies.get(server)
        if tally is not None:
            listed = tally.listed
            tally.backend = msgspec.structs.replace(
                listed,
                leaving=listed.leaving
                or self.departures.leaving(server, listed.born),
            )

    def born(self, server: str) -> int:
        """Returns when the newest start of a server was; 0 if not known."""
        return self._born.get(server, 0)

    def remove(self, server: str, now: float, *, store_well: bool) -> None:
        """Takes the end of an entry.

        Args:
            server: The backend server's id.
            now: Seconds.
            store_well: Whether the store answered all the while. If it did
                not, the entry may have lapsed although the server lives.
        """
        tally = self._tallies.get(server)
        if tally is None:
            return
        if store_well or tally.backend.leaving:
            del self._tallies[server]
        elif tally.vanished_at is None:
            tally.vanished_at = now

    def tally(self, server: str) -> Tally | None:
        """Returns what is known of one backend server."""
        return self._tallies.get(server)

    def known(self) -> list[Tally]:
        """Returns all backend servers."""
        return list(self._tallies.values())

    def candidates(
        self,
        service: str,
        now: float,
        stage: forwarding.Stage = '',
        avoid: Iterable[str] = (),
        *,
        repeatable: bool = True,
        in_backoff: bool = False,
    ) -> list[Tally]:
        """Returns the servers that may get work of a service, best first.

        Args:
            service: The service.
            now: Seconds.
            stage: What its engines must do; empty for a plain service.
            avoid: Servers that it must not go to, by id.
            repeatable: Whether it may run again if its answer is lost.
            in_backoff: Whether those count that asked this entry VM to back off.
        """
        loss = RETRY_WEIGHT if repeatable else LOSS_WEIGHT
        self._forget(now)
        passed = frozenset(avoid)
        found = [
            tally
            for tally in self._tallies.values()
            if tally.backend.service == service
            and tally.backend.stage == stage
            and not tally.backend.leaving
            and tally.misdirected_until <= now
            and tally.backend.id not in passed
            and (in_backoff or not self._backoff_s(tally, now))
        ]
        self._random.shuffle(found)
        typical_s = _typical(found)
        found.sort(
            key=lambda tally: (
                self._cost(tally, now, typical_s)
                + loss * tally.failing_now(now)
            )
        )
        return found

    def usable(self, server: str, now: float) -> forwarding.Backend | None:
        """Returns a server if it is known and may get new work."""
        tally = self._tallies.get(server)
        if (
            tally is None
            or tally.backend.leaving
            or self._backoff_s(tally, now)
        ):
            return None
        if _is_lost(tally, now):
            return None
        return tally.backend if tally.misdirected_until <= now else None

    def in_backoff(self, service: str, now: float) -> tuple[str, ...]:
        """Returns the servers that this entry VM must leave alone, by id."""
        return tuple(
            tally.backend.id
            for tally in self._tallies.values()
            if tally.backend.service == service and self._backoff_s(tally, now)
        )

    def backoff_s(
        self, service: str, now: float, stage: forwarding.Stage = ''
    ) -> float:
        """Returns when the first server takes requests again, if all are in backoff.

        Returns:
            Seconds; 0 if one is not, or there is none.
        """
        return min(
            (
                self._backoff_s(tally, now)
                for tally in self._tallies.values()
                if tally.backend.service == service
                and tally.backend.stage == stage
                and not tally.backend.leaving
                and tally.misdirected_until <= now
            ),
            default=0.0,
        )

    def faulty(self, service: str, now: float) -> tuple[str, ...]:
        """Returns servers that failed, or are in backoff elsewhere, if others are left.

        Looked at stage by stage: where all of a stage failed, what they share
        is rather at fault, and they are tried again.
        """
        stages: dict[forwarding.Stage, list[Tally]] = {}
        for tally in self._tallies.values():
            if tally.backend.service == service and not tally.backend.leaving:
                stages.setdefault(tally.backend.stage, []).append(tally)
        found: list[str] = []
        for tallies in stages.values():
            failed = [
                tally.backend.id
                for tally in tallies
                if tally.faults_now(now) > FAULTY
                or self._in_backoff_elsewhere(tally, now)
            ]
            if len(failed) < len(tallies):
                found.extend(failed)
        return tuple(found)

    def sent(self, server: str, tokens: int = 0) -> None:
        """Counts a request that is on its way to a server."""
        tally = self._tallies.get(server)
        if tally is not None:
            tally.in_flight += 1
            tally.held_tokens += tokens

    def ended(self, server: str, tokens: int = 0) -> None:
        """Counts the end of a request."""
        tally = self._tallies.get(server)
        if tally is not None:
            tally.in_flight = max(0, tally.in_flight - 1)
            tally.held_tokens = max(0, tally.held_tokens - tokens)

    def answered(
        self,
        server: str,
        now: float,
        took_s: float | None = None,
    ) -> None:
        """Takes a good answer."""
        tally = self._tallies.get(server)
        if tally is None:
            return
        if took_s is not None:
            old_s = tally.took_s or took_s
            tally.took_s = old_s + _SPEED_SHARE * (took_s - old_s)
        tally.faults = tally.faults_now(now) * 0.5
        tally.fault_at = now

    def loaded(
        self,
        server: str,
        now: float,
        load: forwarding.Load,
        *,
        streams: bool = False,
    ) -> None:
        """Takes the load that an answer told.

        Args:
            server: The server's id.
            now: Seconds.
            load: What it said.
            streams: Whether it is still at work on what it answered.
        """
        tally = self._tallies.get(server)
        if tally is None:
            return
        tally.load = load
        tally.load_at = now
        tally.load_mine = max(0, tally.in_flight - (not streams))

    def failed(self, server: str, now: float) -> None:
        """Takes a reset, a garbled answer, silence or an error."""
        tally = self._tallies.get(server)
        if tally is not None:
            tally.faults = tally.faults_now(now) + 1.0
            tally.fault_at = now

    def told_failing(self, rates: Mapping[str, float], now: float) -> None:
        """Takes what part of their requests servers fail, as all see it."""
        least: dict[str, float] = {}
        for server, rate in rates.items():
            tally = self._tallies.get(server)
            if tally is not None:
                name = tally.backend.service
                least[name] = min(rate, least.get(name, 1.0))
        for server, rate in rates.items():
            tally = self._tallies.get(server)
            if tally is not None:
                tally.failing = rate - least[tally.backend.service]
                tally.failing_at = now

    def full(self, server: str, now: float) -> None:
        """Takes a refusal for want of room."""
        tally = self._tallies.get(server)
        if tally is not None:
            tally.full_until = now + FULL_S

    def not_run(self, server: str, now: float, *, misdirected: bool) -> None:
        """Takes a promise that a request did not run.

        Args:
            server: The server's id.
            now: Seconds.
            misdirected: Whether another server has its address now; else it had
                no room.
        """
        if misdirected:
            tally = self._tallies.get(server)
            if tally is not None:
                tally.misdirected_until = now + MISDIRECTED_S
        else:
            self.full(server, now)

    def _note_start(self, backend: forwarding.Backend) -> None:
        if not backend.born:
            return
        self._born.pop(backend.id, None)
        self._born[backend.id] = backend.born
        if len(self._born) > _STARTS:
            del self._born[next(iter(self._born))]

    def _forget(self, now: float) -> None:
        for server, tally in list(self._tallies.items()):
            if _is_lost(tally, now):
                del self._tallies[server]

    def _backoff_s(self, tally: Tally, now: float) -> float:
        backend = tally.backend
        return self.backoffs.own_s(now, backend.id, backend.born)

    def _in_backoff_elsewhere(self, tally: Tally, now: float) -> bool:
        backend = tally.backend
        return self.backoffs.told_s(now, backend.id, backend.born) > 0

    def _cost(self, tally: Tally, now: float, typical_s: float) -> float:
        """Returns how long a new request would wait there, in requests."""
        speed = tally.took_s / typical_s if typical_s and tally.took_s else 1.0
        cost = (tally.busy(now) + 1.0) * max(speed, 0.5)
        cost += FAULT_WEIGHT * tally.faults_now(now)
        if tally.full_until > now:
            cost += FAULT_WEIGHT
        if self._in_backoff_elsewhere(tally, now):
            cost += BACKOFF_WEIGHT
        if tally.backend.data_centre != self._data_centre:
            # Breaks ties only: bytes between data centres cost a little.
            cost += 0.1
        return cost


def _is_lost(tally: Tally, now: float) -> bool:
    """Whether a server vanished from the list and did not come again."""
    vanished_at = tally.vanished_at
    return vanished_at is not None and now - vanished_at > VANISHED_S


def _typical(tallies: list[Tally]) -> float:
    """Returns the median time of a request, seconds; 0 if none was measured."""
    times = sorted(tally.took_s for tally in tallies if tally.took_s)
    return times[len(times) // 2] if times else 0.0
