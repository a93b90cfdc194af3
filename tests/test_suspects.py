"""Failing coordinators are skipped until they reply to a probe."""

from foxtaildale import suspects


def test_one_lost_reply_does_not_replace_coordinator() -> None:
    """A reply is lost with a broken connection.

    If the coordinator were replaced at once, two would grant the same memory.
    """
    coordinators = suspects.Suspects()
    assert not coordinators.failed(1.0, 'a', lost=True)
    coordinators.answered('a')
    assert not coordinators.failed(2.0, 'a', lost=True)
    assert coordinators.failed(2.1, 'a', lost=True)
    assert coordinators.passed() == {'a'}


def test_recovered_coordinator_is_used_again_at_once() -> None:
    """A VM was replaced, and some VMs sent it requests meanwhile.

    Those that skipped it for longer than others would use another coordinator,
    and both coordinators would grant the same memory.
    """
    coordinators = suspects.Suspects()
    for at in (0.0, 3.0, 9.0):
        assert coordinators.failed(at, 'a', lost=False)
        assert coordinators.due(at + 0.3) == []
        assert coordinators.due(at + 0.4) == ['a']
        coordinators.probed(at + 0.4, 'a', fit=False)
        assert coordinators.passed() == {'a'}
        coordinators.probed(at + 0.9, 'a', fit=True)
        assert coordinators.passed() == frozenset()


def test_overloaded_coordinator_is_skipped_longer_each_time() -> None:
    """Its replies are lost repeatedly although it replies to probes."""
    coordinators = suspects.Suspects()
    now, spans = 0.0, []
    for _ in range(6):
        coordinators.failed(now, 'a', lost=True)
        coordinators.failed(now, 'a', lost=True)
        began = now
        while not coordinators.due(now):
            now += 0.01
        spans.append(round(now - began, 1))
        coordinators.probed(now, 'a', fit=True)
    assert spans == [0.4, 0.8, 1.6, 3.2, 6.4, 6.4]
