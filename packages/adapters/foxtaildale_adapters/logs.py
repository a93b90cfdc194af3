"""Logs as JSON lines through absl.logging.

On standard error, written as they come; or, for processes under load, on
standard output by a thread of its own (`setup_bounded`).

Every line has `at` (seconds since the epoch), `level`, `role`, `entry_vm` and
`event`; fields of the event follow. Lines of libraries come in the same form.
"""

import logging
import logging.handlers
import queue
import sys
import threading
import time
from typing import Any
from typing import Final

from absl import flags
from absl import logging as absl_logging
import msgspec

# Fields of every line.
_OWN: Final = ('at', 'level', 'role', 'entry_vm', 'event')
# Set on a record by `event`; a library's record has none.
_FIELDS: Final = 'foxtaildale_fields'


# Bounds of a process under load: lines a second, beyond which they are counted
# only, lines that wait for the writer, and characters of one line. A request
# has four to six lines of some 250 characters and the smallest VM serves 40
# requests a second at its best, so nothing is left out in ordinary times, and
# the most is 100 KB a second.
LINES_PER_S: Final = 400
WAITING_LINES: Final = 2000
LINE_CHARS: Final = 4000
_WINDOW_S: Final = 1.0


class _Bounded(logging.handlers.QueueHandler):
    """Hands records to the writer; never waits for it.

    A reader of standard output that stops reading would else stop every
    thread that has something to log, and with it every request.
    """

    def __init__(self, waiting: queue.Queue[Any]) -> None:
        super().__init__(waiting)
        self._guard = threading.Lock()
        self._window_at = 0.0
        self._lines = 0
        self._left_out = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leaves the work of formatting to the writer."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record, or counts it."""
        with self._guard:
            now = time.monotonic()
            told = 0
            if now - self._window_at >= _WINDOW_S:
                self._window_at = now
                self._lines = 0
                told, self._left_out = self._left_out, 0
            self._lines += 1
            if self._lines > LINES_PER_S and record.levelno < logging.ERROR:
                self._left_out += 1
                return
        try:
            if told:
                self.queue.put_nowait(_left_out(told))
            self.queue.put_nowait(record)
        except queue.Full:
            with self._guard:
                self._left_out += 1 + told


def _left_out(count: int) -> logging.LogRecord:
    record = logging.LogRecord(
        'absl', logging.WARNING, '', 0, 'log lines left out', None, None
    )
    setattr(record, _FIELDS, {'count': count})
    return record


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
        text = msgspec.json.encode(line, enc_hook=repr).decode()
        if len(text) <= LINE_CHARS:
            return text
        short = {name: line[name] for name in _OWN}
        short['cut'] = text[: LINE_CHARS // 2]
        return msgspec.json.encode(short, enc_hook=repr).decode()


def setup(role: str, entry_vm: str, level: str) -> None:
    """Directs all logs of the process to standard error.

    Args:
        role: Role of the process, for every line.
        entry_vm: Name of the VM, for every line.
        level: Lowest severity that is logged: debug, info, warning, error.
    """
    if not flags.FLAGS.is_parsed():
        # Else the library writes a line of plain text about it.
        flags.FLAGS.mark_as_parsed()
    flags.FLAGS['logtostderr'].value = True
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().setFormatter(_Formatter(role, entry_vm))
    # By name: absl's numbers are not those of the standard library.
    absl_logging.set_verbosity(level)


def setup_bounded(role: str, entry_vm: str, level: str) -> None:
    """Directs all logs of the process to standard output, within bounds.

    Args:
        role: Role of the process, for every line.
        entry_vm: Name of the VM, for every line.
        level: Lowest severity that is logged.
    """
    setup(role, entry_vm, level)
    waiting: queue.Queue[Any] = queue.Queue(WAITING_LINES)
    out = logging.StreamHandler(sys.stdout)
    out.setFormatter(_Formatter(role, entry_vm))
    logging.getLogger().handlers[:] = [_Bounded(waiting)]
    listener = logging.handlers.QueueListener(waiting, out)
    listener.start()


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
