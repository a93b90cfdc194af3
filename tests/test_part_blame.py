"""Which parts of prompts are blamed for crashes of servers."""

import time

from foxtaildale import crashes
from foxtaildale import messages
from foxtaildale import part_blame

_BAD = 1
_FIRST = 2
_TIMEOUT_S = 1.0


def _crash(
    server: str, request: int, *parts: int, ran_ms: int = 50
) -> messages.Crash:
    return messages.Crash(
        server=server,
        started_at=0,
        fingerprint=request,
        ran_ms=ran_ms,
        service='model',
        parts=parts,
    )


def _find(
    *reports: messages.Crash,
    cleared: tuple[int, ...] = (),
    blamed: tuple[int, ...] = (),
    sets: tuple[frozenset[int], ...] = (),
) -> tuple[int, ...]:
    tracker = crashes.Crashes()
    for crash in reports:
        tracker.record(0.0, crash)
    found = tracker.suspected_parts(1.0, blamed, sets, cleared)
    return () if found is None else found.parts


def test_part_at_each_crash_is_blamed() -> None:
    reports = [_crash(f's{n}', 10 + n, 100 + n, _BAD) for n in range(3)]
    assert _find(*reports) == (_BAD,)


def test_two_crashes_blame_no_part() -> None:
    reports = [_crash(f's{n}', 10 + n, _BAD) for n in range(2)]
    assert _find(*reports) == ()


def test_retries_of_one_request_blame_no_part() -> None:
    """Guards against blame of what a single request shares with others."""
    assert _find(*(_crash(f's{n}', 10, _FIRST) for n in range(6))) == ()


def test_parts_that_only_come_together_are_blamed_as_a_set() -> None:
    """Guards against blame of healthy requests that have one of them."""
    reports = [_crash(f's{n}', 10 + n, _FIRST, _BAD) for n in range(3)]
    assert _find(*reports) == (_BAD, _FIRST)
    assert _find(*reports, cleared=(_FIRST,)) == (_BAD,)


def test_part_of_a_blamed_request_is_blamed_with_another_request() -> None:
    """Guards against each request at fault crashing three servers."""
    reports = [_crash(f's{n}', 10, _FIRST, _BAD) for n in range(3)]
    assert _find(*reports, blamed=(10,)) == ()
    reports.append(_crash('s3', 11, _BAD))
    assert _find(*reports, blamed=(10,)) == (_BAD,)


def test_one_part_of_a_set_is_blamed_by_a_crash_without_the_rest() -> None:
    reports = [_crash(f's{n}', 10 + n, _FIRST, _BAD) for n in range(3)]
    blamed = (frozenset((_FIRST, _BAD)),)
    assert _find(*reports, sets=blamed) == ()
    reports.append(_crash('s3', 20, 99, _BAD))
    assert _find(*reports, sets=blamed) == (_BAD,)


def test_bystanders_at_some_crashes_are_not_blamed() -> None:
    """Guards against blame of parts that ran beside the one at fault."""
    reports = [_crash(f's{n}', 10 + n, _BAD, 200 + n) for n in range(5)]
    reports += [_crash(f's{n}', 30 + n, _FIRST, ran_ms=400) for n in range(4)]
    assert _find(*reports) == (_BAD,)
    assert _find(*reports, sets=(frozenset((_BAD,)),)) == ()


def test_many_hostile_reports_are_examined_in_time() -> None:
    """Guards against a VM that is busy with prompts made to fill its memory."""
    limit = part_blame.MAX_REPORTED_PARTS
    reports = [
        _crash(
            f's{server}',
            server * 100 + request,
            *range(
                server * 10**6 + request * limit,
                server * 10**6 + request * limit + limit,
            ),
        )
        for server in range(crashes.MAX_CRASHES)
        for request in range(crashes.MAX_REQUESTS)
    ]
    tracker = crashes.Crashes()
    for crash in reports:
        tracker.record(0.0, crash)
    began_at = time.process_time()
    assert tracker.suspected_parts(1.0, (), (), ()) is None
    assert time.process_time() - began_at < _TIMEOUT_S
