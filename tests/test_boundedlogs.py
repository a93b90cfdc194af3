"""Logs of a process under load."""

import logging
import queue

from foxtaildale_adapters import logs


def _record(level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord('absl', level, '', 0, 'x', None, None)


def test_a_writer_that_stands_still_stops_nobody() -> None:
    """What reads standard output has stopped reading.

    A thread that waited for it would hold its request for good.
    """
    waiting: queue.Queue[logging.LogRecord] = queue.Queue(3)
    handler = logs._BoundedHandler(waiting)
    for _ in range(10):
        handler.emit(_record())
    assert waiting.qsize() == 3


def test_lines_beyond_the_bound_are_counted() -> None:
    waiting: queue.Queue[logging.LogRecord] = queue.Queue()
    handler = logs._BoundedHandler(waiting)
    for _ in range(logs.MAX_LINES_PER_S + 25):
        handler.emit(_record())
    assert waiting.qsize() == logs.MAX_LINES_PER_S
    handler.emit(_record(logging.ERROR))
    assert waiting.qsize() == logs.MAX_LINES_PER_S + 1
    handler._window_started_at -= 2.0
    handler.emit(_record())
    told = list(waiting.queue)[-2]
    assert told.getMessage() == 'log lines left out'
    assert told.foxtaildale_fields == {'count': 25}


def test_a_long_line_is_cut_and_stays_json() -> None:
    record = _record()
    record.foxtaildale_fields = {'error': 'x' * 10_000}
    text = logs._JsonFormatter('router', 'vm-1').format(record)
    assert len(text) <= logs.MAX_LINE_CHARS
    assert text.startswith('{"at"')
