"""Values that travel through the whole system.

They are immutable structs with slots; the codec library needs their fields
declared, which is why they are `msgspec.Struct` and not bare classes.
"""

import sys
from typing import Annotated
from typing import Literal

import msgspec

# Bounds stand at the fields, so that the schema which checks a preset before
# it is published and the codec that reads it back both have them.
_Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,39}$')]
_Digest = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{32}$')]
_Millis = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=1000)]

Role = Literal['prefill', 'decode', 'plain']
State = Literal['live', 'leaving']
# What an operator may set of a model engine.
EngineSetting = Literal['load', 'adapter', 'version']
Once = Literal['none', 'claim', 'ticket']


class Figure(msgspec.Struct, frozen=True):
    """One figure that a decision was made on."""

    name: str
    value: float | str


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """The final, explained result of one request."""

    # Identifies the request for `foxtaildale explain`.
    request: str
    # A name from `codes.ALL`.
    code: str
    sentence: str
    figures: tuple[Figure, ...] = ()
    # Revision of the preset in force when it was decided; 0 if none.
    revision: int
    entry_vm: str
    # Seconds since the epoch, for people; decisions never use it.
    at: float
    # When to come back, in seconds; 0 where that makes no sense.
    retry_after_s: float = 0.0
    service: str = ''


def interned(outcome: Outcome) -> Outcome:
    """Returns an equal outcome that shares its common strings.

    A decoder makes new strings for each message; kept by the thousand, the
    same sentences and names would be most of the memory.
    """
    return msgspec.structs.replace(
        outcome,
        code=sys.intern(outcome.code),
        sentence=sys.intern(outcome.sentence),
        entry_vm=sys.intern(outcome.entry_vm),
        service=sys.intern(outcome.service),
    )


class BackendServer(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server as the platform lists it."""

    name: str
    # IP number and port of its HTTP interface.
    address: str
    data_centre: str
    service: str
    role: Role
    state: State = 'live'
    # Whether it refuses an order that carries an old fencing number.
    fenced: bool = False
    # Requests it holds at once.
    slots: int = 20


class EntryVm(msgspec.Struct, frozen=True, kw_only=True):
    """An entry VM as the platform lists it."""

    name: str
    data_centre: str
    # IP number and port of its keeper.
    keeper: str
    state: State = 'live'


class Keeper(msgspec.Struct, frozen=True, kw_only=True):
    """A keeper as its peers hear of it."""

    # Name of its entry VM.
    name: str
    # Names this start of the process; a restart is another keeper.
    incarnation: str
    address: str
    data_centre: str


class Listing(msgspec.Struct, frozen=True):
    """The platform's list of live and leaving VMs; it lags."""

    # Grows with each change; an older list never replaces a newer one.
    version: int
    entry_vms: tuple[EntryVm, ...]
    backend_servers: tuple[BackendServer, ...]


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """What a preset says of one service."""

    kind: Literal['model', 'plain']
    # Which rule keeps a non-idempotent request from running twice.
    once: Once = 'none'
    # 0 is the most urgent.
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    # Target for the first answer, milliseconds; 0 means no target.
    first_answer_ms: _Millis = 0
    # Target between tokens, milliseconds; 0 means no target.
    between_tokens_ms: _Millis = 0
    # How long a request may wait for a slot, milliseconds.
    patience_ms: _Millis = 0
    # Requests of this service that may wait at once.
    queue_limit: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 64
    # Longest body taken, bytes.
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=67_108_864)] = (
        1_048_576
    )
    # Answer length assumed until the caller says otherwise, tokens.
    expected_tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 128
    # How long a call to a plain service may take, milliseconds.
    call_timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 5_000
    # What every engine of the service is set to; others are left alone.
    engine_settings: dict[EngineSetting, str] = {}


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """What a preset says of one client account."""

    # Digests of its keys, as `foxtaildale account-key` makes them; a preset can
    # be read by many, so no key stands in it.
    keys: Annotated[tuple[_Digest, ...], msgspec.Meta(max_length=100)]
    # Requests a second, over all entry VMs together; 0 for no limit.
    requests_per_s: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 0
    # Requests beyond that at once.
    burst: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 0


class Weights(msgspec.Struct, frozen=True):
    """What the operators weigh more."""

    goodput: _Weight = 1.0
    wasted_prefill: _Weight = 1.0


class Preset(msgspec.Struct, frozen=True, kw_only=True):
    """A whole set of rules; exactly one is in force."""

    name: _Name
    services: Annotated[
        dict[_Name, Service], msgspec.Meta(min_length=1, max_length=200)
    ]
    weights: Weights = Weights()
    # Retries allowed for each first try, over a sliding window.
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    # Retries allowed beyond the ratio, for quiet times.
    retry_burst: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 3
    # Client accounts by name; without any, requests need no key.
    accounts: Annotated[
        dict[_Name, Account], msgspec.Meta(max_length=2000)
    ] = {}


class InForce(msgspec.Struct, frozen=True):
    """The preset in force, as folded from the platform's log."""

    # Counts accepted switches; never goes down.
    revision: int
    # Offset of the record that put it in force.
    offset: int
    # Hex digest of the preset's canonical form.
    digest: str
    preset: Preset
