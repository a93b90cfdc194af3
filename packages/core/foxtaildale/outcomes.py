"""Makes outcomes: a code, its sentence over the figures, and when to come back.

Every final answer goes through here, so the caller, the JSON log, the metrics
and `foxtaildale explain` all read the same words and figures.
"""

import math
from typing import Final

import msgspec

from foxtaildale import codes
from foxtaildale import values

# Media type of an error body.
JSON: Final = 'application/json'


class Source(msgspec.Struct, frozen=True, kw_only=True):
    """Where and when an outcome was decided."""

    request: str
    service: str
    revision: int
    entry_vm: str
    # Seconds since the epoch.
    at: float


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller reads of an outcome that is not a plain success."""

    code: str
    message: str
    # no, yes or unknown; `no` is a promise.
    ran: str
    figures: dict[str, float | str]
    revision: int
    request: str
    entry_vm: str
    retry_after_s: float
    service: str
    # Fresh tickets, where the service takes them.
    tickets: tuple[str, ...] = ()


class ErrorReply(msgspec.Struct, frozen=True):
    """The JSON document around it."""

    error: ErrorBody


def make(
    code: codes.Code,
    source: Source,
    figures: tuple[values.Figure, ...] = (),
    retry_after_s: float = 0.0,
) -> values.Outcome:
    """Returns the outcome for a code.

    A figure that the sentence names and nobody gave is shown as `?`: a refusal
    must not be lost because its explanation is short of a number.
    """
    shown = _Shown({figure.name: figure.value for figure in figures})
    return values.Outcome(
        request=source.request,
        code=code.name,
        sentence=code.sentence.format_map(shown),
        figures=figures,
        revision=source.revision,
        entry_vm=source.entry_vm,
        at=source.at,
        retry_after_s=retry_after_s,
        service=source.service,
    )


def body(outcome: values.Outcome, tickets: tuple[str, ...] = ()) -> bytes:
    """Returns the JSON error document of an outcome."""
    return msgspec.json.encode(
        ErrorReply(
            ErrorBody(
                code=outcome.code,
                message=outcome.sentence,
                ran=codes.ALL[outcome.code].ran,
                figures={f.name: f.value for f in outcome.figures},
                revision=outcome.revision,
                request=outcome.request,
                entry_vm=outcome.entry_vm,
                retry_after_s=outcome.retry_after_s,
                service=outcome.service,
                tickets=tickets,
            )
        )
    )


def headers(outcome: values.Outcome) -> dict[str, str]:
    """Returns the HTTP headers of an outcome."""
    result = {
        'Content-Type': JSON,
        'Foxtaildale-Request': outcome.request,
    }
    if outcome.retry_after_s > 0:
        # The header takes whole seconds; rounding down would call the caller
        # back too early.
        result['Retry-After'] = str(math.ceil(outcome.retry_after_s))
    return result


class _Shown(dict[str, float | str]):
    """Figures for a sentence; a missing one is shown as `?`."""

    def __missing__(self, _key: str) -> str:
        return '?'
