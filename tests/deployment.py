"""A whole deployment on stand-ins, as separate processes.

Starts the platform, engines and plain services, then a keeper and an entry for
each entry VM, and writes the VM list. Tests and the demonstration share it.
"""

from collections.abc import Callable
from concurrent import futures
import functools
import json
import pathlib
import sys
import time
from typing import Final
import uuid

import msgspec
import urllib3

from foxtaildale import changes
from foxtaildale import settings
from foxtaildale import values
from foxtaildale_adapters import platform
from tests import fleet
from tests.standins import relay

SECRET: Final = 'a secret of the tests, not of anyone'
# Longest wait for a condition, seconds; only a broken run gets there.
WAIT_S: Final = 30.0
_LOOK_S: Final = 0.02


class Worker(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server to start."""

    name: str
    service: str
    role: values.Role
    data_centre: str
    fenced: bool = False
    slots: int = 20
    # Further arguments of the stand-in.
    args: tuple[str, ...] = ()


class Vm(msgspec.Struct, frozen=True):
    """An entry VM to start."""

    name: str
    data_centre: str


class Deployment:
    """Processes of one deployment; a context manager."""

    __slots__ = (
        '_dir',
        '_options',
        'entries',
        'http',
        'keepers',
        'listing',
        'platform',
        'platform_relays',
        'procs',
        'relayed',
        'revision',
        'vms',
        'workers',
    )

    procs: fleet.Fleet
    platform: fleet.Proc
    # Stand-ins of backend servers, by name.
    workers: dict[str, fleet.Proc]
    # Daemons, by entry VM.
    keepers: dict[str, fleet.Proc]
    entries: dict[str, fleet.Proc]
    vms: dict[str, Vm]
    # The VM list as the platform was last given it.
    listing: values.Listing
    http: urllib3.PoolManager
    # Relays between an entry VM and the platform, by entry VM.
    platform_relays: dict[str, relay.Relay]
    # Addresses of relays that stand before backend servers, by name.
    relayed: dict[str, str]
    # Switches made so far.
    revision: int
    _dir: pathlib.Path
    # Settings that differ from the defaults, for every daemon.
    _options: dict[str, object]

    def __init__(
        self, work_dir: pathlib.Path, **daemon_options: object
    ) -> None:
        self._dir = work_dir
        self._options = {
            'heartbeat_s': 0.2,
            'silence_s': 0.8,
            'poll_s': 0.1,
            'grace_s': 1.5,
            'freshness_s': 30.0,
        } | daemon_options
        self.procs = fleet.Fleet(work_dir)
        self.workers = {}
        self.keepers = {}
        self.entries = {}
        self.vms = {}
        self.listing = values.Listing(0, (), ())
        self.platform_relays = {}
        self.relayed = {}
        self.revision = 0
        self.http = urllib3.PoolManager(retries=False, maxsize=64, block=False)

    def __enter__(self) -> 'Deployment':
        return self

    def __exit__(self, *_: object) -> None:
        self.procs.close()
        for item in self.platform_relays.values():
            item.close()

    def start(
        self,
        workers: tuple[Worker, ...],
        vms: tuple[Vm, ...],
        platform_args: tuple[str, ...] = ('--list-lag-s', '0.1'),
        *,
        relayed: tuple[str, ...] = (),
    ) -> None:
        """Starts everything and waits until the entries are up.

        Args:
            workers: The backend servers.
            vms: The entry VMs.
            platform_args: Further arguments of the platform's stand-in.
            relayed: Entry VMs that reach the platform through a relay.
        """
        self.platform = self.procs.standin('platform', *platform_args)
        self.platform_relays = {
            name: relay.Relay(self.platform.address) for name in relayed
        }
        self.vms |= {vm.name: vm for vm in vms}
        names = [vm.name for vm in vms]
        with futures.ThreadPoolExecutor() as pool:
            # Starting an interpreter takes most of the time; side by side.
            started = [pool.submit(self._start_worker, w) for w in workers]
            started += [pool.submit(self.start_keeper, n) for n in names]
            for fut in started:
                fut.result()
            self.publish_list(workers)
            for fut in [pool.submit(self.start_entry, n) for n in names]:
                fut.result()

    def start_keeper(self, name: str) -> None:
        """Starts the keeper of an entry VM, anew on its old address."""
        old = self.keepers.get(name)
        address = old.addresses['peer'] if old else '127.0.0.1:0'
        self.keepers[name] = self._daemon(
            name, 'keeper', {'peer_address': address}
        )

    def start_entry(self, name: str) -> None:
        """Starts an entry of an entry VM."""
        keeper = self.keepers[name].addresses['peer']
        self.entries[name] = self._daemon(name, 'entry', {'keeper': keeper})

    def publish_list(self, workers: tuple[Worker, ...]) -> None:
        """Gives the platform the list of everything that was started."""
        servers = tuple(
            values.BackendServer(
                name=worker.name,
                address=self.relayed.get(
                    worker.name, self.workers[worker.name].address
                ),
                data_centre=worker.data_centre,
                service=worker.service,
                role=worker.role,
                fenced=worker.fenced,
                slots=worker.slots,
            )
            for worker in workers
        )
        entry_vms = tuple(
            values.EntryVm(
                name=vm.name,
                data_centre=vm.data_centre,
                keeper=self.keepers[vm.name].addresses['peer'],
            )
            for vm in self.vms.values()
        )
        self.put_list(
            values.Listing(self.listing.version + 1, entry_vms, servers)
        )

    def wait_listed(self) -> None:
        """Waits until every entry works by the newest list."""
        for entry in self.entries.values():
            self.until(
                functools.partial(self._has_listed, entry),
                f'{entry.name} has the newest list',
            )

    def put_list(self, listing: values.Listing) -> None:
        """Replaces the platform's VM list."""
        self.listing = listing
        self.put(self.platform.address, '/vms', msgspec.json.encode(listing))

    def publish(self, preset: values.Preset) -> None:
        """Publishes a preset and switches to it."""
        log = platform.Platform(self.platform.address, WAIT_S)
        base = log.read(changes.STREAM, 0, 1).end
        record = changes.make_publish(uuid.uuid4().hex, base, preset)
        switch = changes.Switch(
            id=uuid.uuid4().hex,
            base=base,
            name=preset.name,
            digest=record.digest,
            expects=self.revision,
        )
        log.append(
            changes.STREAM, [changes.encode(record), changes.encode(switch)]
        )
        self.revision += 1

    def wait_in_force(self, name: str) -> None:
        """Waits until every entry works by a preset."""
        for entry in self.entries.values():
            self.until(
                functools.partial(self._works_by, entry, name),
                f'{entry.name} works by {name}',
            )

    def _works_by(self, entry: fleet.Proc, name: str) -> bool:
        return self.state(entry).get('preset') == name

    def _has_listed(self, entry: fleet.Proc) -> bool:
        found = self.state(entry).get('listing_version')
        return found == self.listing.version

    def state(self, proc: fleet.Proc) -> dict[str, object]:
        """Returns the state dump of a daemon."""
        answer = self.get(proc.addresses['admin'], '/state')
        state: dict[str, object] = json.loads(answer.data)
        return state

    def faults(self, proc: fleet.Proc, **faults: object) -> None:
        """Sets the fault switches of a stand-in."""
        self.post(proc.address, '/faults', json.dumps(faults).encode())

    def get(
        self, address: str, path: str, headers: dict[str, str] | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Sends a GET."""
        return self.http.request(
            'GET', f'http://{address}{path}', headers=headers, timeout=WAIT_S
        )

    def post(
        self,
        address: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None = None,
        *,
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a POST."""
        return self.http.request(
            'POST',
            f'http://{address}{path}',
            body=body,
            headers=headers,
            timeout=WAIT_S,
            preload_content=not stream,
        )

    def put(
        self, address: str, path: str, body: bytes
    ) -> urllib3.BaseHTTPResponse:
        """Sends a PUT."""
        return self.http.request(
            'PUT', f'http://{address}{path}', body=body, timeout=WAIT_S
        )

    def caller(self, name: str) -> str:
        """Returns where callers reach an entry VM."""
        return self.entries[name].addresses['caller']

    def until(self, condition: Callable[[], bool], what: str) -> None:
        """Waits until a condition holds."""
        deadline = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(f'never came about: {what}')
            time.sleep(_LOOK_S)

    def _platform_of(self, vm: str) -> str:
        item = self.platform_relays.get(vm)
        return item.address if item else self.platform.address

    def _start_worker(self, worker: Worker) -> None:
        module = 'service' if worker.role == 'plain' else 'engine'
        args = ['--name', worker.name, *worker.args]
        if module == 'engine':
            args += ['--role', worker.role, '--slots', str(worker.slots)]
            args += ['--fenced'] if worker.fenced else []
        self.workers[worker.name] = self.procs.standin(
            module, *args, name=worker.name
        )

    def _daemon(
        self, vm: str, role: str, differing: dict[str, object]
    ) -> fleet.Proc:
        name = f'{role}-{vm}'
        addresses = self._dir / f'{name}.addresses'
        cfg = self._options | {
            'role': role,
            'entry_vm': vm,
            'data_centre': self.vms[vm].data_centre,
            'platform': self._platform_of(vm),
            'secret': SECRET,
            'address_file': str(addresses),
        }
        text = json.dumps(cfg | differing)
        settings.parse_options(text, name)
        path = self._dir / f'{name}.json'
        path.write_text(text, encoding='utf-8')
        command = [sys.executable, '-m', 'foxtaildaled', str(path)]
        return self.procs.daemon(name, command, addresses)
