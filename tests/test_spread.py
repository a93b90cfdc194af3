"""One keeper's follower, event by event."""

from foxtaildale import changes
from foxtaildale import fold
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import spread
from tests import test_fold


class Stream:
    """The configuration stream as one list of records."""

    def __init__(self) -> None:
        self.first = 0
        self.data: list[bytes] = []

    def put(self, change: changes.Change) -> None:
        self.data.append(changes.encode(change))

    def publish(self, name: str) -> str:
        change = changes.publish(
            f'p{len(self.data)}', len(self.data), test_fold.preset(name)
        )
        self.put(change)
        return change.digest

    def switch(self, name: str, expects: int) -> None:
        digest = changes.digest_of(changes.canonical(test_fold.preset(name)))
        self.put(
            changes.Switch(
                id=f's{len(self.data)}',
                base=len(self.data),
                name=name,
                digest=digest,
                expects=expects,
            )
        )

    def read(self, offset: int) -> ports.Batch:
        records = tuple(
            ports.Record(at, self.data[at])
            for at in range(offset, len(self.data))
        )
        return ports.Batch(self.first, len(self.data), records)


def peak_stream() -> Stream:
    stream = Stream()
    stream.publish('peak')
    stream.switch('peak', 0)
    return stream


def beat(follower: spread.Follower) -> messages.Beat:
    return messages.Beat(
        entry_vm=follower.entry_vm,
        incarnation='i',
        data_centre='d',
        address='127.0.0.1:1',
        offset=follower.offset,
        digest=follower.digest,
        listing_version=0,
    )


def poll(now: float, follower: spread.Follower, stream: Stream) -> bool:
    if follower.next_offset < stream.first:
        follower.on_lapsed(now, stream.first)
    return follower.on_batch(now, stream.read(follower.next_offset))


def name_in_force(follower: spread.Follower) -> str | None:
    return follower.in_force.preset.name if follower.in_force else None


def test_the_log_brings_the_preset_in_force() -> None:
    follower = spread.Follower('a')
    assert not follower.vouched(0)
    assert poll(0, follower, peak_stream())
    assert name_in_force(follower) == 'peak'
    assert follower.vouched(0)


def test_one_that_hears_nobody_stops_vouching() -> None:
    """A VM is cut off from the log and from all peers, and a switch is made.

    Its callers would be served by rules that are not in force any more.
    """
    follower = spread.Follower('a', freshness_s=30)
    poll(0, follower, peak_stream())
    assert follower.vouched(30)
    assert not follower.vouched(31)
    assert name_in_force(follower) == 'peak'


def test_through_an_outage_of_the_log_peers_vouch_for_each_other() -> None:
    """The log is down for hours; nothing can be switched meanwhile.

    If each keeper stopped vouching, the outage would stop the whole system.
    """
    one, two = spread.Follower('a'), spread.Follower('b')
    for follower in (one, two):
        poll(0, follower, peak_stream())
    assert not one.on_peer(7200, beat(two))
    assert one.vouched(7200)


def test_a_peer_that_is_behind_vouches_for_nothing() -> None:
    """An isolated keeper still hears a peer that has just been started."""
    one, two = spread.Follower('a'), spread.Follower('b')
    poll(0, one, peak_stream())
    one.on_peer(100, beat(two))
    assert not one.vouched(100)
    assert not one.divergences


def test_one_started_in_an_outage_learns_from_a_peer() -> None:
    """A VM is replaced while the log is down."""
    old, new = spread.Follower('a'), spread.Follower('b')
    poll(0, old, peak_stream())
    new.on_log_failed(5)
    assert new.on_peer(5, beat(old))
    assert new.on_pull(5, old.pull_reply())
    assert name_in_force(new) == 'peak'
    assert new.vouched(5)


def test_an_older_state_is_not_taken() -> None:
    """A peer that was cut off answers a pull late, with what was replaced."""
    stream = peak_stream()
    old, new = spread.Follower('a'), spread.Follower('b')
    poll(0, old, stream)
    stale = old.pull_reply()
    stream.publish('calm')
    stream.switch('calm', 1)
    poll(0, new, stream)
    assert not new.on_pull(1, stale)
    assert name_in_force(new) == 'calm'
    # The same revision, but the state before another preset was published.
    stale = new.pull_reply()
    stream.publish('more')
    poll(2, new, stream)
    new.on_pull(2, stale)
    assert new.offset == 5


def test_a_state_that_was_altered_on_its_way_is_not_taken() -> None:
    """A message is damaged but still decodes."""
    old, new = spread.Follower('a'), spread.Follower('b')
    poll(0, old, peak_stream())
    reply = old.pull_reply()
    bad = messages.PullReply(
        offset=reply.offset, digest='x', state=reply.state, listing=None
    )
    assert not new.on_pull(0, bad)
    assert new.offset == 0


def test_a_log_that_was_begun_anew_is_not_followed() -> None:
    """The platform loses the stream and starts it again at offset 0.

    Folding it would put an old preset, or none, back in force.
    """
    follower = spread.Follower('a', freshness_s=30)
    poll(0, follower, peak_stream())
    poll(20, follower, Stream())
    assert follower.log_behind
    assert name_in_force(follower) == 'peak'
    assert not follower.vouched(40)


def checkpoint(now: float, follower: spread.Follower, stream: Stream) -> bytes:
    for second in range(60):
        data = follower.checkpoint_due(now + second / 10, stream.first)
        if data is not None:
            return data
        poll(now + second / 10, follower, stream)
    raise AssertionError('no checkpoint')


def test_a_late_starter_finds_a_checkpoint() -> None:
    """The oldest records have lapsed when a VM is replaced."""
    stream = peak_stream()
    old, new = spread.Follower('a'), spread.Follower('b')
    poll(0, old, stream)
    stream.first = 1
    stream.data.append(checkpoint(0, old, stream))
    stream.publish('calm')
    stream.switch('calm', 1)
    stream.first = 2
    poll(9, new, stream)
    poll(9, new, stream)
    assert name_in_force(new) == 'calm'
    assert new.vouched(9)
    poll(9, old, stream)
    assert new.digest == old.digest


def test_without_a_checkpoint_a_late_starter_vouches_for_nothing() -> None:
    """Everything but the last switch has lapsed when a VM is replaced.

    Folding the rest alone would give a revision and a preset of its own.
    """
    stream = peak_stream()
    stream.publish('calm')
    stream.switch('calm', 1)
    old, new = spread.Follower('a'), spread.Follower('b')
    poll(0, old, stream)
    stream.first = 2
    for now in range(3):
        poll(now, new, stream)
    assert new.in_force is None
    assert not new.vouched(2)
    assert new.on_peer(2, beat(old))
    assert new.on_pull(2, old.pull_reply())
    assert name_in_force(new) == 'calm'
    assert new.vouched(2)


def test_two_late_starters_do_not_vouch_for_each_other() -> None:
    """All records have lapsed when all VMs are replaced together.

    Both know nothing, at the same offset and with the same digest.
    """
    one, two = spread.Follower('a'), spread.Follower('b')
    for follower in (one, two):
        follower.on_batch(0, ports.Batch(5, 5, ()))
    assert not one.on_peer(0, beat(two))
    assert not one.vouched(0)
    assert one.next_offset == 5


def test_one_cut_off_past_the_retention_does_not_vouch_until_it_catches_up() -> (
    None
):
    """A VM loses the log for longer than records are kept."""
    stream = peak_stream()
    old, late = spread.Follower('a'), spread.Follower('b')
    poll(0, late, stream)
    stream.publish('calm')
    stream.switch('calm', 1)
    poll(0, old, stream)
    stream.first = 4
    poll(1, late, stream)
    assert not late.vouched(1)
    assert name_in_force(late) == 'peak'
    stream.data.append(checkpoint(1, old, stream))
    poll(2, late, stream)
    poll(2, late, stream)
    assert name_in_force(late) == 'calm'
    assert late.vouched(2)


def test_a_checkpoint_is_due_again_before_the_last_one_lapses() -> None:
    """Nothing is published for days, while records are kept for one."""
    stream = peak_stream()
    follower = spread.Follower('a', checkpoint_s=600)
    poll(0, follower, stream)
    assert follower.checkpoint_due(0, 0) is None
    poll(599, follower, stream)
    assert follower.checkpoint_due(599, 0) is None
    poll(600, follower, stream)
    stream.data.append(checkpoint(600, follower, stream))
    poll(610, follower, stream)
    assert follower.checkpoint_due(610, 0) is None


def test_of_many_keepers_few_write_a_due_checkpoint() -> None:
    """All keepers find a checkpoint due with the same poll."""
    stream = peak_stream()
    many = [spread.Follower(f'vm-{number}') for number in range(60)]
    for follower in many:
        poll(0, follower, stream)
    stream.first = 1
    for step in range(1, 120):
        now = step / 2
        for follower in many:
            poll(now, follower, stream)
        for follower in many:
            data = follower.checkpoint_due(now, stream.first, len(many))
            if data is not None:
                stream.data.append(data)
    assert 1 <= len(stream.data) - 2 <= 3


def test_divergence_is_reported_and_not_repaired() -> None:
    """One process is broken and folds to another state at the same offset.

    Which one it is can't be told; if its state could replace good ones or
    become a checkpoint, it would be in force everywhere.
    """
    stream, other = peak_stream(), Stream()
    other.publish('calm')
    other.switch('calm', 0)
    good, bad = spread.Follower('a'), spread.Follower('b')
    poll(0, good, stream)
    poll(0, bad, other)
    assert not good.on_peer(0, beat(bad))
    assert [found.source for found in good.divergences.all] == ['b']
    for second in range(30):
        poll(second, good, stream)
        assert good.checkpoint_due(second, 1) is None
    other.publish('more')
    poll(1, bad, other)
    assert not good.on_peer(100, beat(bad))
    assert name_in_force(good) == 'peak'


def test_two_checkpoints_that_differ_are_both_left() -> None:
    """A broken keeper has written a checkpoint beside a good one."""
    stream = peak_stream()
    other = test_fold.Writer()
    for _ in range(2):
        other.put(b'')
    good = spread.Follower('a')
    poll(0, good, stream)
    stream.put(
        changes.Checkpoint(
            id='bad',
            offset=2,
            digest=other.fold.digest,
            state=other.fold.to_bytes(),
        )
    )
    stream.put(
        changes.Checkpoint(
            id='good',
            offset=2,
            digest=good.digest,
            state=good.state.to_bytes(),
        )
    )
    stream.first = 2
    new = spread.Follower('b')
    poll(0, new, stream)
    poll(0, new, stream)
    assert not new.vouched(0)
    assert new.divergences
    poll(1, good, stream)
    assert good.divergences


def test_a_damaged_checkpoint_is_passed_over() -> None:
    stream = peak_stream()
    stream.put(
        changes.Checkpoint(id='x', offset=2, digest='', state=b'\x93\x01')
    )
    stream.first = 2
    new = spread.Follower('b')
    poll(0, new, stream)
    assert new.offset == 0
    assert not new.vouched(0)
    assert fold.from_bytes(b'\x93', changes.digest_of(b'\x93')) is None
