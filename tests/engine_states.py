"""Engines and requests as the coordinator of a service sees them."""

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages


def make_engines(
    stage: forwarding.Stage, count: int
) -> list[fleet.ServerState]:
    """Returns engines of one stage, with ids such as `decode-0`."""
    return [
        fleet.ServerState(
            forwarding.Backend(
                id=f'{stage}-{number}',
                service='s',
                address='127.0.0.1:1',
                stage=stage,
            )
        )
        for number in range(count)
    ]


def placement_request(
    request: str, prompt_tokens: int
) -> messages.PlacementRequest:
    """Returns a VM's placement request for a request of ordinary size."""
    return messages.PlacementRequest(
        service='s',
        request=request,
        holder='vm-1',
        prompt_tokens=prompt_tokens,
        hinted_tokens=500,
        max_output_tokens=1000,
        waited_ms=0,
        target_ms=900,
        priority=1,
    )
