"""Logs as JSON lines on standard error, through absl.logging.

Every line has `at` (seconds since the epoch), `level`, `role`, `entry_vm` and
`event`; fields of the event follow. Lines of libraries come in the same form.
"""

import logging
from typing import Any
from typing import Final

from absl import flags
from absl import logging as absl_logging
import msgspec

LEVELS: Final = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}

# Set on a record by `event`; a library's record has none.
_FIELDS: Final = 'foxtaildale_fields'


class _Formatter(logging.Formatter):
    """Turns a record into one line of JSON."""

    def __init__(self, role: str, entry_vm: str) -> None:
        super().__init__()
        self._role = role
        self._entry_vm = entry_vm

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, Any] = {
            'at': round(record.created, 6),
            'level': record.levelname.lower(),
            'role': self._role,
            'entry_vm': self._entry_vm,
            'event': record.getMessage(),
        }
        for name, value in getattr(record, _FIELDS, {}).items():
            # A field never hides one of the line's own.
            line.setdefault(name, value)
        if record.exc_info:
            line.setdefault('exc', self.formatException(record.exc_info))
        return msgspec.json.encode(line, enc_hook=repr).decode()


def setup(role: str, entry_vm: str, level: str) -> None:
    """Directs all logs of the process to standard error.

    Args:
        role: Role of the process, for every line.
        entry_vm: Name of the VM, for every line.
        level: Lowest severity that is logged, a key of `LEVELS`.
    """
    if not flags.FLAGS.is_parsed():
        # Else the library writes a line of plain text about it.
        flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().setFormatter(_Formatter(role, entry_vm))
    absl_logging.set_verbosity(LEVELS[level])
    absl_logging.set_stderrthreshold('debug')


def event(level: int, name: str, **fields: object) -> None:
    """Logs one event.

    Args:
        level: One of the levels of `logging`.
        name: What happened; a short constant text, with no figures in it.
        **fields: Figures and names; what is no JSON is shown by its repr. An
            `exc` field that is an exception brings its traceback.
    """
    logger = absl_logging.get_absl_logger()
    if not logger.isEnabledFor(level):
        return
    exc = fields.get('exc')
    exc_info = None
    if isinstance(exc, BaseException):
        del fields['exc']
        exc_info = (type(exc), exc, exc.__traceback__)
    # The name is no format string.
    logger.log(level, '%s', name, exc_info=exc_info, extra={_FIELDS: fields})
