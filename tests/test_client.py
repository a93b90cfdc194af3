"""The operators' program: what it prints, and that its verdicts are true."""

from collections.abc import Iterator
import io
import pathlib
from unittest import mock

import msgspec
import pytest
from syrupy import assertion

from foxtaildale import accounts
from foxtaildale import changes
from foxtaildale import errors
from foxtaildale import fold
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_adapters import http_client
from foxtaildale_client import explain
from foxtaildale_client import main
from foxtaildale_client import status
from foxtaildale_client import submit
from tests import config_world
from tests import fleet

_PEAK = '{name: "peak", services: {"queue-app": {kind: "plain"}}}'
_CALM = '{name: "calm", services: {"queue-app": {kind: "plain", priority: 2}}}'


class Deck:
    """Runs command lines on a log in memory and keeps what they print."""

    def __init__(
        self,
        log: config_world.Log,
        folder: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        self.log = log
        self.now = 0.0
        self._folder = folder
        self._capsys = capsys
        self._ids = 0

    def submitter(self, patience_s: float = 5.0) -> submit.Submitter:
        return submit.Submitter(
            self.log,
            clock=lambda: self.now,
            sleep=self._pass,
            new_id=self._new_id,
            patience_s=patience_s,
        )

    def run(self, *argv: str) -> str:
        """Returns what a command printed, and its status."""
        code = main.run(argv)
        seen = self._capsys.readouterr()
        lines = [f'$ foxtaildale {" ".join(argv)}', seen.out + seen.err]
        text = '\n'.join([*lines, f'exit {code}'])
        return text.replace(f'{self._folder}/', '')

    def file(self, name: str, content: str) -> str:
        path = self._folder / name
        path.write_text(content)
        return str(path)

    def _pass(self, seconds: float) -> None:
        self.now += seconds

    def _new_id(self) -> str:
        self._ids += 1
        return f'id-{self._ids}'


@pytest.fixture
def deck(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> Iterator[Deck]:
    made = Deck(config_world.Log(), tmp_path, capsys)
    with (
        mock.patch.object(main, '_platform', lambda _: made.log),
        mock.patch.object(
            main, '_submitter', lambda _, patience_s: made.submitter(patience_s)
        ),
    ):
        yield made


def test_publishing_and_switching(
    deck: Deck, snapshot: assertion.SnapshotAssertion
) -> None:
    peak, calm = deck.file('peak.json5', _PEAK), deck.file('calm.json5', _CALM)
    commands = (
        ('preset', 'current'),
        ('preset', 'list'),
        ('preset', 'check', peak),
        ('preset', 'publish', peak),
        ('preset', 'publish', calm),
        ('preset', 'switch', 'peak'),
        ('preset', 'switch', 'calm', '--expects', '0'),
        ('preset', 'switch', 'calm', '--expects', '1', '--json'),
        ('preset', 'switch', 'nothing'),
        ('preset', 'current'),
        ('preset', 'list'),
        ('preset', 'show', 'peak'),
        ('preset', 'show', '--json'),
        ('preset', 'diff', 'peak', 'calm'),
        ('preset', 'diff', 'peak', 'peak'),
        ('preset', 'outcome', 'id-3', '--base', '2'),
    )
    assert '\n'.join(deck.run(*one) for one in commands) == snapshot


def test_a_file_with_faults_is_not_published(
    deck: Deck, snapshot: assertion.SnapshotAssertion
) -> None:
    """An operator publishes a file that was edited in a hurry."""
    bad = deck.file('bad.json5', '{name: "Peak", servces: {}}')
    assert deck.run('preset', 'publish', bad) == snapshot
    assert not deck.log.data


def test_while_the_log_is_down_nothing_is_changed(
    deck: Deck, snapshot: assertion.SnapshotAssertion
) -> None:
    """An operator switches in an outage and must know that nothing happened."""
    deck.log.down = True
    peak = deck.file('peak.json5', _PEAK)
    shown = [
        deck.run('preset', 'publish', peak),
        deck.run('preset', 'current', '--json'),
    ]
    assert '\n'.join(shown) == snapshot


def test_a_lost_answer_is_followed_up(deck: Deck) -> None:
    """The log appends the record and dies before it answers."""
    deck.log.append_outcomes = ['lost']
    learnt = deck.submitter().publish(config_world.make_preset(1))
    assert learnt.result == 'accepted'
    assert len(deck.log.data) == 1


def test_an_append_that_never_arrived_is_made_again(deck: Deck) -> None:
    """The connection breaks before the record reaches the log."""
    deck.log.append_outcomes = ['dropped']
    learnt = deck.submitter().publish(config_world.make_preset(1))
    assert learnt.result == 'accepted'


def test_what_can_not_be_decided_is_said_to_be_open(
    deck: Deck, snapshot: assertion.SnapshotAssertion
) -> None:
    """All answers are lost, and the record lands after the program has ended.

    Said to have failed, the operator would be surprised by the switch; said
    to be done, they would rely on one that may never come.
    """
    deck.submitter().publish(config_world.make_preset(1))
    deck.log.append_outcomes = ['late'] * 100
    before = deck.run('preset', 'switch', 'peak')
    ask = ('preset', 'outcome', 'id-2', '--base', '1')
    still = deck.run(*ask)
    deck.log.apply_delayed()
    assert '\n'.join([before, still, deck.run(*ask)]) == snapshot


def test_what_never_landed_is_rejected_in_the_end(deck: Deck) -> None:
    """The record is lost for good; asking again must come to an end."""
    sub = deck.submitter()
    sub.publish(config_world.make_preset(1))
    deck.log.append_outcomes = ['late'] * 100
    learnt = sub.switch('peak', config_world.preset_digest(1), None)
    assert learnt.result == 'not-known'
    deck.log.data += [b''] * (fold.VERDICT_WINDOW - 1)
    assert (
        deck.submitter().query_outcome(learnt.id, learnt.base).result
        == 'not-known'
    )
    deck.log.data += [b'']
    asked = deck.submitter().query_outcome(learnt.id, learnt.base)
    assert (asked.result, asked.reason) == ('rejected', 'never-landed')
    deck.log.apply_delayed()
    sub.reader.catch_up()
    assert sub.reader.state.in_force is None


def test_what_has_lapsed_is_not_guessed(deck: Deck) -> None:
    """An operator asks days later, when only a checkpoint is left.

    Its record was accepted; `never landed` would be false.
    """
    sub = deck.submitter()
    learnt = sub.publish(config_world.make_preset(1))
    deck.log.data += [b''] * (fold.VERDICT_WINDOW + 10)
    sub.reader.catch_up()
    state = sub.reader.state
    deck.log.data.append(
        changes.encode(
            changes.Checkpoint(
                id='c',
                offset=state.offset,
                digest=state.digest,
                state=state.to_bytes(),
            )
        )
    )
    deck.log.first = state.offset
    asked = deck.submitter().query_outcome(learnt.id, learnt.base)
    assert asked.result == 'forgotten'


def test_without_a_checkpoint_nothing_is_claimed(deck: Deck) -> None:
    """All keepers were lost for longer than records are kept."""
    deck.submitter().publish(config_world.make_preset(1))
    deck.log.first = 1
    assert 'this command changed nothing' in deck.run(
        'preset', 'switch', 'peak'
    )


class Outcomes:
    """The stream of outcomes, some of it lapsed."""

    def __init__(self, first: int, records: list[bytes]) -> None:
        self.first = first
        self.records = records

    def append(self, stream: str, records: list[bytes]) -> int:
        raise NotImplementedError

    def read(self, stream: str, offset: int, limit: int = 1000) -> ports.Batch:
        assert stream == explain.STREAM
        if offset < self.first:
            raise errors.RecordsExpiredError(self.first)
        shown = self.records[offset : offset + limit]
        return ports.Batch(
            self.first,
            len(self.records),
            tuple(ports.Record(offset + i, d) for i, d in enumerate(shown)),
        )


def _refusal(request: str) -> values.Outcome:
    return values.Outcome(
        request=request,
        code='no-capacity',
        sentence='Not run: the first answer would take 2100 ms,'
        ' the target is 1500 ms.',
        figures=(
            values.Figure('estimate_ms', 2100.0),
            values.Figure('target_ms', 1500.0),
        ),
        revision=7,
        entry_vm='vm-halle-nord-1',
        at=1_700_000_000.0,
        retry_after_s=1.5,
        service='enteis-llm',
    )


def test_a_refusal_is_explained(
    deck: Deck, snapshot: assertion.SnapshotAssertion
) -> None:
    """A dispatcher asks why a question was refused; old outcomes are gone."""
    records = [
        msgspec.msgpack.encode([_refusal(f'r{i}'), _refusal(f's{i}')])
        for i in range(450)
    ]
    records[300] = b'not one of ours'
    log = Outcomes(20, records)
    with mock.patch.object(main, '_platform', lambda _: log):
        shown = [
            deck.run('explain', 's449'),
            deck.run('explain', 'r20'),
            deck.run('explain', 'r19'),
            deck.run('explain', 'r301', '--json'),
        ]
    assert '\n'.join(shown) == snapshot


class Directory:
    def listing(self) -> values.Listing:
        vms = tuple(
            values.EntryVm(
                name=f'vm-{i}',
                data_centre='halle-nord',
                keeper=f'10.0.0.{i}:7000',
                state='leaving' if i == 4 else 'live',
            )
            for i in range(1, 5)
        )
        server = values.BackendServer(
            name='w1',
            address='10.0.1.1:80',
            data_centre='halle-sued',
            service='enteis-llm',
            role='decode',
        )
        left = msgspec.structs.replace(server, name='w2', state='leaving')
        return values.Listing(3, vms, (server, left))


class Down:
    def listing(self) -> values.Listing:
        raise errors.UnreachableError('refused')


class Keepers:
    """Keepers 1 to 3 answer; 2 is behind and 3 has diverged."""

    def request(
        self, address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        number = int(address.split('.')[3].split(':', maxsplit=1)[0])
        if number > 3:
            raise errors.UnreachableError(address)
        keepers = [
            {
                'name': f'vm-{i}',
                'incarnation': 'i',
                'address': f'10.0.0.{i}:7000',
                'data_centre': 'halle-nord',
            }
            for i in range(1, 4)
        ]
        state: dict[str, object] = {
            'revision': 1 if number == 2 else 2,
            'preset': 'peak',
            'offset': 9,
            'vouched': True,
            'entries': ['e'] * number,
            'divergences': [{}] if number == 3 else [],
            'keepers': keepers,
            'more': 'than the glance needs',
        }
        return messages.DumpReply(state=msgspec.json.encode(state))


def test_status_names_what_needs_a_person(
    snapshot: assertion.SnapshotAssertion,
) -> None:
    """One VM is behind, one has diverged, one is gone by plan."""
    found = status.summarize(Directory(), Keepers(), '', 1.0)

    assert f'{found.text()}\nexit {found.exit.name}' == snapshot


def test_status_while_the_platform_is_down(
    snapshot: assertion.SnapshotAssertion,
) -> None:
    """In an outage an operator looks for a VM that has fallen behind."""
    asked = status.summarize(Down(), Keepers(), '10.0.0.1:7000', 1.0)
    alone = status.summarize(Down(), Keepers(), '', 1.0)
    assert f'{asked.text()}\n\n{alone.text()}' == snapshot


def test_on_the_platform_stand_in_a_lost_answer_is_no_failure(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The platform cuts the connection after it has appended the record."""
    path = tmp_path / 'peak.json5'
    path.write_text(_PEAK)
    with fleet.Fleet() as procs:
        address = procs.standin('platform').address
        http_client.HttpClient().send(
            address,
            'POST',
            '/faults',
            timeout_s=5,
            body=b'{"lose_answers": 1}',
        )
        arg = f'--platform={address}'
        assert main.run(['preset', 'publish', str(path), arg]) == 0
        assert main.run(['preset', 'switch', 'peak', arg]) == 0
        capsys.readouterr()
        assert main.run(['preset', 'current', arg]) == 0
        assert 'peak' in capsys.readouterr().out
    assert main.run(['preset', 'current', arg]) == 4


def test_a_key_becomes_a_digest_and_is_not_shown(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr('sys.stdin', io.StringIO('k9m68k7b2ex5wa5xwyhk\n'))
    assert main.run(['account-key']) == 0
    shown = capsys.readouterr().out.strip()
    assert shown == accounts.digest('k9m68k7b2ex5wa5xwyhk').hex()
    monkeypatch.setattr('sys.stdin', io.StringIO(''))
    assert main.run(['account-key']) != 0
