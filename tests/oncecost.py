"""What at most once costs, measured on the real decision objects.

    python -m tests.oncecost

Bytes and counts are the same on every run; processor time and memory are for
people and stay out of CI.
"""

from collections.abc import Callable
import gc
import random
import time
import tracemalloc

from foxtaildale import claimlog
from foxtaildale import claims
from foxtaildale import codes
from foxtaildale import idempotency_keys
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildale import values
from foxtaildale import witness
from tests import fakelog

_LIFE_S = 600.0
_CALL = 'POST /check-ins'
_BODY = b'{"lineman":"0417","tower":"T-117","state":"safe"}'
_ANSWER = b'{"logged":true,"entry":918273}'
_SIZES = (10_000, 100_000)


def _outcome(request: str) -> values.Outcome:
    return values.Outcome(
        request=request,
        code=codes.OK.name,
        sentence=codes.OK.sentence,
        revision=41,
        entry_vm='hall-doi-3',
        at=1_717_300_000.0,
        service='dispatch-desk',
    )


class CheckIn:
    """An executor and a witness, and the messages between them."""

    def __init__(self) -> None:
        self.executor = tickets.Executor(
            'hall-doi-3.a1b2c3d4',
            '10.20.30.43:7400',
            b'0123456789abcdef',
            _LIFE_S,
            limit=2 * _SIZES[-1],
        )
        self.witness = witness.Witness(
            'hall-kok-1.d4c3b2a1', 2 * _LIFE_S, limit=2 * _SIZES[-1]
        )
        ask = messages.ClockRequest(witness='hall-kok-1.d4c3b2a1')
        reply = self.witness.read_clock(0.0, ask)
        self.executor.on_witness_clock(0.0, 'hall-kok-1.d4c3b2a1', reply)

    def run(self, number: int) -> list[messages.Message]:
        """Takes one check-in from its ticket to the witness's last reply."""
        ticket = self.executor.issue(
            0.0, 'dispatch-desk', 'hall-kok-1.d4c3b2a1', '10.20.31.41:7300'
        )
        assert ticket is not None
        assert self.executor.verify(ticket, 'dispatch-desk') is None
        admission = self.executor.admit(0.0, ticket, _CALL, _BODY)
        assert isinstance(admission, tickets.SendStart)
        note = _carry(admission.note)
        assert isinstance(note, messages.StartRequest)
        noted = _carry(self.witness.record_start(0.0, note))
        assert isinstance(noted, messages.WitnessReply)
        self.executor.on_start_reply(0.0, ticket.identity, noted)
        outcome = _outcome(f'hall-doi-3-{number:08d}')
        tell = self.executor.finish(0.0, ticket.identity, outcome, _ANSWER)
        assert tell is not None
        last = _carry(tell)
        assert isinstance(last, messages.OutcomeReport)
        told = _carry(self.witness.record_outcome(0.0, last))
        return [note, noted, last, told]


def _carry(msg: messages.Message) -> messages.Message:
    """Returns what the other process would decode."""
    return messages.decode(messages.encode(msg))


def check_in_bytes() -> None:
    """Prints the messages between VMs for one check-in at its executor."""
    sent = CheckIn().run(1)
    for msg in sent:
        print(f'  {type(msg).__name__}: {len(messages.encode(msg))} bytes')
    total = sum(len(messages.encode(msg)) for msg in sent)
    print(f'check-in at its executor: {len(sent)} messages, {total} bytes')


def processor_time() -> None:
    """Prints the processor time of whole check-ins and single decisions."""
    bench = CheckIn()
    count = 20_000
    cost = _us_each(bench.run, count)
    print(f'check-in, executor, witness and codec: {cost:.1f} us')
    ticket = bench.executor.issue(
        0.0, 'dispatch-desk', 'hall-kok-1.d4c3b2a1', '10.20.31.41:7300'
    )
    assert ticket is not None
    checked = ticket
    cost = _us_each(
        lambda _: bench.executor.verify(checked, 'dispatch-desk'), count
    )
    print(f'checking a ticket: {cost:.1f} us')


def _us_each(call: Callable[[int], object], count: int) -> float:
    began = time.process_time()
    for number in range(count):
        call(number)
    return (time.process_time() - began) / count * 1e6


def memory() -> None:
    """Prints the memory of remembered identities at two sizes."""
    for size in _SIZES:
        for name, fill in (
            ('check-in, executor and witness', _fill_check_ins),
            ('claim in the fold', _fill_claims),
        ):
            gc.collect()
            tracemalloc.start()
            kept = fill(size)
            gc.collect()
            used, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            print(f'{name}: {used / size:.0f} bytes each at {size}')
            del kept


def _fill_check_ins(size: int) -> object:
    bench = CheckIn()
    for number in range(size):
        bench.run(number)
    return bench


def _fill_claims(size: int) -> object:
    fold = claimlog.ClaimFold(0, limit=size)
    for number in range(size):
        msg = _ask(number)
        identity = idempotency_keys.key_digest(msg.service, msg.key)
        claim = claimlog.Claim(
            identity=identity,
            stamp=0,
            request=msg.request,
            body=msg.body_digest,
        )
        done = claimlog.Done(
            identity=identity,
            stamp=0,
            request=msg.request,
            outcome=_outcome(msg.request),
        )
        for item in (claim, done):
            record = claimlog.Record(
                owner='hall-doi-3.k0', address='10.20.30.43:7300', items=(item,)
            )
            decoded = claimlog.decode(claimlog.encode(record))
            assert decoded is not None
            fold.apply(number, decoded, decoded.items[0])
    return fold


def _ask(number: int) -> messages.ClaimRequest:
    return messages.ClaimRequest(
        service='patrol-reader',
        key=f'c0.tower-{number}',
        body_digest=f'{number:032x}',
        request=f'hall-doi-3-{number:08d}',
        holder='hall-doi-3.a1b2c3d4',
    )


def _end(number: int) -> messages.ClaimReport:
    return messages.ClaimReport(
        service='patrol-reader',
        key=f'c0.tower-{number}',
        outcome=_outcome(f'hall-doi-3-{number:08d}'),
    )


def appends(per_s: float, keepers: int, interval_s: float) -> None:
    """Prints what a rate of summaries costs the log, over 20 seconds."""
    rng = random.Random(1)
    log = fakelog.FakeLog()
    members = [
        claims.Claims(
            f'k{n}.a1b2c3d4', '10.20.30.43:7300', interval_s=interval_s
        )
        for n in range(keepers)
    ]
    for keeper in members:
        keeper.set_keeper_count(keepers)
        keeper.on_records(0.0, log.read(0))
    number = 0
    asked: dict[str, float] = {}
    waits = []
    ending: list[tuple[float, int, claims.Claims]] = []
    for tick in range(2_000):
        now = tick * 0.01
        while number < now * per_s:
            keeper = rng.choice(members)
            msg = _ask(number)
            keeper.request_claim(now, msg)
            asked[msg.request] = now
            ending.append((now + 2.0, number, keeper))
            number += 1
        while ending and ending[0][0] <= now:
            _, ended, keeper = ending.pop(0)
            keeper.record_outcome(now, _end(ended))
        for keeper in members:
            for request, _ in fakelog.append_and_read(log, keeper, now):
                waits.append(now - asked[request])
    waits.sort()
    size = sum(len(data) for data in log.records)
    print(
        f'{per_s:g} summaries/s, {keepers} keepers, {interval_s * 1000:.0f} ms:'
        f' {log.append_count / 20:.0f} appends/s, {log.append_count / number:.2f} a'
        f' summary, {size / number:.0f} bytes a summary,'
        f' wait p99 {waits[len(waits) * 99 // 100] * 1000:.0f} ms'
    )


def main() -> None:
    """Prints all figures."""
    check_in_bytes()
    processor_time()
    for per_s in (10, 100, 1_000):
        appends(per_s, 8, 0.05)
    appends(1_000, 8, 0.2)
    appends(1_000, 40, 0.05)
    appends(1_000, 160, 0.05)
    memory()


if __name__ == '__main__':
    main()
