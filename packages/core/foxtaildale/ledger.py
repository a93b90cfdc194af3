"""The grants of a coordinator that are not yet released.

The ledger is soft state. A holder reports its grants with every heartbeat, so
the ledger of a new coordinator is complete after one or two heartbeats, and a
grant whose holder is silent expires. A wrong count makes a request wait or an
engine reply `full`. It never makes a request run twice, since a grant is not
proof that a request may run.
"""

from typing import Final

# A grant expires if its holder does not renew it for this long, seconds.
LAPSE_S: Final = 3.0
# A grant older than this that is missing from its holder's report is released,
# seconds. A younger grant may have been issued while the report was in transit.
CROSSING_S: Final = 1.0


class Grant:
    """One reservation: prefill time, link time and a decode slot."""

    __slots__ = (
        'attempt',
        'decode',
        'decode_at',
        'given_at',
        'grant',
        'holder',
        'lapses_at',
        'parked',
        'prefill',
        'prefixes',
        'prompt_tokens',
        'request',
        'start_at',
        'transfer_at',
    )

    # Name on the wire. It consists of request and attempt, so a repeated
    # request gets the same name, also from another coordinator.
    grant: str
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
    given_at: float
    start_at: float
    transfer_at: float
    decode_at: float
    # When the grant expires unless its holder renews it, seconds.
    lapses_at: float
    # Whether the prefill is done and no decode worker had a free slot.
    parked: bool

    def __init__(
        self,
        *,
        request: str,
        attempt: int,
        holder: str,
        prefill: str,
        decode: str,
        prompt_tokens: int,
        given_at: float,
        start_at: float,
        transfer_at: float,
        decode_at: float,
    ) -> None:
        self.grant = name(request, attempt)
        self.request = request
        self.attempt = attempt
        self.holder = holder
        self.prefill = prefill
        self.decode = decode
        self.prompt_tokens = prompt_tokens
        self.given_at = given_at
        self.start_at = start_at
        self.transfer_at = transfer_at
        self.decode_at = decode_at
        self.lapses_at = start_at + LAPSE_S
        self.parked = False
        self.prefixes = ()


def name(request: str, attempt: int) -> str:
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

    def held(self, decode: str) -> int:
        """Returns the number of granted slots of a worker."""
        return len(self._by_decode.get(decode, ()))

    def occupied(self, decode: str, now: float) -> int:
        """Returns the number of granted slots of a worker that are in use.

        A grant does not use its slot while its prefill runs, or after its
        prefill while it waits for a free slot.
        """
        return sum(
            grant.transfer_at <= now and not grant.parked
            for grant in self._by_decode.get(decode, {}).values()
        )

    def add(self, grant: Grant) -> None:
        """Adds a grant; replaces one of the same name."""
        self.remove(grant.grant)
        self._grants[grant.grant] = grant
        self._by_decode.setdefault(grant.decode, {})[grant.grant] = grant

    def move(self, now: float, grant: Grant, decode: str) -> None:
        """Moves a grant to another decode worker."""
        self.remove(grant.grant)
        grant.decode = decode
        grant.transfer_at = now
        self._grants[grant.grant] = grant
        self._by_decode.setdefault(decode, {})[grant.grant] = grant

    def remove(self, grant: str) -> Grant | None:
        """Removes a grant; returns it, or None if there is none."""
        removed = self._grants.pop(grant, None)
        if removed is None:
            return None
        del self._by_decode[removed.decode][grant]
        return removed

    def keep(
        self, now: float, holder: str, grants: tuple[tuple[str, str], ...]
    ) -> tuple[str, ...]:
        """Renews the grants that a holder reports; returns released ones."""
        reported = dict(grants)
        for grant, decode in grants:
            self._renew_grant(now, holder, grant, decode)
        released = tuple(
            grant.grant
            for grant in self._grants.values()
            if grant.holder == holder
            and grant.grant not in reported
            and grant.given_at <= now - CROSSING_S
        )
        for grant in released:
            self.remove(grant)
        return released

    def expire(self, now: float) -> tuple[str, ...]:
        """Removes the expired grants; returns their names."""
        expired = tuple(
            grant.grant
            for grant in self._grants.values()
            if grant.lapses_at <= now
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
                given_at=now,
                start_at=now,
                transfer_at=now,
                decode_at=now,
            )
            # A reported name of another form is kept as the holder wrote it.
            renewed.grant = grant
            self.add(renewed)
        renewed.lapses_at = max(renewed.lapses_at, now + LAPSE_S)
