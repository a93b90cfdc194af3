"""Failures that entry VMs report to the home of a service."""

import pytest

from foxtaildale import forwarding
from foxtaildale import reports


def test_two_vms_take_a_server_from_all() -> None:
    """An engine dies; everybody's next request would fail there."""
    found = reports.Reports()
    found.note(0.0, 'd1', 'vm-1')
    found.note(0.1, 'd1', 'vm-2')
    assert found.failed(0.2) == {'d1'}


def test_one_vm_takes_nothing_from_the_others() -> None:
    """An entry VM is cut off from engines that all others reach.

    Passed over for all, they would stand idle while callers are refused.
    """
    found = reports.Reports()
    for number in range(20):
        found.note(number * 0.1, 'd1', 'vm-1')
    assert not found.failed(2.0)


def test_reports_end() -> None:
    """A server failed by chance; it must get work again."""
    found = reports.Reports()
    found.note(0.0, 'd1', 'vm-1')
    found.note(2.0, 'd1', 'vm-2')
    assert found.failed(2.5)
    assert not found.failed(reports.COUNTS_S + 0.1)
    assert not found.failed(reports.COUNTS_S + 2.1)


def test_one_vm_that_met_another_server_takes_it_from_all() -> None:
    """An engine crashed and is back under another name at the same address.

    The list names the one before for seconds more. It has the most room in the
    plan, so each VM in turn would have a prompt read for it and be turned away.
    """
    found = reports.Reports()
    found.note(0.0, 'd1', 'vm-1', replaced=True)
    assert found.failed(0.1) == {'d1'}
    assert not found.failed(reports.COUNTS_S + 0.1)


@pytest.mark.parametrize(
    ('status', 'server', 'replaced'),
    [
        (421, 'other', True),
        (421, 'd1', False),
        (421, '', False),
        (503, 'x', False),
    ],
)
def test_only_another_server_replaces_one(
    status: int, server: str, replaced: bool
) -> None:
    """An engine that has just changed its stage refuses what the other does.

    It is there and sound. Taken for one that is gone, it would get nothing for
    seconds of what it does now.
    """
    head = forwarding.Head(status=status, headers=(), server=server)
    assert head.replaces('d1') == replaced
