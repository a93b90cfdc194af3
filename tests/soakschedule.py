"""The faults of the soak, drawn by its seed."""

import dataclasses
import random
from typing import Final

# How long faults come, and how long each lasts at most, seconds.
FAULTS_S: Final = 5.0
FAULT_S: Final = 1.5


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a schedule."""

    at: float
    lasts: float
    name: str
    pick: int


# Faults of workers that end; drawn apart, so that a seed's others stay as they are.
_ENDS: Final = ('worker-ends', 'bad')
_LIMITS: Final = ('worker-limits',)
# The store comes back from a copy.
_COPIES: Final = ('copy',)
# Faults of workers that say of themselves that they leave, or want rest.
_SAYS: Final = ('worker-says', 'worker-rests')
# Faults in the framing of responses, and of the connections that they come by.
_RESPONSES: Final = ('worker-stutters', 'worker-unframed', 'worker-resets')
# Servers without framing that end and are back at their address at once.
_RETURNS: Final = ('worker-returns',)
_FAULTS: Final = (
    'kill',
    'pause',
    'term',
    'hup',
    'store-cut',
    'store-silent',
    'store-delay',
    'store-down',
    'store-mute',
    'store-forgets',
    'peer-cut',
    'peer-silent',
    'worker-cut',
    'worker-silent',
    'worker-delay',
    'worker-refuses',
    'worker-errors',
    'worker-loses',
    'worker-breaks',
    'worker-leaves',
    'config',
)


def schedule(seed: int, *, ends: bool = False) -> list[Fault]:
    """Returns the faults of a seed, in order of time.

    Args:
        seed: Fixes them.
        ends: Whether workers end and name limits, too.
    """
    rng = random.Random(seed)
    found = _draw(rng, _FAULTS, rng.randint(5, 12))
    if ends:
        found += _draw(random.Random(f'{seed}/ends'), _ENDS, 3)
        found += _draw(random.Random(f'{seed}/limits'), _LIMITS, 2)
        found += _draw(random.Random(f'{seed}/says'), _SAYS, 4)
        found += _draw(random.Random(f'{seed}/copies'), _COPIES, 2)
        responses = random.Random(f'{seed}/responses')
        found += _draw(responses, _RESPONSES, 4)
        found += _draw(random.Random(f'{seed}/returns'), _RETURNS, 2)
    return sorted(found, key=lambda fault: fault.at)


def _draw(
    rng: random.Random, names: tuple[str, ...], count: int
) -> list[Fault]:
    return [
        Fault(
            at=rng.uniform(0.3, FAULTS_S),
            lasts=rng.uniform(0.2, FAULT_S),
            name=rng.choice(names),
            pick=rng.randrange(1000),
        )
        for _ in range(count)
    ]
