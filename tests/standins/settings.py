"""What orders have set an engine to, with or without a check of the number."""

import threading
import time

from foxtaildale import backends


class Settings:
    """Value and fencing number by kind of order."""

    def __init__(
        self, model: str, role: str, fenced: bool, order_ms: float
    ) -> None:
        self._fenced = fenced
        self._order_ms = order_ms
        self._lock = threading.Lock()
        self._set = {
            'load': (model, 0),
            'adapter': ('', 0),
            'version': ('1', 0),
            'role': (role, 0),
        }

    def value(self, kind: str) -> str:
        """Returns what a kind is set to."""
        return self._set[kind][0]

    def take(
        self, order: backends.Order
    ) -> backends.OrderReply | backends.BackendError:
        """Does what an order says, unless it is refused as old."""
        time.sleep(self._order_ms / 1000)
        with self._lock:
            fence = self._set[order.kind][1]
            if self._fenced and order.fence < fence:
                return backends.BackendError(
                    'stale-order', f'the fence stands at {fence}'
                )
            self._set[order.kind] = (order.value, order.fence)
        return backends.OrderReply(
            kind=order.kind, value=order.value, fence=order.fence
        )

    def observed(self) -> backends.Observed:
        """Returns everything that is set."""
        with self._lock:
            found = dict(self._set)
        return backends.Observed(
            tuple(
                backends.OrderReply(kind=kind, value=value, fence=fence)
                for kind, (value, fence) in found.items()
            )
        )
