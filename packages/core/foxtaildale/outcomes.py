"""Creates outcomes: a code, its sentence with figures, and the retry time.

Every final response is created here, so that the caller, the JSON log, the
metrics and `foxtaildale explain` show the same text and figures.
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
    """The outcome that a caller gets if it is not a plain success."""

    code: str
    message: str
    # Whether the request ran: no, yes or unknown. `no` is guaranteed.
    ran: str
    figures: dict[str, float | str]
    revision: int
    request: str
    entry_vm: str
    retry_after_s: float
    service: str
    # New tickets, if the service requires them.
    tickets: tuple[str, ...] = ()


class ErrorReply(msgspec.Struct, frozen=True):
    """The JSON document that contains the error body."""

    error: ErrorBody


def make(
    code: codes.Code,
    source: Source,
    figures: tuple[values.Figure, ...] = (),
    retry_after_s: float = 0.0,
) -> values.Outcome:
    """Returns the outcome for a code.

    A figure that is missing from `figures` is shown as `?` in the sentence: a
    refusal must not be lost because its sentence lacks a number.
    """
    sentence_figures = _SentenceFigures(
        {figure.name: figure.value for figure in figures}
    )
    return values.Outcome(
        request=source.request,
        code=code.name,
        sentence=code.sentence.format_map(sentence_figures),
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
        # The header has whole seconds; if it were rounded down, the caller
        # would retry too early.
        result['Retry-After'] = str(math.ceil(outcome.retry_after_s))
    return result


class _SentenceFigures(dict[str, float | str]):
    """Figures for a sentence; a missing one is shown as `?`."""

    def __missing__(self, _key: str) -> str:
        return '?'
