"""What a home has granted and not yet got back.

The ledger is soft state. A holder repeats what it holds once a beat, so a new
home's ledger fills within a beat or two, and a grant whose holder has gone
silent lapses. A wrong count makes a request wait or an engine say `full`; it
never runs a request twice, since no grant is proof of anything.
"""

from typing import Final

# A grant that its holder does not repeat for this long lapses, seconds.
LAPSE_S: Final = 3.0
# A repeat that lacks a grant older than this gives the grant up, seconds.
# Younger ones may have crossed the repeat on the way.
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

    # Name on the wire; made of request and attempt, so a repeated ask gets it
    # again even from another home.
    grant: str
    request: str
    attempt: int
    holder: str
    # Workers by name; `prefill` is empty where the prefill is done or the
    # grant was rebuilt.
    prefill: str
    decode: str
    prompt_tokens: int
    # Digests of the prompt's prefixes, to check cache hints by.
    prefixes: tuple[str, ...]
    # Times on the home's monotonic clock, seconds: when it was given, when
    # prefill starts, the transfer starts and decode starts, by the plan.
    given_at: float
    start_at: float
    transfer_at: float
    decode_at: float
    # When it lapses unless its holder repeats it.
    lapses_at: float
    # Whether its prefill is done and its decode worker was full.
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

    __slots__ = ('_grants', '_held')

    _grants: dict[str, Grant]
    # Decode worker to its grants.
    _held: dict[str, dict[str, Grant]]

    def __init__(self) -> None:
        self._grants = {}
        self._held = {}

    def __len__(self) -> int:
        return len(self._grants)

    def get(self, grant: str) -> Grant | None:
        """Returns a grant that is held."""
        return self._grants.get(grant)

    def held(self, decode: str) -> int:
        """Returns how many slots of a worker are granted."""
        return len(self._held.get(decode, ()))

    def occupied(self, decode: str, now: float) -> int:
        """Returns how many slots of a worker are in use by now.

        Grants whose prefill still runs, or that found the worker full, are
        held and not in use.
        """
        return sum(
            grant.transfer_at <= now and not grant.parked
            for grant in self._held.get(decode, {}).values()
        )

    def add(self, grant: Grant) -> None:
        """Takes a new grant, in place of one of the same name."""
        self.remove(grant.grant)
        self._grants[grant.grant] = grant
        self._held.setdefault(grant.decode, {})[grant.grant] = grant

    def move(self, now: float, grant: Grant, decode: str) -> None:
        """Moves a grant to another decode worker."""
        self.remove(grant.grant)
        grant.decode = decode
        grant.transfer_at = now
        self._grants[grant.grant] = grant
        self._held.setdefault(decode, {})[grant.grant] = grant

    def remove(self, grant: str) -> Grant | None:
        """Ends a grant; returns it, or None if it is not held."""
        found = self._grants.pop(grant, None)
        if found is None:
            return None
        del self._held[found.decode][grant]
        return found

    def keep(
        self, now: float, holder: str, grants: tuple[tuple[str, str], ...]
    ) -> tuple[str, ...]:
        """Takes a holder's repeat; returns the grants that it gave up."""
        named = dict(grants)
        for grant, decode in grants:
            self._renew(now, holder, grant, decode)
        gone = tuple(
            grant.grant
            for grant in self._grants.values()
            if grant.holder == holder
            and grant.grant not in named
            and grant.given_at <= now - CROSSING_S
        )
        for grant in gone:
            self.remove(grant)
        return gone

    def expire(self, now: float) -> tuple[str, ...]:
        """Ends the grants that lapsed; returns their names."""
        gone = tuple(
            grant.grant
            for grant in self._grants.values()
            if grant.lapses_at <= now
        )
        for grant in gone:
            self.remove(grant)
        return gone

    def grants(self) -> tuple[Grant, ...]:
        """Returns every grant that is held."""
        return tuple(self._grants.values())

    def _renew(self, now: float, holder: str, grant: str, decode: str) -> None:
        found = self._grants.get(grant)
        if found is None or found.decode != decode:
            request, _, attempt = grant.rpartition('/')
            found = Grant(
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
            # The holder's own word: names that are not ours keep their form.
            found.grant = grant
            self.add(found)
        found.lapses_at = max(found.lapses_at, now + LAPSE_S)
