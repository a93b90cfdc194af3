"""Which servers a VM takes to be reached, down, or behind a lost path."""

import random

from foxtaildale import forwarding
from foxtaildale import relay_choice
from foxtaildale import server_reach


def test_one_server_that_fails_says_nothing_of_the_path() -> None:
    reach = server_reach.ServerReach()
    for number in range(5):
        reach.record_failure('a:1', float(number))
    assert not reach.is_lost
    assert reach.is_direct('b:1')


def test_all_paths_are_lost_once_two_servers_fail() -> None:
    reach = server_reach.ServerReach()
    reach.record_failure('a:1', 1.0)
    reach.record_failure('b:1', 2.0)
    assert reach.lost_at == 1.0
    assert not reach.is_direct('c:1')
    reach.record_success('c:1')
    assert not reach.is_lost


def test_failures_long_ago_do_not_add_up() -> None:
    """Guards against a quiet VM that takes itself for partitioned."""
    reach = server_reach.ServerReach()
    reach.record_failure('a:1', 1.0)
    reach.record_failure('b:1', 1.1 + server_reach.FAILURE_TTL_S)
    assert not reach.is_lost


def test_a_server_that_only_others_reach_is_probed_until_it_is_reached() -> (
    None
):
    reach = server_reach.ServerReach()
    reach.record_failure('a:1', 1.0)
    assert reach.record_relayed('a:1')
    assert not reach.record_relayed('a:1')
    assert reach.needs_probes
    assert not reach.is_direct('a:1')
    assert reach.is_direct('b:1')
    reach.record_success('b:1')
    assert reach.needs_probes
    reach.record_success('a:1')
    assert not reach.needs_probes


def test_probes_of_servers_behind_a_cut_lose_no_other_path() -> None:
    """Guards against a partition from two servers taken for one from all."""
    reach = server_reach.ServerReach()
    for address in ('a:1', 'b:1'):
        reach.record_failure(address, 1.0)
        reach.record_relayed(address)
    reach.record_success('c:1')
    for address in ('a:1', 'b:1'):
        reach.record_failure(address, 2.0)
    assert not reach.is_lost


def test_a_server_that_left_the_list_is_probed_no_more() -> None:
    reach = server_reach.ServerReach()
    reach.record_relayed('a:1')
    reach.record_down('a:1', 1.0)
    reach.retain(['b:1'])
    assert not reach.needs_probes
    assert not reach.is_down('a:1', 1.0)


def test_a_server_that_others_do_not_reach_counts_as_down_for_a_while() -> None:
    reach = server_reach.ServerReach()
    reach.record_down('a:1', 1.0)
    assert reach.is_down('a:1', 1.0 + server_reach.DOWN_TTL_S)
    assert not reach.is_down('a:1', 1.1 + server_reach.DOWN_TTL_S)
    reach.record_down('a:1', 9.0)
    reach.record_relayed('a:1')
    assert not reach.is_down('a:1', 9.0)


def test_servers_that_are_down_for_others_too_lose_no_path() -> None:
    """Guards against a VM that takes crashed servers for a partition."""
    reach = server_reach.ServerReach()
    reach.record_failure('a:1', 1.0)
    reach.record_down('a:1', 1.0)
    reach.record_failure('b:1', 1.1)
    assert not reach.is_lost
    reach.record_failure('c:1', 1.2)
    assert reach.is_lost
    reach.record_down('c:1', 1.3)
    assert not reach.is_lost


def test_a_partitioned_vm_stays_so_while_one_server_is_down() -> None:
    reach = server_reach.ServerReach()
    reach.record_failure('a:1', 1.0)
    reach.record_failure('b:1', 1.1)
    reach.record_relayed('a:1')
    reach.record_down('b:1', 1.2)
    assert reach.is_lost


def _vms(**data_centres: str) -> dict[str, forwarding.EntryVm]:
    return {
        name: forwarding.EntryVm(f'{name}:1', dc, 1.0, f'{name}:2')
        for name, dc in data_centres.items()
    }


def test_relays_of_other_data_centres_are_tried_as_well() -> None:
    """Guards against a data centre whose VMs only ask each other."""
    choice = relay_choice.RelayChoice('me', 'here', random.Random(1))
    near = {f'n{number}': 'here' for number in range(30)}
    vms = _vms(me='here', f1='far', f2='far', **near)
    names = choice.candidates(vms, 1.0)
    assert {'f1', 'f2'} <= set(names)
    assert 'me' not in names
    assert len(names) == 2 * relay_choice.MAX_PER_GROUP


def test_a_relay_that_served_comes_first_and_one_that_failed_rests() -> None:
    choice = relay_choice.RelayChoice('me', 'here', random.Random(1))
    vms = _vms(me='here', a='here', b='here', c='far')
    choice.record('c', 1.0, relayed=True)
    choice.record('a', 1.0, relayed=False)
    assert choice.candidates(vms, 1.5) == ['c', 'b']
    later = 1.1 + relay_choice.FAILURE_TTL_S
    assert 'a' in choice.candidates(vms, later)


def test_the_only_relay_is_not_given_up_for_one_late_reply() -> None:
    """Guards against a VM that refuses all requests as its relay was slow."""
    choice = relay_choice.RelayChoice('me', 'here', random.Random(1))
    vms = _vms(me='here', a='here', b='far', c='far')
    choice.record('b', 1.0, relayed=True)
    choice.record('c', 1.0, relayed=False)
    choice.record_silence('b', 1.1)
    assert choice.candidates(vms, 1.2) == ['a', 'b']
    choice.record('a', 1.2, relayed=False)
    assert choice.candidates(vms, 1.3) == ['b']
    choice.record('b', 1.3, relayed=False)
    assert choice.candidates(vms, 1.4) == []


def test_a_relay_that_stays_silent_is_given_up() -> None:
    """Guards against requests that wait for a VM that is gone."""
    choice = relay_choice.RelayChoice('me', 'here', random.Random(1))
    vms = _vms(me='here', b='far')
    choice.record('b', 1.0, relayed=True)
    later = 1.1 + relay_choice.SUCCESS_TTL_S
    choice.record_silence('b', later)
    assert choice.candidates(vms, later) == []


def test_vms_that_do_not_relay_are_not_asked() -> None:
    """Guards against VMs of an earlier release that have no relay."""
    choice = relay_choice.RelayChoice('me', 'here', random.Random(1))
    vms = {'old': forwarding.EntryVm('old:1', 'here')}
    assert choice.candidates(vms, 1.0) == []
