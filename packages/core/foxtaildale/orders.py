"""Decides which orders are sent to backend servers.

The wanted settings of a backend server follow from the platform's log; the
offset of the record that defines a setting is its fencing number. The keeper
that coordinates a backend server polls its actual settings and orders those
that differ. A reply to an order does not prove that the setting lasts: some
backend servers also accept orders with an older fencing number, so a former
coordinator that resumes after a pause, or an order that was delayed on the
network, may undo it. Only the next poll shows that.

A coordinator that observes a fencing number beyond the log that it has applied
is itself outdated. It orders nothing of that kind until it has caught up.
"""

from typing import Final

import msgspec

from foxtaildale import backends

# Time between polls of a backend server that is set as wanted, seconds.
POLL_S: Final = 2.0
# Time before an order is repeated, seconds. It doubles from the first to the
# last value, since loading a model may be slow and the weight store limits the
# rate.
MIN_REPEAT_S: Final = 0.5
MAX_REPEAT_S: Final = 16.0


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of one setting of one backend server, for the state dump."""

    server: str
    kind: str
    wanted: str
    fence: int
    # Empty and -1 until the first successful poll.
    observed: str
    observed_fence: int
    # Number of orders sent since it was last observed as wanted.
    given: int
    # Whether this process must first catch up with the log.
    behind: bool


class _Setting:
    """Wanted and observed value of one kind of setting."""

    __slots__ = (
        'behind',
        'fence',
        'next_order_at',
        'observed',
        'orders_sent',
        'repeat_s',
        'value',
    )

    def __init__(self, value: str, fence: int) -> None:
        self.value = value
        self.fence = fence
        self.observed: backends.OrderReply | None = None
        self.orders_sent = 0
        # No order is sent before this time, seconds.
        self.next_order_at = 0.0
        self.repeat_s = MIN_REPEAT_S
        self.behind = False

    def on_applied(self) -> None:
        """Records that the backend server is set as wanted."""
        self.orders_sent = 0
        self.next_order_at = 0.0
        self.repeat_s = MIN_REPEAT_S


class _Server:
    """The settings of one backend server."""

    __slots__ = ('next_poll_at', 'settings')

    def __init__(self) -> None:
        # Time of the next poll, seconds.
        self.next_poll_at = 0.0
        self.settings: dict[str, _Setting] = {}


class Orders:
    """Wanted and observed settings of the servers that this keeper coordinates.

    The calling code polls each server in `due_servers`, passes the observed
    settings to `on_observed` and sends the orders that it returns.
    """

    __slots__ = ('_poll_s', '_servers')

    def __init__(self, poll_s: float = POLL_S) -> None:
        self._poll_s = poll_s
        self._servers: dict[str, _Server] = {}

    def set_wanted(
        self, server: str, kind: backends.OrderKind, value: str, fence: int
    ) -> None:
        """Sets a wanted setting; ignores one with an older fencing number."""
        server_state = self._servers.setdefault(server, _Server())
        setting = server_state.settings.get(kind)
        if setting is None or fence > setting.fence:
            server_state.settings[kind] = _Setting(value, fence)
            server_state.next_poll_at = 0.0

    def remove(self, server: str) -> None:
        """Removes a backend server that this keeper no longer coordinates."""
        self._servers.pop(server, None)

    def servers(self) -> frozenset[str]:
        """Returns the backend servers with wanted settings."""
        return frozenset(self._servers)

    def due_servers(self, now: float) -> tuple[str, ...]:
        """Returns the backend servers to poll now."""
        return tuple(
            name
            for name, server_state in self._servers.items()
            if server_state.next_poll_at <= now
        )

    def on_poll_failed(self, server: str, now: float) -> None:
        """Records that a poll failed; the next one is not immediate."""
        server_state = self._servers.get(server)
        if server_state is not None:
            server_state.next_poll_at = now + self._poll_s

    def on_observed(
        self,
        server: str,
        observed: backends.Observed,
        applied_offset: int,
        now: float,
    ) -> tuple[backends.Order, ...]:
        """Applies the result of a poll and returns the orders to send.

        Args:
            server: Name of the backend server.
            observed: Its actual settings.
            applied_offset: Offset up to which this process has applied the log.
            now: Seconds.
        """
        server_state = self._servers.get(server)
        if server_state is None:
            return ()
        replies = {reply.kind: reply for reply in observed.orders}
        due_orders = []
        server_state.next_poll_at = now + self._poll_s
        for kind, setting in server_state.settings.items():
            setting.observed = replies.get(kind)
            if not self._differs(setting, applied_offset):
                continue
            if setting.next_order_at <= now:
                due_orders.append(_order(kind, setting))
                setting.orders_sent += 1
                setting.next_order_at = now + setting.repeat_s
                setting.repeat_s = min(2 * setting.repeat_s, MAX_REPEAT_S)
            server_state.next_poll_at = min(
                server_state.next_poll_at, setting.next_order_at
            )
        return tuple(due_orders)

    def status(self) -> tuple[Status, ...]:
        """Returns the state of every setting."""
        return tuple(
            _status(name, kind, setting)
            for name, server_state in sorted(self._servers.items())
            for kind, setting in sorted(server_state.settings.items())
        )

    def _differs(self, setting: _Setting, folded: int) -> bool:
        seen = setting.observed
        # Another coordinator applied a record that this process has not read.
        # A further order of this process would undo the newer one on a server
        # that does not check fencing numbers. The newer coordinator would then
        # repeat its order, without end.
        setting.behind = seen is not None and seen.fence >= max(
            folded, setting.fence + 1
        )
        if setting.behind:
            return False
        # The fencing number must be raised even if the value is right already:
        # until then the server accepts an older order.
        if (
            seen is not None
            and seen.value == setting.value
            and seen.fence == setting.fence
        ):
            setting.on_applied()
            return False
        return True


def _order(kind: str, setting: _Setting) -> backends.Order:
    return backends.Order(
        kind=msgspec.convert(kind, backends.OrderKind),
        value=setting.value,
        fence=setting.fence,
    )


def _status(server: str, kind: str, setting: _Setting) -> Status:
    seen = setting.observed
    return Status(
        server=server,
        kind=kind,
        wanted=setting.value,
        fence=setting.fence,
        observed=seen.value if seen else '',
        observed_fence=seen.fence if seen else -1,
        given=setting.orders_sent,
        behind=setting.behind,
    )
