"""Values that are used and exchanged throughout the system.

They are immutable structs with slots. They derive from `msgspec.Struct`, since
msgspec encodes only classes whose fields are declared.
"""

import sys
from typing import Annotated
from typing import Literal

import msgspec

# The fields are annotated with their bounds, so that both the schema that
# checks a preset before it is published and the codec that decodes it apply
# them.
_Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,39}$')]
_Digest = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{32}$')]
_Millis = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=1000)]

Role = Literal['prefill', 'decode', 'plain']
State = Literal['live', 'leaving']
# Settings of a model engine that an operator may specify.
EngineSetting = Literal['load', 'adapter', 'version']
Once = Literal['none', 'claim', 'ticket']


class Figure(msgspec.Struct, frozen=True):
    """One value on which a decision was based."""

    name: str
    value: float | str


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """The final result of one request, with an explanation."""

    # Identifies the request for `foxtaildale explain`.
    request: str
    # A name from `codes.ALL`.
    code: str
    sentence: str
    figures: tuple[Figure, ...] = ()
    # Revision of the preset in force at the time of the decision; 0 if none.
    revision: int
    entry_vm: str
    # Seconds since the Unix epoch, for display only; no decision uses it.
    at: float
    # Seconds after which the caller should retry; 0 if a retry is pointless.
    retry_after_s: float = 0.0
    service: str = ''


def intern_strings(outcome: Outcome) -> Outcome:
    """Returns an equal outcome that shares its common strings.

    A decoder creates new strings for each message. With thousands of stored
    outcomes, repeated sentences and names would use most of the memory.
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
    # IP address and port of its HTTP interface.
    address: str
    data_centre: str
    service: str
    role: Role
    state: State = 'live'
    # Whether it refuses an order with an outdated fencing token.
    fenced: bool = False
    # Maximum number of concurrent requests.
    slots: int = 20


class EntryVm(msgspec.Struct, frozen=True, kw_only=True):
    """An entry VM as the platform lists it."""

    name: str
    data_centre: str
    # IP address and port of its keeper.
    keeper: str
    state: State = 'live'


class Keeper(msgspec.Struct, frozen=True, kw_only=True):
    """A keeper as it is announced to its peers."""

    # Name of its entry VM.
    name: str
    # Identifies this start of the process; a restart is a new incarnation.
    incarnation: str
    address: str
    data_centre: str


class Listing(msgspec.Struct, frozen=True):
    """The platform's list of live and leaving VMs; may be outdated."""

    # Increases with each change; an older list never replaces a newer one.
    version: int
    entry_vms: tuple[EntryVm, ...]
    backend_servers: tuple[BackendServer, ...]


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """The section of a preset for one service."""

    kind: Literal['model', 'plain']
    # Method that prevents a non-idempotent request from running twice.
    once: Once = 'none'
    # 0 is the most urgent.
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    # Target time to the first part of the response, milliseconds; 0 for none.
    first_answer_ms: _Millis = 0
    # Target time between tokens, milliseconds; 0 for none.
    between_tokens_ms: _Millis = 0
    # Maximum time that a request waits for a slot, milliseconds.
    patience_ms: _Millis = 0
    # Maximum number of waiting requests of this service.
    queue_limit: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 64
    # Maximum size of a request body.
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=67_108_864)] = (
        1_048_576
    )
    # Assumed length of a response unless the caller specifies one, tokens.
    expected_tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 128
    # Timeout of a call to a plain service, milliseconds.
    call_timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 5_000
    # Settings applied to every engine of the service; settings that are not
    # named stay unchanged.
    engine_settings: dict[EngineSetting, str] = {}


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """The section of a preset for one client account."""

    # Digests of its keys, as printed by `foxtaildale account-key`. A preset has
    # many readers, so it does not contain the keys themselves.
    keys: Annotated[tuple[_Digest, ...], msgspec.Meta(max_length=100)]
    # Requests per second over all entry VMs; 0 for no limit.
    requests_per_s: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 0
    # Additional requests allowed in a burst.
    burst: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 0


class Weights(msgspec.Struct, frozen=True):
    """Relative weights of the goals, set by the operators."""

    goodput: _Weight = 1.0
    wasted_prefill: _Weight = 1.0


class Preset(msgspec.Struct, frozen=True, kw_only=True):
    """A complete set of rules; at most one preset is in force."""

    name: _Name
    services: Annotated[
        dict[_Name, Service], msgspec.Meta(min_length=1, max_length=200)
    ]
    weights: Weights = Weights()
    # Retries allowed per first attempt, over a sliding window.
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    # Retries allowed in addition to the ratio, for times of low traffic.
    retry_burst: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 3
    # Client accounts by name; if there are none, requests need no key.
    accounts: Annotated[
        dict[_Name, Account], msgspec.Meta(max_length=2000)
    ] = {}


class InForce(msgspec.Struct, frozen=True):
    """The preset in force, as determined from the platform's log."""

    # Number of accepted switches; never decreases.
    revision: int
    # Offset of the record that put it in force.
    offset: int
    # Hex digest of the preset's canonical form.
    digest: str
    preset: Preset
