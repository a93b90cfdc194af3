"""The fold of the configuration stream gives one answer to all readers."""

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import changes
from foxtaildale import errors
from foxtaildale import fold
from foxtaildale import ports
from foxtaildale import values


def preset(name: str, burst: int = 3) -> values.Preset:
    services = {'queue-app': values.Service(kind='plain')}
    return values.Preset(name=name, services=services, retry_burst=burst)


class Writer:
    """Applies changes one after another to a fold, as a log would."""

    def __init__(self) -> None:
        self.fold = fold.Fold()

    def put(self, change: changes.Change | bytes) -> None:
        data = change if isinstance(change, bytes) else changes.encode(change)
        self.fold.apply(ports.Record(self.fold.offset, data))

    def publish(self, name: str, burst: int = 3) -> str:
        at = self.fold.offset
        change = changes.publish(f'p{at}', at, preset(name, burst))
        self.put(change)
        return change.digest

    def switch(
        self, change_id: str, name: str, digest: str, expects: int
    ) -> str:
        change = changes.Switch(
            id=change_id,
            base=self.fold.offset,
            name=name,
            digest=digest,
            expects=expects,
        )
        self.put(change)
        verdict = self.fold.verdict(change_id)
        assert verdict is not None
        return verdict.reason


def test_a_switch_puts_a_published_preset_in_force() -> None:
    log = Writer()
    digest = log.publish('ordinary')
    assert log.fold.in_force is None
    assert log.switch('s', 'ordinary', digest, 0) == ''
    assert log.fold.in_force == values.InForce(1, 1, digest, preset('ordinary'))


def test_of_two_racing_switches_the_second_is_rejected() -> None:
    """Two operators look at revision 0 and each switch to a preset of theirs.

    If both took effect, the first would believe their preset to be in force
    while the second one's is.
    """
    log = Writer()
    peak, calm = log.publish('peak'), log.publish('calm')
    assert log.switch('a', 'peak', peak, 0) == ''
    assert log.switch('b', 'calm', calm, 0) == 'other-revision'
    assert log.fold.in_force and log.fold.in_force.preset.name == 'peak'


def test_a_repeated_append_counts_once() -> None:
    """The answer to an append is lost, so the same record comes twice.

    The first copy is rejected and its writer told so; the second must not
    come into force once the revision that it expects is there.
    """
    log = Writer()
    peak, calm = log.publish('peak'), log.publish('calm')
    late = changes.Switch(
        id='late', base=2, name='peak', digest=peak, expects=1
    )
    log.put(late)
    assert log.switch('b', 'calm', calm, 0) == ''
    log.put(late)
    assert log.fold.in_force and log.fold.in_force.preset.name == 'calm'


def test_a_copy_later_than_the_memory_of_ids_is_stale() -> None:
    """A copy of a rejected switch arrives after its id has been forgotten."""
    log = Writer()
    peak, calm = log.publish('peak'), log.publish('calm')
    late = changes.Switch(
        id='late', base=2, name='peak', digest=peak, expects=1
    )
    log.put(late)
    assert log.switch('b', 'calm', calm, 0) == ''
    for _ in range(fold.WINDOW):
        log.put(b'')
    assert log.fold.verdict('late') is None
    log.put(late)
    assert log.fold.in_force and log.fold.in_force.preset.name == 'calm'


@pytest.mark.parametrize(
    ('digest', 'data'),
    [
        ('', changes.canonical(preset('a'))),
        (changes.digest_of(b'{}'), b'{}'),
        (changes.digest_of(b'\xff'), b'\xff'),
        (changes.digest_of(b' ' * 40_000), b' ' * 40_000),
    ],
    ids=['foreign digest', 'not whole', 'not text', 'too large'],
)
def test_a_preset_that_is_not_whole_is_rejected(
    digest: str, data: bytes
) -> None:
    """Something else than our program appends to the stream."""
    log = Writer()
    log.put(changes.Publish(id='p', base=0, digest=digest, preset=data))
    assert log.fold.verdict('p') == fold.Verdict(0, 'bad-preset', 0)
    assert not log.fold.published


def test_what_was_never_published_can_not_come_into_force() -> None:
    log = Writer()
    digest = log.publish('peak')
    assert log.switch('a', 'peak', 'no-such', 0) == 'not-published'
    assert log.switch('b', 'calm', digest, 0) == 'not-published'


def test_the_state_stays_bounded_and_keeps_the_preset_in_force() -> None:
    """Presets are published for years without a restart of the log."""
    log = Writer()
    digest = log.publish('peak')
    assert log.switch('a', 'peak', digest, 0) == ''
    for burst in range(2 * fold.MAX_PUBLISHED):
        log.publish('other', burst)
    assert len(log.fold.published) == fold.MAX_PUBLISHED
    assert log.fold.published[0].digest == digest


def test_a_record_out_of_order_is_a_broken_invariant() -> None:
    with pytest.raises(errors.InvariantError):
        fold.Fold().apply(ports.Record(3, b''))


_IDS = strategies.sampled_from(['a', 'b', 'c'])
_SMALL = strategies.integers(0, 4)
_PRESETS = [preset('x'), preset('y'), preset('x', 9)]
_CHANGES = strategies.one_of(
    strategies.binary(max_size=12),
    strategies.builds(
        changes.publish, _IDS, _SMALL, strategies.sampled_from(_PRESETS)
    ),
    strategies.builds(
        changes.Switch,
        id=_IDS,
        base=_SMALL,
        name=strategies.sampled_from(['x', 'y']),
        digest=strategies.sampled_from(
            [changes.digest_of(changes.canonical(p)) for p in _PRESETS]
        ),
        expects=_SMALL,
    ),
    strategies.builds(
        changes.Checkpoint,
        id=_IDS,
        offset=_SMALL,
        digest=strategies.just(''),
        state=strategies.binary(max_size=4),
    ),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(_CHANGES, max_size=30), strategies.data())
def test_a_reader_from_a_checkpoint_agrees_with_one_from_the_start(
    history: list[changes.Change | bytes], data: strategies.DataObject
) -> None:
    """A VM is replaced and its keeper starts from a checkpoint.

    Were it to fold the rest to another state, two presets would be in force.
    """
    whole = Writer()
    cut = data.draw(strategies.integers(0, len(history)))
    for change in history[:cut]:
        whole.put(change)
    part = Writer()
    loaded = fold.from_bytes(whole.fold.to_bytes(), whole.fold.digest)
    assert loaded is not None
    part.fold = loaded
    for change in history[cut:]:
        whole.put(change)
        part.put(change)
    assert part.fold.digest == whole.fold.digest
    assert part.fold.in_force == whole.fold.in_force


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=80))
def test_any_bytes_are_a_state_or_none(data: bytes) -> None:
    """A checkpoint in the log is damaged, with a digest that fits."""
    fold.from_bytes(data, changes.digest_of(data))
    assert fold.from_bytes(data, 'other') is None
