"""Engines that turned slow, and what the plan gives them."""

from foxtaildale import speeds


def test_a_slow_engine_shows_within_three_requests() -> None:
    """An engine takes four times as long as the others, and answers."""
    found = speeds.Speeds()
    for _ in range(5):
        for name in ('d1', 'd2', 'd3'):
            found.note(0.0, name, 0.001)
    for _ in range(3):
        found.note(0.0, 'd1', 0.004)
    assert found.slowness(0.0, 'd1') > speeds.SLOW
    assert found.slowness(0.0, 'd2') == 1.0


def test_load_that_slows_all_alike_marks_none() -> None:
    found = speeds.Speeds()
    for step in range(10):
        for name in ('d1', 'd2', 'd3'):
            found.note(0.0, name, 0.001 * (step + 1))
    assert {found.slowness(0.0, name) for name in ('d1', 'd2', 'd3')} == {1.0}


def test_an_engine_that_was_never_measured_counts_as_sound() -> None:
    assert speeds.Speeds().slowness(0.0, 'd1') == 1.0


def test_a_slow_engine_is_tried_again() -> None:
    """An engine was slow for some seconds and got nothing since.

    It would stand idle for good, and callers be refused for want of it.
    """
    found = speeds.Speeds()
    for name in ('d1', 'd2', 'd3'):
        found.note(0.0, name, 0.004 if name == 'd1' else 0.001)
    assert found.slowness(0.1, 'd1') > speeds.SLOW
    assert found.slowness(2 * speeds.HALF_S, 'd1') == 1.0
