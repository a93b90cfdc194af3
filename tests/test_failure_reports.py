"""Failures that entry VMs report to the coordinator of a service."""

import pytest

from foxtaildale import failure_reports
from foxtaildale import forwarding


def test_reports_of_two_vms_exclude_a_server_for_all() -> None:
    """An engine crashes; the next request of each VM would fail there."""
    reports = failure_reports.FailureReports()
    reports.record(0.0, 'd1', 'vm-1')
    reports.record(0.1, 'd1', 'vm-2')
    assert reports.failed_servers(0.2) == {'d1'}


def test_reports_of_one_vm_exclude_no_server() -> None:
    """An entry VM can't reach engines that all other VMs reach.

    Excluded for all VMs, the engines would idle while callers are refused.
    """
    reports = failure_reports.FailureReports()
    for number in range(20):
        reports.record(number * 0.1, 'd1', 'vm-1')
    assert not reports.failed_servers(2.0)


def test_reports_expire() -> None:
    """A server failed by chance and must get requests again."""
    reports = failure_reports.FailureReports()
    reports.record(0.0, 'd1', 'vm-1')
    reports.record(2.0, 'd1', 'vm-2')
    assert reports.failed_servers(2.5)
    assert not reports.failed_servers(failure_reports.REPORT_TTL_S + 0.1)
    assert not reports.failed_servers(failure_reports.REPORT_TTL_S + 2.1)


def test_one_report_of_a_replaced_server_excludes_it_for_all() -> None:
    """An engine crashed and restarted under another name at its old address.

    The list has the old name for some seconds more, with the most room in the
    plan, so each VM in turn would waste a prefill on it and be refused.
    """
    reports = failure_reports.FailureReports()
    reports.record(0.0, 'd1', 'vm-1', replaced=True)
    assert reports.failed_servers(0.1) == {'d1'}
    assert not reports.failed_servers(failure_reports.REPORT_TTL_S + 0.1)


@pytest.mark.parametrize(
    ('status', 'server', 'replaced'),
    [
        (421, 'other', True),
        (421, 'd1', False),
        (421, '', False),
        (503, 'x', False),
    ],
)
def test_only_a_different_server_id_means_replaced(
    status: int, server: str, replaced: bool
) -> None:
    """An engine that just changed its stage refuses requests of the old stage.

    It works. Treated as removed, it would get no requests of its new stage for
    some seconds.
    """
    head = forwarding.ResponseHead(status=status, headers=(), server=server)
    assert head.replaces('d1') == replaced
