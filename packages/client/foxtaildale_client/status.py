"""Summary of the state of a deployment.

The platform lists the VMs, and each keeper is queried for its state. While the
platform is down, the list comes from a keeper whose address the operator
provides.
"""

from collections.abc import Sequence
from concurrent import futures
from typing import Final

import msgspec

from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_client import exits
from foxtaildale_client import results
from foxtaildale_client import text

# Maximum number of concurrent requests to keepers.
_MAX_CONCURRENT_REQUESTS: Final = 16


class _Dump(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a keeper's state that the summary uses."""

    revision: int = 0
    preset: str | None = None
    offset: int = 0
    vouched: bool = False
    listing_version: int = -1
    entries: tuple[str, ...] = ()
    keepers: tuple[values.Keeper, ...] = ()
    divergences: tuple[msgspec.Raw, ...] = ()


_dump_decoder: Final = msgspec.json.Decoder(_Dump)


class VmLine(msgspec.Struct, frozen=True, kw_only=True):
    """One entry VM."""

    name: str
    data_centre: str
    # State in the platform's list; empty when the list could not be read.
    state: str
    reached: bool
    revision: int = 0
    preset: str = ''
    offset: int = 0
    vouched: bool = False
    diverged: bool = False
    entries: int = 0


class ServerLine(msgspec.Struct, frozen=True, kw_only=True):
    """The backend servers of one service and role."""

    service: str
    role: str
    live: int
    leaving: int


class StatusSummary(results.Result, frozen=True):
    """Summary of a deployment."""

    # Version of the platform's list; None when it could not be read.
    listing_version: int | None
    entry_vms: tuple[VmLine, ...]
    servers: tuple[ServerLine, ...]
    # One line per problem.
    problems: tuple[str, ...]

    @property
    def exit(self) -> exits.Exit:
        """Exit status of the program."""
        return exits.Exit.DEGRADED if self.problems else exits.Exit.OK

    def text(self) -> str:
        """Returns the human-readable output."""
        rows = [('ENTRY VM', 'DATA CENTRE', 'STATE', 'PRESET', 'ENTRIES')]
        for vm in self.entry_vms:
            preset = 'not reached'
            if vm.reached:
                preset = f'{vm.preset or "none"}, revision {vm.revision}'
            rows.append(
                (
                    vm.name,
                    vm.data_centre,
                    vm.state or '-',
                    preset,
                    str(vm.entries),
                )
            )
        parts = [text.format_table(rows)]
        if self.servers:
            rows = [('SERVICE', 'ROLE', 'LIVE', 'LEAVING', '')]
            for line in self.servers:
                live, leaving = str(line.live), str(line.leaving)
                rows.append((line.service, line.role, live, leaving, ''))
            parts.append(text.format_table(rows))
        parts.append('\n'.join(self.problems) or 'no problems')
        return '\n\n'.join(parts)


def summarize(
    directory: ports.Directory,
    peers: ports.Peers,
    keeper: str,
    timeout_s: float,
) -> results.Result:
    """Queries the platform and every keeper.

    Args:
        directory: The platform's list.
        peers: The keepers.
        keeper: Address of a keeper that lists the others, used when the
            platform can't be read; empty for none.
        timeout_s: Maximum wait for one keeper, seconds.
    """
    problems: list[str] = []
    listing: values.Listing | None = None
    try:
        listing = directory.listing()
        vms = listing.entry_vms
    except errors.PortError as exc:
        problems.append(f'the platform could not be read: {exc}')
        vms = _vms_from_keeper(peers, keeper, timeout_s)
        if not vms:
            return results.Problem(
                status=exits.Exit.UNAVAILABLE,
                problems=(*problems, 'give a keeper that knows the others'),
            )
    dumps = _request_dumps(peers, vms, timeout_s)
    lines = tuple(
        _vm_line(vm, dump, listed=listing is not None)
        for vm, dump in zip(vms, dumps, strict=True)
    )
    return StatusSummary(
        listing_version=listing.version if listing else None,
        entry_vms=lines,
        servers=_server_lines(listing.backend_servers if listing else ()),
        problems=(*problems, *_problems(lines)),
    )


def _vms_from_keeper(
    peers: ports.Peers, address: str, timeout_s: float
) -> tuple[values.EntryVm, ...]:
    dump = _request_dump(peers, address, timeout_s) if address else None
    if dump is None:
        return ()
    return tuple(
        values.EntryVm(
            name=peer.name, data_centre=peer.data_centre, keeper=peer.address
        )
        for peer in dump.keepers
    )


def _request_dumps(
    peers: ports.Peers, vms: Sequence[values.EntryVm], timeout_s: float
) -> list[_Dump | None]:
    with futures.ThreadPoolExecutor(_MAX_CONCURRENT_REQUESTS) as pool:
        return list(
            pool.map(lambda vm: _request_dump(peers, vm.keeper, timeout_s), vms)
        )


def _request_dump(
    peers: ports.Peers, address: str, timeout_s: float
) -> _Dump | None:
    try:
        reply = peers.request(address, messages.DumpRequest(), timeout_s)
    except errors.PortError:
        return None
    if not isinstance(reply, messages.DumpReply):
        return None
    try:
        return decoding.decode(_dump_decoder.decode, reply.state)
    except errors.DecodeError:
        return None


def _vm_line(vm: values.EntryVm, dump: _Dump | None, *, listed: bool) -> VmLine:
    state = vm.state if listed else ''
    if dump is None:
        return VmLine(
            name=vm.name, data_centre=vm.data_centre, state=state, reached=False
        )
    return VmLine(
        name=vm.name,
        data_centre=vm.data_centre,
        state=state,
        reached=True,
        revision=dump.revision,
        preset=dump.preset or '',
        offset=dump.offset,
        vouched=dump.vouched,
        diverged=bool(dump.divergences),
        entries=len(dump.entries),
    )


def _server_lines(
    servers: Sequence[values.BackendServer],
) -> tuple[ServerLine, ...]:
    kinds = sorted({(server.service, server.role) for server in servers})
    lines = []
    for kind in kinds:
        states = [
            server.state
            for server in servers
            if (server.service, server.role) == kind
        ]
        lines.append(
            ServerLine(
                service=kind[0],
                role=kind[1],
                live=states.count('live'),
                leaving=states.count('leaving'),
            )
        )
    return tuple(lines)


def _problems(lines: Sequence[VmLine]) -> list[str]:
    problems: list[str] = []
    newest = max((line.revision for line in lines), default=0)
    for line in lines:
        if not line.reached:
            if line.state != 'leaving':
                problems.append(f'{line.name}: keeper not reached')
        elif line.revision < newest:
            problems.append(
                f'{line.name}: works by revision {line.revision},'
                f' others by {newest}'
            )
        elif not line.vouched:
            problems.append(f'{line.name}: preset state is not up to date')
        if line.diverged:
            problems.append(f'{line.name}: reports a state unlike its own')
        if line.reached and not line.entries:
            problems.append(f'{line.name}: no entry is running')
    return problems
