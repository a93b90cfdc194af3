"""Cost of the origins of streams at a number of entry VMs.

python -m bench.origins [VMS]

Prints processor time of each part of a report, of a message with its reply over
the loopback (both ends), and memory of an entry.
"""

from collections.abc import Callable
import sys
import time
import tracemalloc

from foxtaildale import coordinator_choice
from foxtaildale import messages
from foxtaildale import stream_origins
from foxtaildale_adapters import peers
from foxtaildale_adapters import zmq_responder

_REPEATS = 20_000


def _time_us(step: Callable[[int], object], repeats: int = _REPEATS) -> float:
    began_at = time.process_time()
    for number in range(repeats):
        step(number)
    return (time.process_time() - began_at) / repeats * 1e6


def _origin(stream: int) -> messages.StreamOrigin:
    return messages.StreamOrigin(
        stream=stream, service='enteis-llm', version='v1.2'
    )


def _time_message_us(report: messages.OriginReport) -> float:
    responder = zmq_responder.Responder(
        '127.0.0.1:0', lambda _: messages.Pong(), 1
    )
    sender = peers.Peers(1.0, 2.5)
    address = responder.start()
    try:
        sender.request(address, report, 1.0)
        return _time_us(lambda _: sender.request(address, report, 1.0), 2000)
    finally:
        sender.close()
        responder.close()


def main() -> None:
    """Prints the costs."""
    vms = int(sys.argv[1]) if len(sys.argv) > 1 else 300
    names = [f'edge-{number}' for number in range(vms)]
    report = messages.OriginReport(origins=(_origin(2**63),), save=True)
    data = messages.encode(report)
    origins = stream_origins.StreamOrigins()

    def rank(_: int) -> object:
        return sorted(
            names, key=lambda vm: coordinator_choice.score('origins/1', vm)
        )

    print(f'{len(data)} bytes a report of one stream')
    print(f'{_time_us(lambda _: messages.encode(report)):.1f} us to encode it')
    print(f'{_time_us(lambda _: messages.decode(data)):.1f} us to decode it')
    print(
        f'{_time_us(lambda n: stream_origins.digest("a", f"x{n}")):.1f} us a key'
    )
    print(
        f'{_time_us(lambda n: origins.record(n / 1e3, _origin(n))):.1f} us to'
        ' record it'
    )
    print(f'{_time_us(rank, 200):.1f} us to rank {vms} VMs, once a list of VMs')
    print(f'{_time_message_us(report):.0f} us a message with its reply')
    tracemalloc.start()
    full = stream_origins.StreamOrigins()
    for number in range(stream_origins.MAX_ORIGINS):
        full.record(0.0, _origin(number + 2**62))
    size, _ = tracemalloc.get_traced_memory()
    print(f'{size / len(full):.0f} bytes an entry, {len(full)} at most')


if __name__ == '__main__':
    main()
