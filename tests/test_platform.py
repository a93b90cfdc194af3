"""The platform's client against its stand-in, and what fails there."""

from collections.abc import Iterator
import threading

import msgspec
import pytest
import urllib3

from foxtaildale import errors
from foxtaildale import values
from foxtaildale_adapters import http_client
from foxtaildale_adapters import platform
from tests import fleet
from tests.standins import control
from tests.standins import relay

_HTTP = urllib3.PoolManager()


@pytest.fixture(scope='module')
def procs() -> Iterator[fleet.Fleet]:
    with fleet.Fleet() as started:
        yield started


@pytest.fixture(scope='module')
def store(procs: fleet.Fleet) -> fleet.Proc:
    return procs.standin('platform', '--list-lag-s', '0')


def test_records_come_back_in_order(store: fleet.Proc) -> None:
    client = platform.Platform(store.address, 5.0)
    assert client.append('order', [b'a', b'b']) == 0
    assert client.append('order', [b'c']) == 2
    batch = client.read('order', 1)
    assert [(r.offset, r.data) for r in batch.records] == [(1, b'b'), (2, b'c')]
    assert (batch.first, batch.end) == (0, 3)


def test_lapsed_records_name_the_oldest_one(procs: fleet.Fleet) -> None:
    """A VM starts after the records that it needs have been dropped.

    Told of an empty log it would believe that no preset was ever published.
    """
    store = procs.standin('platform', '--keep-records', '2')
    client = platform.Platform(store.address, 5.0)
    client.append('s', [b'a', b'b', b'c', b'd', b'e'])
    with pytest.raises(errors.RecordsExpiredError) as caught:
        client.read('s', 0)
    assert caught.value.first == 3
    assert client.read('s', 3).records[0].data == b'd'


def test_a_lost_append_may_have_taken_effect(store: fleet.Proc) -> None:
    """The log takes a claim and the answer is lost on its way back.

    A client that repeated it, or said "not written", would have the summary
    billed twice or refused though it is claimed.
    """
    client = platform.Platform(store.address, 5.0)
    control.faults(store, lose_answers=1)
    with pytest.raises(errors.NoReplyError):
        client.append('lost', [b'claim'])
    assert [r.data for r in client.read('lost', 0).records] == [b'claim']
    assert client.append('lost', [b'next']) == 1


def test_a_store_that_is_down_says_so(store: fleet.Proc) -> None:
    client = platform.Platform(store.address, 5.0)
    control.faults(store, down=True)
    try:
        with pytest.raises(errors.RejectedError) as caught:
            client.append('down', [b'a'])
    finally:
        control.faults(store, down=False)
    assert caught.value.code == 'down'
    assert client.read('down', 0).end == 0


def test_the_list_grows_in_version_and_can_freeze(store: fleet.Proc) -> None:
    client = platform.Platform(store.address, 5.0)
    listing = values.Listing(
        0,
        (),
        (
            values.BackendServer(
                name='w',
                address='127.0.0.1:1',
                data_centre='halle-nord',
                service='enteis-llm',
                role='decode',
            ),
        ),
    )
    url = f'http://{store.address}/vms'
    _HTTP.request('PUT', url, body=msgspec.json.encode(listing))
    shown = client.listing()
    assert shown.backend_servers == listing.backend_servers
    control.faults(store, list_frozen=True)
    _HTTP.request('PUT', url, body=msgspec.json.encode(listing))
    assert client.listing() == shown
    control.faults(store, list_frozen=False)
    assert client.listing().version == shown.version + 1


def test_a_hung_store_costs_one_bounded_wait(procs: fleet.Fleet) -> None:
    """The store's process hangs: connections open, answers never come.

    Without a breaker each request of a caller waits for the whole timeout.
    """
    store = procs.standin('platform')
    client = platform.Platform(store.address, 0.3, retry_delay_s=3600.0)
    client.append('s', [b'a'])
    store.freeze()
    with pytest.raises(errors.NoReplyError):
        client.append('s', [b'b'])
    for _ in range(100):
        with pytest.raises(errors.UnreachableError, match='not answering'):
            client.append('s', [b'c'])
    store.thaw()


def test_a_store_that_restarts_is_reached_at_once(procs: fleet.Fleet) -> None:
    """The store's process is down and refuses connections, which costs no wait.

    If that opened the breaker too, claims would be refused after its restart.
    """
    store = procs.standin('platform')
    client = platform.Platform(store.address, 5.0, retry_delay_s=3600.0)
    store.kill()
    with pytest.raises(errors.UnreachableError):
        client.append('s', [b'a'])
    procs.standin('platform', '--address', store.address)
    assert client.append('s', [b'a']) == 0


def test_a_silent_connection_is_replaced(store: fleet.Proc) -> None:
    """Something in between forgets an open connection; new ones work.

    A client that waits on the old one hangs for good, call after call.
    """
    with relay.Relay(store.address) as middle:
        client = http_client.HttpClient()
        failed: list[errors.PortError] = []

        def call() -> None:
            try:
                client.send(middle.address, 'GET', '/vms', timeout_s=0.5)
            except errors.PortError as exc:
                failed.append(exc)

        def call_twice_at_once() -> None:
            control.faults(store, slow_ms=150)
            threads = [threading.Thread(target=call) for _ in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            control.faults(store, slow_ms=0)

        # Leaves two idle connections behind.
        call_twice_at_once()
        assert (middle.accepted, failed) == (2, [])
        middle.silence()
        call()
        assert len(failed) == 1
        call_twice_at_once()
        assert (middle.accepted, len(failed)) == (4, 1)


def test_an_idle_connection_is_not_used_again(store: fleet.Proc) -> None:
    """A server closes idle connections just as the next request leaves.

    That request's fate is unknown, though the server never saw it.
    """
    now = 0.0
    with relay.Relay(store.address) as middle:
        client = http_client.HttpClient(lambda: now)
        for _ in range(2):
            client.send(middle.address, 'GET', '/vms', timeout_s=5.0)
        assert middle.accepted == 1
        now = http_client.MAX_IDLE_S + 1.0
        client.send(middle.address, 'GET', '/vms', timeout_s=5.0)
        assert middle.accepted == 2
