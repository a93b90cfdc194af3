"""Engines as the home of a service sees them, for tests of its decisions."""

from foxtaildale import fleet
from foxtaildale import forwarding


def make(stage: forwarding.Stage, count: int) -> list[fleet.Tally]:
    """Returns engines of one stage, called by it and a number."""
    return [
        fleet.Tally(
            forwarding.Backend(
                id=f'{stage}-{number}',
                service='s',
                address='127.0.0.1:1',
                stage=stage,
            )
        )
        for number in range(count)
    ]
