"""Failing coordinators are skipped until they reply to a probe."""

from foxtaildale import suspects


def test_one_lost_reply_does_not_replace_coordinator() -> None:
    """A reply is lost with a broken connection.

    If the coordinator were replaced at once, two would grant the same memory.
    """
    coordinators = suspects.Suspects()
    assert not coordinators.record_failure(1.0, 'a', lost=True)
    coordinators.record_success('a')
    assert not coordinators.record_failure(2.0, 'a', lost=True)
    assert coordinators.record_failure(2.1, 'a', lost=True)
    assert coordinators.excluded() == {'a'}


def test_recovered_coordinator_is_used_again_at_once() -> None:
    """A VM was replaced, and some VMs sent it requests meanwhile.

    Those that skipped it for longer than others would use another coordinator,
    and both coordinators would grant the same memory.
    """
    coordinators = suspects.Suspects()
    for at in (0.0, 3.0, 9.0):
        assert coordinators.record_failure(at, 'a', lost=False)
        assert coordinators.due_probes(at + 0.3) == []
        assert coordinators.due_probes(at + 0.4) == ['a']
        coordinators.record_probe(at + 0.4, 'a', fit=False)
        assert coordinators.excluded() == {'a'}
        coordinators.record_probe(at + 0.9, 'a', fit=True)
        assert coordinators.excluded() == frozenset()


def test_overloaded_coordinator_is_skipped_longer_each_time() -> None:
    """Its replies are lost repeatedly although it replies to probes."""
    coordinators = suspects.Suspects()
    now, spans = 0.0, []
    for _ in range(6):
        coordinators.record_failure(now, 'a', lost=True)
        coordinators.record_failure(now, 'a', lost=True)
        began = now
        while not coordinators.due_probes(now):
            now += 0.01
        spans.append(round(now - began, 1))
        coordinators.record_probe(now, 'a', fit=True)
    assert spans == [0.4, 0.8, 1.6, 3.2, 6.4, 6.4]
