"""What was sent, answered and run in one run of a case."""

import pathlib
import threading
import time


class Record:
    """Collects lines with their times and writes them to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._lock = threading.Lock()
        self._lines: list[str] = []
        self._begun_at = time.monotonic()

    def now(self) -> float:
        """Returns the time since the begin of the run, seconds."""
        return time.monotonic() - self._begun_at

    def note(self, event: str, **fields: object) -> None:
        """Adds a line."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        with self._lock:
            self._lines.append(f'{self.now():8.3f} {event} {text}'.rstrip())

    def attempts_run_by(self, worker_ids: set[str]) -> set[str]:
        """Returns the attempts that some workers began to run."""
        found = set()
        with self._lock:
            for line in self._lines:
                words = line.split()
                if words[1] != 'run':
                    continue
                fields = dict(word.split('=', 1) for word in words[2:])
                if fields['worker'] in worker_ids:
                    found.add(fields['attempt'])
        return found

    def write(self) -> None:
        """Writes the file."""
        with self._lock:
            text = '\n'.join(self._lines)
        self._path.write_text(text + '\n', encoding='utf-8')
