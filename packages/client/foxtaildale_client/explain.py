"""Looks up the outcome of a request in the log's stream of outcomes.

Entries append their outcomes to the stream in batches: a record is a msgpack
list of `values.Outcome`. The newest records are searched first, since
operators mostly query recent requests and the stream is long.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from foxtaildale import codes
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_client import exits
from foxtaildale_client import results
from foxtaildale_client import text

STREAM: Final = 'outcomes'
# Maximum number of records per read.
_BATCH_RECORDS: Final = 200

_decoder: Final = msgspec.msgpack.Decoder(list[values.Outcome])


class RequestOutcomes(results.Result, frozen=True):
    """The outcomes recorded for a request, oldest first."""

    outcomes: tuple[values.Outcome, ...]

    def text(self) -> str:
        """Returns the human-readable output."""
        return '\n\n'.join(_explanation(outcome) for outcome in self.outcomes)


def explain(log: ports.Log, request: str) -> results.Result:
    """Returns the recorded outcomes of a request.

    Raises:
        errors.PortError: The log could not be read.
    """
    for records in _newest_first(log):
        outcomes = [
            outcome
            for record in records
            for outcome in _outcomes(record)
            if outcome.request == request
        ]
        if outcomes:
            return RequestOutcomes(outcomes=tuple(outcomes))
    return results.Problem(
        status=exits.Exit.NOT_FOUND,
        problems=(f'no outcome of {request} is in the log (any more)',),
    )


def _newest_first(log: ports.Log) -> Iterator[tuple[ports.Record, ...]]:
    first, end = _bounds(log)
    while end > first:
        start = max(first, end - _BATCH_RECORDS)
        try:
            yield log.read(STREAM, start, end - start).records
        except errors.RecordsExpiredError as exc:
            # Records can expire while the stream is read backwards.
            first = exc.first
            continue
        end = start


def _bounds(log: ports.Log) -> tuple[int, int]:
    try:
        batch = log.read(STREAM, 0, 1)
    except errors.RecordsExpiredError as exc:
        batch = log.read(STREAM, exc.first, 1)
    return batch.first, batch.end


def _outcomes(record: ports.Record) -> list[values.Outcome]:
    try:
        return decoding.decode(_decoder.decode, record.data)
    except errors.DecodeError:
        return []


def _explanation(outcome: values.Outcome) -> str:
    code = codes.ALL.get(outcome.code)
    rows = [
        ('request', outcome.request),
        ('service', outcome.service or '-'),
        ('outcome', outcome.code),
        ('', outcome.sentence),
        ('ran', code.ran if code else 'unknown'),
        ('preset', f'revision {outcome.revision}'),
        ('entry VM', outcome.entry_vm),
        ('time', text.format_timestamp(outcome.at)),
    ]
    if outcome.retry_after_s:
        rows.append(
            ('come back', f'after {text.format_value(outcome.retry_after_s)} s')
        )
    rows += [
        (figure.name, text.format_value(figure.value))
        for figure in outcome.figures
    ]
    return text.format_table(rows)
