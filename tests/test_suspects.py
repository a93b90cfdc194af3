"""Failing coordinators are skipped until they reply to a probe."""

from foxtaildale import suspects


def test_one_lost_reply_does_not_replace_coordinator() -> None:
    """A reply is lost with a broken connection.

    If the coordinator were replaced at once, two would grant the same memory.
    """
    known = suspects.Suspects()
    assert not known.failed(1.0, 'a', lost=True)
    known.answered('a')
    assert not known.failed(2.0, 'a', lost=True)
    assert known.failed(2.1, 'a', lost=True)
    assert known.passed() == {'a'}


def test_recovered_coordinator_is_used_again_at_once() -> None:
    """A VM was replaced, and some VMs sent it requests meanwhile.

    Those that skipped it for longer than others would use another coordinator,
    and both coordinators would grant the same memory.
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


def test_overloaded_coordinator_is_skipped_longer_each_time() -> None:
    """Its replies are lost repeatedly although it replies to probes."""
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
