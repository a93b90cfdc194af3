"""Concurrent histories of configuration changes with faults.

The results are compared with those of an oracle.
"""

from collections.abc import Iterator
import contextlib
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import strategies

from foxtaildale import changes
from foxtaildale import config_follower
from foxtaildale import fold
from foxtaildale_client import config_reader
from tests import config_world

_KEEPERS = 4
# Small enough for short histories to exceed them.
_WINDOW = 12
_MAX_PUBLISHED = 3

_keeper_numbers = strategies.integers(0, _KEEPERS - 1)
_preset_numbers = strategies.sampled_from([0, 1, 2, 0, 1, 2, 3])
_patience_values = strategies.sampled_from([0.0, 3.0])
_events = strategies.one_of(
    strategies.tuples(
        strategies.just('publish'), _preset_numbers, _patience_values
    ),
    *[
        strategies.tuples(
            strategies.just('switch'),
            _preset_numbers,
            strategies.sampled_from([None, None, None, 1, 2]),
            _patience_values,
        )
    ]
    * 2,
    *[
        strategies.tuples(
            strategies.just('step'),
            strategies.integers(0, 5),
            strategies.integers(1, 5),
        )
    ]
    * 5,
    *[strategies.tuples(strategies.just('poll'), _keeper_numbers)] * 2,
    strategies.tuples(
        strategies.just('exchange_heartbeats'), _keeper_numbers, _keeper_numbers
    ),
    strategies.tuples(strategies.just('down'), strategies.booleans()),
    strategies.tuples(
        strategies.just('append_outcome'),
        strategies.sampled_from(['lost', 'dropped', 'late']),
    ),
    strategies.tuples(strategies.just('apply_delayed')),
    strategies.tuples(
        strategies.just('expire'),
        strategies.integers(1, 6),
        strategies.sampled_from([False] * 9 + [True]),
    ),
    strategies.tuples(strategies.just('restart'), _keeper_numbers),
    strategies.tuples(
        strategies.just('disconnect'),
        _keeper_numbers,
        strategies.booleans(),
        strategies.booleans(),
    ),
    strategies.tuples(
        strategies.just('advance_clock'),
        strategies.sampled_from([1.0, 10.0, 40.0]),
    ),
)


@contextlib.contextmanager
def small_bounds() -> Iterator[None]:
    """Reduces the limits so that short histories exceed them."""
    with (
        mock.patch.object(fold, 'VERDICT_WINDOW', _WINDOW),
        mock.patch.object(fold, 'MAX_PUBLISHED', _MAX_PUBLISHED),
        mock.patch.object(config_reader, '_BATCH', _WINDOW // 2),
    ):
        yield


class History:
    """Runs events and checks after each that no keeper reverts."""

    def __init__(self) -> None:
        self.world = config_world.World(_KEEPERS)
        # Highest offset and revision of each incarnation of a keeper.
        self.highest: dict[tuple[str, int], tuple[int, int]] = {}
        for number in range(_MAX_PUBLISHED):
            self.world.publish(number, 0.0)
            self.world.finish_operators()
        self.world.switch(0, None, 0.0)
        self.world.finish_operators()

    def run(self, event: tuple[Any, ...]) -> None:
        """Runs one event by the method that is named after its kind."""
        kind, *args = event
        getattr(self, f'on_{kind}')(*args)
        self.check()

    def on_publish(self, number: int, patience_s: float) -> None:
        self.world.publish(number, patience_s)

    def on_switch(
        self, number: int, expects: int | None, patience_s: float
    ) -> None:
        self.world.switch(number, expects, patience_s)

    def on_step(self, number: int, times: int) -> None:
        for _ in range(times):
            self.world.step_operator(number)

    def on_poll(self, number: int) -> None:
        self.world.keepers[number].poll(self.world.now)

    def on_exchange_heartbeats(self, first: int, second: int) -> None:
        if first != second:
            keepers = self.world.keepers
            keepers[first].exchange_heartbeats(self.world.now, keepers[second])

    def on_down(self, down: bool) -> None:
        self.world.log.down = down

    def on_append_outcome(self, outcome: config_world.AppendOutcome) -> None:
        self.world.log.append_outcomes.append(outcome)

    def on_apply_delayed(self) -> None:
        self.world.log.apply_delayed()

    def on_expire(self, count: int, past_checkpoints: bool) -> None:
        """Expires records; rarely also those that a late reader needs."""
        log = self.world.log
        max_first = (
            len(log.data)
            if past_checkpoints
            else _newest_checkpoint_offset(log.data)
        )
        log.first = max(log.first, min(log.first + count, max_first))

    def on_restart(self, number: int) -> None:
        self.world.keepers[number].restart()

    def on_disconnect(
        self, number: int, log_unreachable: bool, peers_unreachable: bool
    ) -> None:
        keeper = self.world.keepers[number]
        keeper.log_unreachable, keeper.peers_unreachable = (
            log_unreachable,
            peers_unreachable,
        )

    def on_advance_clock(self, seconds: float) -> None:
        self.world.now += seconds

    def expected_state(self) -> config_world.ExpectedState:
        data = self.world.log.data
        return config_world.expected_state(data, _WINDOW, _MAX_PUBLISHED)

    def check(self) -> None:
        """Checks that no keeper reverts and each state matches the log."""
        expected_state = self.expected_state()
        for keeper in self.world.keepers:
            follower = keeper.follower
            current = (follower.offset, follower.state.revision)
            key = (keeper.name, keeper.start_count)
            previous = self.highest.get(key, (0, 0))
            assert current[0] >= previous[0] and current[1] >= previous[1]
            self.highest[key] = current
            assert (
                follower.state.revision
                == expected_state.revisions[follower.offset]
            )
            if follower.in_force is not None:
                digest_and_offset = (
                    follower.in_force.digest,
                    follower.in_force.offset,
                )
                assert (
                    digest_and_offset
                    == expected_state.switches[follower.in_force.revision - 1]
                )
            assert not follower.divergences

    def end_faults(self) -> None:
        """Ends all faults and runs every operator until it has its outcome."""
        log = self.world.log
        log.down = False
        log.append_outcomes.clear()
        self.world.finish_operators()
        log.apply_delayed()
        for keeper in self.world.keepers:
            keeper.log_unreachable = keeper.peers_unreachable = False


@config_world.SETTINGS
@hypothesis.given(strategies.lists(_events, min_size=30, max_size=90))
def test_presets_never_revert_and_verdicts_are_correct(
    events: list[tuple[Any, ...]],
) -> None:
    """Guards against VMs with different presets and against wrong verdicts.

    Operators race while the log loses replies, is down and expires records;
    keepers are disconnected and restarted meanwhile.
    """
    with small_bounds():
        history = History()
        try:
            for event in events:
                history.run(event)
        finally:
            history.end_faults()
        history.check()
        expected_state = history.expected_state()
        for operator in history.world.operators:
            _check_verdict(operator, expected_state)


def _check_verdict(
    operator: config_world.Operator, expected_state: config_world.ExpectedState
) -> None:
    if operator.error is not None:
        # The error was raised before the change was sent.
        assert (
            not operator.change_ids
            or operator.change_ids[0] not in expected_state.decided
        )
        return
    outcome = operator.outcome
    assert outcome is not None
    if outcome.result == 'accepted':
        assert outcome.id in expected_state.accepted
    elif outcome.result == 'rejected':
        assert outcome.id not in expected_state.accepted
    elif outcome.result == 'not-sent':
        assert outcome.id not in expected_state.decided


@config_world.SETTINGS
@hypothesis.given(strategies.lists(_events, min_size=30, max_size=90))
def test_all_keepers_agree_within_three_polls_after_faults_end(
    events: list[tuple[Any, ...]],
) -> None:
    """Guards against keepers that stay out of date after all faults end.

    Three polls may find expired records, a checkpoint and the rest. Without a
    checkpoint a keeper pulls from a peer; if all state is lost, none vouches.
    """
    with small_bounds():
        history = History()
        try:
            for event in events:
                history.run(event)
        finally:
            history.end_faults()
        end_offset = len(history.world.log.data)
        _run_rounds(history)
        followers = [one.follower for one in history.world.keepers]
        now = history.world.now
        vouched = [one.vouched(now) for one in followers]
        if history.world.log.first and not any(vouched):
            return
        assert all(vouched)
        # Checkpoints may still be appended; they do not change the revision.
        assert all(one.offset >= end_offset for one in followers)
        revision = len(history.expected_state().switches)
        assert {one.state.revision for one in followers} == {revision}
        history.check()


def _newest_checkpoint_offset(data: list[bytes]) -> int:
    """Returns the offset up to which the newest checkpoint covers the log."""
    decoded = [changes.decode(change) for change in data]
    offsets = [
        change.offset
        for change in decoded
        if isinstance(change, changes.Checkpoint)
    ]
    return max(offsets, default=0)


def _run_rounds(history: History) -> None:
    """Polls and exchanges heartbeats until all keepers can be up to date."""
    world = history.world
    for _ in range(_round_count(world)):
        world.now += 1.0
        for keeper in world.keepers:
            keeper.poll(world.now)
        for first in world.keepers:
            for second in world.keepers:
                if first is not second:
                    first.exchange_heartbeats(world.now, second)


def _round_count(world: config_world.World) -> int:
    """Returns the polls of eight records that reach the end, and three more."""
    return 3 + len(world.log.data) // 8


def test_in_a_log_outage_a_switch_spreads_in_two_heartbeats() -> None:
    """Guards against keepers that miss a switch during a log outage.

    The log fails just after one keeper has read the switch, so the others can
    receive it only from that keeper.
    """
    world = config_world.World(8)
    world.publish(1, 3.0)
    world.finish_operators()
    world.switch(1, None, 3.0)
    world.finish_operators()
    first, *others = world.keepers
    first.poll(world.now)
    world.log.down = True
    for _ in range(2):
        for keeper in world.keepers:
            for peer in world.keepers:
                if keeper is not peer:
                    keeper.exchange_heartbeats(world.now, peer)
    assert {keeper.follower.state.revision for keeper in others} == {1}
    assert all(keeper.follower.vouched(world.now) for keeper in others)
    assert isinstance(first.follower, config_follower.Follower)
