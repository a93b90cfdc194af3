"""The breaker bounds what a hung system costs."""

from foxtaildale_adapters import breaker


def test_calls_fail_at_once_after_a_timeout() -> None:
    """The platform's store hangs; every request waits for it in vain.

    Callers would see all answers late by the whole timeout, one after another.
    """
    gate = breaker.Breaker(retry_delay_s=2.0)
    assert gate.try_admit(10.0)
    gate.record_timeout(11.0)
    assert not gate.try_admit(11.0)
    assert not gate.try_admit(12.9)


def test_one_call_tries_after_the_hold_off() -> None:
    """The hold-off ends while the store still hangs.

    If all waiting requests tried at once they would all wait again.
    """
    gate = breaker.Breaker(retry_delay_s=2.0)
    gate.record_timeout(11.0)
    assert gate.try_admit(13.0)
    assert not gate.try_admit(13.0)
    gate.record_timeout(14.0)
    assert not gate.try_admit(15.9)
    assert gate.try_admit(16.0)
    gate.record_response()
    assert gate.try_admit(16.0)
    assert gate.try_admit(16.0)
