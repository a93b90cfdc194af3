"""Settings of one daemon, as read from its file.

`settings.py` reads the file, validates it and reports all faults at once.
"""

from typing import Annotated
from typing import Final
from typing import Literal

import msgspec

_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
# Rate of a link of one gigabit per second, bytes per second.
DEFAULT_LINK_BYTES_PER_S: Final = 125_000_000.0
# Memory of a small VM, bytes.
DEFAULT_MEMORY_BYTES: Final = 128_000_000.0
_Address = Annotated[
    str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]


class Options(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a daemon, read at its start."""

    # Role of this process.
    role: Literal['entry', 'keeper']
    # Name of the VM that this process runs on.
    entry_vm: Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9-]{1,40}$')]
    # Data centre of the VM.
    data_centre: Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9-]{1,40}$')]
    # Address for callers; only an entry has one. The kernel chooses for port 0.
    caller_address: _Address = '127.0.0.1:0'
    # Address for the other processes of the system.
    peer_address: _Address = '127.0.0.1:0'
    # Address on which operators read state, metrics and readiness.
    admin_address: _Address = '127.0.0.1:0'
    # Address of the keeper of this VM; only an entry needs it.
    keeper: _Address = '127.0.0.1:1'
    # Addresses of other keepers, used while the platform's VM list can't be
    # read. Without them, a VM started during an outage could reach no peer.
    seeds: tuple[_Address, ...] = ()
    # Address of the platform's log and VM list.
    platform: _Address
    # Secret for signing tickets; the same on every entry VM.
    secret: Annotated[str, msgspec.Meta(min_length=16, max_length=256)]
    # File for the addresses in use, needed with port 0; empty for none.
    address_file: str = ''
    # Time between heartbeats to other processes, seconds.
    heartbeat_s: _Seconds = 1.0
    # Time without a heartbeat after which a process counts as removed, seconds.
    silence_s: _Seconds = 3.0
    # Time between reads of the platform's log and list, seconds.
    poll_s: _Seconds = 0.5
    # Timeout of one request to the platform, seconds.
    platform_timeout_s: _Seconds = 1.0
    # Age of the last contact with log or peer above which a keeper no longer
    # confirms that its preset is in force, seconds.
    freshness_s: _Seconds = 30.0
    # Time for which the work of a crashed holder is kept for a resume, seconds.
    grace_s: _Seconds = 5.0
    # Lifetime of a ticket, seconds.
    ticket_life_s: _Seconds = 600.0
    # Longest duration of a graceful shutdown, seconds.
    drain_s: _Seconds = 600.0
    # Largest number of requests that one entry serves at once.
    threads: Annotated[int, msgspec.Meta(ge=4, le=2000)] = 64
    # Longest time for a caller to send its request, seconds.
    caller_timeout_s: _Seconds = 10.0
    # Lowest severity that is logged.
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'


class RouterOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a router, read at its start by its adapter."""

    # Name of the VM that this process runs on.
    entry_vm: str
    # Data centre of the VM.
    data_centre: str
    # Address for callers.
    caller_address: str
    # Address on which the load balancer checks whether this VM accepts callers.
    ready_address: str
    # Address for the other entry VMs.
    peer_address: str
    # Address at which connections to backend servers are relayed for them.
    relay_address: str = '127.0.0.1:0'
    # CPU time that this process may use, cores.
    cores: float = 1.0
    # Rate of the VM's network link, bytes per second.
    link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S
    # Memory that this process may use, bytes.
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    # IP address on which operators read state and metrics.
    admin_host: str
    # Address of the platform's store.
    store: str
    # Peer addresses of some entry VMs; some of them may be down.
    seeds: tuple[str, ...] = ()
    # Time after which a leaving backend server gets no new requests, seconds.
    leaving_s: float = 2.0
    # Time between SIGTERM and SIGKILL, seconds.
    grace_s: float = 8.0
    # Shortest time between orders of two entry VMs to one engine, seconds.
    lease_s: float = 3.0
    # Sends after the first that all entry VMs together may make in any window
    # of this length (seconds): per request, and in addition to that.
    retry_ratio: float = 0.2
    retry_burst: float = 0.0
    retry_window_s: float = 10.0
    # Allowed use of a client account above its limit in any window of this
    # length (seconds): as a part of the limit, and in units.
    limit_window_s: float = 8.0
    limit_overage: float = 0.0
    limit_slack: float = 0.0
    # Whether all entry VMs start for the first time, so that no earlier process
    # has made sends after a first one.
    first_start: bool = False
    # Largest number of caller requests served at once. A waiting
    # thread uses about 0.1 MB.
    threads: int = 96
