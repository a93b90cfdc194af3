"""Unit tests of the follower of the configuration stream."""

import pytest

from foxtaildale import changes
from foxtaildale import config_follower
from foxtaildale import fold
from foxtaildale import messages
from foxtaildale import ports
from tests import spread_bench
from tests import test_fold


class Stream:
    """An in-memory configuration stream."""

    def __init__(self) -> None:
        self.first = 0
        self.data: list[bytes] = []

    def append(self, change: changes.Change) -> None:
        self.data.append(changes.encode(change))

    def publish(self, name: str) -> str:
        change = changes.make_publish(
            f'p{len(self.data)}', len(self.data), test_fold.make_preset(name)
        )
        self.append(change)
        return change.digest

    def switch(self, name: str, expects: int) -> None:
        digest = changes.digest_of(
            changes.canonical_form(test_fold.make_preset(name))
        )
        self.append(
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
            ports.Record(index, self.data[index])
            for index in range(offset, len(self.data))
        )
        return ports.Batch(self.first, len(self.data), records)


def peak_stream() -> Stream:
    stream = Stream()
    stream.publish('peak')
    stream.switch('peak', 0)
    return stream


def make_heartbeat(
    follower: config_follower.Follower,
) -> messages.KeeperHeartbeat:
    return messages.KeeperHeartbeat(
        entry_vm=follower.entry_vm,
        incarnation='i',
        data_centre='d',
        address='127.0.0.1:1',
        offset=follower.offset,
        digest=follower.digest,
        listing_version=0,
    )


def poll(
    now: float, follower: config_follower.Follower, stream: Stream
) -> bool:
    if follower.next_offset < stream.first:
        follower.on_lapsed(now, stream.first)
    return follower.on_batch(now, stream.read(follower.next_offset))


def preset_name_in_force(follower: config_follower.Follower) -> str | None:
    return follower.in_force.preset.name if follower.in_force else None


def test_the_preset_in_force_is_read_from_the_log() -> None:
    follower = config_follower.Follower('a')
    assert not follower.vouched(0)
    assert poll(0, follower, peak_stream())
    assert preset_name_in_force(follower) == 'peak'
    assert follower.vouched(0)


def test_an_isolated_keeper_stops_vouching() -> None:
    """Guards against serving callers by rules that are no longer in force.

    The VM loses its connections to the log and to all peers, and a switch is
    made meanwhile.
    """
    follower = config_follower.Follower('a', freshness_s=30)
    poll(0, follower, peak_stream())
    assert follower.vouched(30)
    assert not follower.vouched(31)
    assert preset_name_in_force(follower) == 'peak'


def test_during_a_log_outage_peers_confirm_each_other() -> None:
    """Guards against a log outage of hours that stops the whole system.

    Nothing can be switched during the outage, so an up-to-date peer is
    sufficient confirmation.
    """
    first, second = config_follower.Follower('a'), config_follower.Follower('b')
    for follower in (first, second):
        poll(0, follower, peak_stream())
    assert not first.on_heartbeat(7200, make_heartbeat(second))
    assert first.vouched(7200)


def test_a_peer_that_is_behind_confirms_nothing() -> None:
    """Guards against confirmation by a peer that has just been started.

    The keeper is isolated from the log.
    """
    first, second = config_follower.Follower('a'), config_follower.Follower('b')
    poll(0, first, peak_stream())
    first.on_heartbeat(100, make_heartbeat(second))
    assert not first.vouched(100)
    assert not first.divergences


def test_a_keeper_started_in_an_outage_pulls_from_a_peer() -> None:
    """Guards against a VM replaced in a log outage that has no preset."""
    old, new = config_follower.Follower('a'), config_follower.Follower('b')
    poll(0, old, peak_stream())
    new.on_log_failed(5)
    assert new.on_heartbeat(5, make_heartbeat(old))
    assert new.on_pull_reply(5, old.pull_reply())
    assert preset_name_in_force(new) == 'peak'
    assert new.vouched(5)


def test_a_restarted_keeper_does_not_revert_its_entries() -> None:
    """Guards against reverting the entries of a VM to a replaced preset.

    A keeper restarts while the log is down. The peer that it pulls from missed
    the last switch; the entries of the keeper's VM already use the new preset.
    """
    stream = peak_stream()
    behind, restarted = (
        config_follower.Follower('a'),
        config_follower.Follower('b'),
    )
    poll(0, behind, stream)
    stream.publish('calm')
    stream.switch('calm', 1)
    restarted.on_entry_revision(2)
    restarted.on_heartbeat(1, make_heartbeat(behind))
    restarted.on_pull_reply(1, behind.pull_reply())
    assert preset_name_in_force(restarted) == 'peak'
    assert not restarted.vouched(1)
    poll(2, restarted, stream)
    assert restarted.vouched(2)


def test_an_older_state_is_ignored() -> None:
    """Guards against reverting to the state in a peer's late pull reply."""
    stream = peak_stream()
    old, new = config_follower.Follower('a'), config_follower.Follower('b')
    poll(0, old, stream)
    stale = old.pull_reply()
    stream.publish('calm')
    stream.switch('calm', 1)
    poll(0, new, stream)
    assert not new.on_pull_reply(1, stale)
    assert preset_name_in_force(new) == 'calm'
    # This state has the same revision but precedes another publication.
    stale = new.pull_reply()
    stream.publish('more')
    poll(2, new, stream)
    new.on_pull_reply(2, stale)
    assert new.offset == 5


def test_a_state_damaged_in_transit_is_ignored() -> None:
    """Guards against a damaged message that still decodes."""
    old, new = config_follower.Follower('a'), config_follower.Follower('b')
    poll(0, old, peak_stream())
    reply = old.pull_reply()
    bad = messages.StateReply(
        offset=reply.offset, digest='x', state=reply.state, listing=None
    )
    assert not new.on_pull_reply(0, bad)
    assert new.offset == 0


def test_a_log_that_restarts_at_offset_0_is_not_followed() -> None:
    """Guards against putting an old preset, or none, in force again.

    The platform loses the stream and restarts it at offset 0.
    """
    follower = config_follower.Follower('a', freshness_s=30)
    poll(0, follower, peak_stream())
    poll(20, follower, Stream())
    assert follower.log_behind
    assert preset_name_in_force(follower) == 'peak'
    assert not follower.vouched(40)


def wait_for_checkpoint(
    now: float, follower: config_follower.Follower, stream: Stream
) -> bytes:
    for second in range(60):
        data = follower.due_checkpoint(now + second / 10, stream.first)
        if data is not None:
            return data
        poll(now + second / 10, follower, stream)
    raise AssertionError('no checkpoint')


def test_a_keeper_started_late_finds_a_checkpoint() -> None:
    """Guards against a replaced VM that cannot start from expired records."""
    stream = peak_stream()
    old, new = config_follower.Follower('a'), config_follower.Follower('b')
    poll(0, old, stream)
    stream.first = 1
    stream.data.append(wait_for_checkpoint(0, old, stream))
    stream.publish('calm')
    stream.switch('calm', 1)
    stream.first = 2
    poll(9, new, stream)
    poll(9, new, stream)
    assert preset_name_in_force(new) == 'calm'
    assert new.vouched(9)
    poll(9, old, stream)
    assert new.digest == old.digest


def test_without_a_checkpoint_a_keeper_started_late_does_not_vouch() -> None:
    """Guards against a wrong revision and preset in a replaced VM.

    All records except those of the last switch have expired; folding only
    these would give a different state.
    """
    stream = peak_stream()
    stream.publish('calm')
    stream.switch('calm', 1)
    old, new = config_follower.Follower('a'), config_follower.Follower('b')
    poll(0, old, stream)
    stream.first = 2
    for now in range(3):
        poll(now, new, stream)
    assert new.in_force is None
    assert not new.vouched(2)
    assert new.on_heartbeat(2, make_heartbeat(old))
    assert new.on_pull_reply(2, old.pull_reply())
    assert preset_name_in_force(new) == 'calm'
    assert new.vouched(2)


def test_two_keepers_started_late_do_not_confirm_each_other() -> None:
    """Guards against mutual confirmation by two keepers that have no state.

    All VMs are replaced together after all records have expired. Both keepers
    then have the same offset and digest.
    """
    first, second = config_follower.Follower('a'), config_follower.Follower('b')
    for follower in (first, second):
        follower.on_batch(0, ports.Batch(5, 5, ()))
    assert not first.on_heartbeat(0, make_heartbeat(second))
    assert not first.vouched(0)
    assert first.next_offset == 5


def test_a_keeper_cut_off_past_the_retention_must_catch_up_first() -> None:
    """Guards against use of an old preset after records expired unread.

    The VM loses the log for longer than the retention time.
    """
    stream = peak_stream()
    old, reconnected = (
        config_follower.Follower('a'),
        config_follower.Follower('b'),
    )
    poll(0, reconnected, stream)
    stream.publish('calm')
    stream.switch('calm', 1)
    poll(0, old, stream)
    stream.first = 4
    poll(1, reconnected, stream)
    assert not reconnected.vouched(1)
    assert preset_name_in_force(reconnected) == 'peak'
    stream.data.append(wait_for_checkpoint(1, old, stream))
    poll(2, reconnected, stream)
    poll(2, reconnected, stream)
    assert preset_name_in_force(reconnected) == 'calm'
    assert reconnected.vouched(2)


def test_a_checkpoint_is_due_before_the_last_one_expires() -> None:
    """Guards against the expiry of the only checkpoint.

    Nothing is published for days, and records are retained for one day.
    """
    stream = peak_stream()
    follower = config_follower.Follower('a', checkpoint_interval_s=600)
    poll(0, follower, stream)
    assert follower.due_checkpoint(0, 0) is None
    poll(599, follower, stream)
    assert follower.due_checkpoint(599, 0) is None
    poll(600, follower, stream)
    stream.data.append(wait_for_checkpoint(600, follower, stream))
    poll(610, follower, stream)
    assert follower.due_checkpoint(610, 0) is None


def test_of_many_keepers_few_write_a_due_checkpoint() -> None:
    """Guards against a checkpoint from every keeper after the same poll."""
    stream = peak_stream()
    followers = [
        config_follower.Follower(f'vm-{number}') for number in range(60)
    ]
    for follower in followers:
        poll(0, follower, stream)
    stream.first = 1
    for step in range(1, 120):
        now = step / 2
        for follower in followers:
            poll(now, follower, stream)
        for follower in followers:
            data = follower.due_checkpoint(now, stream.first, len(followers))
            if data is not None:
                stream.data.append(data)
    assert 1 <= len(stream.data) - 2 <= 3


def test_divergence_is_reported_and_not_repaired() -> None:
    """Guards against a faulty state that replaces correct ones.

    A faulty process has a different state at the same offset. No keeper can
    determine which state is wrong, so neither is pulled or checkpointed.
    """
    stream, other = peak_stream(), Stream()
    other.publish('calm')
    other.switch('calm', 0)
    good, bad = config_follower.Follower('a'), config_follower.Follower('b')
    poll(0, good, stream)
    poll(0, bad, other)
    assert not good.on_heartbeat(0, make_heartbeat(bad))
    assert [divergence.source for divergence in good.divergences.recent] == [
        'b'
    ]
    assert good.dump(0)['divergences'] == good.divergences.recent
    for second in range(30):
        poll(second, good, stream)
        assert good.due_checkpoint(second, 1) is None
    other.publish('more')
    poll(1, bad, other)
    assert not good.on_heartbeat(100, make_heartbeat(bad))
    assert preset_name_in_force(good) == 'peak'


def test_two_different_checkpoints_are_both_ignored() -> None:
    """Guards against use of a faulty checkpoint beside a correct one."""
    stream = peak_stream()
    other = test_fold.Writer()
    for _ in range(2):
        other.append(b'')
    good = config_follower.Follower('a')
    poll(0, good, stream)
    stream.append(
        changes.Checkpoint(
            id='bad',
            offset=2,
            digest=other.fold.digest,
            state=other.fold.to_bytes(),
        )
    )
    stream.append(
        changes.Checkpoint(
            id='good',
            offset=2,
            digest=good.digest,
            state=good.state.to_bytes(),
        )
    )
    stream.first = 2
    new = config_follower.Follower('b')
    poll(0, new, stream)
    poll(0, new, stream)
    assert not new.vouched(0)
    assert new.divergences
    poll(1, good, stream)
    assert good.divergences


def test_a_damaged_checkpoint_is_skipped() -> None:
    stream = peak_stream()
    stream.append(
        changes.Checkpoint(id='x', offset=2, digest='', state=b'\x93\x01')
    )
    stream.first = 2
    new = config_follower.Follower('b')
    poll(0, new, stream)
    assert new.offset == 0
    assert not new.vouched(0)
    assert fold.from_bytes(b'\x93', changes.digest_of(b'\x93')) is None


@pytest.mark.parametrize(
    ('keepers', 'max_heartbeats', 'max_payload_bytes'),
    [(8, 1, 6200), (64, 4, 2000), (690, 6, 2000)],
)
def test_a_switch_read_by_one_keeper_spreads_in_a_few_heartbeats(
    keepers: int, max_heartbeats: int, max_payload_bytes: int
) -> None:
    """Guards against slow spread of a switch read once before a log outage.

    The bounds of docs/design/presets.md are heartbeats, all keepers sending
    simultaneously, and bytes of a heartbeat sent and received by one keeper.
    """
    result = spread_bench.run(keepers)
    assert result.beats_in_step <= max_heartbeats
    assert result.beat_bytes <= max_payload_bytes
