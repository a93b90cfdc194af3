"""Callers of the routers of a site, for some seconds."""

import itertools
import threading
import time

from tests import site as sites


class Load:
    """Callers of all routers; ids begin with the router's number."""

    def __init__(
        self,
        site: sites.Site,
        target: str,
        pause_s: float,
        *,
        callers: int = 1,
    ) -> None:
        """Begins.

        Args:
            site: Whose routers they call.
            target: What they ask for.
            pause_s: Time that each waits behind an answer, seconds.
            callers: Callers of each router.
        """
        self.site = site
        self.target = target
        self.pause_s = pause_s
        self.ids = itertools.count()
        self.statuses: list[int] = []
        self.over = threading.Event()
        self.threads = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(len(site.routers))
            for _ in range(callers)
        ]
        for thread in self.threads:
            thread.start()

    def end(self) -> None:
        """Returns when the last answer is there."""
        self.over.set()
        for thread in self.threads:
            thread.join()

    def _call(self, number: int) -> None:
        while not self.over.is_set():
            status, _, _ = sites.send(
                self.site,
                'POST',
                f'{self.target}/{number}',
                attempt=f'{number}-{next(self.ids)}',
                number=number,
            )
            self.statuses.append(status)
            time.sleep(self.pause_s)
