"""Presets agreed on: the fold of the platform log's `config` stream.

Every reader applies the same records in the order of their offsets, with no
clock and nothing else of its own, so all come to the same state. Nobody
votes. The flow of one record: it is decoded (one that can't be is skipped, by
all alike), its id is looked up (a repeat is skipped), its verdict is found,
and if it is accepted the state changes.

How ids are bounded. A record says which offset its writer had read up to
(`base`). It is rejected as stale when it lands `WINDOW` or more offsets after
that, and verdicts are remembered for the last `WINDOW` offsets. So a copy
either lands while the verdict on the first one is remembered, or is stale.
"""

from typing import Annotated
from typing import Final
from typing import Literal

import msgspec

from foxtaildale import changes
from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import values

# Offsets that a verdict is remembered for, and that a record may be late by.
WINDOW: Final = 256
# Published presets that are kept; the oldest goes first, never the one in
# force. Bounds the state, and with it checkpoints and pulls, to about 1 MB.
MAX_PUBLISHED: Final = 32

Reason = Literal[
    '', 'other-revision', 'not-published', 'bad-preset', 'stale', 'ahead'
]
_Offset = Annotated[int, msgspec.Meta(ge=0)]


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """What the fold made of a record."""

    offset: int
    # Empty if accepted.
    reason: Reason
    # Revision in force after the record.
    revision: int

    @property
    def accepted(self) -> bool:
        """Tells whether the record took effect."""
        return not self.reason


class Published(msgspec.Struct, frozen=True, array_like=True):
    """A published preset in its canonical form."""

    name: str
    digest: str
    # Offset of the first record that published it.
    offset: int
    data: bytes


class State(msgspec.Struct, frozen=True, array_like=True):
    """Everything folded, as it travels in checkpoints and pulls."""

    offset: _Offset = 0
    revision: _Offset = 0
    # Offset of the switch in force, and its preset's digest; empty if none.
    switched_at: int = 0
    in_force: str = ''
    # Oldest first.
    published: tuple[Published, ...] = ()
    # Id and verdict, oldest first.
    verdicts: tuple[tuple[str, Verdict], ...] = ()


_encoder: Final = msgspec.msgpack.Encoder()
_state_decoder: Final = msgspec.msgpack.Decoder(State)


class Fold:
    """The folded state, and what follows from it."""

    __slots__ = (
        '_bytes',
        '_digest',
        '_in_force',
        '_published',
        '_revision',
        '_switched_at',
        '_verdicts',
        'offset',
    )

    # Offset of the next record to apply.
    offset: int
    _revision: int
    _switched_at: int
    # The preset in force; None before the first switch.
    _in_force: values.InForce | None
    # By digest, oldest first.
    _published: dict[str, Published]
    # By id, oldest first.
    _verdicts: dict[str, Verdict]
    # State's bytes and digest until the next record; empty if not made yet.
    _bytes: bytes
    _digest: str

    def __init__(self, state: State | None = None) -> None:
        state = state or State()
        self.offset = state.offset
        self._revision = state.revision
        self._switched_at = state.switched_at
        self._published = {item.digest: item for item in state.published}
        self._verdicts = dict(state.verdicts)
        self._in_force = None
        if state.in_force:
            self._in_force = self._enforced(self._published[state.in_force])
        self._bytes = b''
        self._digest = ''

    @property
    def in_force(self) -> values.InForce | None:
        """The preset in force, or None before the first switch."""
        return self._in_force

    @property
    def revision(self) -> int:
        """Number of accepted switches."""
        return self._revision

    @property
    def published(self) -> tuple[Published, ...]:
        """Published presets, oldest first."""
        return tuple(self._published.values())

    @property
    def digest(self) -> str:
        """Digest of the whole state; equal for equal offsets."""
        if not self._digest:
            self._digest = changes.digest_of(self.to_bytes())
        return self._digest

    def verdict(self, change_id: str) -> Verdict | None:
        """Returns the verdict on a record, or None if none is remembered."""
        return self._verdicts.get(change_id)

    def to_bytes(self) -> bytes:
        """Returns the state as it travels."""
        if not self._bytes:
            in_force = self._in_force.digest if self._in_force else ''
            self._bytes = _encoder.encode(
                State(
                    self.offset,
                    self._revision,
                    self._switched_at,
                    in_force,
                    self.published,
                    tuple(self._verdicts.items()),
                )
            )
        return self._bytes

    def apply(self, record: ports.Record) -> changes.Change | None:
        """Applies the record at `offset` and returns it, or None if skipped.

        Raises:
            errors.InvariantError: The record is not the next one.
        """
        if record.offset != self.offset:
            raise errors.InvariantError(
                f'record {record.offset} applied at offset {self.offset}'
            )
        self._bytes = b''
        self._digest = ''
        change = changes.decode(record.data)
        if isinstance(change, changes.Publish | changes.Switch):
            self._judge(change)
        self.offset += 1
        self._forget()
        return change

    def _judge(self, change: changes.Publish | changes.Switch) -> None:
        if change.id in self._verdicts:
            # The answer to an append was lost and the writer sent it again.
            # Counted twice, a switch that was told `rejected` could still
            # come into force once its expectation happens to be met.
            return
        reason = self._late(change)
        if not reason and isinstance(change, changes.Publish):
            reason = self._publish(change)
        elif not reason and isinstance(change, changes.Switch):
            reason = self._switch(change)
        self._verdicts[change.id] = Verdict(self.offset, reason, self._revision)

    def _late(self, change: changes.Publish | changes.Switch) -> Reason:
        if change.base > self.offset:
            # Written by somebody who has read another log than this one.
            return 'ahead'
        if self.offset - change.base >= WINDOW:
            return 'stale'
        return ''

    def _publish(self, change: changes.Publish) -> Reason:
        preset = changes.preset_in(change)
        if preset is None:
            return 'bad-preset'
        found = self._published.pop(change.digest, None)
        # Published anew, it is the youngest again.
        self._published[change.digest] = found or Published(
            preset.name, change.digest, self.offset, change.preset
        )
        if len(self._published) > MAX_PUBLISHED:
            self._drop_oldest()
        return ''

    def _drop_oldest(self) -> None:
        kept = self._in_force.digest if self._in_force else ''
        oldest = next(key for key in self._published if key != kept)
        del self._published[oldest]

    def _switch(self, change: changes.Switch) -> Reason:
        if change.expects != self._revision:
            # Two operators switched at once; the log's order settles it, and
            # the second learns that its choice was made on an old view.
            return 'other-revision'
        found = self._published.get(change.digest)
        if found is None or found.name != change.name:
            return 'not-published'
        self._revision += 1
        self._switched_at = self.offset
        self._in_force = self._enforced(found)
        return ''

    def _enforced(self, found: Published) -> values.InForce:
        return values.InForce(
            self._revision,
            self._switched_at,
            found.digest,
            changes.preset_of(found.data),
        )

    def _forget(self) -> None:
        oldest = self.offset - WINDOW
        while self._verdicts:
            key = next(iter(self._verdicts))
            if self._verdicts[key].offset >= oldest:
                return
            del self._verdicts[key]


def from_bytes(data: bytes, digest: str) -> Fold | None:
    """Returns the fold whose state is in `data`.

    None if the bytes are not a state or are not those of the digest: a state
    that was cut short or altered on its way must not replace a good one.
    """
    if changes.digest_of(data) != digest:
        return None
    try:
        return Fold(_state_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, KeyError):
        return None
