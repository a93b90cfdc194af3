"""Records of the platform log's `config` stream.

Operators publish presets and switch between them; keepers append checkpoints.
`fold` defines the effect of each record. A preset is encoded in its canonical
form and identified by the digest of that form.
"""

from typing import Annotated
from typing import Final

import msgspec
import xxhash

from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import values

# Name of the log stream that contains the configuration.
STREAM: Final = 'config'
# Maximum size of a canonical preset.
MAX_PRESET_BYTES: Final = 32_768

_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=40)]
_Offset = Annotated[int, msgspec.Meta(ge=0)]


class _Change(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base class of the records."""

    # Chosen at random by the writer; a repeated append has the same id.
    id: _Id


class Publish(_Change, frozen=True):
    """Publishes a preset without putting it in force."""

    base: _Offset
    digest: str
    # Canonical form. Stored as bytes, so that a reader of another version,
    # which has other fields, stores and forwards the same bytes.
    preset: bytes


class Switch(_Change, frozen=True):
    """Puts a published preset in force in place of revision `expects`."""

    base: _Offset
    name: str
    digest: str
    expects: _Offset


class Checkpoint(_Change, frozen=True):
    """The state after all records below `offset`; does not change it."""

    offset: _Offset
    digest: str
    state: bytes


Change = Publish | Switch | Checkpoint


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Change)
# End of a canonical preset without client accounts, its last field.
_NO_ACCOUNTS: Final = b',"accounts":{}}'
_preset_decoder: Final = msgspec.json.Decoder(values.Preset)


def canonical_form(preset: values.Preset) -> bytes:
    """Returns the canonical form of a preset.

    It is JSON with every field and sorted keys. The field for client accounts
    is left out if there are none, so that a preset published before this field
    existed keeps its digest.
    """
    # Encoding and decoding normalizes numbers: the weights 1 and 1.0 are
    # equal but encoded differently.
    normalized = _preset_decoder.decode(msgspec.json.encode(preset))
    data = msgspec.json.encode(normalized, order='deterministic')
    if data.endswith(_NO_ACCOUNTS):
        return data.removesuffix(_NO_ACCOUNTS) + b'}'
    return data


def digest_of(data: bytes) -> str:
    """Returns the hex digest that identifies a preset or a state."""
    return xxhash.xxh3_128_hexdigest(data)


def make_publish(change_id: str, base: int, preset: values.Preset) -> Publish:
    """Returns the record that publishes a preset."""
    data = canonical_form(preset)
    return Publish(id=change_id, base=base, digest=digest_of(data), preset=data)


def encode(change: Change) -> bytes:
    """Returns the encoded record."""
    return _encoder.encode(change)


def decode(data: bytes) -> Change | None:
    """Returns the record encoded in `data`, or None if it is invalid."""
    try:
        return decoding.decode(_decoder.decode, data)
    except errors.DecodeError:
        return None


def verified_preset(record: Publish) -> values.Preset | None:
    """Returns the preset of a record, or None if it is invalid.

    It is invalid if it is too long, does not match its digest or cannot be
    decoded.
    """
    if len(record.preset) > MAX_PRESET_BYTES:
        return None
    if digest_of(record.preset) != record.digest:
        return None
    try:
        return decoding.decode(_preset_decoder.decode, record.preset)
    except errors.DecodeError:
        return None


def decode_preset(data: bytes) -> values.Preset:
    """Decodes a canonical form that has been checked before."""
    return _preset_decoder.decode(data)
