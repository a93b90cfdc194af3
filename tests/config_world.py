"""A log, keepers and operators of one configuration stream, for histories.

Everything runs in one process and takes turns: an operator runs in its own
thread and pauses before each call to the log, so that a history decides whose
call is next. The log retains all records for the oracle, including those that
have expired for readers.
"""

from collections.abc import Callable
from collections.abc import Sequence
import os
import threading
from typing import Any
from typing import Literal

import hypothesis
import msgspec

from foxtaildale import changes
from foxtaildale import config_follower
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_client import submit

FRESHNESS_S = 30.0
# Outcome of the next append. `answered`: it takes effect and is confirmed.
# `lost`: it takes effect without a reply. `dropped`: no effect and no reply.
# `late`: no reply, and it takes effect when the history calls `apply_delayed`.
AppendOutcome = Literal['answered', 'lost', 'dropped', 'late']

# CI runs the same histories each time; FOXTAILDALE_LONG=N runs N new ones.
_LONG_EXAMPLES = int(os.environ.get('FOXTAILDALE_LONG', '0'))
SETTINGS = hypothesis.settings(
    derandomize=not _LONG_EXAMPLES,
    max_examples=_LONG_EXAMPLES or 200,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Log:
    """Implements `ports.Log` for one stream, with injected faults."""

    def __init__(self) -> None:
        self.data: list[bytes] = []
        self.first = 0
        self.down = False
        self.append_outcomes: list[AppendOutcome] = []
        self.delayed_records: list[bytes] = []

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        assert stream == changes.STREAM
        if self.down:
            raise errors.RejectedError('down')
        outcome = (
            self.append_outcomes.pop(0) if self.append_outcomes else 'answered'
        )
        if outcome == 'late':
            self.delayed_records += records
        if outcome in ('late', 'dropped'):
            raise errors.NoReplyError('silence')
        first = len(self.data)
        self.data += records
        if outcome == 'lost':
            raise errors.NoReplyError('silence')
        return first

    def read(self, stream: str, offset: int, limit: int = 1000) -> ports.Batch:
        assert stream == changes.STREAM
        if self.down:
            raise errors.RejectedError('down')
        if offset < self.first:
            raise errors.RecordsExpiredError(self.first)
        selected = self.data[offset : offset + limit]
        return ports.Batch(
            self.first,
            len(self.data),
            tuple(
                ports.Record(offset + index, record)
                for index, record in enumerate(selected)
            ),
        )

    def apply_delayed(self) -> None:
        """Makes delayed appends, whose replies were lost, take effect now."""
        self.data += self.delayed_records
        self.delayed_records = []


class Keeper:
    """The behaviour of a keeper with its follower, without the sockets."""

    def __init__(self, name: str, log: Log) -> None:
        self.name = name
        self.log = log
        self.start_count = 0
        # Whether the log, and the other keepers, are unreachable.
        self.log_unreachable = False
        self.peers_unreachable = False
        self.sent_bytes = 0
        self.restart()

    def restart(self) -> None:
        self.start_count += 1
        self.follower = config_follower.Follower(
            self.name, freshness_s=FRESHNESS_S, checkpoint_interval_s=20.0
        )

    def poll(self, now: float) -> None:
        if self.log_unreachable:
            self.follower.on_log_failed(now)
            return
        try:
            batch = self.log.read(changes.STREAM, self.follower.next_offset, 8)
        except errors.RecordsExpiredError as exc:
            self.follower.on_lapsed(now, exc.first)
            return
        except errors.PortError:
            self.follower.on_log_failed(now)
            return
        self.follower.on_batch(now, batch)
        record = self.follower.due_checkpoint(now, batch.first, keepers=0)
        if record is not None:
            try:
                self.log.append(changes.STREAM, [record])
            except errors.PortError:
                pass

    def heartbeat(self) -> messages.KeeperHeartbeat:
        return messages.KeeperHeartbeat(
            entry_vm=self.name,
            incarnation=f'{self.name}-{self.start_count}',
            data_centre='halle-nord',
            address='10.0.0.1:7000',
            offset=self.follower.offset,
            digest=self.follower.digest,
            listing_version=1,
        )

    def exchange_heartbeats(self, now: float, other: 'Keeper') -> None:
        """Exchanges heartbeats; the keeper that is behind pulls the state."""
        if self.peers_unreachable or other.peers_unreachable:
            return
        mine, theirs = self.heartbeat(), other.heartbeat()
        for receiver, sender, heartbeat in (
            (other, self, mine),
            (self, other, theirs),
        ):
            self.sent_bytes += len(messages.encode(heartbeat))
            if receiver.follower.on_heartbeat(now, heartbeat):
                reply = sender.follower.pull_reply()
                self.sent_bytes += len(messages.encode(reply))
                receiver.follower.on_pull_reply(now, reply)


class Operator:
    """An operator who makes one change, one call to the log at a time."""

    def __init__(
        self,
        world: 'World',
        name: str,
        action: Callable[[submit.Submitter], submit.ChangeOutcome],
        patience_s: float,
    ) -> None:
        self.is_done = False
        self.outcome: submit.ChangeOutcome | None = None
        self.change_ids: list[str] = []
        self.error: Exception | None = None
        self._world = world
        self._name = name
        self._resume = threading.Semaphore(0)
        self._paused = threading.Semaphore(0)
        submitter = submit.Submitter(
            self,
            clock=lambda: world.now,
            sleep=lambda _: self._wait_for_turn(),
            new_id=self._new_id,
            patience_s=patience_s,
        )
        self._thread = threading.Thread(
            target=self._run, args=(action, submitter)
        )
        self._thread.start()

    def run_to_next_call(self) -> None:
        """Runs until just before the next call to the log."""
        self._resume.release()
        self._paused.acquire()

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        self._wait_for_turn()
        return self._world.log.append(stream, records)

    def read(self, stream: str, offset: int, limit: int = 1000) -> ports.Batch:
        self._wait_for_turn()
        return self._world.log.read(stream, offset, limit)

    def _run(
        self,
        action: Callable[[submit.Submitter], submit.ChangeOutcome],
        submitter: submit.Submitter,
    ) -> None:
        self._resume.acquire()
        try:
            self.outcome = action(submitter)
        except errors.FoxtaildaleError as exc:
            self.error = exc
        self.is_done = True
        self._paused.release()

    def _wait_for_turn(self) -> None:
        self._paused.release()
        self._resume.acquire()

    def _new_id(self) -> str:
        self.change_ids.append(f'{self._name}-{len(self.change_ids)}')
        return self.change_ids[-1]


def make_preset(number: int) -> values.Preset:
    return values.Preset(
        name=('ordinary', 'peak')[number % 2],
        services={'queue-app': values.Service(kind='plain')},
        retry_burst=number,
    )


def preset_digest(number: int) -> str:
    return changes.digest_of(changes.canonical_form(make_preset(number)))


class World:
    """The log, keepers and operators, with a clock that the history sets."""

    def __init__(self, keepers: int) -> None:
        self.now = 0.0
        self.log = Log()
        self.keepers = [Keeper(f'vm-{i}', self.log) for i in range(keepers)]
        self.operators: list[Operator] = []

    def publish(self, number: int, patience_s: float) -> None:
        self._start_operator(
            lambda submitter: submitter.publish(make_preset(number)), patience_s
        )

    def switch(
        self, number: int, expects: int | None, patience_s: float
    ) -> None:
        name = make_preset(number).name
        self._start_operator(
            lambda submitter: submitter.switch(
                name, preset_digest(number), expects
            ),
            patience_s,
        )

    def _start_operator(
        self,
        action: Callable[[submit.Submitter], submit.ChangeOutcome],
        patience_s: float,
    ) -> None:
        name = f'op{len(self.operators)}'
        self.operators.append(Operator(self, name, action, patience_s))

    def step_operator(self, number: int) -> None:
        running = [
            operator for operator in self.operators if not operator.is_done
        ]
        if running:
            running[number % len(running)].run_to_next_call()

    def finish_operators(self) -> None:
        """Runs every operator until it is done."""
        for operator in self.operators:
            while not operator.is_done:
                self.now += 1.0
                operator.run_to_next_call()


class ExpectedState(msgspec.Struct):
    """The state that the complete stream defines, computed independently.

    Ids are remembered without limit and no record expires. Whether a record is
    stale depends only on its base offset and the window.
    """

    # Digest of the preset and offset of each switch, by revision from 1.
    switches: list[tuple[str, int]]
    # Ids of records that were accepted, and of all that have a verdict.
    accepted: set[str]
    decided: set[str]
    # Revision before each offset, and at the end of the stream.
    revisions: list[int]


def expected_state(
    data: Sequence[bytes], window: int, max_published: int
) -> ExpectedState:
    expected = ExpectedState([], set(), set(), [0])
    published: list[tuple[str, str]] = []
    for offset, record in enumerate(data):
        change: Any = changes.decode(record)
        if not isinstance(change, changes.Publish | changes.Switch):
            pass
        elif change.id not in expected.decided:
            expected.decided.add(change.id)
            if change.base <= offset < change.base + window:
                _decide(expected, published, change, offset, max_published)
        expected.revisions.append(len(expected.switches))
    return expected


def _decide(
    expected: ExpectedState,
    published: list[tuple[str, str]],
    change: changes.Publish | changes.Switch,
    offset: int,
    max_published: int,
) -> None:
    if isinstance(change, changes.Publish):
        key = (changes.decode_preset(change.preset).name, change.digest)
        if key in published:
            published.remove(key)
        published.append(key)
        in_force = expected.switches[-1][0] if expected.switches else ''
        while len(published) > max_published:
            oldest = next(
                candidate for candidate in published if candidate[1] != in_force
            )
            published.remove(oldest)
        expected.accepted.add(change.id)
        return
    revision_matches = change.expects == len(expected.switches)
    if revision_matches and (change.name, change.digest) in published:
        expected.switches.append((change.digest, offset))
        expected.accepted.add(change.id)
