"""Encoding and decoding of messages between processes."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from foxtaildale import errors
from foxtaildale import messages


def test_decode_returns_the_encoded_message() -> None:
    msg = messages.StartRequest(
        identity='i', witness='w', body_digest='b', witness_clock=1.5
    )
    assert messages.decode(messages.encode(msg)) == msg


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_invalid_bytes_raise_only_decode_error(data: bytes) -> None:
    """Guards against a process that crashes on bytes it cannot decode.

    Another program may send data to the port between processes. After a
    crash, all callers of that process would be refused.
    """
    try:
        messages.decode(data)
    except errors.DecodeError:
        pass


def test_an_oversized_message_is_rejected() -> None:
    """Guards against a faulty peer whose message is too large for memory."""
    with pytest.raises(errors.DecodeError):
        messages.decode(b'\x00' * (messages.MAX_BYTES + 1))


class _EarlierRecordsReply(messages.Wire, frozen=True, tag='RecordsReply'):
    """`RecordsReply` without the fields of later versions."""

    records: dict[str, tuple[tuple[str, int, bytes, tuple[int, int]], ...]]
    positions: dict[str, int]
    store_age_s: float
    failure_ratios: dict[str, float] = msgspec.field(default_factory=dict)
    store_failed: bool = False
    quarantined: dict[int, float] = msgspec.field(default_factory=dict)
    cleared: dict[int, float] = msgspec.field(default_factory=dict)
    departures: dict[str, tuple[int, int]] = msgspec.field(default_factory=dict)
    backoffs: dict[str, tuple[int, float]] = msgspec.field(default_factory=dict)
    left_out: dict[str, int] = msgspec.field(default_factory=dict)


class _EarlierCrash(messages.Wire, frozen=True, tag='Crash'):
    """`Crash` without the fields of later versions."""

    server: str
    started_at: int
    fingerprint: int
    ran_ms: int
    age_ms: int = 0


class _EarlierUpdate(messages.Wire, frozen=True, tag='Quarantined'):
    """`QuarantineUpdate` without the fields of later versions."""

    coordinator_id: int
    quarantined: dict[int, float] = msgspec.field(default_factory=dict)
    cleared: dict[int, float] = msgspec.field(default_factory=dict)


_PARTS: dict[int, tuple[int, ...]] = {7: (1, 2)}


@pytest.mark.parametrize(
    ('msg', 'earlier', 'known'),
    [
        (
            messages.RecordsReply(
                records={},
                positions={},
                store_age_s=0.5,
                departures={'s1': (1, 2)},
                left_out={'t': 3},
                part_sets=_PARTS,
            ),
            _EarlierRecordsReply,
            {'departures': {'s1': (1, 2)}, 'left_out': {'t': 3}},
        ),
        (
            messages.Crash(
                server='s1',
                started_at=1,
                fingerprint=2,
                ran_ms=3,
                age_ms=4,
                service='model',
                parts=(1, 2),
            ),
            _EarlierCrash,
            {'server': 's1', 'age_ms': 4},
        ),
        (
            messages.QuarantineUpdate(
                coordinator_id=1,
                quarantined={7: 900.0},
                cleared={8: 900.0},
                part_sets=_PARTS,
                decides_on_parts=True,
            ),
            _EarlierUpdate,
            {'quarantined': {7: 900.0}, 'cleared': {8: 900.0}},
        ),
    ],
    ids=['RecordsReply', 'Crash', 'QuarantineUpdate'],
)
def test_an_earlier_version_reads_the_message(
    msg: messages.Wire, earlier: type[messages.Wire], known: dict[str, object]
) -> None:
    """Guards against VMs of two versions that drop each other's messages."""
    data = msgspec.msgpack.encode(msg)
    read = msgspec.msgpack.decode(data, type=earlier)
    assert {name: getattr(read, name) for name in known} == known
    again = msgspec.msgpack.encode(read)
    assert msgspec.msgpack.decode(again, type=type(msg))
