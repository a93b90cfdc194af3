"""Failed backend servers, as reported to the coordinator of a service.

The reports are made for a site of 78 entry VMs that loses a quarter of its
engines. Each VM detects a crashed engine only by a request of its own that
fails there. Meanwhile the plan, in which the crashed engine has the most room,
sends the next request of every VM to it. Holders therefore report failures to
the coordinator.

One entry VM may be cut off from engines that all others can reach. A report of
one VM alone therefore excludes no server for the others; the VM's own requests
name the servers that it can't use. A network fault does not explain that
another server responds at an engine's address, so one such report is enough.
"""

from typing import Final

# Number of entry VMs that must report a server before it is excluded for all.
MIN_WITNESSES: Final = 2
# How long a report counts, seconds. A restarted engine has another id, so a
# longer time would only exclude engines whose failure was temporary.
REPORT_TTL_S: Final = 3.0
# Key that stands for the second witness; it is not the name of an entry VM.
_REPLACED: Final = ''


class FailureReports:
    """Reports on one service's backend servers; the time is an argument."""

    __slots__ = ('_reported_at',)

    def __init__(self) -> None:
        # When each entry VM last reported it, by server.
        self._reported_at: dict[str, dict[str, float]] = {}

    def record(
        self, now: float, server: str, holder: str, *, replaced: bool = False
    ) -> None:
        """Records the report of an entry VM.

        Args:
            now: Seconds.
            server: The server's id.
            holder: The entry VM.
            replaced: Whether another server responded at its address.
        """
        reports = self._reported_at.setdefault(server, {})
        reports[holder] = now
        if replaced:
            # Stands for the second witness.
            reports[_REPLACED] = now

    def forget(self, server: str) -> None:
        """Discards what is known of a server that has restarted."""
        self._reported_at.pop(server, None)

    def failed_servers(self, now: float) -> frozenset[str]:
        """Returns the servers that get no work now."""
        failed = set()
        for server, reports in list(self._reported_at.items()):
            for holder, reported_at in list(reports.items()):
                if now - reported_at > REPORT_TTL_S:
                    del reports[holder]
            if not reports:
                del self._reported_at[server]
            elif len(reports) >= MIN_WITNESSES:
                failed.add(server)
        return frozenset(failed)
