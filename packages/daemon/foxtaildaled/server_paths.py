"""Opens connections to backend servers, directly or through other entry VMs.

A server that can't be connected to is tried through another entry VM. If that
VM reaches it, the path from here is lost and the connection is used; if it does
not, the server is down. Servers that only others reach are probed until they
are reached directly again.
"""

from collections.abc import Callable
import contextlib
import logging
import random
import threading
from typing import Final

from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import relay_choice
from foxtaildale import server_reach
from foxtaildale_adapters import connection_relay
from foxtaildale_adapters import connectors
from foxtaildale_adapters import logs
from foxtaildale_adapters import probe

# Timeout for another VM to open a connection, seconds. It gives up a connection
# to the server after `connection_relay.CONNECT_TIMEOUT_S`, and probes another
# server then.
RELAY_TIMEOUT_S: Final = 0.3
# Number of VMs that are tried for one connection, while some servers are
# reached directly; while none is, all candidates are tried.
MAX_RELAYS: Final = 2
# Interval between rounds of probes, number of servers probed in a round, and
# timeout of one probe, seconds.
PROBE_INTERVAL_S: Final = 0.5
PROBES_PER_ROUND: Final = 3
PROBE_TIMEOUT_S: Final = 0.1
# Interval of a loop that has nothing to probe, seconds; it is woken.
IDLE_INTERVAL_S: Final = 10.0


class ServerPaths:
    """A `connectors.Connector`, a `ports.Probe` and a `connection_relay.Gate`.

    Safe for concurrent use.
    """

    __slots__ = (
        '_clock',
        '_direct',
        '_entry_vms',
        '_lock',
        '_reach',
        '_relays',
        '_rng',
        '_servers',
        '_unverified',
        'on_changed',
        'on_probe_needed',
    )

    def __init__(
        self,
        *,
        direct: connectors.Connector,
        entry_vm: str,
        data_centre: str,
        entry_vms: Callable[[], dict[str, forwarding.EntryVm]],
        servers: Callable[[], list[str]],
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        """Initializes the paths.

        Args:
            direct: Connects to the servers themselves.
            entry_vm: Name of this entry VM.
            data_centre: Its data centre.
            entry_vms: Returns all entry VMs by name.
            servers: Returns the addresses of all listed backend servers.
            clock: Returns the time, seconds.
            rng: Chooses relays and servers to probe.
        """
        self._direct = direct
        self._entry_vms = entry_vms
        self._servers = servers
        self._clock = clock
        self._rng = rng
        # Guards the decisions below.
        self._lock = threading.Lock()
        self._reach = server_reach.ServerReach()
        self._relays = relay_choice.RelayChoice(entry_vm, data_centre, rng)
        # Silent servers that no other VM has been asked for yet.
        self._unverified: set[str] = set()
        # Called when all paths are lost, and when the first one is back:
        # connections that are kept for reuse belong to the state before.
        self.on_changed: Callable[[], None] = lambda: None
        # Called when a server is no longer reached directly.
        self.on_probe_needed: Callable[[], None] = lambda: None

    def connect(self, address: str, timeout_s: float) -> connectors.Opened:
        """Opens a connection; see `connectors.Connector`."""
        error: OSError | None = None
        with self._lock:
            is_direct = self._reach.is_direct(address)
        if is_direct:
            try:
                opened = self._direct.connect(address, timeout_s)
            except OSError as exc:
                error = exc
                self._record_failure(address, exc)
            else:
                self._record_success(address)
                return opened
        with self._lock:
            is_down = self._reach.is_down(address, self._clock())
            # A server that is silent has taken its time already; another one is
            # tried sooner than this one through another VM.
            defers = isinstance(error, TimeoutError) and not self._reach.is_lost
            if defers and not is_down:
                self._unverified.add(address)
        if defers:
            self.on_probe_needed()
        if is_down or defers:
            raise error or ConnectionRefusedError(f'{address} is down')
        return self._connect_through_peer(address, error)

    def check(self, address: str) -> ports.ProbeResult:
        """Returns whether a server is up; see `ports.Probe`.

        A server that is not reached from here is probed by another VM as well:
        a partition may refuse connections in the place of the server.
        """
        result = probe.Probe(self._direct).check(address)
        if result == 'open':
            self._record_success(address)
            return result
        self._record_failure(address, OSError(f'{address} is {result}'))
        try:
            self._connect_through_peer(address, None).sock.close()
        except connectors.NoPathError:
            return 'silent' if self.is_lost() else result
        except ConnectionRefusedError:
            return 'refused'
        except OSError:
            return 'silent'
        return 'open'

    def refusal(self, address: str) -> messages.RelayResult | None:
        """Returns why no connection is relayed; None if it is."""
        with self._lock:
            if self._reach.is_lost:
                return 'isolated'
        return None if address in self._servers() else 'unknown'

    def record(
        self, address: str, result: messages.RelayResult
    ) -> messages.RelayResult:
        """Records a connection that was relayed or not; returns the result.

        A server that is not reached is down only if another one is reached.
        """
        if result == 'open':
            self._record_success(address)
            return result
        self._record_failure(address, OSError(f'{address} is {result}'))
        with self._lock:
            relayed = self._reach.relayed_servers()
        others = [
            other
            for other in self._servers()
            if other != address and other not in relayed
        ]
        if others and self._probe(self._rng.choice(others)):
            return result
        return 'isolated'

    def probe_lost(self) -> None:
        """Probes servers that are not reached directly; called by a loop."""
        servers = self._servers()
        with self._lock:
            self._reach.retain(servers)
            unverified = self._unverified & set(servers)
            self._unverified.clear()
        for address in unverified:
            with contextlib.suppress(OSError):
                self._connect_through_peer(address, None).sock.close()
        with self._lock:
            is_lost = self._reach.is_lost
            relayed = self._reach.relayed_servers()
        candidates = servers if is_lost else list(relayed)
        count = min(PROBES_PER_ROUND, len(candidates))
        for address in self._rng.sample(candidates, count):
            self._probe(address)

    def interval_s(self) -> float:
        """Returns the time until the next round of probes, seconds."""
        with self._lock:
            needs_probes = self._reach.needs_probes
        return PROBE_INTERVAL_S if needs_probes else IDLE_INTERVAL_S

    def is_lost(self) -> bool:
        """Whether this VM reaches no backend server directly."""
        with self._lock:
            return self._reach.is_lost

    def _probe(self, address: str) -> bool:
        """Connects to a server directly; returns whether it was reached."""
        try:
            self._direct.connect(address, PROBE_TIMEOUT_S).sock.close()
        except OSError as exc:
            self._record_failure(address, exc)
            return False
        self._record_success(address)
        return True

    def _connect_through_peer(
        self, address: str, error: OSError | None
    ) -> connectors.Opened:
        """Opens a connection through another VM.

        Args:
            address: 'IP:PORT' of the server.
            error: Why it was not reached directly; None if that was not tried.

        Raises:
            connectors.NoPathError: No other VM could tell of the server.
            OSError: The server is down.
        """
        vms = self._entry_vms()
        with self._lock:
            names = self._relays.candidates(vms, self._clock())
            if not self._reach.is_lost:
                names = names[:MAX_RELAYS]
        for name in names:
            try:
                opened = connection_relay.connect_through(
                    vms[name].relay_address, address, RELAY_TIMEOUT_S
                )
            except connection_relay.RelayError as exc:
                logs.event(
                    logging.INFO,
                    'relay failed',
                    address=address,
                    via=name,
                    result=exc.result,
                    error=str(exc),
                )
                if exc.result in ('refused', 'silent'):
                    self._record_down(name, address)
                    is_refused = exc.result == 'refused'
                    kind = (
                        ConnectionRefusedError if is_refused else TimeoutError
                    )
                    raise error or kind(str(exc)) from exc
                with self._lock:
                    if exc.result:
                        self._relays.record(name, self._clock(), relayed=False)
                    else:
                        self._relays.record_silence(name, self._clock())
                continue
            self._record_relayed(name, address, error)
            opened.via = name
            return opened
        if error is not None and not self.is_lost():
            raise error
        raise connectors.NoPathError(f'no entry VM reaches {address}')

    def _record_success(self, address: str) -> None:
        with self._lock:
            lost_at = self._reach.lost_at
            self._reach.record_success(address)
        self._notify_if_reached(lost_at)

    def _notify_if_reached(self, lost_at: float | None) -> None:
        """Logs that servers are reached again, if they were not before."""
        if lost_at is None or self.is_lost():
            return
        after_ms = int((self._clock() - lost_at) * 1000)
        logs.event(logging.INFO, 'servers reached', after_ms=after_ms)
        self.on_changed()

    def _record_failure(self, address: str, exc: OSError) -> None:
        with self._lock:
            was_lost = self._reach.is_lost
            self._reach.record_failure(address, self._clock())
            is_lost = self._reach.is_lost
            failed = self._reach.failed_servers()
        if is_lost and not was_lost:
            logs.event(
                logging.WARNING,
                'servers unreachable',
                addresses=failed,
                error=str(exc),
            )
            self.on_changed()
            self.on_probe_needed()

    def _record_relayed(
        self, name: str, address: str, error: OSError | None
    ) -> None:
        with self._lock:
            self._relays.record(name, self._clock(), relayed=True)
            is_new = self._reach.record_relayed(address)
        if is_new:
            logs.event(
                logging.INFO,
                'server reached by relay',
                address=address,
                via=name,
                error=str(error or ''),
            )
            self.on_probe_needed()

    def _record_down(self, name: str, address: str) -> None:
        with self._lock:
            lost_at = self._reach.lost_at
            self._relays.record(name, self._clock(), relayed=True)
            self._reach.record_down(address, self._clock())
        self._notify_if_reached(lost_at)
