"""Slopes for the capacity page: what an ask costs as the pool grows.

Processor time and memory are of this machine and for people; CI does not look
at them. Messages and bytes are exact.
"""

import gc
import time
import tracemalloc
from typing import Final

import msgspec

from bench import workload
from foxtaildale import backends
from foxtaildale import messages
from foxtaildale import pool
from foxtaildale import values

_SIZES: Final = (5, 20, 75)
_ASKS: Final = 4_000
_NAME: Final = 'enteis-llm'


class Slope(msgspec.Struct, frozen=True):
    """Costs at one pool size."""

    workers: int
    # Processor time: a granted ask and its end, an ask that is refused, a
    # repeat of twenty grants, a load report; microseconds.
    ask_end_us: float
    refused_us: float
    keep_us: float
    load_us: float
    # Memory a held grant, and a waiting request, bytes.
    grant_bytes: float
    waiter_bytes: float


def measure(workers: int) -> Slope:
    """Returns the costs at a pool size."""
    full, grants = _filled(workers)
    return Slope(
        workers=workers,
        ask_end_us=_ask_end_us(workers),
        refused_us=_refused_us(full),
        keep_us=_keep_us(full, grants[:20]),
        load_us=_load_us(full, workers),
        grant_bytes=_grant_bytes(workers),
        waiter_bytes=_waiter_bytes(workers),
    )


def message_bytes() -> dict[str, int]:
    """Returns the bytes of the messages that a request costs."""
    ask = _ask(1)
    granted = messages.SlotGrant(
        grant='0123456789abcdef/1',
        prefill_worker='enteis-llm-prefill-0',
        prefill_address='10.20.30.40:9000',
        decode_worker='enteis-llm-decode-0',
        decode_address='10.20.30.41:9000',
        start_in_ms=120,
        expires_ms=3000,
    )
    end = messages.SlotRelease(
        service=_NAME,
        grant='0123456789abcdef/1',
        result='done',
        prefill_ms=94,
        transfer_ms=44,
        decode_ms=3000,
        output_tokens=125,
        cached_tokens=600,
    )
    keep = messages.SlotRenewal(
        service=_NAME,
        holder='halle-nord-1-0123456789abcdef',
        grants=tuple(
            (f'0123456789abcde{i:x}/1', 'enteis-llm-decode-0')
            for i in range(10)
        ),
    )
    found: dict[str, messages.Message] = {
        'AskSlot': ask,
        'Granted': granted,
        'EndSlot': end,
    }
    sizes = {k: len(messages.encode(v)) for k, v in found.items()}
    sizes['KeepSlots of 10'] = len(messages.encode(keep))
    return sizes


def table() -> str:
    """Returns every slope as text."""
    names = list(Slope.__struct_fields__)
    lines = [' '.join(f'{name:>13}' for name in names)]
    for workers in _SIZES:
        row = measure(workers)
        cells = (getattr(row, name) for name in names)
        lines.append(' '.join(f'{cell:13.1f}' for cell in cells))
    lines += [f'{name}: {size} bytes' for name, size in message_bytes().items()]
    return '\n'.join(lines)


def _ask(number: int, waited_ms: int = 0) -> messages.SlotRequest:
    return messages.SlotRequest(
        service=_NAME,
        request=f'{number:016x}',
        attempt=1,
        holder='halle-nord-1-0123456789abcdef',
        prompt_tokens=1_300,
        output_tokens=128,
        prefix_digests=('0123456789abcdef',),
        waited_ms=waited_ms,
    )


def _end(grant: str) -> messages.SlotRelease:
    return messages.SlotRelease(
        service=_NAME,
        grant=grant,
        result='done',
        prefill_ms=94,
        transfer_ms=44,
        decode_ms=3_000,
        output_tokens=125,
    )


def _pool(workers: int, service: values.Service | None = None) -> pool.Pool:
    made = pool.Pool(_NAME)
    made.on_service(
        service or workload.EISBRECHER.service, workload.EISBRECHER.weights
    )
    prefills = max(1, workers * 2 // 5)
    made.on_servers(
        0,
        [
            values.BackendServer(
                name=f'w{i}',
                address=f'127.0.0.1:{9000 + i}',
                data_centre='halle-nord',
                service=_NAME,
                role='prefill' if i < prefills else 'decode',
                slots=workload.SLOTS,
            )
            for i in range(workers)
        ],
    )
    return made


def _filled(workers: int) -> tuple[pool.Pool, list[str]]:
    """Returns a pool with every slot granted, as near as it grants them."""
    made = _pool(workers)
    grants = []
    now = 3.0
    for number in range(workers * workload.SLOTS * 2):
        now += 0.2 / workers
        reply = made.request_slot(now, _ask(number))
        if isinstance(reply, messages.SlotGrant):
            grants.append(reply.grant)
        if number % 50 == 0:
            made.renew(now, _keep(grants))
    return made, grants


def _keep(grants: list[str]) -> messages.SlotRenewal:
    return messages.SlotRenewal(
        service=_NAME,
        holder='halle-nord-1-0123456789abcdef',
        grants=tuple((grant, 'w4') for grant in grants),
    )


def _ask_end_us(workers: int) -> float:
    """A pool kept nine tenths full, an ask and an end at a time."""
    made = _pool(workers)
    decodes = workers - max(1, workers * 2 // 5)
    room = decodes * workload.SLOTS * 9 // 10
    held: list[str] = []
    now = 3.0
    spent = 0.0
    for number in range(_ASKS):
        now += 3.0 / room
        began = time.perf_counter()
        reply = made.request_slot(now, _ask(number))
        if len(held) >= room:
            made.release(now, _end(held.pop(0)))
        spent += time.perf_counter() - began
        if isinstance(reply, messages.SlotGrant):
            held.append(reply.grant)
    return spent / _ASKS * 1e6


def _refused_us(made: pool.Pool) -> float:
    now = 100.0
    began = time.perf_counter()
    for number in range(_ASKS // 4):
        made.request_slot(now, _ask(1_000_000 + number, waited_ms=5_000))
    return (time.perf_counter() - began) / (_ASKS // 4) * 1e6


def _keep_us(made: pool.Pool, grants: list[str]) -> float:
    msg = _keep(grants)
    began = time.perf_counter()
    for _ in range(100):
        made.renew(50.0, msg)
    return (time.perf_counter() - began) / 100 * 1e6


def _load_us(made: pool.Pool, workers: int) -> float:
    load = backends.Load(
        name='w0',
        slots=workload.SLOTS,
        running=10,
        queued=0,
        backlog_tokens=1_000,
        age_ms=500,
    )
    began = time.perf_counter()
    for number in range(1_000):
        made.on_load(50.0, f'w{number % workers}', load)
    return (time.perf_counter() - began) / 1_000 * 1e6


def _grant_bytes(workers: int) -> float:
    gc.collect()
    tracemalloc.start()
    made, grants = _filled(workers)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    empty = _pool(workers)
    gc.collect()
    base = tracemalloc.get_traced_memory()[0] - held
    tracemalloc.stop()
    del made, empty
    return (held - base) / max(1, len(grants))


def _waiter_bytes(workers: int) -> float:
    service = values.Service(
        kind='model', patience_ms=60_000, queue_limit=100_000
    )
    made = _pool(workers, service)
    now = 3.0
    number = 0
    while isinstance(made.request_slot(now, _ask(number)), messages.SlotGrant):
        number += 1
    gc.collect()
    tracemalloc.start()
    for extra in range(1_000):
        made.request_slot(now, _ask(number + extra))
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / 1_000
