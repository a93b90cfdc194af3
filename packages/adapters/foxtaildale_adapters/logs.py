"""Logs as JSON lines through absl.logging.

`setup` writes each line to standard error in the thread that logs it.
`setup_bounded`, for processes under load, writes to standard output from a
separate thread and limits the number of lines.

Every line has `at` (seconds since the epoch), `level`, `role`, `entry_vm` and
`event`; the fields of the event follow. Lines of libraries have the same
format.
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

# Fields that every line has.
_COMMON_FIELDS: Final = ('at', 'level', 'role', 'entry_vm', 'event')
# Attribute that `event` sets on a log record; records of libraries lack it.
_FIELDS_ATTRIBUTE: Final = 'foxtaildale_fields'


# Limits of a process under load: lines per second, above which lines are only
# counted; lines queued for the writer; and characters per line. A request logs
# four to six lines of about 250 characters and the smallest VM serves at most
# 40 requests per second, so no line is dropped under normal load, and the
# output is at most 100 KB per second.
MAX_LINES_PER_S: Final = 400
MAX_QUEUED_LINES: Final = 2000
MAX_LINE_CHARS: Final = 4000
_WINDOW_S: Final = 1.0
# Timeout of `flush`, seconds. A reader of standard output that stopped reading
# must not keep the process from ending.
_FLUSH_TIMEOUT_S: Final = 0.1
# Lines of `setup_bounded` that wait for the writer.
_pending: Final[queue.Queue[Any]] = queue.Queue(MAX_QUEUED_LINES)


class _BoundedHandler(logging.handlers.QueueHandler):
    """Queues records for the writer without ever blocking.

    Otherwise, if the reader of standard output stopped reading, every thread
    that logs would block, and with it every request.
    """

    def __init__(self, pending: queue.Queue[Any]) -> None:
        super().__init__(pending)
        self._lock = threading.Lock()
        self._window_started_at = 0.0
        self._line_count = 0
        self._dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record as it is; the writer formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record, or drops and counts it above the limits."""
        with self._lock:
            now = time.monotonic()
            unreported = 0
            if now - self._window_started_at >= _WINDOW_S:
                self._window_started_at = now
                self._line_count = 0
                unreported, self._dropped = self._dropped, 0
            self._line_count += 1
            if (
                self._line_count > MAX_LINES_PER_S
                and record.levelno < logging.ERROR
            ):
                self._dropped += 1
                return
        try:
            if unreported:
                self.queue.put_nowait(_dropped_lines_record(unreported))
            self.queue.put_nowait(record)
        except queue.Full:
            with self._lock:
                self._dropped += 1 + unreported


def _dropped_lines_record(count: int) -> logging.LogRecord:
    record = logging.LogRecord(
        'absl', logging.WARNING, '', 0, 'log lines left out', None, None
    )
    setattr(record, _FIELDS_ATTRIBUTE, {'count': count})
    return record


class _JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

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
        for name, value in getattr(record, _FIELDS_ATTRIBUTE, {}).items():
            # A field of an event never replaces a field of every line.
            line.setdefault(name, value)
        if record.exc_info:
            line.setdefault('exc', self.formatException(record.exc_info))
        text = msgspec.json.encode(line, enc_hook=repr).decode()
        if len(text) <= MAX_LINE_CHARS:
            return text
        truncated = {name: line[name] for name in _COMMON_FIELDS}
        truncated['cut'] = text[: MAX_LINE_CHARS // 2]
        return msgspec.json.encode(truncated, enc_hook=repr).decode()


def setup(role: str, entry_vm: str, level: str) -> None:
    """Directs all logs of the process to standard error.

    Args:
        role: Role of the process, written to every line.
        entry_vm: Name of the VM, written to every line.
        level: Lowest severity that is logged: debug, info, warning, error.
    """
    if not flags.FLAGS.is_parsed():
        # Otherwise absl writes a warning as a line of plain text.
        flags.FLAGS.mark_as_parsed()
    flags.FLAGS['logtostderr'].value = True
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().setFormatter(_JsonFormatter(role, entry_vm))
    # The level is passed by name, since absl's numbers differ from those of
    # the standard library.
    absl_logging.set_verbosity(level)


def setup_bounded(role: str, entry_vm: str, level: str) -> None:
    """Directs all logs of the process to standard output, within limits.

    Args:
        role: Role of the process, written to every line.
        entry_vm: Name of the VM, written to every line.
        level: Lowest severity that is logged.
    """
    setup(role, entry_vm, level)
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(_JsonFormatter(role, entry_vm))
    logging.getLogger().handlers[:] = [_BoundedHandler(_pending)]
    listener = logging.handlers.QueueListener(_pending, handler)
    listener.start()


def flush() -> None:
    """Waits until queued lines are written; called before the process ends."""
    with _pending.all_tasks_done:
        _pending.all_tasks_done.wait_for(
            lambda: not _pending.unfinished_tasks, _FLUSH_TIMEOUT_S
        )


def event(level: int, name: str, **fields: object) -> None:
    """Logs one event.

    Args:
        level: One of the levels of `logging`.
        name: What happened; a short constant text without values.
        **fields: Values of the event; a value that JSON can't represent is
            written as its repr. If `exc` is an exception, its traceback is
            logged.
    """
    logger = absl_logging.get_absl_logger()
    if not logger.isEnabledFor(level):
        return
    exc = fields.get('exc')
    exc_info = None
    if isinstance(exc, BaseException):
        del fields['exc']
        exc_info = (type(exc), exc, exc.__traceback__)
    # The name is not a format string.
    logger.log(
        level, '%s', name, exc_info=exc_info, extra={_FIELDS_ATTRIBUTE: fields}
    )
