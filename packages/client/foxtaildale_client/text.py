"""Formats tables, times and numbers as human-readable text."""

from collections.abc import Sequence
import datetime
from typing import Final

# Number of leading characters of a digest in human-readable output.
DIGEST_CHARS: Final = 12

Cell = str | float | None


def format_table(rows: Sequence[tuple[str, ...]]) -> str:
    """Returns rows of cells in aligned columns."""
    columns = zip(*rows, strict=True)
    widths = [max(len(cell) for cell in column) for column in columns]
    lines = []
    for row in rows:
        cells = zip(row, widths, strict=True)
        line = '  '.join(cell.ljust(width) for cell, width in cells)
        lines.append(line.rstrip())
    return '\n'.join(lines)


def format_value(value: Cell) -> str:
    """Formats a value without trailing zero decimals; `-` for None."""
    if value is None:
        return '-'
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def format_timestamp(at: float) -> str:
    """Formats seconds since the Unix epoch as UTC time."""
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')
