"""Who takes part, merged from lagging lists, refusals and beats."""

import msgspec

from foxtaildale import gossip
from foxtaildale import members
from foxtaildale import messages
from foxtaildale import values


def server(name: str, state: values.State = 'live') -> values.BackendServer:
    return values.BackendServer(
        name=name,
        address='127.0.0.1:7',
        data_centre='d',
        service='queue-app',
        role='plain',
        state=state,
    )


def listing(version: int, *servers: values.BackendServer) -> values.Listing:
    vms = tuple(
        values.EntryVm(name=name, data_centre='d', keeper=f'127.0.0.1:{port}')
        for port, name in enumerate(('a', 'b', 'c'), 1)
    )
    return values.Listing(version, vms, servers)


def beat(
    name: str, incarnation: str = '1', leaving: tuple[str, ...] = ()
) -> messages.Beat:
    return messages.Beat(
        entry_vm=name,
        incarnation=incarnation,
        data_centre='d',
        address=f'127.0.0.1:{"abc".index(name) + 1}',
        offset=0,
        digest='',
        listing_version=0,
        leaving=leaving,
    )


def names(found: members.Members) -> list[str]:
    return [one.name for one in found.servers('queue-app', 'plain')]


def test_an_older_list_does_not_bring_a_leaving_server_back() -> None:
    """A peer, or a copy of the list that lags, still calls it live.

    New work would go to a server that is about to stop.
    """
    found = members.Members('a', 3)
    assert found.on_listing(0, listing(2, server('x', 'leaving'), server('y')))
    assert not found.on_listing(0, listing(1, server('x'), server('y')))
    assert names(found) == ['y']


def test_a_newer_list_that_calls_it_live_does_not_either() -> None:
    """The list changes for another reason before it learns that one leaves."""
    found = members.Members('a', 3)
    found.on_listing(0, listing(1, server('x'), server('y')))
    assert found.on_leaving('x@127.0.0.1:7')
    assert names(found) == ['y']
    found.on_listing(0, listing(2, server('x'), server('y')))
    assert names(found) == ['y']


def test_a_name_is_free_again_once_a_list_has_dropped_it() -> None:
    """A VM is replaced and the new one gets the old one's name."""
    found = members.Members('a', 3)
    found.on_listing(0, listing(1, server('x', 'leaving')))
    found.on_listing(0, listing(2))
    found.on_listing(0, listing(3, server('x')))
    assert names(found) == ['x']


def test_a_refusal_at_one_entry_vm_reaches_the_others() -> None:
    """One entry VM's request is refused as leaving; the list lags."""
    one, two = members.Members('a', 3), members.Members('b', 3)
    for found in (one, two):
        found.on_listing(0, listing(1, server('x'), server('y')))
    one.on_leaving('x@127.0.0.1:7')
    two.on_beat(0, beat('a', leaving=one.leaving))
    assert names(two) == ['y']
    merged = two.merged()
    assert merged and merged.backend_servers[0].state == 'leaving'
    two.on_listing(0, listing(2, server('x', 'leaving'), server('y')))
    assert two.leaving == ()


def test_a_silent_keeper_is_not_there() -> None:
    """A VM dies; work that it is home of must be looked for elsewhere."""
    found = members.Members('a', 3)
    found.on_listing(0, listing(1))
    found.on_beat(0, beat('b'))
    found.on_beat(2, beat('c'))
    assert [peer.entry_vm for peer in found.keepers(3)] == ['b', 'c']
    assert [peer.entry_vm for peer in found.keepers(4)] == ['c']


def test_a_leaving_entry_vm_takes_nothing_new_on() -> None:
    """Its keeper still beats while it drains, and an older list calls it live.

    Tickets that it witnessed would lose their witness within the minute.
    """
    found = members.Members('a', 3)
    now = listing(5)
    left = msgspec.structs.replace(now.entry_vms[1], state='leaving')
    vms = (now.entry_vms[0], left, now.entry_vms[2])
    found.on_listing(0, msgspec.structs.replace(now, entry_vms=vms))
    found.on_beat(0, beat('b'))
    assert found.keepers(0) == ()
    found.on_listing(0, listing(6))
    assert found.keepers(0) == ()
    assert [vm.name for vm in found.peers()] == ['b', 'c']


def test_a_late_beat_of_a_replaced_process_is_not_taken() -> None:
    """A keeper is restarted; a beat of its former life arrives afterwards."""
    found = members.Members('a', 3)
    found.on_listing(0, listing(1))
    for incarnation in ('1', '2', '1'):
        found.on_beat(0, beat('b', incarnation))
    assert [peer.incarnation for peer in found.keepers(0)] == ['2']


def test_beats_of_vms_that_are_gone_are_forgotten() -> None:
    """VMs are replaced for years while one keeper runs on."""
    found = members.Members('a', 3)
    found.on_beat(0, beat('b'))
    found.forget(30)
    assert found.keepers(0)
    found.forget(31)
    assert not found.keepers(0)


def test_each_round_of_beats_meets_every_peer_once() -> None:
    peers = [f'127.0.0.1:{port}' for port in range(50)]
    turns = gossip.Gossip('a', fanout=8)
    beats = gossip.round_beats(51, fanout=8)
    met = {address for _ in range(beats) for address in turns.targets(peers)}
    assert met == set(peers)
    assert len(turns.targets(peers[:3])) == 3
