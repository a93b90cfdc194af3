"""Records of the platform log's `config` stream.

Operators publish presets and switch between them, keepers add checkpoints;
`fold` says what the records mean. A preset travels in its canonical form, and
the digest of that form names it.
"""

from typing import Annotated
from typing import Final

import msgspec
import xxhash

from foxtaildale import values

# The log's stream of configuration.
STREAM: Final = 'config'
# Longest canonical preset, bytes.
MAX_PRESET_BYTES: Final = 32_768

_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=40)]
_Offset = Annotated[int, msgspec.Meta(ge=0)]


class _Change(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of the records."""

    # Chosen at random by the writer; a repeated append carries it again.
    id: _Id


class Publish(_Change, frozen=True):
    """Makes a preset known; it is not yet in force."""

    base: _Offset
    digest: str
    # Canonical form. Kept as bytes, so that a reader of another version,
    # which knows other fields, keeps and passes on the same bytes.
    preset: bytes


class Switch(_Change, frozen=True):
    """Puts a published preset in force in place of revision `expects`."""

    base: _Offset
    name: str
    digest: str
    expects: _Offset


class Checkpoint(_Change, frozen=True):
    """The folded state of all records below `offset`; changes nothing."""

    offset: _Offset
    digest: str
    state: bytes


Change = Publish | Switch | Checkpoint


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Change)
# How a preset without client accounts ends, since they are its last field.
_NO_ACCOUNTS: Final = b',"accounts":{}}'
_presets: Final = msgspec.json.Decoder(values.Preset)


def canonical(preset: values.Preset) -> bytes:
    """Returns the one form of a preset: JSON, every field, keys sorted.

    Without accounts it has no field for them, so that a preset which was
    published before there were any keeps its digest.
    """
    # Decoded once, since 1 and 1.0 are equal weights but not equal bytes.
    whole = _presets.decode(msgspec.json.encode(preset))
    data = msgspec.json.encode(whole, order='deterministic')
    if data.endswith(_NO_ACCOUNTS):
        return data.removesuffix(_NO_ACCOUNTS) + b'}'
    return data


def digest_of(data: bytes) -> str:
    """Returns the hex digest that names a preset or a state."""
    return xxhash.xxh3_128_hexdigest(data)


def publish(change_id: str, base: int, preset: values.Preset) -> Publish:
    """Returns the record that publishes a preset."""
    data = canonical(preset)
    return Publish(id=change_id, base=base, digest=digest_of(data), preset=data)


def encode(change: Change) -> bytes:
    """Returns the bytes of a record."""
    return _encoder.encode(change)


def decode(data: bytes) -> Change | None:
    """Returns the record in `data`, or None if it is not one."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def preset_in(record: Publish) -> values.Preset | None:
    """Returns the preset in a record, or None if it is not whole."""
    if len(record.preset) > MAX_PRESET_BYTES:
        return None
    if digest_of(record.preset) != record.digest:
        return None
    try:
        return _presets.decode(record.preset)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def preset_of(data: bytes) -> values.Preset:
    """Returns the preset of a canonical form that was checked before."""
    return _presets.decode(data)
