"""Text for people: tables, times and figures."""

from collections.abc import Sequence
import datetime
from typing import Final

# Characters of a digest that are shown to people.
DIGEST: Final = 12

Cell = str | float | None


def table(rows: Sequence[tuple[str, ...]]) -> str:
    """Returns rows of cells in aligned columns."""
    columns = zip(*rows, strict=True)
    widths = [max(len(cell) for cell in column) for column in columns]
    lines = []
    for row in rows:
        cells = zip(row, widths, strict=True)
        line = '  '.join(cell.ljust(width) for cell, width in cells)
        lines.append(line.rstrip())
    return '\n'.join(lines)


def shown(value: Cell) -> str:
    """Returns a value without needless decimals; `-` for none."""
    if value is None:
        return '-'
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def timestamp(at: float) -> str:
    """Returns seconds since the epoch as UTC."""
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')
