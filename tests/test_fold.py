"""The fold of the configuration stream gives all readers the same state."""

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import changes
from foxtaildale import errors
from foxtaildale import fold
from foxtaildale import ports
from foxtaildale import values


def make_preset(name: str, burst: int = 3) -> values.Preset:
    services = {'queue-app': values.Service(kind='plain')}
    return values.Preset(name=name, services=services, retry_burst=burst)


class Writer:
    """Applies changes to a fold in order, as a reader of the log does."""

    def __init__(self) -> None:
        self.fold = fold.Fold()

    def append(self, change: changes.Change | bytes) -> None:
        data = change if isinstance(change, bytes) else changes.encode(change)
        self.fold.apply(ports.Record(self.fold.offset, data))

    def publish(self, name: str, burst: int = 3) -> str:
        base = self.fold.offset
        change = changes.make_publish(
            f'p{base}', base, make_preset(name, burst)
        )
        self.append(change)
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
        self.append(change)
        verdict = self.fold.verdict(change_id)
        assert verdict is not None
        return verdict.reason


def test_a_switch_puts_a_published_preset_in_force() -> None:
    writer = Writer()
    digest = writer.publish('ordinary')
    assert writer.fold.in_force is None
    assert writer.switch('s', 'ordinary', digest, 0) == ''
    assert writer.fold.in_force == values.InForce(
        1, 1, digest, make_preset('ordinary')
    )


def test_of_two_racing_switches_the_second_is_rejected() -> None:
    """Guards against two operators who both believe their preset is in force.

    Both read revision 0, and each switches to a different preset.
    """
    writer = Writer()
    peak_digest, calm_digest = writer.publish('peak'), writer.publish('calm')
    assert writer.switch('a', 'peak', peak_digest, 0) == ''
    assert writer.switch('b', 'calm', calm_digest, 0) == 'other-revision'
    assert writer.fold.in_force and writer.fold.in_force.preset.name == 'peak'


def test_a_repeated_append_is_applied_once() -> None:
    """Guards against a rejected switch that comes into force later.

    The reply to an append is lost, so the record is appended again. The
    revision that it expects exists by the time of the second copy.
    """
    writer = Writer()
    peak_digest, calm_digest = writer.publish('peak'), writer.publish('calm')
    late_switch = changes.Switch(
        id='late', base=2, name='peak', digest=peak_digest, expects=1
    )
    writer.append(late_switch)
    assert writer.switch('b', 'calm', calm_digest, 0) == ''
    writer.append(late_switch)
    assert writer.fold.in_force and writer.fold.in_force.preset.name == 'calm'


def test_a_copy_is_stale_after_its_id_was_removed() -> None:
    """Guards against applying a rejected switch after its id has expired."""
    writer = Writer()
    peak_digest, calm_digest = writer.publish('peak'), writer.publish('calm')
    late_switch = changes.Switch(
        id='late', base=2, name='peak', digest=peak_digest, expects=1
    )
    writer.append(late_switch)
    assert writer.switch('b', 'calm', calm_digest, 0) == ''
    for _ in range(fold.VERDICT_WINDOW):
        writer.append(b'')
    assert writer.fold.verdict('late') is None
    writer.append(late_switch)
    assert writer.fold.in_force and writer.fold.in_force.preset.name == 'calm'


@pytest.mark.parametrize(
    ('digest', 'data'),
    [
        ('', changes.canonical_form(make_preset('a'))),
        (changes.digest_of(b'{}'), b'{}'),
        (changes.digest_of(b'\xff'), b'\xff'),
        (changes.digest_of(b' ' * 40_000), b' ' * 40_000),
    ],
    ids=['foreign digest', 'incomplete', 'not text', 'too large'],
)
def test_an_incomplete_preset_is_rejected(digest: str, data: bytes) -> None:
    """Guards against records that another program appends to the stream."""
    writer = Writer()
    writer.append(changes.Publish(id='p', base=0, digest=digest, preset=data))
    assert writer.fold.verdict('p') == fold.Verdict(0, 'bad-preset', 0)
    assert not writer.fold.published


def test_an_unpublished_preset_cannot_come_into_force() -> None:
    writer = Writer()
    digest = writer.publish('peak')
    assert writer.switch('a', 'peak', 'no-such', 0) == 'not-published'
    assert writer.switch('b', 'calm', digest, 0) == 'not-published'


def test_the_state_stays_bounded_and_keeps_the_preset_in_force() -> None:
    """Guards against unbounded growth when presets are published for years."""
    writer = Writer()
    digest = writer.publish('peak')
    assert writer.switch('a', 'peak', digest, 0) == ''
    for burst in range(2 * fold.MAX_PUBLISHED):
        writer.publish('other', burst)
    assert len(writer.fold.published) == fold.MAX_PUBLISHED
    assert writer.fold.published[0].digest == digest


def test_a_record_out_of_order_violates_an_invariant() -> None:
    with pytest.raises(errors.InvariantError):
        fold.Fold().apply(ports.Record(3, b''))


_IDS = strategies.sampled_from(['a', 'b', 'c'])
_SMALL_INTS = strategies.integers(0, 4)
_PRESETS = [make_preset('x'), make_preset('y'), make_preset('x', 9)]
_CHANGES = strategies.one_of(
    strategies.binary(max_size=12),
    strategies.builds(
        changes.make_publish,
        _IDS,
        _SMALL_INTS,
        strategies.sampled_from(_PRESETS),
    ),
    strategies.builds(
        changes.Switch,
        id=_IDS,
        base=_SMALL_INTS,
        name=strategies.sampled_from(['x', 'y']),
        digest=strategies.sampled_from(
            [changes.digest_of(changes.canonical_form(p)) for p in _PRESETS]
        ),
        expects=_SMALL_INTS,
    ),
    strategies.builds(
        changes.Checkpoint,
        id=_IDS,
        offset=_SMALL_INTS,
        digest=strategies.just(''),
        state=strategies.binary(max_size=4),
    ),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(_CHANGES, max_size=30), strategies.data())
def test_reading_from_a_checkpoint_gives_the_same_state(
    history: list[changes.Change | bytes], data: strategies.DataObject
) -> None:
    """Guards against two presets in force after a VM is replaced.

    Its keeper starts from a checkpoint and could fold the remaining records
    to a different state.
    """
    full_reader = Writer()
    checkpoint_at = data.draw(strategies.integers(0, len(history)))
    for change in history[:checkpoint_at]:
        full_reader.append(change)
    checkpoint_reader = Writer()
    loaded_fold = fold.from_bytes(
        full_reader.fold.to_bytes(), full_reader.fold.digest
    )
    assert loaded_fold is not None
    checkpoint_reader.fold = loaded_fold
    for change in history[checkpoint_at:]:
        full_reader.append(change)
        checkpoint_reader.append(change)
    assert checkpoint_reader.fold.digest == full_reader.fold.digest
    assert checkpoint_reader.fold.in_force == full_reader.fold.in_force


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=80))
def test_decoding_any_bytes_raises_no_error(data: bytes) -> None:
    """Guards against a crash on a damaged checkpoint whose digest matches."""
    fold.from_bytes(data, changes.digest_of(data))
    assert fold.from_bytes(data, 'other') is None
