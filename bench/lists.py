"""Slopes of what grows with the members: lists, detection, claims, outcomes.

    python -m bench.lists

Bytes and bounds are the same on each run. Processor time and memory are of
this machine and for people, not for CI. Names have the length that a VM with
its region and data centre in its name would have, which is an assumption.
"""

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import Final

import msgspec

from foxtaildale import claimlog
from foxtaildale import codes
from foxtaildale import coordinator_choice
from foxtaildale import gossip
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import values
from foxtaildaled import keeper

# Entry VMs and backend servers: small, a tenth, the two-year size.
SIZES: Final = ((8, 16), (69, 260), (690, 2_600))
_DATA_CENTRES: Final = 17
_MODELS: Final = 36
_TIMES: Final = 20
_CLAIMS: Final = 20_000
# Rounds of beats after which `members` calls a silent keeper gone.
_ROUNDS: Final = 2


def listing(entry_vms: int, servers: int) -> values.Listing:
    """Returns a VM list of a size."""
    return values.Listing(
        1,
        tuple(
            values.EntryVm(
                name=f'dc-{i % _DATA_CENTRES:02}-entry-{i:04}',
                data_centre=f'dc-{i % _DATA_CENTRES:02}',
                keeper='10.120.130.140:7400',
            )
            for i in range(entry_vms)
        ),
        tuple(
            values.BackendServer(
                name=f'model-{i % _MODELS:02}-decode-{i:04}',
                address='10.120.130.140:9000',
                data_centre=f'dc-{i % _DATA_CENTRES:02}',
                service=f'model-{i % _MODELS:02}',
                role='decode',
                slots=20,
            )
            for i in range(servers)
        ),
    )


def hello(listed: values.Listing) -> messages.EntryHeartbeatReply:
    """Returns what a keeper tells an entry once a second, no preset."""
    return messages.EntryHeartbeatReply(
        keeper='keeper.dc-01-entry-0001.0123456789abcdef',
        in_force=None,
        listing=listed,
        keepers=tuple(
            values.Keeper(
                name=vm.name,
                incarnation=f'keeper.{vm.name}.0123456789abcdef',
                address=vm.keeper,
                data_centre=vm.data_centre,
            )
            for vm in listed.entry_vms
        ),
    )


def homes_ms(listed: values.Listing) -> float:
    """Returns what a keeper spends on finding the workers at home with it.

    It does so twice a second for loads, and once for the reaper by another
    name of the home.
    """
    first, *others = listed.entry_vms
    cfg = options.Options(
        role='keeper',
        entry_vm=first.name,
        data_centre=first.data_centre,
        platform='127.0.0.1:1',
        secret='0123456789abcdef',
    )
    me = values.Keeper(
        name=first.name,
        incarnation=f'keeper.{first.name}.0',
        address=first.keeper,
        data_centre=first.data_centre,
    )
    made = keeper.Keeper(me, cfg)
    made.on_listing(0.0, listed)
    for vm in others:
        made.on_heartbeat(
            0.0,
            messages.KeeperHeartbeat(
                entry_vm=vm.name,
                incarnation=f'keeper.{vm.name}.0',
                data_centre=vm.data_centre,
                address=vm.keeper,
                offset=0,
                digest='',
                listing_version=1,
            ),
        )
    start = time.process_time()
    made.coordinated_workers(0.0)
    made.assigned_workers(0.0)
    return (time.process_time() - start) * 1e3 / 2


def outcome() -> values.Outcome:
    """Returns an outcome with figures, as a refusal has them."""
    return values.Outcome(
        request='0123456789abcdef0123456789abcdef',
        code=codes.OK.name,
        sentence=codes.OK.sentence,
        figures=tuple(
            values.Figure(name=name, value=1_234.5)
            for name in ('estimate', 'target', 'queue', 'prefill')
        ),
        revision=41,
        entry_vm='dc-01-entry-0001',
        at=1_717_300_000.0,
        service='model-07',
    )


def _cpu_ms(call: Callable[[], object]) -> float:
    start = time.process_time()
    for _ in range(_TIMES):
        call()
    return (time.process_time() - start) * 1e3 / _TIMES


def row(entry_vms: int, servers: int) -> str:
    """Returns one line of figures."""
    listed = listing(entry_vms, servers)
    text = msgspec.json.encode(listed)
    reply = hello(listed)
    wire = messages.encode(reply)
    read_ms = _cpu_ms(lambda: msgspec.json.decode(text, type=values.Listing))
    tell_ms = _cpu_ms(lambda: messages.decode(messages.encode(reply)))
    names = tuple(vm.name for vm in listed.entry_vms)
    home_us = 1e3 * _cpu_ms(
        lambda: coordinator_choice.choose_coordinator('model-07', names)
    )
    gc.collect()
    tracemalloc.start()
    held = msgspec.json.decode(text, type=values.Listing)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(held.entry_vms) == entry_vms
    beats = gossip.heartbeats_per_round(entry_vms)
    bound = 'silence_s' if beats == 1 else f'{_ROUNDS * beats} beats'
    return (
        f'{entry_vms:4} {servers:5} {len(text):8} {read_ms:7.3f}'
        f' {size / 1e6:7.2f} {len(wire):8} {tell_ms:7.3f}'
        f' {home_us:7.1f} {homes_ms(listed):8.2f}  {bound}'
    )


def claims() -> str:
    """Returns what a keeper spends on reading each claim."""
    records = [
        claimlog.encode(
            claimlog.Record(
                owner='keeper.dc-01-entry-0001.0123456789abcdef',
                address='10.120.130.140:7400',
                items=(
                    claimlog.Claim(
                        identity=i.to_bytes(16, 'big'),
                        stamp=0,
                        request=f'{i:032x}',
                        body='0123456789abcdef0123456789abcdef',
                    ),
                ),
            )
        )
        for i in range(_CLAIMS)
    ]
    fold = claimlog.ClaimFold(0)
    start = time.process_time()
    for offset, data in enumerate(records):
        record = claimlog.decode(data)
        assert record is not None
        fold.apply(offset, record, record.items[0])
    each_us = (time.process_time() - start) * 1e6 / _CLAIMS
    return f'claim: {len(records[-1])} bytes, read in {each_us:.1f} us'


def main() -> None:
    """Prints all figures."""
    print(
        ' VMs  srvs  list B  read ms  MB held  hello B  tell ms home us homes ms  gone after'
    )
    for entry_vms, servers in SIZES:
        print(row(entry_vms, servers))
    print(claims())
    print(f'outcome: {len(msgspec.msgpack.encode([outcome()]))} bytes')


if __name__ == '__main__':
    main()
