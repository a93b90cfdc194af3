"""Who reads the store, and what the others do when its reader fails."""

from collections.abc import Iterator
import random
import time
from typing import Any

import msgspec
import pytest

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale_adapters import metrics
from foxtaildale_platform import records
from foxtaildaled import actors
from foxtaildaled import initial_state
from foxtaildaled import reader_choice
from foxtaildaled import router_state
from foxtaildaled import store_sync

_CODEC = records.Codec()
_LIMIT_S = 1.1


def _vm(
    address: str, dc: str = 'here', cores: float = 1.0
) -> forwarding.EntryVm:
    return forwarding.EntryVm(address, dc, cores)


class _Net:
    """Other entry VMs: answers by address, and how old their word is."""

    def __init__(self) -> None:
        self.age_s: dict[str, float] = {}
        self.asked: list[str] = []

    def request(
        self, address: str, msg: messages.Message, _timeout_s: float
    ) -> messages.Message:
        assert isinstance(msg, messages.RecordsRequest)
        self.asked.append(address)
        if address not in self.age_s:
            raise errors.UnreachableError(address)
        return messages.RecordsReply(
            records={_CODEC.servers_topic: ()},
            positions={_CODEC.servers_topic: 1},
            store_age_s=self.age_s[address],
        )


class _Store:
    """Counts reads."""

    def __init__(self) -> None:
        self.reads = 0
        self.down = False

    def read_newest(self, _topic: str) -> ports.KeyedRecords:
        return self.wait_for_records(_topic, 0, 0.0)

    def wait_for_records(
        self, _topic: str, offset: int, _wait_s: float
    ) -> ports.KeyedRecords:
        self.reads += 1
        if self.down:
            raise errors.NoReplyError('down')
        return ports.KeyedRecords(max(1, offset), ())

    def put(self, topic: str, key: str, value: bytes) -> None:
        raise NotImplementedError

    def put_if_unchanged(
        self, topic: str, key: str, value: bytes, end: int
    ) -> int:
        raise NotImplementedError

    def set_address(self, address: str) -> None:
        raise NotImplementedError


class _World:
    """One entry VM, `me`, among others, under a clock that tests advance."""

    def __init__(self) -> None:
        self.now = 100.0
        state = router_state.RouterState(
            _CODEC, 'me:1', (), 'here', random.Random(1)
        )
        self.owner = actors.StateOwner(state, lambda: self.now)
        self.state = state
        self.net = _Net()
        self.store = _Store()
        self.readers = reader_choice.ReaderChoice(
            'me', 'here', lambda: self.now
        )
        topic = store_sync.TopicReader(
            _CODEC.servers_topic,
            self.owner,
            self.store,
            metrics.Metrics(),
            0.0,
        )
        self.lazy = store_sync.FallbackReader(
            topic=topic,
            owner=self.owner,
            peers=self.net,
            readers=self.readers,
            entry_vm='me',
            interval_s=0.0,
            max_age_s=_LIMIT_S,
            rng=random.Random(1),
        )
        self.sync = store_sync.PeerSync(
            owner=self.owner,
            peers=self.net,
            readers=self.readers,
            entry_vm='me',
            max_age_s=_LIMIT_S,
            rng=random.Random(1),
        )

    def know(self, **vms: forwarding.EntryVm) -> None:
        self.state.entry_vms = {'me': _vm('me:1')} | vms


@pytest.fixture
def world() -> Iterator[_World]:
    made = _World()
    yield made
    made.owner.stop()


def _other_reader(world: _World) -> str:
    """Lets other VMs be known so that one of them is the reader."""
    world.know(**{f'o{n}': _vm(f'o{n}:1') for n in range(6)})
    reader = world.readers.choose_reader(world.state.entry_vms)
    assert reader != 'me'
    return reader


def test_all_choose_the_same_reader_of_their_data_centre() -> None:
    known = {f'o{n}': _vm(f'o{n}:1', dc) for n, dc in enumerate('aabbab')}
    chosen = {
        reader_choice.ReaderChoice(name, 'a', lambda: 0.0).choose_reader(known)
        for name in known
    }
    assert len(chosen) == 1
    assert known[chosen.pop()].data_centre == 'a'


def test_a_weak_vm_reads_for_nobody() -> None:
    known = {f'o{n}': _vm(f'o{n}:1', cores=0.5) for n in range(9)}
    known['strong'] = _vm('strong:1', cores=2.0)
    readers = reader_choice.ReaderChoice('o1', 'here', lambda: 0.0)
    assert readers.choose_reader(known) == 'strong'


def test_who_is_alone_reads_for_itself(world: _World) -> None:
    assert world.lazy.read_if_stale() == 0
    assert world.store.reads == 1


def test_a_fresh_word_of_the_reader_saves_the_read(world: _World) -> None:
    reader = _other_reader(world)
    world.net.age_s[f'{reader}:1'] = 0.3
    world.sync.sync_once()
    world.lazy.read_if_stale()
    assert world.store.reads == 0
    assert world.net.asked == [f'{reader}:1']


def test_an_old_word_does_not(world: _World) -> None:
    """The reader lives and is cut off from the store.

    Taking its word for fresh, all VMs of the data centre would send work to
    servers that left.
    """
    reader = _other_reader(world)
    world.net.age_s[f'{reader}:1'] = 5.0
    world.sync.sync_once()
    world.lazy.read_if_stale()
    assert world.store.reads == 1
    assert world.readers.choose_reader(world.state.entry_vms) != reader


def test_a_dead_reader_is_passed_over_for_a_while(world: _World) -> None:
    reader = _other_reader(world)
    world.sync.sync_once()
    assert world.readers.choose_reader(world.state.entry_vms) != reader
    world.now += reader_choice.EXCLUSION_S + 0.1
    assert world.readers.choose_reader(world.state.entry_vms) == reader


def test_word_ages_by_the_age_that_it_came_with(world: _World) -> None:
    """Two VMs that are both cut off ask each other.

    Each would else keep the other's word fresh for good.
    """
    reader = _other_reader(world)
    world.net.age_s[f'{reader}:1'] = 1.0
    world.sync.sync_once()
    assert world.state.is_fresh(world.now, _LIMIT_S)
    assert not world.state.is_fresh(world.now + 0.2, _LIMIT_S)


def test_without_store_and_reader_any_vm_is_asked(world: _World) -> None:
    _other_reader(world)
    world.store.down = True
    assert world.lazy.read_if_stale() > 0
    world.sync.sync_once()
    assert len(world.net.asked) == 2


def test_a_removal_while_the_store_fails_is_not_believed_at_once(
    world: _World,
) -> None:
    """The store was away and lost the entries of living servers with it."""
    topic = _CODEC.servers_topic
    value = (
        b'{"service":"s","address":"1.1.1.1:1","zone":"z","version":"v1",'
        b'"slots":8,"state":"ready","cold_left_ms":0,"seq_no":1}'
    )
    entry = mirror.Entry('i-1', 1, value)
    gone = mirror.Entry('i-1', 2, b'')

    def take(record: mirror.Entry, end: int) -> None:
        keyed = ports.KeyedRecords(end, (record,))
        world.state.apply_store_reply(
            topic,
            keyed,
            world.now,
            requested_at=world.now,
            is_snapshot=False,
        )

    take(entry, 2)
    world.store.down = True
    world.lazy.read_if_stale()
    take(gone, 3)
    found: list[Any] = world.state.fleet.candidates('s', world.now)
    assert [tally.backend.id for tally in found] == ['i-1']


def _waits(world: _World, count: int) -> list[float]:
    return [world.lazy.read_if_stale() for _ in range(count)]


def test_a_store_that_is_down_is_not_called_by_all_all_the_time(
    world: _World,
) -> None:
    """The store is down for some seconds, and with it the reader's word.

    Each of 195 VMs called it three times a second then, and all of these calls
    were paid for; what they look for comes with the reader's next word.
    """
    _other_reader(world)
    world.store.down = True
    world.owner.run(lambda state, _: setattr(state, 'matcher', object()))
    waits = _waits(world, 6)
    assert waits[0] <= 1.25 * store_sync.MIN_RETRY_S
    assert sum(waits) > 6.0
    assert max(waits) <= 1.25 * store_sync.MAX_RETRY_S
    world.store.down = False
    assert world.lazy.read_if_stale() == 0
    world.now += _LIMIT_S + 0.1
    world.store.down = True
    assert world.lazy.read_if_stale() <= 1.25 * store_sync.MIN_RETRY_S


def test_the_reader_and_who_knows_nothing_look_soon(world: _World) -> None:
    """The store comes back, and callers are refused until that is noticed."""
    world.store.down = True
    assert max(_waits(world, 6)) <= 1.25 * store_sync.READER_MAX_RETRY_S
    _other_reader(world)
    assert max(_waits(world, 6)) <= 1.25 * store_sync.READER_MAX_RETRY_S


class _Listing(_Store):
    """Takes this entry VM's entry, and shows it."""

    def __init__(self) -> None:
        super().__init__()
        self.value = b''
        self.puts = 0

    def read_newest(self, _topic: str) -> ports.KeyedRecords:
        self.reads += 1
        entries = (mirror.Entry('me', 1, self.value),) if self.value else ()
        return ports.KeyedRecords(2, entries)

    def wait_for_records(
        self, topic: str, _offset: int, _wait_s: float
    ) -> ports.KeyedRecords:
        return self.read_newest(topic)

    def put(self, topic: str, key: str, value: bytes) -> None:
        self.puts += 1
        self.value = value


def _members(world: _World, listing: _Listing) -> store_sync.MemberListing:
    return store_sync.MemberListing(
        name='me',
        member=_vm('me:1'),
        codec=_CODEC,
        owner=world.owner,
        store=listing,
        topic=store_sync.TopicReader(
            _CODEC.members_topic, world.owner, listing, metrics.Metrics(), 0.0
        ),
        readers=world.readers,
        clock=lambda: world.now,
    )


def test_who_is_listed_leaves_reading_the_list_to_the_reader(
    world: _World,
) -> None:
    """Every VM read the list of VMs every few seconds, to count the others.

    Of 195 VMs that was a quarter of all calls to the store.
    """
    listing = _Listing()
    members = _members(world, listing)
    assert not members.list_once()
    assert members.list_once()
    assert (listing.puts, listing.reads) == (1, 2)
    # Alone it is the reader.
    assert members.list_once()
    assert listing.reads == 3
    _other_reader(world)
    for _ in range(5):
        assert members.list_once()
    assert (listing.puts, listing.reads) == (1, 3)


def test_a_process_that_starts_again_does_not_call_for_its_entry(
    world: _World,
) -> None:
    """All VMs lose power, and the list still has them as they are.

    Each read the list, wrote itself and read again: half of what the store was
    called for on a day with two such losses.
    """
    _other_reader(world)
    listing = _Listing()
    assert _members(world, listing).list_once()
    assert (listing.puts, listing.reads) == (0, 0)


def test_an_entry_is_written_once_until_it_must_have_been_seen(
    world: _World,
) -> None:
    """A VM comes at a new address; the reader shows its entry seconds later."""
    _other_reader(world)
    world.state.entry_vms = {
        name: vm for name, vm in world.state.entry_vms.items() if name != 'me'
    }
    listing = _Listing()
    members = _members(world, listing)
    for _ in range(5):
        assert not members.list_once()
    assert (listing.puts, listing.reads) == (1, 0)
    world.now += store_sync.RELIST_INTERVAL_S
    assert not members.list_once()
    assert listing.puts == 2
    _other_reader(world)
    assert members.list_once()


def test_many_vms_have_a_reader_in_each_data_centre() -> None:
    few = {f'o{n}': _vm(f'o{n}:1', dc) for n, dc in enumerate('ab' * 50)}
    many = few | {f'p{n}': _vm(f'p{n}:1', dc) for n, dc in enumerate('ab' * 50)}
    for known, count in ((few, 1), (many, 2)):
        chosen = {
            reader_choice.ReaderChoice(
                name, known[name].data_centre, lambda: 0.0
            ).choose_reader(known)
            for name in known
        }
        assert len(chosen) == count


class _Seeds:
    """Entry VMs that the settings name."""

    def __init__(self, world: _World) -> None:
        self.world = world
        # What those that are up know; an error for those that are not.
        self.replies: dict[str, messages.RecordsReply | errors.PortError] = {}
        self.asked: list[str] = []

    def request(
        self, address: str, _msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        self.asked.append(address)
        found = self.replies[address]
        if isinstance(found, errors.NoReplyError):
            self.world.now += timeout_s
        if isinstance(found, errors.PortError):
            raise found
        return found

    def introduction(
        self, *, first: bool = False
    ) -> initial_state.InitialState:
        return initial_state.InitialState(
            config_topic=_CODEC.config_topic,
            owner=self.world.owner,
            peers=self,
            own_address='me:1',
            seeds=tuple(self.replies),
            max_age_s=_LIMIT_S,
            first_start=first,
            clock=lambda: self.world.now,
            rng=random.Random(3),
        )


def _whole_word(age_s: float = 0.3) -> messages.RecordsReply:
    config = b'{"version": 7}'
    vm = _CODEC.encode_member(_vm('o:1'))
    return messages.RecordsReply(
        records={
            _CODEC.config_topic: ((_CODEC.config_key, 0, config, (0, 0)),),
            _CODEC.members_topic: (('o', 0, vm, (0, 0)),),
            _CODEC.servers_topic: (),
        },
        positions={
            _CODEC.config_topic: 1,
            _CODEC.members_topic: 1,
            _CODEC.servers_topic: 1,
        },
        store_age_s=age_s,
    )


def test_a_process_that_starts_learns_from_one_that_is_up(
    world: _World,
) -> None:
    """The store is slow while a VM starts; its callers would wait for it."""
    seeds = _Seeds(world)
    seeds.replies = {
        'gone:1': errors.UnreachableError('gone'),
        'up:1': _whole_word(),
    }
    introduction = seeds.introduction()
    introduction.run()
    introduction.wait()
    assert world.state.matcher is not None
    assert world.state.matcher.table.version == 7
    assert set(world.state.entry_vms) == {'o'}
    assert world.state.is_fresh(world.now, _LIMIT_S)
    asked = len(seeds.asked)
    introduction.run()
    assert len(seeds.asked) == asked


@pytest.mark.parametrize('first', [False, True])
@pytest.mark.parametrize(
    'reply',
    [
        errors.NoReplyError('dark'),
        errors.UnreachableError('refused'),
        messages.RecordsReply(records={}, positions={}, store_age_s=1e9),
        _whole_word(age_s=_LIMIT_S + 1),
    ],
)
def test_where_no_one_knows_the_store_is_read_soon(
    world: _World,
    monkeypatch: pytest.MonkeyPatch,
    reply: messages.RecordsReply | errors.PortError,
    first: bool,
) -> None:
    """All VMs lost power; those that the settings name are down, or know nothing.

    Callers are there, and each tenth of a second is one in which nobody is
    served. At the first start of all there is time.
    """

    def sleep(seconds: float) -> None:
        world.now += seconds

    monkeypatch.setattr(time, 'sleep', sleep)
    seeds = _Seeds(world)
    seeds.replies = {'a:1': reply, 'b:1': reply}
    began = world.now
    introduction = seeds.introduction(first=first)
    introduction.run()
    introduction.wait()
    most_s = (
        initial_state.FIRST_START_TIMEOUT_S
        if first
        else initial_state.RESTART_TIMEOUT_S
    )
    assert world.now - began <= most_s + initial_state.SEED_PAUSE_S
    assert world.state.matcher is None


def test_one_that_others_ask_reads_at_once(world: _World) -> None:
    seeds = _Seeds(world)
    seeds.replies = {'me:1': _whole_word(), 'up:1': _whole_word()}
    introduction = seeds.introduction()
    introduction.run()
    introduction.wait()
    assert seeds.asked == []


class _Lost(_Net):
    """Other entry VMs, some of which the store fails."""

    def __init__(self) -> None:
        super().__init__()
        # Addresses of those.
        self.lost: set[str] = set()

    def request(
        self, address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        reply = super().request(address, msg, timeout_s)
        return msgspec.structs.replace(reply, store_failed=address in self.lost)


def _lost_net(world: _World) -> _Lost:
    net = _Lost()
    world.sync = store_sync.PeerSync(
        owner=world.owner,
        peers=net,
        readers=world.readers,
        entry_vm='me',
        max_age_s=_LIMIT_S,
        rng=random.Random(1),
    )
    return net


def test_a_reader_that_the_store_fails_is_left_at_once(world: _World) -> None:
    """The store turns the one VM away that reads for all.

    Its word is young for a second more. Left only then, all would know of a key
    that was taken away two seconds late, and read the store together.
    """
    net = _lost_net(world)
    woken: list[bool] = []
    world.readers.on_reader_excluded = lambda: woken.append(True)
    first = _other_reader(world)
    net.age_s = {f'o{n}:1': 0.2 for n in range(6)}
    net.lost = {f'{first}:1'}
    world.sync.sync_once()
    assert woken
    second = world.readers.choose_reader(world.state.entry_vms)
    assert second != first
    # What it knew was taken all the same.
    assert world.state.is_fresh(world.now, _LIMIT_S)


def test_a_store_that_fails_everybody_makes_no_row_of_readers(
    world: _World,
) -> None:
    """The store is down: each VM in turn would try it as the reader."""
    net = _lost_net(world)
    _other_reader(world)
    net.age_s = {f'o{n}:1': 0.2 for n in range(6)}
    net.lost = set(net.age_s)
    chosen = set()
    for _ in range(6):
        chosen.add(world.readers.choose_reader(world.state.entry_vms))
        world.sync.sync_once()
        world.now += store_sync.PEER_INTERVAL_S
    assert len(chosen) == 2


def test_a_reader_without_a_store_asks_others(world: _World) -> None:
    """The VM that reads for all is turned away by the store itself."""
    net = _lost_net(world)
    # By the hash it reads itself.
    names = (f'o{n}' for n in range(50))
    for name in names:
        world.know(**{name: _vm(f'{name}:1')})
        if world.readers.choose_reader(world.state.entry_vms) == 'me':
            break
    world.state.servers_current_at = world.now
    world.state.record_store_failure(world.now + 0.1)
    net.age_s = {f'{name}:1': 0.2}
    world.sync.sync_once()
    world.sync.sync_once()
    assert net.asked == [f'{name}:1']


def test_own_reads_of_the_list_do_not_vouch_for_the_configuration(
    world: _World,
) -> None:
    """Guards against a new version that nobody reads while the list is."""
    reader = _other_reader(world)
    config = store_sync.FallbackReader(
        topic=store_sync.TopicReader(
            _CODEC.config_topic,
            world.owner,
            world.store,
            metrics.Metrics(),
            0.0,
        ),
        owner=world.owner,
        peers=world.net,
        readers=world.readers,
        entry_vm='me',
        interval_s=0.0,
        max_age_s=_LIMIT_S,
        rng=random.Random(1),
    )
    world.lazy.read_if_stale()
    assert world.store.reads == 1
    config.read_if_stale()
    assert world.store.reads == 2
    world.net.age_s[f'{reader}:1'] = 0.1
    world.sync.sync_once()
    assert config.read_if_stale() > 0
    assert world.store.reads == 2
