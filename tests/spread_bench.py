"""Measures how a change spreads from keeper to keeper, and what it costs.

    python -m tests.spread_bench

The log is down and one keeper alone has read the switch. Counted are beats
until all have it in force, payload bytes of beats and pulls, and bytes of
state. The order of beats is seeded by the VMs' names, so each run gives the
same figures.
"""

from collections.abc import Sequence
import random
import time

import msgspec

from foxtaildale import changes
from foxtaildale import fold
from foxtaildale import gossip
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values
from tests import config_world

SIZES = (8, 16, 64, 256, 690)
FANOUTS = (1, 2, 3, 4, 8)
_LIMIT = 60


class Spread(msgspec.Struct, frozen=True):
    """Figures of one run."""

    keepers: int
    fanout: int
    # Beats until the last keeper has the switch in force; also when all
    # beat at the same moment.
    beats: int
    beats_in_step: int
    # Payload sent and received by one keeper in a beat, mean; no pulls.
    beat_bytes: float
    # Payload of one pull.
    pull_bytes: int


def run(keepers: int, fanout: int | None = None) -> Spread:
    """Spreads one switch from the first keeper to all."""
    fanout = fanout or gossip.fanout_for(keepers)
    world = _world(keepers)
    beat = len(messages.encode(_beat(world.keepers[0])))
    # Beats and their answers, those of this keeper and those of others.
    count = 4 * min(fanout, keepers - 1)
    return Spread(
        keepers=keepers,
        fanout=fanout,
        beats=_beats(world, fanout, in_step=False),
        beats_in_step=_beats(_world(keepers), fanout, in_step=True),
        beat_bytes=float(count * beat),
        pull_bytes=len(messages.encode(world.keepers[0].follower.pull_reply())),
    )


def _world(keepers: int) -> config_world.World:
    """Returns keepers of which the first has read a switch."""
    world = config_world.World(keepers)
    world.publish(1, 1.0)
    world.finish_operators()
    world.switch(1, None, 1.0)
    world.finish_operators()
    world.keepers[0].poll(world.now)
    world.log.down = True
    return world


def _beats(world: config_world.World, fanout: int, *, in_step: bool) -> int:
    keepers = {one.name: one for one in world.keepers}
    turns = {name: gossip.PeerSelector(name, fanout) for name in keepers}
    order = random.Random(1)
    for beats in range(_LIMIT):
        ahead = {
            one.name for one in world.keepers if one.follower.state.revision
        }
        if len(ahead) == len(keepers):
            return beats
        world.now += 1.0
        names = list(keepers)
        order.shuffle(names)
        for name in names:
            others = [other for other in keepers if other != name]
            for target in turns[name].next_targets(others):
                if not in_step or ahead & {name, target}:
                    keepers[name].exchange_heartbeats(
                        world.now, keepers[target]
                    )
    raise AssertionError(f'not spread after {_LIMIT} beats')


def _beat(keeper: config_world.Keeper) -> messages.KeeperHeartbeat:
    """Returns a beat as large as those of the daemon."""
    return msgspec.structs.replace(
        keeper.heartbeat(),
        entry_vm='vm-halle-nord-123',
        incarnation='keeper@vm-halle-nord-123#0123456789ab',
        address='10.123.123.123:17000',
        offset=1_000_000,
        listing_version=100_000,
        entries=('entry@vm-halle-nord-123#0123456789ab',) * 2,
    )


def main(sizes: Sequence[int] = SIZES) -> None:
    """Prints the table."""
    print('keepers fanout beats in-step payload-B/beat pull-B')
    for keepers in sizes:
        for fanout in FANOUTS:
            found = run(keepers, fanout)
            print(
                f'{found.keepers:7} {found.fanout:6} {found.beats:5}'
                f' {found.beats_in_step:7} {found.beat_bytes:14.0f}'
                f' {found.pull_bytes:6}'
            )


def costs(rounds: int = 2000) -> None:
    """Prints processor time and memory; these differ from run to run."""
    world = _world(2)
    one, two = world.keepers
    began = time.process_time()
    for _ in range(rounds):
        one.exchange_heartbeats(world.now, two)
    meeting = (time.process_time() - began) / rounds
    folded = fold.Fold()
    began = time.process_time()
    for offset in range(rounds):
        folded.apply(ports.Record(offset, _switch(folded, offset)))
    applying = (time.process_time() - began) / rounds
    data = folded.to_bytes()
    began = time.process_time()
    for _ in range(100):
        fold.from_bytes(data, folded.digest)
    loading = (time.process_time() - began) / 100
    print(f'meeting {meeting * 1e6:.0f} us, both sides')
    print(f'record {applying * 1e6:.0f} us, with its encoding')
    print(f'loading a state of {len(data)} B {loading * 1e6:.0f} us')


def _switch(folded: fold.Fold, offset: int) -> bytes:
    """Returns publishes and switches of a preset of 36 services, in turn."""
    services = {
        f'model-{number}': values.Service(kind='model', priority=offset % 10)
        for number in range(36)
    }
    preset = values.Preset(
        name='ordinary', services=services, retry_burst=offset % 1000
    )
    if offset % 2 == 0:
        return changes.encode(
            changes.make_publish(f'p{offset}', offset, preset)
        )
    return changes.encode(
        changes.Switch(
            id=f's{offset}',
            base=offset,
            name='ordinary',
            digest=folded.published[-1].digest,
            expects=folded.revision,
        )
    )


if __name__ == '__main__':
    main()
    costs()
