"""Servers that start again under their id, and entries of other writers."""

import random
import struct
import threading

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from foxtaildale import errors
from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import placement_plan
from foxtaildale import routes
from foxtaildale_adapters import logs
from foxtaildale_platform import records
from foxtaildale_platform import store
from foxtaildaled import router_state
from foxtaildaled import tracked_flights
from tests import engine_states

_CODEC = records.Codec()
_ENTRY: dict[str, object] = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq_no': 1,
}
_SERVICE = routes.Service(
    name='s', kv_tokens=10_000, hold_s=2.0, handle_s=0.5, slots=8
)


def _record(key: bytes, value: bytes) -> bytes:
    data = bytes((len(key),)) + key + value
    return struct.pack('>I', len(data)) + data


class _Reader:
    """Reads records as a router does."""

    def __init__(self) -> None:
        self.state = router_state.RouterState(
            _CODEC, 'me:1', (), '', random.Random(1)
        )
        self._offset = 0

    def read(self, *found: bytes) -> None:
        """Takes records that follow those before."""
        data = struct.pack('>QQ', self._offset + len(found), 0)
        keyed = store._decode_log(data + b''.join(found), self._offset)
        self._offset = keyed.end
        self.state.apply_store_reply(
            _CODEC.servers_topic,
            keyed,
            1.0,
            requested_at=1.0,
            is_snapshot=False,
        )

    def put(self, key: str, **changed: object) -> None:
        value = msgspec.json.encode(_ENTRY | changed)
        self.read(_record(key.encode(), value))

    def usable(self) -> set[str]:
        found = self.state.fleet.candidates('s', 1.0)
        return {tally.backend.id for tally in found}


def test_a_new_start_knows_nothing_of_the_one_before() -> None:
    """A server crashes while it is busy and comes back under its id.

    Judged by what the start before had, it would get no work, and a leave seen
    before would keep it out for good.
    """
    reader = _Reader()
    reader.put('i-1', born=1000)
    known = reader.state.fleet
    for _ in range(5):
        known.record_sent('i-1', 100)
        known.record_failure('i-1', 1.0)
    reader.put('i-1', born=1000, state='draining')
    assert reader.usable() == set()
    reader.put('i-1', born=2000)
    assert reader.usable() == {'i-1'}
    tally = known.server_state('i-1')
    assert tally is not None
    assert (tally.in_flight, tally.in_flight_tokens) == (0, 0)
    assert tally.decayed_failures(1.0) == 0


def test_a_late_entry_of_an_old_start_changes_nothing() -> None:
    """The leave of the start before is recorded after the new start's entry.

    Callers would be refused for want of a server that lives.
    """
    reader = _Reader()
    reader.put('i-1', born=2000, address='10.0.0.2:80')
    reader.put('i-1', born=1000, state='draining')
    assert reader.usable() == {'i-1'}
    backend = reader.state.fleet.usable('i-1', 0.0)
    assert backend is not None
    assert backend.address == '10.0.0.2:80'
    # Neither does it bring one back that has gone.
    reader.read(_record(b'i-1', b''))
    reader.put('i-1', born=1000)
    assert reader.usable() == set()


@pytest.mark.parametrize(
    'changed',
    [
        pytest.param({'state': 'backoff'}, id='a state that is not known'),
        pytest.param({'slots': 'many'}, id='a field of another type'),
        pytest.param({'born': 1.5}, id='a start that is no whole number'),
        pytest.param({'address': 'here'}, id='an address that is none'),
        pytest.param({'zone': None}, id='a field without a value'),
    ],
)
def test_an_entry_of_another_writer_names_no_server(
    changed: dict[str, object], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Something else writes an entry under a server's id.

    Followed, it would send requests to a place that is no server's; with the
    older entry kept, to one that its newest entry does not name.
    """
    told: list[str] = []
    monkeypatch.setattr(
        logs, 'event', lambda _level, event, **_fields: told.append(event)
    )
    reader = _Reader()
    reader.put('i-1')
    reader.put('i-2')
    for _ in range(3):
        reader.put('i-1', **changed)
    assert reader.usable() == {'i-2'}
    assert told.count('record not readable') == 1
    reader.put('i-1')
    assert reader.usable() == {'i-1', 'i-2'}


@pytest.mark.parametrize('field', sorted(_ENTRY))
def test_an_entry_that_lacks_a_field_names_no_server(field: str) -> None:
    value = {name: it for name, it in _ENTRY.items() if name != field}
    with pytest.raises(errors.DecodeError):
        records.decode_server('i-1', msgspec.json.encode(value))


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.binary(min_size=1, max_size=6),
            strategies.one_of(
                strategies.binary(max_size=40),
                strategies.recursive(
                    strategies.none()
                    | strategies.integers(-5, 5)
                    | strategies.text(max_size=5),
                    lambda inner: strategies.dictionaries(
                        strategies.sampled_from(sorted(_ENTRY)), inner
                    ),
                    max_leaves=8,
                ).map(msgspec.json.encode),
            ),
        ),
        max_size=8,
    )
)
def test_no_entry_of_another_writer_harms_the_others(
    found: list[tuple[bytes, bytes]],
) -> None:
    """One record that can't be read must not stop the reading of the rest."""
    reader = _Reader()
    reader.put('i-1')
    reader.read(
        *(_record(b'x' + key, value) for key, value in found),
        # A key that is no text, and one that is cut.
        _record(b'\xff\xfe', b'{}'),
        struct.pack('>I', 2) + b'\x09a',
    )
    reader.put('i-2')
    assert reader.usable() == {'i-1', 'i-2'}


def _ask(plan: placement_plan.Plan, now: float, request: str) -> object:
    backends = {
        stage: (
            fleet.ServerState(
                forwarding.Backend(
                    id=stage, service='s', address='x:1', stage=stage
                )
            ),
        )
        for stage in ('decode', 'prefill')
    }
    msg = engine_states.placement_request(request, 4000)
    return plan.request_placement(
        now, msg, _SERVICE, lambda: (backends['decode'], backends['prefill'])
    )


def test_memory_of_an_old_start_is_free_at_the_new_one() -> None:
    """The only decode worker crashes when it is full, and is back at once.

    With what it had still planned there, callers would be refused beside an
    empty engine.
    """
    plan = placement_plan.Plan()
    for name in ('a', 'b'):
        assert isinstance(_ask(plan, 0.0, name), messages.PlacementGrant)
    assert isinstance(_ask(plan, 0.1, 'c'), messages.Queued)
    plan.forget('decode')
    assert isinstance(_ask(plan, 0.2, 'c'), messages.PlacementGrant)


def test_holders_do_not_bring_back_what_is_lost() -> None:
    reader = _Reader()
    reader.put('i-1', born=2000, stage='decode')
    kept = messages.PlacementRenewal(
        service='s',
        holder='vm-2',
        places=tuple(
            messages.ActivePlacement(
                request=f'r{born}',
                decode_worker='i-1',
                prompt_tokens=10,
                hinted_tokens=1,
                max_output_tokens=2,
                started_at=born,
            )
            for born in (1000, 2000)
        ),
    )
    reader.state.plans.apply_inventory('s', [kept], 1.0)
    assert reader.state.plans.summary()['s']['planned'] == {'i-1': 1}


class _Flight:
    def __init__(self) -> None:
        self.ended = threading.Event()

    def cancel(self) -> None:
        self.ended.set()

    def close(self) -> None:
        pass


def test_requests_to_an_old_start_end_when_the_new_one_is_seen() -> None:
    """An engine loses power and is back within a second, under its id.

    Its connections say nothing; a caller whose stream may not go on elsewhere
    would wait for fourteen seconds for an answer that never comes.
    """
    running = tracked_flights.OpenFlights()
    flights = {born: _Flight() for born in (1000, 2000)}
    held = [
        tracked_flights._TrackedFlight(
            flight,  # type: ignore[arg-type]
            forwarding.Backend(id='i-1', service='s', address='x:1', born=born),
            running,
            lambda _: None,
        )
        for born, flight in flights.items()
    ]
    new = forwarding.Backend(id='i-1', service='s', address='x:1', born=2000)
    assert running.cancel_earlier(new) == 1
    assert flights[1000].ended.is_set()
    assert not flights[2000].ended.is_set()
    for flight in held:
        flight.close()
    assert running.cancel_earlier(new) == 0
