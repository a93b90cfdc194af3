"""State of the backend servers as seen by one entry VM, and their ranking.

An entry VM sees only its own requests and what responses report. For each
candidate the choice therefore weighs three things: the load in its last
response while that is fresh, the requests that this entry VM has in flight
there, and how recent requests fared, those of this entry VM and those of all
(`failure_rates`). A server that fails, stalls or sheds load loses weight for a
few seconds and then gets a request again, so that a recovered server is found
without probes.

This module does no I/O; the time is an argument.
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
from foxtaildale import server_uptimes
from foxtaildale import stream_origins

# How long a load report counts, seconds. Requests of plain services take about
# 60 ms, so an older report does not describe the current load.
LOAD_FRESH_S: Final = 0.5
# Time in which a failure loses half of its weight, seconds. A server that fails
# only in part is tried again about every three seconds at the request rates of
# the smallest site.
FAILURE_HALF_LIFE_S: Final = 3.0
# Weight of one failure, in queued requests: a server with one failure is chosen
# only if its queue is this much shorter. A plain server has six slots, so one
# failure weighs as much as a full server.
FAILURE_WEIGHT: Final = 6.0
# Weights of a server that fails all of its requests, in queued requests. The
# first is for a request that may run only once, whose caller then gets no
# response; the second is for a request that is sent again to another server. A
# queue of 20 makes a request late.
LOSS_WEIGHT: Final = 50.0
RETRY_WEIGHT: Final = 6.0
# Weight of a server that requested backoff from other entry VMs, in queued
# requests.
BACKOFF_WEIGHT: Final = 20.0
# How long a reported failure rate counts, seconds; it is reported every 0.4 s.
FAILURE_RATE_TTL_S: Final = 1.5
# Decayed number of failures above which a server is excluded from the plan. One
# failure excludes it for three seconds.
MAX_FAILURES: Final = 0.5
# How long a server that refused a request because it was full is ranked lower,
# seconds. About one in ten slots becomes free in this time.
FULL_PENALTY_S: Final = 0.08
# How long a server is still used after it vanished from the list while the
# store was unhealthy, seconds. Entries of running servers reappear within two
# seconds after the store recovers. A leaving server must get no requests later
# than two seconds after its departure was observed, so the time stays below
# that bound.
VANISHED_GRACE_S: Final = 1.5
# How long a server is excluded after another server responded at its address,
# seconds. This is one heartbeat, within which its entry is renewed, changed or
# removed.
MISDIRECTED_EXCLUSION_S: Final = 1.2
# Maximum number of servers whose newest incarnation is remembered; a deployment
# lists fewer.
_MAX_INCARNATIONS: Final = 4096
# Weight of a new measurement in the smoothed request time.
_SMOOTHING: Final = 0.2


class ServerState:
    """The state of one backend server beyond its entry in the list."""

    __slots__ = (
        'backend',
        'excess_failure_rate',
        'failure_rate_at',
        'failures',
        'failures_at',
        'full_until',
        'in_flight',
        'in_flight_tokens',
        'listed',
        'load',
        'load_at',
        'load_own',
        'misdirected_until',
        'request_s',
        'vanished_at',
    )

    def __init__(self, backend: forwarding.Backend) -> None:
        # Its entry in the list, and the entry updated with what it announced
        # since.
        self.listed = backend
        self.backend = backend
        # Requests of this entry VM that are in flight there, and their KV
        # cache, tokens.
        self.in_flight = 0
        self.in_flight_tokens = 0
        self.load: forwarding.Load | None = None
        self.load_at = 0.0
        # How many requests of this entry VM are included in the load.
        self.load_own = 0
        # Decaying number of failures, as of `failures_at`.
        self.failures = 0.0
        self.failures_at = 0.0
        self.full_until = 0.0
        self.misdirected_until = 0.0
        # Fraction of its requests that it fails, as seen by all entry VMs,
        # minus that of the best server of its service; and when it was
        # reported, seconds.
        self.excess_failure_rate = 0.0
        self.failure_rate_at = -math.inf
        # Smoothed time of one request, seconds; 0 until one was measured.
        self.request_s = 0.0
        # When it vanished from the list; None while it is listed.
        self.vanished_at: float | None = None

    def decayed_failures(self, now: float) -> float:
        """Returns the decayed number of failures."""
        if not self.failures:
            return 0.0
        return self.failures * math.exp2(
            (self.failures_at - now) / FAILURE_HALF_LIFE_S
        )

    def current_failure_rate(self, now: float) -> float:
        """Returns its excess failure rate; 0 if there is no fresh report."""
        return (
            self.excess_failure_rate
            if now - self.failure_rate_at < FAILURE_RATE_TTL_S
            else 0.0
        )

    def estimated_requests(self, now: float) -> float:
        """Returns the estimated number of requests that it has."""
        others = 0
        if self.load is not None and now - self.load_at < LOAD_FRESH_S:
            reported = self.load.running + self.load.waiting
            others = max(0, reported - self.load_own)
        return self.in_flight + others


class Fleet:
    """All backend servers. An instance is used by one actor only."""

    __slots__ = (
        '_data_centre',
        '_random',
        '_started_at',
        '_states',
        '_version_seen_at',
        'backoffs',
        'departures',
        'uptimes',
    )

    # By id of the server.
    _states: dict[str, ServerState]

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._random = rng
        self._states = {}
        # When the newest incarnation of each server started, Unix milliseconds;
        # also of some removed servers. The most recently updated are at the
        # end.
        self._started_at: dict[str, int] = {}
        # When a server that was removed or replaced last had a software version,
        # seconds, by service and version.
        self._version_seen_at: dict[tuple[str, str], float] = {}
        # Servers that announced that they leave, including some that are not
        # listed.
        self.departures = departures.Departures()
        # Servers that requested backoff.
        self.backoffs = backoffs.Backoffs()
        # When servers ran, by their responses to this entry VM.
        self.uptimes = server_uptimes.ServerUptimes()

    def put(self, backend: forwarding.Backend, now: float = 0.0) -> bool:
        """Applies a new or changed entry of the list.

        A later incarnation of a server begins with an empty state: neither the
        load, the failures nor the departure of the previous one apply to it.

        Args:
            backend: The entry.
            now: Seconds.

        Returns:
            Whether the entry is applied. An entry of an earlier incarnation is
            not: it would direct requests to an incarnation that left, or mark a
            running one as leaving.
        """
        if backend.born < self.started_at(backend.id):
            return False
        self._record_incarnation(backend)
        state = self._states.get(backend.id)
        if state is not None and (
            state.listed.version != backend.version
            or state.listed.stage != backend.stage
        ):
            self._record_version(state, now)
        if state is None or state.backend.born < backend.born:
            state = self._states[backend.id] = ServerState(backend)
        elif state.listed != backend:
            state.misdirected_until = 0.0
        state.listed = backend
        state.vanished_at = None
        self.update_departure(backend.id)
        return True

    def update_departure(self, server: str) -> None:
        """Updates a server after a change in `departures`."""
        state = self._states.get(server)
        if state is not None:
            listed = state.listed
            state.backend = msgspec.structs.replace(
                listed,
                leaving=listed.leaving
                or self.departures.is_leaving(server, listed.born),
            )

    def started_at(self, server: str) -> int:
        """Returns when a server's newest incarnation started; 0 if unknown."""
        return self._started_at.get(server, 0)

    def remove(self, server: str, now: float, *, store_healthy: bool) -> None:
        """Handles the removal of an entry from the list.

        Args:
            server: The backend server's id.
            now: Seconds.
            store_healthy: Whether the store was reachable all the time. If it
                was not, the entry may have expired although the server runs.
        """
        state = self._states.get(server)
        if state is None:
            return
        if store_healthy or state.backend.leaving:
            self._record_version(state, now)
            del self._states[server]
        elif state.vanished_at is None:
            state.vanished_at = now

    def server_state(self, server: str) -> ServerState | None:
        """Returns the state of one backend server; None if it is not known."""
        return self._states.get(server)

    def addresses(self) -> list[str]:
        """Returns the addresses of all backend servers."""
        return [state.backend.address for state in self._states.values()]

    def server_states(self) -> list[ServerState]:
        """Returns the states of all backend servers."""
        return list(self._states.values())

    def versions(self, service: str, now: float) -> frozenset[str]:
        """Returns the software versions that may have begun recent streams."""
        listed = {
            state.listed.version
            for state in self._states.values()
            if state.listed.service == service and _begins_streams(state)
        }
        removed = {
            version
            for (name, version), seen_at in self._version_seen_at.items()
            if name == service and now - seen_at < stream_origins.ORIGIN_TTL_S
        }
        return frozenset(listed | removed)

    def accepting_versions(self, service: str, now: float) -> dict[str, int]:
        """Returns the software versions that begin streams.

        Returns:
            The number of servers by version.
        """
        counts: dict[str, int] = {}
        for state in self._states.values():
            if (
                state.backend.service == service
                and _begins_streams(state)
                and not state.backend.leaving
                and not _is_lost(state, now)
            ):
                version = state.backend.version
                counts[version] = counts.get(version, 0) + 1
        return counts

    def servers_of_version(
        self, service: str, now: float, stage: forwarding.Stage, version: str
    ) -> frozenset[str]:
        """Returns the servers of a software version that may get new requests.

        Servers that are full, failing or in backoff count.
        """
        return frozenset(
            state.backend.id
            for state in self._states.values()
            if state.backend.service == service
            and state.backend.stage == stage
            and state.backend.version == version
            and not state.backend.leaving
            and not _is_lost(state, now)
        )

    def candidates(
        self,
        service: str,
        now: float,
        stage: forwarding.Stage = '',
        avoid: Iterable[str] = (),
        *,
        version: str = '',
        repeatable: bool = True,
        in_backoff: bool = False,
    ) -> list[ServerState]:
        """Returns the servers that may get requests of a service, best first.

        Args:
            service: The service.
            now: Seconds.
            stage: Stage of its engines; empty for a plain service.
            avoid: Ids of servers to exclude.
            version: Software version of the servers; empty for any.
            repeatable: Whether the request may run again if its response is
                lost.
            in_backoff: Whether to include servers that requested backoff from
                this entry VM.
        """
        failure_weight = RETRY_WEIGHT if repeatable else LOSS_WEIGHT
        self._remove_lost(now)
        avoided = frozenset(avoid)
        servers = [
            state
            for state in self._states.values()
            if state.backend.service == service
            and state.backend.stage == stage
            and version in ('', state.backend.version)
            and not state.backend.leaving
            and state.misdirected_until <= now
            and state.backend.id not in avoided
            and (in_backoff or not self._backoff_s(state, now))
        ]
        self._random.shuffle(servers)
        median_s = _median_request_s(servers)
        servers.sort(
            key=lambda state: (
                self._cost(state, now, median_s)
                + failure_weight * state.current_failure_rate(now)
            )
        )
        return servers

    def usable(self, server: str, now: float) -> forwarding.Backend | None:
        """Returns a server if it is known and may get new requests."""
        state = self._states.get(server)
        if (
            state is None
            or state.backend.leaving
            or self._backoff_s(state, now)
        ):
            return None
        if _is_lost(state, now):
            return None
        return state.backend if state.misdirected_until <= now else None

    def in_backoff(self, service: str, now: float) -> tuple[str, ...]:
        """Returns the ids of the servers from which this entry VM backs off."""
        return tuple(
            state.backend.id
            for state in self._states.values()
            if state.backend.service == service and self._backoff_s(state, now)
        )

    def backoff_s(
        self,
        service: str,
        now: float,
        stage: forwarding.Stage = '',
        version: str = '',
    ) -> float:
        """Returns when the first backoff ends, if all servers are in backoff.

        Args:
            service: The service.
            now: Seconds.
            stage: Stage of its engines; empty for a plain service.
            version: Software version of the servers; empty for any.

        Returns:
            Seconds from now; 0 if a server is not in backoff, or there is none.
        """
        return min(
            (
                self._backoff_s(state, now)
                for state in self._states.values()
                if state.backend.service == service
                and state.backend.stage == stage
                and version in ('', state.backend.version)
                and not state.backend.leaving
                and state.misdirected_until <= now
            ),
            default=0.0,
        )

    def faulty(
        self, service: str, now: float, version: str = ''
    ) -> tuple[str, ...]:
        """Returns servers that failed or are in backoff elsewhere.

        Each stage is evaluated separately. If all servers of a stage failed, a
        shared cause is more likely; they are left out and tried again.

        Args:
            service: The service.
            now: Seconds.
            version: Software version to which the decode workers are limited;
                empty for all.
        """
        stages: dict[forwarding.Stage, list[ServerState]] = {}
        for state in self._states.values():
            if (
                state.backend.service == service
                and not state.backend.leaving
                and (
                    state.backend.stage == 'prefill'
                    or version in ('', state.backend.version)
                )
            ):
                stages.setdefault(state.backend.stage, []).append(state)
        faulty: list[str] = []
        for states in stages.values():
            failed = [
                state.backend.id
                for state in states
                if state.decayed_failures(now) > MAX_FAILURES
                or self._in_backoff_elsewhere(state, now)
            ]
            if len(failed) < len(states):
                faulty.extend(failed)
        return tuple(faulty)

    def record_sent(self, server: str, tokens: int = 0) -> None:
        """Counts a request that is sent to a server."""
        state = self._states.get(server)
        if state is not None:
            state.in_flight += 1
            state.in_flight_tokens += tokens

    def record_finished(self, server: str, tokens: int = 0) -> None:
        """Counts a request that is no longer in flight."""
        state = self._states.get(server)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)
            state.in_flight_tokens = max(0, state.in_flight_tokens - tokens)

    def record_success(
        self,
        server: str,
        now: float,
        took_s: float | None = None,
    ) -> None:
        """Records a successful response."""
        state = self._states.get(server)
        if state is None:
            return
        if took_s is not None:
            old_s = state.request_s or took_s
            state.request_s = old_s + _SMOOTHING * (took_s - old_s)
        state.failures = state.decayed_failures(now) * 0.5
        state.failures_at = now

    def record_load(
        self,
        server: str,
        now: float,
        load: forwarding.Load,
        *,
        streaming: bool = False,
    ) -> None:
        """Records the load that a response reported.

        Args:
            server: The server's id.
            now: Seconds.
            load: The reported load.
            streaming: Whether the server is still streaming the response.
        """
        state = self._states.get(server)
        if state is None:
            return
        state.load = load
        state.load_at = now
        state.load_own = max(0, state.in_flight - (not streaming))

    def record_failure(self, server: str, now: float) -> None:
        """Records a reset, a malformed response, a timeout or an error."""
        state = self._states.get(server)
        if state is not None:
            state.failures = state.decayed_failures(now) + 1.0
            state.failures_at = now

    def update_failure_rates(
        self, rates: Mapping[str, float], now: float
    ) -> None:
        """Applies the failure rates of servers, as seen by all entry VMs."""
        min_rates: dict[str, float] = {}
        for server, rate in rates.items():
            state = self._states.get(server)
            if state is not None:
                service_name = state.backend.service
                min_rates[service_name] = min(
                    rate, min_rates.get(service_name, 1.0)
                )
        for server, rate in rates.items():
            state = self._states.get(server)
            if state is not None:
                state.excess_failure_rate = (
                    rate - min_rates[state.backend.service]
                )
                state.failure_rate_at = now

    def record_full(self, server: str, now: float) -> None:
        """Records a refusal by a server that is full."""
        state = self._states.get(server)
        if state is not None:
            state.full_until = now + FULL_PENALTY_S

    def record_not_run(
        self, server: str, now: float, *, misdirected: bool
    ) -> None:
        """Records a server's statement that a request did not run.

        Args:
            server: The server's id.
            now: Seconds.
            misdirected: Whether another server has its address now; else the
                server is full.
        """
        if misdirected:
            state = self._states.get(server)
            if state is not None:
                state.misdirected_until = now + MISDIRECTED_EXCLUSION_S
        else:
            self.record_full(server, now)

    def _record_version(self, state: ServerState, now: float) -> None:
        """Records the version of a server that is removed or changed."""
        if not _begins_streams(state):
            return
        for key, seen_at in list(self._version_seen_at.items()):
            if now - seen_at >= stream_origins.ORIGIN_TTL_S:
                del self._version_seen_at[key]
        key = (state.listed.service, state.listed.version)
        self._version_seen_at[key] = now

    def _record_incarnation(self, backend: forwarding.Backend) -> None:
        if not backend.born:
            return
        self._started_at.pop(backend.id, None)
        self._started_at[backend.id] = backend.born
        if len(self._started_at) > _MAX_INCARNATIONS:
            del self._started_at[next(iter(self._started_at))]

    def _remove_lost(self, now: float) -> None:
        for server, state in list(self._states.items()):
            if _is_lost(state, now):
                self._record_version(state, now)
                del self._states[server]

    def _backoff_s(self, state: ServerState, now: float) -> float:
        backend = state.backend
        return self.backoffs.local_s(now, backend.id, backend.born)

    def _in_backoff_elsewhere(self, state: ServerState, now: float) -> bool:
        backend = state.backend
        return self.backoffs.remote_s(now, backend.id, backend.born) > 0

    def _cost(self, state: ServerState, now: float, median_s: float) -> float:
        """Returns the estimated queue ahead of a new request, in requests."""
        slowness = (
            state.request_s / median_s if median_s and state.request_s else 1.0
        )
        cost = (state.estimated_requests(now) + 1.0) * max(slowness, 0.5)
        cost += FAILURE_WEIGHT * state.decayed_failures(now)
        if state.full_until > now:
            cost += FAILURE_WEIGHT
        if self._in_backoff_elsewhere(state, now):
            cost += BACKOFF_WEIGHT
        if state.backend.data_centre != self._data_centre:
            # Breaks ties only: traffic between data centres costs slightly
            # more.
            cost += 0.1
        return cost


def _begins_streams(state: ServerState) -> bool:
    """Whether a server sends events to callers."""
    return state.listed.stage != 'prefill'


def _is_lost(state: ServerState, now: float) -> bool:
    """Whether a server vanished from the list and did not reappear in time."""
    vanished_at = state.vanished_at
    return vanished_at is not None and now - vanished_at > VANISHED_GRACE_S


def _median_request_s(states: list[ServerState]) -> float:
    """Returns the median time of a request, seconds; 0 if none was measured."""
    times = sorted(state.request_s for state in states if state.request_s)
    return times[len(times) // 2] if times else 0.0
