"""Regression bounds of the short form, kept in `bounds.json`.

Counts and ratios under the paused clock only, so a bound that is passed is a
change of the code and never of the machine.
"""

import pathlib
from typing import Final

import msgspec

from bench import report
from bench import scenario
from bench import workload

FILE: Final = pathlib.Path(__file__).with_name('bounds.json')


class Bound(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one run of the pool must keep to."""

    deployment: str
    scenario: str
    # Answers within both targets, at least.
    good: int
    # Share of prefilled tokens that nobody used, at most.
    wasted: float
    # Messages between VMs a request, at most.
    messages: float
    # Largest difference of two entry VMs' good shares, at most.
    unfair: float
    # Second and further attempts, at most.
    retries: int


def read() -> list[Bound]:
    """Returns the committed bounds."""
    return msgspec.json.decode(FILE.read_bytes(), type=list[Bound])


def passed(bound: Bound) -> list[str]:
    """Returns a sentence for each part of a bound that is passed."""
    dep = next(d for d in workload.ALL if d.name == bound.deployment)
    scn = next(s for s in scenario.SCENARIOS if s.name == bound.scenario)
    found = report.measure(dep, scn, 'pool', short=True)
    good = found.results.get('good', 0)
    checks = [
        (good >= bound.good, f'good {good}, at least {bound.good}'),
        *(
            (
                getattr(found, name) <= getattr(bound, name),
                f'{name} {getattr(found, name)},'
                f' at most {getattr(bound, name)}',
            )
            for name in ('wasted', 'messages', 'unfair', 'retries')
        ),
    ]
    return [sentence for holds, sentence in checks if not holds]


def propose() -> str:
    """Returns bounds with some room around today's figures, as JSON."""
    found = []
    for dep in workload.ALL:
        for scn in scenario.SCENARIOS:
            fig = report.measure(dep, scn, 'pool', short=True)
            found.append(
                Bound(
                    deployment=dep.name,
                    scenario=scn.name,
                    good=int(fig.results.get('good', 0) * 0.98),
                    wasted=round(fig.wasted + 0.004, 4),
                    messages=round(fig.messages * 1.1, 1),
                    unfair=round(fig.unfair + 0.05, 3),
                    retries=fig.retries + 3,
                )
            )
    lines = ',\n'.join(msgspec.json.encode(b).decode() for b in found)
    return f'[\n{lines}\n]\n'
