"""Computes the agreed presets from the platform log's `config` stream.

Every reader applies the same records in offset order and uses no clock and no
other local input, so all readers reach the same state without voting. Each
record is decoded (every reader skips a record that cannot be decoded), its id
is looked up (a repeated id is skipped), its verdict is determined, and if it
is accepted, the state changes.

The set of remembered ids is bounded. A record states the offset up to which
its writer had read (`base`). It is rejected as stale if its own offset is
`VERDICT_WINDOW` or more above that, and verdicts are remembered for the last
`VERDICT_WINDOW` offsets. A duplicate therefore either arrives while the verdict
on the first copy is still remembered, or is stale.
"""

from typing import Annotated
from typing import Final
from typing import Literal

import msgspec

from foxtaildale import changes
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import values

# Number of offsets for which a verdict is remembered, and by which a record
# may follow its `base`.
VERDICT_WINDOW: Final = 256
# Maximum number of published presets. The oldest is removed first, but never
# the one in force. Limits the state, and therefore checkpoints and pull
# replies, to about 1 MB.
MAX_PUBLISHED: Final = 32

Reason = Literal[
    '', 'other-revision', 'not-published', 'bad-preset', 'stale', 'ahead'
]
_Offset = Annotated[int, msgspec.Meta(ge=0)]


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """The decision on one record."""

    offset: int
    # Empty if accepted.
    reason: Reason
    # Revision in force after the record.
    revision: int

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return not self.reason


class PublishedPreset(msgspec.Struct, frozen=True, array_like=True):
    """A published preset in its canonical form."""

    name: str
    digest: str
    # Offset of the first record that published it.
    offset: int
    data: bytes


class State(msgspec.Struct, frozen=True, array_like=True):
    """The whole state as encoded in checkpoints and pull replies."""

    offset: _Offset = 0
    revision: _Offset = 0
    # Offset of the last accepted switch, 0 if none, and the digest of its
    # preset, empty if none.
    switched_at: int = 0
    in_force: str = ''
    # Oldest first.
    published: tuple[PublishedPreset, ...] = ()
    # Id and verdict, oldest first.
    verdicts: tuple[tuple[str, Verdict], ...] = ()


_encoder: Final = msgspec.msgpack.Encoder()
_state_decoder: Final = msgspec.msgpack.Decoder(State)


class Fold:
    """Applies records to the state and gives access to it."""

    __slots__ = (
        '_digest',
        '_encoded',
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
    _published: dict[str, PublishedPreset]
    # By id, oldest first.
    _verdicts: dict[str, Verdict]
    # Cached encoding of the state and its digest; empty if not computed since
    # the last record.
    _encoded: bytes
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
            self._in_force = self._make_in_force(
                self._published[state.in_force]
            )
        self._encoded = b''
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
    def published(self) -> tuple[PublishedPreset, ...]:
        """Published presets, oldest first."""
        return tuple(self._published.values())

    @property
    def digest(self) -> str:
        """Digest of the whole state; equal on all readers at one offset."""
        if not self._digest:
            self._digest = changes.digest_of(self.to_bytes())
        return self._digest

    def verdict(self, change_id: str) -> Verdict | None:
        """Returns the verdict on a record, or None if none is remembered."""
        return self._verdicts.get(change_id)

    def to_bytes(self) -> bytes:
        """Returns the encoded state."""
        if not self._encoded:
            in_force = self._in_force.digest if self._in_force else ''
            self._encoded = _encoder.encode(
                State(
                    self.offset,
                    self._revision,
                    self._switched_at,
                    in_force,
                    self.published,
                    tuple(self._verdicts.items()),
                )
            )
        return self._encoded

    def apply(self, record: ports.Record) -> changes.Change | None:
        """Applies the record at `offset` and returns it, or None if skipped.

        Raises:
            errors.InvariantError: The record is not the next one.
        """
        if record.offset != self.offset:
            raise errors.InvariantError(
                f'record at offset {record.offset} cannot be applied;'
                f' the next offset is {self.offset}'
            )
        self._encoded = b''
        self._digest = ''
        change = changes.decode(record.data)
        if isinstance(change, changes.Publish | changes.Switch):
            self._record_verdict(change)
        self.offset += 1
        self._remove_old_verdicts()
        return change

    def _record_verdict(self, change: changes.Publish | changes.Switch) -> None:
        if change.id in self._verdicts:
            # The reply to an append was lost and the writer repeated it. If
            # the repeat were evaluated, a switch reported as rejected could
            # still come into force once its expected revision is reached.
            return
        reason = self._check_base(change)
        if not reason and isinstance(change, changes.Publish):
            reason = self._publish(change)
        elif not reason and isinstance(change, changes.Switch):
            reason = self._switch(change)
        self._verdicts[change.id] = Verdict(self.offset, reason, self._revision)

    def _check_base(self, change: changes.Publish | changes.Switch) -> Reason:
        if change.base > self.offset:
            # The writer has read a log other than this one.
            return 'ahead'
        if self.offset - change.base >= VERDICT_WINDOW:
            return 'stale'
        return ''

    def _publish(self, change: changes.Publish) -> Reason:
        preset = changes.verified_preset(change)
        if preset is None:
            return 'bad-preset'
        published = self._published.pop(change.digest, None)
        # Publishing a preset again makes it the newest one.
        self._published[change.digest] = published or PublishedPreset(
            preset.name, change.digest, self.offset, change.preset
        )
        if len(self._published) > MAX_PUBLISHED:
            self._remove_oldest_preset()
        return ''

    def _remove_oldest_preset(self) -> None:
        in_force = self._in_force.digest if self._in_force else ''
        oldest = next(key for key in self._published if key != in_force)
        del self._published[oldest]

    def _switch(self, change: changes.Switch) -> Reason:
        if change.expects != self._revision:
            # Two operators switched at the same time. The first record in the
            # log wins; the second operator is informed that its switch was
            # based on an outdated revision.
            return 'other-revision'
        published = self._published.get(change.digest)
        if published is None or published.name != change.name:
            return 'not-published'
        self._revision += 1
        self._switched_at = self.offset
        self._in_force = self._make_in_force(published)
        return ''

    def _make_in_force(self, published: PublishedPreset) -> values.InForce:
        return values.InForce(
            self._revision,
            self._switched_at,
            published.digest,
            changes.decode_preset(published.data),
        )

    def _remove_old_verdicts(self) -> None:
        oldest_offset = self.offset - VERDICT_WINDOW
        while self._verdicts:
            change_id = next(iter(self._verdicts))
            if self._verdicts[change_id].offset >= oldest_offset:
                return
            del self._verdicts[change_id]


def from_bytes(data: bytes, digest: str) -> Fold | None:
    """Returns the fold whose state is encoded in `data`.

    Returns None if the bytes do not match the digest or do not encode a
    state: a truncated or altered state must not replace a good one.
    """
    if changes.digest_of(data) != digest:
        return None
    try:
        return Fold(decoding.decode(_state_decoder.decode, data))
    except (errors.DecodeError, KeyError):
        return None
