"""Detection of engines that became slower than the others."""

from foxtaildale import engine_speeds


def test_a_slow_engine_is_detected_within_three_requests() -> None:
    """An engine takes four times as long as the others but still responds."""
    speed_table = engine_speeds.EngineSpeeds()
    for _ in range(5):
        for name in ('d1', 'd2', 'd3'):
            speed_table.record(0.0, name, 0.001)
    for _ in range(3):
        speed_table.record(0.0, 'd1', 0.004)
    assert speed_table.slowness(0.0, 'd1') > engine_speeds.SLOW_RATIO
    assert speed_table.slowness(0.0, 'd2') == 1.0


def test_load_that_slows_all_engines_marks_none_as_slow() -> None:
    speed_table = engine_speeds.EngineSpeeds()
    for step in range(10):
        for name in ('d1', 'd2', 'd3'):
            speed_table.record(0.0, name, 0.001 * (step + 1))
    assert {speed_table.slowness(0.0, name) for name in ('d1', 'd2', 'd3')} == {
        1.0
    }


def test_an_engine_without_measurements_is_not_slow() -> None:
    assert engine_speeds.EngineSpeeds().slowness(0.0, 'd1') == 1.0


def test_a_slow_engine_gets_requests_again_later() -> None:
    """An engine was slow for some seconds and has had no requests since.

    If it stayed marked, it would idle forever while callers are refused.
    """
    speed_table = engine_speeds.EngineSpeeds()
    for name in ('d1', 'd2', 'd3'):
        speed_table.record(0.0, name, 0.004 if name == 'd1' else 0.001)
    assert speed_table.slowness(0.1, 'd1') > engine_speeds.SLOW_RATIO
    assert speed_table.slowness(2 * engine_speeds.HALF_LIFE_S, 'd1') == 1.0
