"""A backend server that ends when it begins to run certain requests.

It is back at the same address after a while, under a new id or, with a new time of
its start, under the same one. Its entry in the list is written by this process.
"""

import threading
import time
from typing import Final

from tests.standins import keyedstore
from tests.standins import relay
from tests.standins import serving
from tests.standins import wireworker

_SERVERS: Final = 'keyed.servers'


class Crasher:
    """Starts of a server, one after the other."""

    def __init__(
        self,
        worker: wireworker.WireWorker,
        store: keyedstore.KeyedStore,
        bad: str,
        back_s: float,
        *,
        keeps_id: bool = False,
        runs_s: float = 0.0,
        listed_after_s: float = 0.0,
    ) -> None:
        """Lists the server.

        Args:
            worker: What runs the requests.
            store: Holds the list of servers.
            bad: Part of the target, or id of a part of the prompt, of a request
                that ends the server.
            back_s: Time until it is back, seconds.
            keeps_id: Whether it is back under the same id.
            runs_s: Time for which it runs such a request first, seconds.
            listed_after_s: Time from its start until its new entry is written,
                seconds.
        """
        self.worker = worker
        self.relay = relay.Relay(worker.address)
        worker.address = self.relay.address
        worker.on_run = self._run
        self._store = store
        self._bad = bad
        self._back_s = back_s
        self._keeps_id = keeps_id
        self._runs_s = runs_s
        self._listed_after_s = listed_after_s
        self._name = worker.name
        self._lock = threading.Lock()
        self._down = False
        self.crashes = 0
        # Those that a bad request brought about.
        self.bad_ends = 0
        if keeps_id:
            worker.born = _unix_ms()
        store.put(_SERVERS, worker.name, worker.entry())

    @property
    def is_down(self) -> bool:
        """Whether it has ended and is not back yet."""
        with self._lock:
            return self._down

    def crash(self, *, bad: bool = False) -> None:
        """Ends the server; it is back after a while."""
        with self._lock:
            if self._down:
                return
            self._down = True
            self.crashes += 1
            self.bad_ends += bad
        self.relay.stop()
        timer = threading.Timer(self._back_s, self._start)
        timer.daemon = True
        timer.start()

    def arrivals(self, part: str) -> int:
        """Returns how many requests on a target came, prefills as well.

        Args:
            part: Part of the target, or id of a part of the prompt.
        """
        return sum(has_part(req, part) for req in list(self.worker.ran))

    def close(self) -> None:
        """Ends it for good; the worker is closed by its owner."""
        self.relay.close()

    def _run(self, req: serving.Request) -> None:
        if has_part(req, self._bad):
            time.sleep(self._runs_s)
            self.crash(bad=True)
            raise serving.Cut

    def _start(self) -> None:
        old = self.worker.name
        if self._keeps_id:
            self.worker.born = _unix_ms()
        else:
            self.worker.name = f'{self._name}-{self.crashes}'
        self.relay.start()
        with self._lock:
            self._down = False
        time.sleep(self._listed_after_s)
        if not self._keeps_id:
            self._store.put(_SERVERS, old, None)
        self._store.put(_SERVERS, self.worker.name, self.worker.entry())


def _unix_ms() -> int:
    return int(time.time() * 1000)


def has_part(req: serving.Request, part: str) -> bool:
    """Whether a request has a part in its target or its prompt."""
    prompt = req.headers.get('foxtaildale-prompt-prefix', '')
    return part in req.target or part in prompt
