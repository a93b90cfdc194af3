"""Failed backend servers, as the home of a service hears of them.

Load answered: a site of 78 entry VMs that loses a quarter of its engines. Each
VM finds out for itself that an engine is dead, by a request of its own that
fails there; meanwhile the plan, in which the dead engine has the most room,
sends it everybody's next request. So holders report failures to the home.

One entry VM may be cut off from engines that all others reach. A report of one
VM alone therefore takes nothing from the others; its own requests name the
servers that it can't use. That another server answers at an engine's address is
no matter of the way there: one such report is enough.
"""

from typing import Final

# Entry VMs that must report a server before it is passed over for all.
WITNESSES: Final = 2
# How long a report counts, seconds. An engine that crashed has another id when
# it is back, so a longer time would cost only those that failed by chance.
COUNTS_S: Final = 3.0
# Witness that is no entry VM.
_ADDRESS: Final = ''


class Reports:
    """Reports on the backend servers of one service; the time is an argument."""

    __slots__ = ('_reported',)

    def __init__(self) -> None:
        # When each entry VM last reported it, by server.
        self._reported: dict[str, dict[str, float]] = {}

    def note(
        self, now: float, server: str, holder: str, *, replaced: bool = False
    ) -> None:
        """Takes the report of an entry VM.

        Args:
            now: Seconds.
            server: The server's id.
            holder: The entry VM.
            replaced: Whether another server answered at its address.
        """
        reports = self._reported.setdefault(server, {})
        reports[holder] = now
        if replaced:
            # Stands for the second witness.
            reports[_ADDRESS] = now

    def forget(self, server: str) -> None:
        """Forgets a server that started again."""
        self._reported.pop(server, None)

    def failed(self, now: float) -> frozenset[str]:
        """Returns the servers that get no work now."""
        found = set()
        for server, reports in list(self._reported.items()):
            for holder, at in list(reports.items()):
                if now - at > COUNTS_S:
                    del reports[holder]
            if not reports:
                del self._reported[server]
            elif len(reports) >= WITNESSES:
                found.add(server)
        return frozenset(found)
