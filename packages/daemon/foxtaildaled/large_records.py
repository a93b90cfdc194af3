"""Decides which large records entry VMs send to each other.

A reader that sends a large configuration to every other VM needs many seconds
on a slow link, and each VM gives up waiting for its copy and requests it again.
Therefore a reply leaves out values that the link of either side does not carry
in time, and names the position that they lead to. The requesting VM then reads
them from the store, or from another VM while the store does not reply.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

from foxtaildale import mirror
from foxtaildale import transfer_budget

# Values up to this size are always sent, bytes. All entries of servers and
# entry VMs are smaller.
SMALL_VALUE_BYTES: Final = 4096
# Part of the timeout of a request that the values of its reply may take on the
# link of the requesting VM, which carries callers' requests as well.
TIMEOUT_FRACTION: Final = 0.3


class LargeRecords:
    """Large records of a router; part of its state and owned by its actor."""

    __slots__ = (
        '_announced',
        '_budget',
        '_link_bytes_per_s',
        'on_announced',
    )

    def __init__(self, link_bytes_per_s: float) -> None:
        self._link_bytes_per_s = link_bytes_per_s
        self._budget = transfer_budget.TransferBudget(link_bytes_per_s)
        # By topic, the highest position that a reply left out, and the address
        # of the VM that sent this reply.
        self._announced: dict[str, tuple[int, str]] = {}
        # Called when a reply leaves out records of a topic.
        self.on_announced: Callable[[str], None] = lambda _: None

    def max_value_bytes(self, timeout_s: float) -> int:
        """Returns the largest value that a reply may bring within a timeout."""
        in_time = self._link_bytes_per_s * timeout_s * TIMEOUT_FRACTION
        return max(SMALL_VALUE_BYTES, int(in_time))

    def select(
        self,
        entries: Iterable[mirror.Entry],
        max_value_bytes: int | None,
        now: float,
    ) -> tuple[list[mirror.Entry], list[mirror.Entry]]:
        """Returns the entries to send and those to leave out.

        Args:
            entries: Entries that the requesting VM lacks.
            max_value_bytes: Largest value that it accepts; None for no limit.
            now: Seconds.
        """
        sent: list[mirror.Entry] = []
        left_out: list[mirror.Entry] = []
        for entry in entries:
            size = len(entry.value)
            may_send = size <= SMALL_VALUE_BYTES or (
                (max_value_bytes is None or size <= max_value_bytes)
                and self._budget.try_spend(now, size)
            )
            (sent if may_send else left_out).append(entry)
        return sent, left_out

    def announce(self, topic: str, end: int, sender: str) -> None:
        """Records that a reply left out records up to a position."""
        if end > self._announced.get(topic, (0, ''))[0]:
            self._announced[topic] = (end, sender)
            self.on_announced(topic)

    def announced_end(self, topic: str) -> int:
        """Returns the highest position that a reply left out; 0 if none did."""
        return self._announced.get(topic, (0, ''))[0]

    def announced_by(self, topic: str) -> str:
        """Returns the address of the VM whose reply left it out, or ''."""
        return self._announced.get(topic, (0, ''))[1]
