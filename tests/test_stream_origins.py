"""Origins of streams: what is remembered, told, saved and planned with."""

from collections.abc import Sequence
import random
import time
from typing import Any
from typing import Final
from typing import cast

import msgspec
import pytest

from foxtaildale import errors
from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import placement_plan
from foxtaildale import ports
from foxtaildale import positions
from foxtaildale import routes
from foxtaildale import stream_origins
from foxtaildale_adapters import metrics
from foxtaildale_platform import records
from foxtaildaled import actors
from foxtaildaled import attempt_state
from foxtaildaled import coordinator_client
from foxtaildaled import default_version_store
from foxtaildaled import origin_finder
from foxtaildaled import origin_reports
from foxtaildaled import origin_store
from foxtaildaled import routed_request
from foxtaildaled import router_state
from tests import site as sites
from tests import versionsite

_SERVICE: Final = routes.Service(name='s', kv_tokens=100_000, slots=64)


def _origin(stream: int, age_ms: int = 0) -> messages.StreamOrigin:
    return messages.StreamOrigin(
        stream=stream, service='s', version='v1', age_ms=age_ms
    )


def _backend(
    name: str, version: str, stage: forwarding.Stage = 'decode'
) -> forwarding.Backend:
    return forwarding.Backend(
        id=name, service='s', address='x:1', version=version, stage=stage
    )


def test_the_first_origin_of_a_stream_is_kept() -> None:
    origins = stream_origins.StreamOrigins()
    origins.record(0.0, _origin(1))
    origins.record(
        0.5, messages.StreamOrigin(stream=1, service='s', version='v2')
    )
    assert origins.find(1.0, 1) == _origin(1, 1000)


def test_origins_are_bounded_in_time_and_number() -> None:
    """Guards against a memory that grows with each stream."""
    origins = stream_origins.StreamOrigins()
    for stream in range(stream_origins.MAX_ORIGINS + 10):
        origins.record(0.0, _origin(stream))
    assert len(origins) == stream_origins.MAX_ORIGINS
    origins.record(stream_origins.ORIGIN_TTL_S, _origin(1))
    assert len(origins) == 1


def test_an_account_does_not_find_streams_of_others() -> None:
    """Guards against a caller that learns of streams by naming ids."""
    key = stream_origins.digest('a', 'x')
    assert key != stream_origins.digest('b', 'x')
    assert stream_origins.digest('a', 'bx') != stream_origins.digest('ab', 'x')


def test_a_version_that_left_may_have_begun_streams() -> None:
    """Guards against a guess as the last server of a version has left."""
    servers = fleet.Fleet('', random.Random(1))
    for name, version in (('d1', 'v1'), ('d2', 'v2')):
        servers.put(_backend(name, version), 1.0)
    servers.put(_backend('p1', 'v3', 'prefill'), 1.0)
    servers.remove('d1', 2.0, store_healthy=True)
    assert servers.versions('s', 3.0) == {'v1', 'v2'}
    later = 2.0 + stream_origins.ORIGIN_TTL_S
    assert servers.versions('s', later) == {'v2'}


def test_a_version_is_kept_as_its_server_changes_its_stage() -> None:
    """Guards against a version that is forgotten with a change of stage."""
    servers = fleet.Fleet('', random.Random(1))
    servers.put(_backend('d1', 'v1'), 1.0)
    servers.put(_backend('d2', 'v2'), 1.0)
    servers.put(_backend('d1', 'v1', 'prefill'), 2.0)
    assert servers.versions('s', 3.0) == {'v1', 'v2'}


class _Plan:
    """A plan of four decode workers of two versions."""

    def __init__(self, versions: Sequence[str] = ('v1', 'v2', 'v2')) -> None:
        self._plan = placement_plan.Plan()
        self._now = 0.0
        self._decoders = [
            fleet.ServerState(_backend(f'd{number}', version))
            for number, version in enumerate(versions)
        ]
        self._prefillers = [
            fleet.ServerState(_backend(f'p{number}', 'v1', 'prefill'))
            for number in range(20)
        ]

    def request(
        self, name: str, version: str = '', prompt: int = 5000
    ) -> messages.Message:
        self._now += 0.05
        msg = messages.PlacementRequest(
            service='s',
            request=name,
            holder='vm-1',
            prompt_tokens=prompt,
            hinted_tokens=4000,
            max_output_tokens=4000,
            waited_ms=0,
            target_ms=900,
            priority=1,
            version=version,
        )
        return self._plan.request_placement(
            self._now, msg, _SERVICE, lambda: (self._decoders, self._prefillers)
        )

    def report_failure(self, server: str) -> None:
        for holder in ('vm-1', 'vm-2', 'vm-3'):
            self._plan.record_failure(
                self._now,
                messages.ServerFailureReport(
                    service='s', server=server, holder=holder, replaced=True
                ),
            )


def test_a_plan_places_a_stream_at_its_version() -> None:
    """Guards against a placement at another version."""
    plan = _Plan()
    for number in range(5):
        grant = plan.request(f'a{number}', 'v1')
        assert isinstance(grant, messages.PlacementGrant)
        assert grant.decode_worker == 'd0'


def test_streams_of_a_full_version_hold_up_no_others() -> None:
    """Guards against free servers behind streams that can't go there."""
    plan = _Plan()
    while isinstance(
        plan.request(f'full-{plan._now}', 'v1', 20_000), messages.PlacementGrant
    ):
        pass
    for number in range(placement_plan.MAX_PASSED_OVER + 3):
        plan.request(f'waits{number}', 'v1', 20_000)
    assert isinstance(plan.request('new'), messages.PlacementGrant)


def test_a_failing_server_serves_its_version_if_no_other_does() -> None:
    """Guards against a version whose only server counts as gone."""
    plan = _Plan()
    plan.report_failure('d0')
    grant = plan.request('a', 'v1')
    assert isinstance(grant, messages.PlacementGrant)
    assert grant.decode_worker == 'd0'


class _Log:
    """A topic of the store that can be away or be restored."""

    def __init__(self) -> None:
        self.epoch = 1
        # Offset of the first record that has not expired.
        self.first = 0
        self.records: list[bytes] = []
        self.is_away = False
        self.is_garbled = False
        self.reads = 0

    def put(self, topic: str, key: str, value: bytes) -> None:
        if self.is_away:
            raise errors.NoReplyError('away')
        self.records.append(value)

    def read_newest(self, topic: str) -> ports.KeyedRecords:
        start = positions.make(self.epoch, 0)
        return self.wait_for_records(topic, start, 0.0)

    def put_if_unchanged(
        self, topic: str, key: str, value: bytes, end: int
    ) -> int:
        raise NotImplementedError

    def set_address(self, address: str) -> None:
        raise NotImplementedError

    def wait_for_records(
        self, topic: str, offset: int, wait_s: float
    ) -> ports.KeyedRecords:
        self.reads += 1
        if self.is_garbled:
            raise errors.DecodeError('garbled')
        if self.is_away:
            raise errors.NoReplyError('away')
        if positions.epoch(offset) != self.epoch:
            raise errors.RecordsExpiredError(0)
        if positions.offset(offset) < self.first:
            raise errors.RecordsExpiredError(self.first)
        found = self.records[positions.offset(offset) :]
        entries = tuple(
            mirror.Entry(key='vm', offset=offset + n, value=value)
            for n, value in enumerate(found)
        )
        return ports.KeyedRecords(offset + len(found), entries)


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def _store(log: _Log, clock: _Clock) -> origin_store.OriginStore:
    return origin_store.OriginStore(
        reader=log, writer=log, clock=clock, wall=clock
    )


def test_saved_origins_outlive_the_vm_and_a_restored_store() -> None:
    """Guards against origins that are lost as offsets are given out again."""
    log, clock = _Log(), _Clock()
    assert _store(log, clock).save('vm-1', (_origin(1),))
    reader = _store(log, clock)
    clock.now += 2.0
    assert reader.find(1, epoch=1) == _origin(1, 2000)
    log.epoch, log.records = 2, []
    clock.now += 1.0
    assert reader.find(9, epoch=2) is None
    assert _store(log, clock).save('vm-1', (_origin(2),))
    clock.now += 1.0
    assert reader.find(2, epoch=2) == _origin(2, 1000)


@pytest.mark.parametrize(
    ('age_s', 'has_all'), [(1e9, False), (1.0, False), (600.0, True)]
)
def test_a_batch_with_a_wrong_time_is_not_an_old_batch(
    age_s: float, has_all: bool
) -> None:
    """Guards against dropped origins that are taken for those of old streams."""
    log, clock = _Log(), _Clock()
    clock.now = 1.7e9
    dropped = 3
    log.records = [b''] * dropped
    batch = origin_store.Batch(clock.now - age_s, (_origin(1),))
    log.records.append(msgspec.msgpack.encode(batch))
    log.first = dropped
    reader = _store(log, clock)
    assert reader.find(9, epoch=1) is None
    position = positions.make(1, 0)
    assert reader.has_all(position, stream_origins.ORIGIN_TTL_S) == has_all


def test_an_origin_from_the_future_is_forgotten_in_time() -> None:
    """Guards against origins that a wrong clock keeps for ever."""
    log, clock = _Log(), _Clock()
    batch = origin_store.Batch(clock.now + 1e9, (_origin(1),))
    log.records = [msgspec.msgpack.encode(batch)]
    reader = _store(log, clock)
    assert reader.find(1, epoch=1) == _origin(1)
    clock.now += stream_origins.ORIGIN_TTL_S
    assert reader.find(1, epoch=1) is None


def test_a_store_that_is_away_is_not_asked_for_each_stream() -> None:
    """Guards against resumed streams that wait for the store in turn."""
    log, clock = _Log(), _Clock()
    reader = _store(log, clock)
    log.is_away = True
    assert not reader.save('vm-1', (_origin(1),))
    for _ in range(3):
        with pytest.raises(errors.NoReplyError):
            reader.find(1, epoch=1)
    assert log.reads == 1
    log.is_away = False
    clock.now += origin_store.FAILURE_INTERVAL_S
    assert reader.find(1, epoch=1) is None


def test_a_stream_without_another_server_of_its_version_ends_at_once() -> None:
    """Guards against a broken stream that waits at the only server it had."""
    site = versionsite.VersionSite()
    try:
        site.fill(1, ('v1', 'v2', 'v2'))
        site.workers['d0'].break_after = 2
        while not site.workers['d0'].ran:
            began_at = time.monotonic()
            _, _, body = sites.send(site, 'POST', '/chat/x')
        assert body == b'(cut)'
        assert time.monotonic() - began_at < 0.5
    finally:
        site.close()


def test_with_one_version_unknown_streams_go_on() -> None:
    """Guards against refusals where nothing can be mixed up."""
    site = versionsite.VersionSite()
    try:
        site.fill(2, ('v1', 'v1'))
        for resumes in ('never-seen', ''):
            assert site.resume(resumes, number=1) == (200, '', 'v1')
    finally:
        site.close()


class _Peers:
    """Another VM that replies with what a test sets."""

    def __init__(self) -> None:
        self.reply: messages.OriginReply | None = None

    def request(
        self, address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        raise errors.NoReplyError('not asked')

    def request_all(
        self, addresses: Sequence[str], msg: messages.Message, timeout_s: float
    ) -> dict[str, messages.Message]:
        return {'vm-2:1': self.reply} if self.reply else {}


class _Finder:
    """A VM whose list of servers has one version, 1 s old."""

    def __init__(self, list_age_s: float = 1.0) -> None:
        self.peers = _Peers()
        self._clock = _Clock()
        state = router_state.RouterState(
            records.Codec(), 'vm-1:1', (), '', random.Random(1)
        )
        state.fleet.put(_backend('d1', 'v1'), self._clock.now)
        state.list_known_since = 0.0
        state.servers_current_at = self._clock.now - list_age_s
        state.entry_vms = {'vm-2': forwarding.EntryVm('vm-2:1')}
        self.owner = actors.StateOwner(state, self._clock)
        coordinators = coordinator_client.CoordinatorClient(
            entry_vm='vm-1',
            handle=lambda _: messages.Pong(),
            owner=self.owner,
            peers=self.peers,
            clock=self._clock,
        )
        self.log = _Log()
        store = _store(self.log, self._clock)
        self.defaults_log = _Log()
        defaults = default_version_store.DefaultVersionStore(
            reader=self.defaults_log,
            writer=self.defaults_log,
            owner=self.owner,
            coordinators=coordinators,
            peers=self.peers,
            origins=store,
            clock=self._clock,
        )
        self.reports = origin_reports.OriginReports(
            entry_vm='vm-1',
            peer_address='vm-1:1',
            owner=self.owner,
            coordinators=coordinators,
            peers=self.peers,
            store=store,
            clock=self._clock,
        )
        self._finder = origin_finder.OriginFinder(
            owner=self.owner,
            coordinators=coordinators,
            peers=self.peers,
            reports=self.reports,
            store=store,
            defaults=defaults,
            service=lambda name: routes.Service(name=name),
        )

    def bind(self) -> str:
        """Resumes a stream; returns its version or the code of a refusal."""
        req = _request()
        try:
            self._finder.bind(req)
        except attempt_state.RequestRefused as exc:
            return exc.code.name
        finally:
            self.owner.stop()
        return req.software_version


def _request() -> routed_request.RoutedRequest:
    call = forwarding.CallerRequest(
        id='b',
        method='POST',
        target='/',
        path='/',
        host='h',
        headers=(),
        body=b'',
        after_event=2,
        resumes='a',
    )
    route = routes.Route(
        name='chat',
        host='h',
        path_prefix='/',
        kind='stream',
        targets=(routes.Target('s', 1),),
        timeout_s=3.0,
        target_s=0.3,
        resumable=True,
    )
    return routed_request.RoutedRequest(
        cast(Any, None),
        caller_request=call,
        route=route,
        service=_SERVICE,
        config_version=1,
        entry_vm='vm-1',
        request_metrics=metrics.Metrics(),
        clock=_Clock(),
    )


def _reply(*versions: str, list_age_ms: int = 100) -> messages.OriginReply:
    return messages.OriginReply(
        list_age_ms=list_age_ms, known_ms=60_000, versions=versions
    )


def test_another_vm_may_list_a_version_that_this_one_lacks() -> None:
    """Guards against a stream that goes on at the only version one VM lists."""
    finder = _Finder()
    finder.peers.reply = _reply('v1', 'v2')
    assert finder.bind() == 'origin-unknown'


def test_a_list_without_other_versions_is_enough() -> None:
    finder = _Finder()
    finder.peers.reply = _reply('v1')
    assert finder.bind() == 'v1'


def test_an_old_list_is_no_proof_of_one_version() -> None:
    """Guards against a guess by a VM that is cut off from all others."""
    assert _Finder(origin_finder.MAX_LIST_AGE_S + 1.0).bind() == (
        'origin-unknown'
    )


def test_what_waits_for_a_second_version_is_told_as_it_comes() -> None:
    """Guards against a search through all recent streams at each report."""
    finder = _Finder()
    sent: list[messages.Message] = []

    def record(
        address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        sent.append(msg)
        return messages.Pong()

    finder.peers.request = record  # type: ignore[method-assign]
    finder.reports.record(_origin(1))
    finder.reports.send()
    finder.reports.record(_origin(2))
    finder.reports.send()
    finder.owner.run(
        lambda state, now: state.fleet.put(_backend('d2', 'v2'), now)
    )
    finder.reports.send()
    finder.reports.send()
    finder.owner.stop()
    # The second origin was held back until the other version came.
    assert sent[0] == messages.OriginReport(origins=(_origin(1),))
    assert sent[1:] == [
        messages.OriginReport(origins=(_origin(number),), save=True)
        for number in (1, 2)
    ]


def test_a_vm_that_knows_no_other_saves_origins_at_once() -> None:
    """Guards against origins that are lost with a VM that just started."""
    finder = _Finder()

    def be_alone(state: router_state.RouterState, now: float) -> None:
        state.entry_vms = {}
        state.fleet.put(_backend('d2', 'v2'), now)

    finder.owner.run(be_alone)
    finder.reports.record(_origin(1))
    finder.reports.send()
    finder.owner.stop()
    assert len(finder.log.records) == 1
    finder.reports.save()
    assert len(finder.log.records) == 1


def test_a_stream_that_begins_during_a_report_is_reported_next() -> None:
    """Guards against first events that wait for a report not under way."""
    finder = _Finder()
    wakes: list[int] = []

    def begin_another(
        address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        if len(wakes) == 1:
            finder.reports.record(_origin(2), 0.001)
        return messages.Pong()

    finder.peers.request = begin_another  # type: ignore[method-assign]
    finder.owner.run(
        lambda state, now: state.fleet.put(_backend('d2', 'v2'), now)
    )
    finder.reports.on_report = lambda: wakes.append(1)
    finder.reports.record(_origin(1), 0.001)
    finder.reports.send()
    finder.owner.stop()
    assert len(wakes) == 2


def test_an_invalid_response_of_the_store_ends_no_request() -> None:
    """Guards against a resumed stream without any response."""
    finder = _Finder()
    finder.peers.reply = _reply('v1', 'v2')
    finder.log.is_garbled = True
    assert finder.bind() == 'origin-unknown'
