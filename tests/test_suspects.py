"""Homes that fail are passed over until they answer a probe."""

from foxtaildale import suspects


def test_one_lost_answer_is_no_reason_to_leave_a_home() -> None:
    """An answer is lost with a broken connection.

    Were the home given up at once, two homes would give the same memory.
    """
    known = suspects.Suspects()
    assert not known.failed(1.0, 'a', lost=True)
    known.answered('a')
    assert not known.failed(2.0, 'a', lost=True)
    assert known.failed(2.1, 'a', lost=True)
    assert known.passed() == {'a'}


def test_a_home_that_is_fit_again_is_taken_back_at_once() -> None:
    """A VM was replaced, and some VMs had asked it meanwhile.

    Those that pass it over for longer than others would go on with another
    home, and both would give the same memory away.
    """
    known = suspects.Suspects()
    for at in (0.0, 3.0, 9.0):
        assert known.failed(at, 'a', lost=False)
        assert known.due(at + 0.3) == []
        assert known.due(at + 0.4) == ['a']
        known.probed(at + 0.4, 'a', fit=False)
        assert known.passed() == {'a'}
        known.probed(at + 0.9, 'a', fit=True)
        assert known.passed() == frozenset()


def test_a_home_that_is_overrun_is_left_for_longer_each_time() -> None:
    """Its answers are lost again and again, although it answers probes."""
    known = suspects.Suspects()
    now, spans = 0.0, []
    for _ in range(6):
        known.failed(now, 'a', lost=True)
        known.failed(now, 'a', lost=True)
        began = now
        while not known.due(now):
            now += 0.01
        spans.append(round(now - began, 1))
        known.probed(now, 'a', fit=True)
    assert spans == [0.4, 0.8, 1.6, 3.2, 6.4, 6.4]
