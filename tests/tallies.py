"""Engines and requests as the coordinator of a service sees them."""

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages


def make(stage: forwarding.Stage, count: int) -> list[fleet.Tally]:
    """Returns engines of one stage, with ids such as `decode-0`."""
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


def ask(request: str, prompt: int) -> messages.AskPlace:
    """Returns a VM's placement request for a request of ordinary size."""
    return messages.AskPlace(
        service='s',
        request=request,
        holder='vm-1',
        prompt=prompt,
        hinted=500,
        longest=1000,
        waited_ms=0,
        target_ms=900,
        priority=1,
    )
