"""The grants of a coordinator that are not yet released.

The ledger is soft state. A holder reports its grants with every heartbeat, so
the ledger of a new coordinator is complete after one or two heartbeats, and a
grant whose holder is silent expires. A wrong count makes a request wait or an
engine reply `full`. It never makes a request run twice, since a grant is not
proof that a request may run.
"""

from typing import Final

# A grant expires if its holder does not renew it for this long, seconds.
GRANT_TTL_S: Final = 3.0
# A grant older than this that is missing from its holder's report is released,
# seconds. A younger grant may have been issued while the report was in transit.
IN_TRANSIT_S: Final = 1.0


class Grant:
    """One reservation: prefill time, link time and a decode slot."""

    __slots__ = (
        'attempt',
        'awaiting_slot',
        'decode',
        'decode_at',
        'expires_at',
        'granted_at',
        'holder',
        'name',
        'prefill',
        'prefixes',
        'prompt_tokens',
        'request',
        'start_at',
        'transfer_at',
    )

    # Name on the wire. It consists of request and attempt, so a repeated
    # request gets the same name, also from another coordinator.
    name: str
    request: str
    attempt: int
    holder: str
    # Names of the workers. `prefill` runs the prefill or has its result; it is
    # empty for a plain service and for a grant rebuilt from a report.
    prefill: str
    decode: str
    prompt_tokens: int
    # Digests of the prompt's prefixes, used to check the cache hints.
    prefixes: tuple[str, ...]
    # Times on the coordinator's monotonic clock, seconds: of the grant, and of
    # the planned starts of prefill, transfer and decode.
    granted_at: float
    start_at: float
    transfer_at: float
    decode_at: float
    # When the grant expires unless its holder renews it, seconds.
    expires_at: float
    # Whether the prefill is done and no decode worker had a free slot.
    awaiting_slot: bool

    def __init__(
        self,
        *,
        request: str,
        attempt: int,
        holder: str,
        prefill: str,
        decode: str,
        prompt_tokens: int,
        granted_at: float,
        start_at: float,
        transfer_at: float,
        decode_at: float,
    ) -> None:
        self.name = grant_name(request, attempt)
        self.request = request
        self.attempt = attempt
        self.holder = holder
        self.prefill = prefill
        self.decode = decode
        self.prompt_tokens = prompt_tokens
        self.granted_at = granted_at
        self.start_at = start_at
        self.transfer_at = transfer_at
        self.decode_at = decode_at
        self.expires_at = start_at + GRANT_TTL_S
        self.awaiting_slot = False
        self.prefixes = ()


def grant_name(request: str, attempt: int) -> str:
    """Returns the wire name of an attempt's grant."""
    return f'{request}/{attempt}'


class Ledger:
    """Grants by name, by decode worker and by holder."""

    __slots__ = ('_by_decode', '_grants')

    _grants: dict[str, Grant]
    # Grants by decode worker and grant name.
    _by_decode: dict[str, dict[str, Grant]]

    def __init__(self) -> None:
        self._grants = {}
        self._by_decode = {}

    def __len__(self) -> int:
        return len(self._grants)

    def get(self, grant: str) -> Grant | None:
        """Returns a grant, or None if there is none of this name."""
        return self._grants.get(grant)

    def granted_slots(self, decode: str) -> int:
        """Returns the number of granted slots of a worker."""
        return len(self._by_decode.get(decode, ()))

    def slots_in_use(self, decode: str, now: float) -> int:
        """Returns the number of granted slots of a worker that are in use.

        A grant does not use its slot while its prefill runs, or after its
        prefill while it waits for a free slot.
        """
        return sum(
            grant.transfer_at <= now and not grant.awaiting_slot
            for grant in self._by_decode.get(decode, {}).values()
        )

    def add(self, grant: Grant) -> None:
        """Adds a grant; replaces one of the same name."""
        self.remove(grant.name)
        self._grants[grant.name] = grant
        self._by_decode.setdefault(grant.decode, {})[grant.name] = grant

    def move(self, now: float, grant: Grant, decode: str) -> None:
        """Moves a grant to another decode worker."""
        self.remove(grant.name)
        grant.decode = decode
        grant.transfer_at = now
        self._grants[grant.name] = grant
        self._by_decode.setdefault(decode, {})[grant.name] = grant

    def remove(self, grant: str) -> Grant | None:
        """Removes a grant; returns it, or None if there is none."""
        removed = self._grants.pop(grant, None)
        if removed is None:
            return None
        del self._by_decode[removed.decode][grant]
        return removed

    def renew(
        self, now: float, holder: str, grants: tuple[tuple[str, str], ...]
    ) -> tuple[str, ...]:
        """Renews the grants that a holder reports; returns released ones."""
        reported = dict(grants)
        for grant, decode in grants:
            self._renew_grant(now, holder, grant, decode)
        released = tuple(
            grant.name
            for grant in self._grants.values()
            if grant.holder == holder
            and grant.name not in reported
            and grant.granted_at <= now - IN_TRANSIT_S
        )
        for grant in released:
            self.remove(grant)
        return released

    def expire(self, now: float) -> tuple[str, ...]:
        """Removes the expired grants; returns their names."""
        expired = tuple(
            grant.name
            for grant in self._grants.values()
            if grant.expires_at <= now
        )
        for grant in expired:
            self.remove(grant)
        return expired

    def grants(self) -> tuple[Grant, ...]:
        """Returns all grants."""
        return tuple(self._grants.values())

    def _renew_grant(
        self, now: float, holder: str, grant: str, decode: str
    ) -> None:
        renewed = self._grants.get(grant)
        if renewed is None or renewed.decode != decode:
            request, _, attempt = grant.rpartition('/')
            renewed = Grant(
                request=request,
                attempt=int(attempt) if attempt.isdecimal() else 0,
                holder=holder,
                prefill='',
                decode=decode,
                prompt_tokens=0,
                granted_at=now,
                start_at=now,
                transfer_at=now,
                decode_at=now,
            )
            # A reported name of another form is kept as the holder wrote it.
            renewed.name = grant
            self.add(renewed)
        renewed.expires_at = max(renewed.expires_at, now + GRANT_TTL_S)
