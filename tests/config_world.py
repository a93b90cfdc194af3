"""A log, keepers and operators of one configuration stream, for histories.

Everything runs in one process and one turn at a time: an operator runs in a
thread of its own and stops before each call to the log, so that a history
decides whose call comes next. The log keeps all records for the oracle, also
those that readers can't get any more.
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
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import spread
from foxtaildale import values
from foxtaildale_client import submit

FRESHNESS_S = 30.0
# What becomes of the next append: answered; effect but no answer; neither;
# or no answer, and the effect only when the history says so.
Fate = Literal['answered', 'lost', 'dropped', 'late']

# CI runs the same histories each time; FOXTAILDALE_LONG=N runs N new ones.
_LONG = int(os.environ.get('FOXTAILDALE_LONG', '0'))
SETTINGS = hypothesis.settings(
    derandomize=not _LONG,
    max_examples=_LONG or 200,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Log:
    """Implements `ports.Log` for one stream."""

    def __init__(self) -> None:
        self.data: list[bytes] = []
        self.first = 0
        self.down = False
        self.fates: list[Fate] = []
        self.late: list[bytes] = []

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        assert stream == changes.STREAM
        if self.down:
            raise errors.RejectedError('down')
        fate = self.fates.pop(0) if self.fates else 'answered'
        if fate == 'late':
            self.late += records
        if fate in ('late', 'dropped'):
            raise errors.AnswerLostError('silence')
        first = len(self.data)
        self.data += records
        if fate == 'lost':
            raise errors.AnswerLostError('silence')
        return first

    def read(self, stream: str, offset: int, limit: int = 1000) -> ports.Batch:
        assert stream == changes.STREAM
        if self.down:
            raise errors.RejectedError('down')
        if offset < self.first:
            raise errors.LapsedError(self.first)
        shown = self.data[offset : offset + limit]
        return ports.Batch(
            self.first,
            len(self.data),
            tuple(ports.Record(offset + i, d) for i, d in enumerate(shown)),
        )

    def land(self) -> None:
        """Lets appends whose answer was lost have their effect now."""
        self.data += self.late
        self.late = []


class Keeper:
    """What a keeper does with its follower, without the sockets."""

    def __init__(self, name: str, log: Log) -> None:
        self.name = name
        self.log = log
        self.starts = 0
        # Whether the log, and other keepers, can be reached.
        self.log_cut = False
        self.peers_cut = False
        self.bytes = 0
        self.restart()

    def restart(self) -> None:
        self.starts += 1
        self.follower = spread.Follower(
            self.name, freshness_s=FRESHNESS_S, checkpoint_s=20.0
        )

    def poll(self, now: float) -> None:
        if self.log_cut:
            self.follower.on_log_failed(now)
            return
        try:
            batch = self.log.read(changes.STREAM, self.follower.next_offset, 8)
        except errors.LapsedError as exc:
            self.follower.on_lapsed(now, exc.first)
            return
        except errors.PortError:
            self.follower.on_log_failed(now)
            return
        self.follower.on_batch(now, batch)
        record = self.follower.checkpoint_due(now, batch.first, keepers=0)
        if record is not None:
            try:
                self.log.append(changes.STREAM, [record])
            except errors.PortError:
                pass

    def beat(self) -> messages.Beat:
        return messages.Beat(
            entry_vm=self.name,
            incarnation=f'{self.name}-{self.starts}',
            data_centre='halle-nord',
            address='10.0.0.1:7000',
            offset=self.follower.offset,
            digest=self.follower.digest,
            listing_version=1,
        )

    def meet(self, now: float, other: 'Keeper') -> None:
        """Exchanges beats, and pulls from the one that is ahead."""
        if self.peers_cut or other.peers_cut:
            return
        mine, theirs = self.beat(), other.beat()
        for one, two, beat in ((other, self, mine), (self, other, theirs)):
            self.bytes += len(messages.encode(beat))
            if one.follower.on_peer(now, beat):
                reply = two.follower.pull_reply()
                self.bytes += len(messages.encode(reply))
                one.follower.on_pull(now, reply)


class Operator:
    """An operator at work: one change, a call to the log at a time."""

    def __init__(
        self,
        world: 'World',
        name: str,
        act: Callable[[submit.Submitter], submit.Learnt],
        patience_s: float,
    ) -> None:
        self.done = False
        self.learnt: submit.Learnt | None = None
        self.ids: list[str] = []
        self.error: Exception | None = None
        self._world = world
        self._name = name
        self._go = threading.Semaphore(0)
        self._stopped = threading.Semaphore(0)
        submitter = submit.Submitter(
            self,
            clock=lambda: world.now,
            pause=lambda _: self._turn(),
            new_id=self._new_id,
            patience_s=patience_s,
        )
        self._thread = threading.Thread(target=self._run, args=(act, submitter))
        self._thread.start()

    def step(self) -> None:
        """Runs up to the next call to the log."""
        self._go.release()
        self._stopped.acquire()

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        self._turn()
        return self._world.log.append(stream, records)

    def read(self, stream: str, offset: int, limit: int = 1000) -> ports.Batch:
        self._turn()
        return self._world.log.read(stream, offset, limit)

    def _run(
        self,
        act: Callable[[submit.Submitter], submit.Learnt],
        submitter: submit.Submitter,
    ) -> None:
        self._go.acquire()
        try:
            self.learnt = act(submitter)
        except errors.FoxtaildaleError as exc:
            self.error = exc
        self.done = True
        self._stopped.release()

    def _turn(self) -> None:
        self._stopped.release()
        self._go.acquire()

    def _new_id(self) -> str:
        self.ids.append(f'{self._name}-{len(self.ids)}')
        return self.ids[-1]


def preset(number: int) -> values.Preset:
    return values.Preset(
        name=('ordinary', 'peak')[number % 2],
        services={'queue-app': values.Service(kind='plain')},
        retry_burst=number,
    )


def digest(number: int) -> str:
    return changes.digest_of(changes.canonical(preset(number)))


class World:
    """All of it, with a clock that only a history moves."""

    def __init__(self, keepers: int) -> None:
        self.now = 0.0
        self.log = Log()
        self.keepers = [Keeper(f'vm-{i}', self.log) for i in range(keepers)]
        self.operators: list[Operator] = []

    def publish(self, number: int, patience_s: float) -> None:
        self._start(lambda sub: sub.publish(preset(number)), patience_s)

    def switch(
        self, number: int, expects: int | None, patience_s: float
    ) -> None:
        name = preset(number).name
        self._start(
            lambda sub: sub.switch(name, digest(number), expects), patience_s
        )

    def _start(
        self,
        act: Callable[[submit.Submitter], submit.Learnt],
        patience_s: float,
    ) -> None:
        name = f'op{len(self.operators)}'
        self.operators.append(Operator(self, name, act, patience_s))

    def step(self, number: int) -> None:
        running = [one for one in self.operators if not one.done]
        if running:
            running[number % len(running)].step()

    def finish(self) -> None:
        """Lets every operator come to its end."""
        for one in self.operators:
            while not one.done:
                self.now += 1.0
                one.step()


class Truth(msgspec.Struct):
    """What the whole stream means, by a rule of its own.

    Ids are remembered without end here, and nothing lapses; of lateness only
    the stated rule is used.
    """

    # Digest of the preset and offset, by revision from 1.
    switches: list[tuple[str, int]]
    # Ids of records that took effect, and of all that were judged.
    accepted: set[str]
    judged: set[str]
    # Revision after each offset.
    revisions: list[int]


def truth(data: Sequence[bytes], window: int, keep: int) -> Truth:
    found = Truth([], set(), set(), [0])
    published: list[tuple[str, str]] = []
    for offset, record in enumerate(data):
        change: Any = changes.decode(record)
        if not isinstance(change, changes.Publish | changes.Switch):
            pass
        elif change.id not in found.judged:
            found.judged.add(change.id)
            if change.base <= offset < change.base + window:
                _judge(found, published, change, offset, keep)
        found.revisions.append(len(found.switches))
    return found


def _judge(
    found: Truth,
    published: list[tuple[str, str]],
    change: changes.Publish | changes.Switch,
    offset: int,
    keep: int,
) -> None:
    if isinstance(change, changes.Publish):
        key = (changes.preset_of(change.preset).name, change.digest)
        if key in published:
            published.remove(key)
        published.append(key)
        in_force = found.switches[-1][0] if found.switches else ''
        while len(published) > keep:
            old = next(one for one in published if one[1] != in_force)
            published.remove(old)
        found.accepted.add(change.id)
        return
    right = change.expects == len(found.switches)
    if right and (change.name, change.digest) in published:
        found.switches.append((change.digest, offset))
        found.accepted.add(change.id)
