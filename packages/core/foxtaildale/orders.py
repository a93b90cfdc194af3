"""Decides which orders go to backend servers.

What a backend server shall be set to follows from the platform's log; the
offset of the record that says so is the fencing number. The home keeper of a
backend server looks at what it is in fact set to, again and again, and orders
what differs. It never counts an order as done because it was answered: some
backend servers take an old order as readily as a new one, so what was set may
be undone by a former holder that was paused and goes on, or by an order that
was long on its way. Only the next look shows that.

A holder that sees a fencing number which it has not folded yet is itself the
former one. It orders nothing more of that kind until it has caught up.
"""

from typing import Final

import msgspec

from foxtaildale import backends

# Time between looks at a backend server that is set as wanted, seconds.
LOOK_S: Final = 2.0
# Time before an order is given again, seconds; doubles from the first to the
# last, since a load may take its time and the weight store limits its rate.
FIRST_REPEAT_S: Final = 0.5
LAST_REPEAT_S: Final = 16.0


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """How one setting of one backend server stands, for the state dump."""

    server: str
    kind: str
    wanted: str
    fence: int
    # Empty and -1 until the first look.
    observed: str
    observed_fence: int
    # Orders given since it was last set as wanted.
    given: int
    # Whether this process waits to catch up with the log.
    behind: bool


class _Setting:
    """What one kind of setting shall be, and what came of it."""

    __slots__ = (
        'behind',
        'fence',
        'given',
        'next_at',
        'observed',
        'repeat_s',
        'value',
    )

    def __init__(self, value: str, fence: int) -> None:
        self.value = value
        self.fence = fence
        self.observed: backends.OrderReply | None = None
        self.given = 0
        # No order is given before; seconds.
        self.next_at = 0.0
        self.repeat_s = FIRST_REPEAT_S
        self.behind = False

    def settle(self) -> None:
        """Notes that the backend server is set as wanted."""
        self.given = 0
        self.next_at = 0.0
        self.repeat_s = FIRST_REPEAT_S


class _Server:
    """The settings of one backend server."""

    __slots__ = ('look_at', 'settings')

    def __init__(self) -> None:
        # When to look next, seconds.
        self.look_at = 0.0
        self.settings: dict[str, _Setting] = {}


class Orders:
    """Wanted and observed settings of the servers that this keeper is home of.

    The caller looks at each server that is `due`, passes on what it saw and
    sends the orders that it gets back.
    """

    __slots__ = ('_look_s', '_servers')

    def __init__(self, look_s: float = LOOK_S) -> None:
        self._look_s = look_s
        self._servers: dict[str, _Server] = {}

    def want(
        self, server: str, kind: backends.OrderKind, value: str, fence: int
    ) -> None:
        """Wants a setting; one with an older fencing number is ignored."""
        found = self._servers.setdefault(server, _Server())
        setting = found.settings.get(kind)
        if setting is None or fence > setting.fence:
            found.settings[kind] = _Setting(value, fence)
            found.look_at = 0.0

    def forget(self, server: str) -> None:
        """Leaves a backend server to its new home, or to nobody."""
        self._servers.pop(server, None)

    def servers(self) -> frozenset[str]:
        """Returns the backend servers that something is wanted of."""
        return frozenset(self._servers)

    def due(self, now: float) -> tuple[str, ...]:
        """Returns the backend servers to look at now."""
        return tuple(
            name
            for name, found in self._servers.items()
            if found.look_at <= now
        )

    def unseen(self, server: str, now: float) -> None:
        """Notes that a look failed; the next one is not at once."""
        found = self._servers.get(server)
        if found is not None:
            found.look_at = now + self._look_s

    def seen(
        self, server: str, observed: backends.Observed, folded: int, now: float
    ) -> tuple[backends.Order, ...]:
        """Takes what a look showed and returns the orders to give.

        Args:
            server: Name of the backend server.
            observed: What it is set to.
            folded: Offset up to which this process has folded the log.
            now: Seconds.
        """
        found = self._servers.get(server)
        if found is None:
            return ()
        replies = {reply.kind: reply for reply in observed.orders}
        given = []
        found.look_at = now + self._look_s
        for kind, setting in found.settings.items():
            setting.observed = replies.get(kind)
            if not self._differs(setting, folded):
                continue
            if setting.next_at <= now:
                given.append(_order(kind, setting))
                setting.given += 1
                setting.next_at = now + setting.repeat_s
                setting.repeat_s = min(2 * setting.repeat_s, LAST_REPEAT_S)
            found.look_at = min(found.look_at, setting.next_at)
        return tuple(given)

    def status(self) -> tuple[Status, ...]:
        """Returns how every setting stands."""
        return tuple(
            _status(name, kind, setting)
            for name, found in sorted(self._servers.items())
            for kind, setting in sorted(found.settings.items())
        )

    def _differs(self, setting: _Setting, folded: int) -> bool:
        seen = setting.observed
        # Somebody ordered by a record that this process has not read. Were it
        # to order on, it would undo the newer order on a server that checks
        # no fencing number, and the newer holder would order again, for ever.
        setting.behind = seen is not None and seen.fence >= max(
            folded, setting.fence + 1
        )
        if setting.behind:
            return False
        # The number must be raised also where the value is right already:
        # until then the server would take an older order.
        if (
            seen is not None
            and seen.value == setting.value
            and seen.fence == setting.fence
        ):
            setting.settle()
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
        given=setting.given,
        behind=setting.behind,
    )
