"""A store that comes back from a copy, and gives out offsets again."""

from collections.abc import Iterator
import contextlib
import time
from typing import Any

import pytest

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import lease
from foxtaildale_platform import store
from tests import site as sites
from tests.standins import keyedstore

_VMS = 3
# Time in which a change must be in force, and one that is written again after
# the store came back from a copy, seconds.
_CONFIG_S = 2.0
_CONFIG = 'keyed.op'
_SERVERS = 'keyed.servers'


class _Site(sites.Site):
    """Routers, and a store whose records can be lost."""

    def publish(self, version: int) -> None:
        self.store.put(_CONFIG, 'config', sites.config(version))

    def all_at(self, version: int) -> bool:
        return all(
            router.config_version() == version for router in self.routers
        )

    def knows(self, number: int, server: str) -> forwarding.Backend | None:
        """Returns a server if a router may send to it."""
        router = self.routers[number]
        return router._owner.run(
            lambda state, now: state.fleet.usable(server, now)
        )

    def all_know(self, server: str, *, usable: bool) -> bool:
        return all(
            (self.knows(number, server) is not None) == usable
            for number in range(len(self.routers))
        )

    def beat(self, *names: str) -> None:
        """Has servers write their entries."""
        for name in names:
            entry = self.workers[name].entry()
            self.store.put(_SERVERS, name, entry)


@pytest.fixture
def site() -> Iterator[_Site]:
    with contextlib.closing(_Site()) as made:
        made.publish(1)
        for name in ('s1', 's2'):
            made.worker(name, 'plain')
        made.start_routers(_VMS, retry_burst=20.0)
        yield made


def _later(site: _Site) -> dict[str, int]:
    """Writes much after a copy is made, so that its offsets are given out twice."""
    copy = site.store.mark()
    for version in range(2, 7):
        site.publish(version)
    for _ in range(5):
        site.beat('s1', 's2')
    sites.until(lambda: site.all_at(6))
    return copy


def test_a_version_at_an_offset_used_before_is_in_force(site: _Site) -> None:
    """Guards against offsets that are given out again and pass for old."""
    site.store.restore(_later(site))
    site.publish(8)
    sites.until(lambda: site.all_at(8), _CONFIG_S)


def test_no_vm_goes_back_to_the_version_of_the_copy(site: _Site) -> None:
    """Guards against an older configuration that is in force once more."""
    site.store.restore(_later(site))
    for _ in range(20):
        time.sleep(0.1)
        assert site.all_at(6)


def test_two_copies_in_a_row(site: _Site) -> None:
    """Guards against a VM that knows of one return only."""
    first = _later(site)
    site.store.restore(first)
    site.publish(8)
    site.publish(9)
    site.store.restore(first)
    site.publish(11)
    sites.until(lambda: site.all_at(11), _CONFIG_S)


def test_a_vm_cut_off_over_the_return_holds_nobody_back(site: _Site) -> None:
    """Guards against one VM that keeps the fleet on the older state."""
    copy = _later(site)
    site.cut_store(1)
    site.store.restore(copy)
    site.publish(8)
    sites.until(lambda: site.all_at(8), _CONFIG_S)
    router = site.routers[1]
    router.reload(site.routers[0].cfg)
    site.publish(9)
    sites.until(lambda: site.all_at(9), _CONFIG_S)


def test_a_young_vm_knows_what_the_copy_lacks(site: _Site) -> None:
    """Guards against a start that takes the copy for the newest state."""
    site.store.restore(_later(site))
    time.sleep(1.0)
    site.router(seeds=(site.peers[0],))
    sites.until(lambda: sites.ready(site, _VMS))
    assert site.routers[-1].config_version() == 6
    site.publish(8)
    sites.until(lambda: site.all_at(8), _CONFIG_S)


def _check_stays_out(site: _Site, copy: dict[str, int]) -> None:
    """Checks that a copy with a server that is gone does not bring it back."""
    sites.until(lambda: site.all_know('s1', usable=False))
    site.store.restore(copy)
    for _ in range(10):
        time.sleep(0.1)
        assert site.all_know('s1', usable=False)


def test_a_server_that_left_is_not_brought_back(site: _Site) -> None:
    """Guards against entries of the copy that were removed or left since."""
    copy = _later(site)
    entry = site.workers['s1'].entry('draining')
    site.store.put(_SERVERS, 's1', entry)
    _check_stays_out(site, copy)


def test_a_server_that_was_removed_is_not_brought_back(site: _Site) -> None:
    """Guards against a dead server in the copy that gets requests again."""
    copy = _later(site)
    site.store.put(_SERVERS, 's1', None)
    _check_stays_out(site, copy)


def test_a_server_that_the_copy_lacks_is_back_when_written_again(
    site: _Site,
) -> None:
    """Guards against a living server that is taken for gone for good."""
    copy = _later(site)
    site.worker('s3', 'plain')
    sites.until(lambda: site.all_know('s3', usable=True))
    site.store.restore(copy)
    time.sleep(1.0)
    site.beat('s3')
    sites.until(lambda: site.all_know('s3', usable=True))
    site.store.put(_SERVERS, 's3', None)
    sites.until(lambda: site.all_know('s3', usable=False))


def test_entry_vms_that_the_copy_lacks_stay_known(site: _Site) -> None:
    """Guards against VMs that take the whole budget since they miss others."""
    names = {f'vm-{number + 1}' for number in range(_VMS)}
    site.store.restore(_later(site) | {'keyed.entryvms': 0})
    end = time.monotonic() + 4.0
    while time.monotonic() < end:
        time.sleep(0.1)
        assert all(router.entry_vms() >= names for router in site.routers)
    sites.until(lambda: names <= site.store.keys('keyed.entryvms'), 15.0)


def test_requests_held_back_are_written_again(site: _Site) -> None:
    """Guards against a verdict that is lost with the next loss of power."""
    copy = _later(site)
    held = {17: 600.0}
    for router in site.routers:
        router._owner.run(
            lambda state, now: state.quarantine_state.merge(
                now, held, {}, 'home'
            )
        )

    def saved() -> bool:
        return any(key.startswith('held/') for key in site.store.keys(topic))

    topic = 'keyed.entryvms'
    sites.until(saved, 8.0)
    sites.until(
        lambda: all(
            17 in router._state.quarantine_state._stored
            for router in site.routers
        ),
        8.0,
    )
    site.store.restore(copy)
    assert not saved()
    sites.until(saved, 12.0)


def test_a_return_costs_few_calls(site: _Site) -> None:
    """Guards against VMs that read everything again and again."""
    copy = _later(site)
    time.sleep(1.0)
    before = site.store.calls
    time.sleep(2.0)
    usual = site.store.calls - before
    site.store.restore(copy)
    before = site.store.calls
    time.sleep(2.0)
    assert site.store.calls - before <= usual + 6 * _VMS


@pytest.fixture
def keyed() -> Iterator[keyedstore.KeyedStore]:
    made = keyedstore.KeyedStore()
    yield made
    made.close()


def _fill(keyed: keyedstore.KeyedStore, count: int) -> None:
    for number in range(count):
        keyed.put('t', 'k', number)


def test_a_claim_at_an_end_given_out_twice_is_not_won(
    keyed: keyedstore.KeyedStore,
) -> None:
    """Guards against the right to order that a lost history gave to another."""
    topics = store.Store(keyed.address)
    _fill(keyed, 3)
    copy = keyed.mark()
    _fill(keyed, 2)
    found = topics.read_newest('t')
    keyed.restore(copy)
    _fill(keyed, 2)
    with pytest.raises(errors.PortError):
        topics.put_if_unchanged('t', 'k', b'me', found.end)


def test_fencing_tokens_rise_over_a_return(
    keyed: keyedstore.KeyedStore,
) -> None:
    """Guards against orders that engines refuse until offsets have grown."""
    topics = store.Store(keyed.address)
    _fill(keyed, 9)
    first = topics.put_if_unchanged(
        't', 'k', b'me', topics.read_newest('t').end
    )
    keyed.restore({'t': 1})
    second = topics.put_if_unchanged(
        't', 'k', b'me', topics.read_newest('t').end
    )
    assert second > first


def test_an_answer_of_another_history_is_not_followed(
    keyed: keyedstore.KeyedStore,
) -> None:
    """Guards against records of one history read on with those of another."""
    topics = store.Store(keyed.address)
    _fill(keyed, 5)
    end = topics.read_newest('t').end
    keyed.restore({'t': 2})
    _fill(keyed, 9)
    with pytest.raises(errors.RecordsExpiredError):
        topics.wait_for_records('t', end, 0.0)


def test_nobody_claims_while_a_holder_of_the_lost_history_may_order() -> None:
    """Guards against two that order in turn, since the copy lacks one's claim."""
    held = lease.Lease('me', 3.0)
    assert held.may_claim(0.0, 1, None, '')
    assert held.may_claim(10.0, 1, 5, 'me')
    over_s = lease.ORDER_WINDOW_S + 3.0 + lease.IN_TRANSIT_MARGIN_S
    for found in (None, 5):
        holder = '' if found is None else 'me'
        assert not held.may_claim(20.0, 2, found, holder)
    assert not held.may_claim(20.0 + over_s - 0.1, 2, None, '')
    assert held.may_claim(20.0 + over_s, 2, None, '')


def test_a_store_that_tells_no_era_is_followed(
    keyed: keyedstore.KeyedStore,
) -> None:
    """Guards against a header that is needed where no copy was ever used."""
    keyed.epoch = None
    topics = store.Store(keyed.address)
    _fill(keyed, 3)
    end = topics.read_newest('t').end
    _fill(keyed, 1)
    found: Any = topics.wait_for_records('t', end, 0.0)
    assert [entry.value for entry in found.entries] == [b'0']
