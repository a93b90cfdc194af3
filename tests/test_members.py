"""Membership, merged from listings, refusals and heartbeats.

Listings may lag behind the actual state of the servers.
"""

import msgspec

from foxtaildale import gossip
from foxtaildale import members
from foxtaildale import messages
from foxtaildale import values


def make_server(
    name: str, state: values.State = 'live'
) -> values.BackendServer:
    return values.BackendServer(
        name=name,
        address='127.0.0.1:7',
        data_centre='d',
        service='queue-app',
        role='plain',
        state=state,
    )


def make_listing(
    version: int, *servers: values.BackendServer
) -> values.Listing:
    vms = tuple(
        values.EntryVm(name=name, data_centre='d', keeper=f'127.0.0.1:{port}')
        for port, name in enumerate(('a', 'b', 'c'), 1)
    )
    return values.Listing(version, vms, servers)


def make_heartbeat(
    name: str, incarnation: str = '1', leaving: tuple[str, ...] = ()
) -> messages.KeeperHeartbeat:
    return messages.KeeperHeartbeat(
        entry_vm=name,
        incarnation=incarnation,
        data_centre='d',
        address=f'127.0.0.1:{"abc".index(name) + 1}',
        offset=0,
        digest='',
        listing_version=0,
        leaving=leaving,
    )


def server_names(view: members.Members) -> list[str]:
    return [
        server.name for server in view.available_servers('queue-app', 'plain')
    ]


def test_an_older_listing_does_not_restore_a_leaving_server() -> None:
    """Guards against new work for a server that is about to stop.

    A peer, or a copy of the listing that lags, still reports it as live.
    """
    view = members.Members('a', 3)
    assert view.on_listing(
        0, make_listing(2, make_server('x', 'leaving'), make_server('y'))
    )
    assert not view.on_listing(
        0, make_listing(1, make_server('x'), make_server('y'))
    )
    assert server_names(view) == ['y']


def test_a_newer_listing_does_not_restore_a_leaving_server() -> None:
    """Guards against new work for a leaving server after a listing update.

    An unrelated change updates the listing before it reports the server as
    leaving.
    """
    view = members.Members('a', 3)
    view.on_listing(0, make_listing(1, make_server('x'), make_server('y')))
    assert view.on_leaving('x@127.0.0.1:7')
    assert server_names(view) == ['y']
    view.on_listing(0, make_listing(2, make_server('x'), make_server('y')))
    assert server_names(view) == ['y']


def test_a_name_can_be_reused_after_a_listing_without_it() -> None:
    """Guards against excluding a new VM that has the name of a replaced one."""
    view = members.Members('a', 3)
    view.on_listing(0, make_listing(1, make_server('x', 'leaving')))
    view.on_listing(0, make_listing(2))
    view.on_listing(0, make_listing(3, make_server('x')))
    assert server_names(view) == ['x']


def test_a_refusal_at_one_entry_vm_is_propagated_to_others() -> None:
    """Guards against new work from entry VMs that have seen no refusal.

    A server refuses one entry VM's request since it is leaving; the listing
    still reports it as live.
    """
    first, second = members.Members('a', 3), members.Members('b', 3)
    for view in (first, second):
        view.on_listing(0, make_listing(1, make_server('x'), make_server('y')))
    first.on_leaving('x@127.0.0.1:7')
    second.on_heartbeat(0, make_heartbeat('a', leaving=first.reported_leaving))
    assert server_names(second) == ['y']
    merged = second.merged_listing()
    assert merged and merged.backend_servers[0].state == 'leaving'
    second.on_listing(
        0, make_listing(2, make_server('x', 'leaving'), make_server('y'))
    )
    assert second.reported_leaving == ()


def test_a_silent_keeper_is_excluded() -> None:
    """Guards against a crashed VM that still counts as a coordinator."""
    view = members.Members('a', 3)
    view.on_listing(0, make_listing(1))
    view.on_heartbeat(0, make_heartbeat('b'))
    view.on_heartbeat(2, make_heartbeat('c'))
    assert [peer.entry_vm for peer in view.keeper_heartbeats(3)] == ['b', 'c']
    assert [peer.entry_vm for peer in view.keeper_heartbeats(4)] == ['c']


def test_a_leaving_entry_vm_accepts_no_new_work() -> None:
    """Guards against tickets that lose their witness within a minute.

    The keeper of a leaving VM still sends heartbeats while it drains, and an
    older listing reports the VM as live.
    """
    view = members.Members('a', 3)
    current = make_listing(5)
    leaving_vm = msgspec.structs.replace(current.entry_vms[1], state='leaving')
    vms = (current.entry_vms[0], leaving_vm, current.entry_vms[2])
    view.on_listing(0, msgspec.structs.replace(current, entry_vms=vms))
    view.on_heartbeat(0, make_heartbeat('b'))
    assert view.keeper_heartbeats(0) == ()
    view.on_listing(0, make_listing(6))
    assert view.keeper_heartbeats(0) == ()
    assert [vm.name for vm in view.peers()] == ['b', 'c']


def test_without_a_listing_the_senders_of_heartbeats_are_peers() -> None:
    """Guards against an isolated VM that is replaced during an outage.

    While the platform is down, the VM cannot obtain the listing.
    """
    view = members.Members('a', 3)
    view.on_heartbeat(0, make_heartbeat('b'))
    assert [vm.keeper for vm in view.peers()] == ['127.0.0.1:2']
    view.on_listing(1, make_listing(1))
    assert [vm.name for vm in view.peers()] == ['b', 'c']


def test_a_late_heartbeat_of_a_replaced_process_is_ignored() -> None:
    """Guards against use of a late heartbeat from before a keeper's restart."""
    view = members.Members('a', 3)
    view.on_listing(0, make_listing(1))
    for incarnation in ('1', '2', '1'):
        view.on_heartbeat(0, make_heartbeat('b', incarnation))
    assert [peer.incarnation for peer in view.keeper_heartbeats(0)] == ['2']


def test_heartbeats_of_removed_vms_are_deleted() -> None:
    """Guards against unbounded memory when VMs are replaced for years."""
    view = members.Members('a', 3)
    view.on_heartbeat(0, make_heartbeat('b'))
    view.remove_silent_peers(30)
    assert view.keeper_heartbeats(0)
    view.remove_silent_peers(31)
    assert not view.keeper_heartbeats(0)


def test_each_round_of_heartbeats_reaches_every_peer() -> None:
    peers = [f'127.0.0.1:{port}' for port in range(50)]
    selector = gossip.PeerSelector('a')
    heartbeats = gossip.heartbeats_per_round(51)
    reached = {
        address
        for _ in range(heartbeats)
        for address in selector.next_targets(peers)
    }
    assert reached == set(peers)
    assert set(selector.next_targets(peers[:8])) == set(peers[:8])
    assert len(selector.next_targets(peers[:9])) == gossip.FANOUT
    assert selector.next_targets([]) == ()
