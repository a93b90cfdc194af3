"""Settings of one daemon, as read from its file.

One class holds them all, a comment a field. `settings.py` reads the file,
checks it as a whole and names every fault at once.
"""

from typing import Annotated
from typing import Literal

import msgspec

_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
_Address = Annotated[
    str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]


class Options(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Everything a daemon is told at its start."""

    # What this process does.
    role: Literal['entry', 'keeper']
    # Name of the VM that it runs on.
    entry_vm: Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9-]{1,40}$')]
    # Data centre of the VM.
    data_centre: Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9-]{1,40}$')]
    # Where callers connect; only an entry has it. Port 0 lets the kernel choose.
    caller_address: _Address = '127.0.0.1:0'
    # Where the other processes of the system connect.
    peer_address: _Address = '127.0.0.1:0'
    # Where operators read state, metrics and readiness.
    admin_address: _Address = '127.0.0.1:0'
    # The keeper of this VM; only an entry needs it.
    keeper: _Address = '127.0.0.1:1'
    # Other keepers, asked while the platform's VM list can't be read; a VM that
    # is started in an outage would otherwise know nobody.
    seeds: tuple[_Address, ...] = ()
    # The platform's log and VM list.
    platform: _Address
    # Secret that tickets are signed with; the same on every entry VM.
    secret: Annotated[str, msgspec.Meta(min_length=16, max_length=256)]
    # File that receives the addresses in use, for port 0; empty for none.
    address_file: str = ''
    # Time between heartbeats to other processes, seconds.
    heartbeat_s: _Seconds = 1.0
    # Silence after which a process counts as gone, seconds.
    silence_s: _Seconds = 3.0
    # Time between reads of the platform's log and list, seconds.
    poll_s: _Seconds = 0.5
    # Longest wait for one answer of the platform, seconds.
    platform_timeout_s: _Seconds = 1.0
    # Age of the last contact with log or peer above which a keeper no longer
    # vouches for its preset, seconds.
    freshness_s: _Seconds = 30.0
    # How long a dead holder's work is kept for a resume, seconds.
    grace_s: _Seconds = 5.0
    # Life of a ticket, seconds.
    ticket_life_s: _Seconds = 600.0
    # Longest a graceful shutdown may take, seconds.
    drain_s: _Seconds = 600.0
    # Requests that one entry serves at once.
    threads: Annotated[int, msgspec.Meta(ge=4, le=2000)] = 64
    # Time a caller may take to send its request, seconds.
    caller_timeout_s: _Seconds = 10.0
    # Lowest severity that is logged.
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'


class RouterOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What a router is told at its start; its adapter reads the file."""

    # Name of the VM that it runs on.
    entry_vm: str
    # Data centre of the VM.
    data_centre: str
    # Where callers connect.
    caller_address: str
    # Where the balancer asks whether this VM takes callers.
    ready_address: str
    # Where the other entry VMs connect.
    peer_address: str
    # Processor time that this process may use, cores.
    cores: float = 1.0
    # IP number on which operators read state and metrics.
    admin_host: str
    # The platform's store.
    store: str
    # Peer addresses of some entry VMs, which may be down.
    seeds: tuple[str, ...] = ()
    # Time after which a leaving backend server must get nothing new, seconds.
    leaving_s: float = 2.0
    # Time between SIGTERM and SIGKILL, seconds.
    grace_s: float = 8.0
    # Least time between the orders of two entry VMs to one engine, seconds.
    lease_s: float = 3.0
    # Further sends that all entry VMs together may make: for each request, and
    # beyond that, in any window of this length (seconds).
    retry_ratio: float = 0.2
    retry_burst: float = 0.0
    retry_window_s: float = 10.0
    # How far the use of a client account may be above its limit in any window of
    # this length (seconds): part of the limit, and units.
    limit_window_s: float = 8.0
    limit_overage: float = 0.0
    limit_slack: float = 0.0
    # Whether all entry VMs start for the first time, so that no earlier process
    # has made further sends.
    first_start: bool = False
    # Requests of callers at once. A small VM has 128 MB; a thread that waits
    # takes some 0.1 MB.
    threads: int = 96
