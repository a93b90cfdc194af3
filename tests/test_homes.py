"""Who is the home of a service, and what a new one knows."""

from collections.abc import Callable
from collections.abc import Sequence
import random
import threading

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import homes
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import routes
from foxtaildale import suspects
from foxtaildale_platform import records
from foxtaildaled import actors
from foxtaildaled import asking
from foxtaildaled import beliefs
from foxtaildaled import fitness
from foxtaildaled import places
from foxtaildaled import surveys

_SERVICE = 's'


class _Vms:
    """Entry VMs that answer as a test tells."""

    def __init__(self) -> None:
        # By address.
        self.handlers: dict[str, Callable[[messages.Any], messages.Any]] = {}
        self.asked: list[str] = []

    def ask(
        self, address: str, msg: messages.Any, timeout_s: float
    ) -> messages.Any:
        self.asked.append(address)
        if address not in self.handlers:
            raise errors.UnreachableError(f'{address} is down')
        reply = self.handlers[address](msg)
        if isinstance(reply, messages.Fail):
            raise errors.RejectedError(reply.code, reply.message)
        return reply

    def ask_all(
        self, addresses: Sequence[str], msg: messages.Any, timeout_s: float
    ) -> dict[str, messages.Any]:
        return {
            address: self.handlers[address](msg)
            for address in addresses
            if address in self.handlers
        }


def _state(names: Sequence[str], own: str) -> beliefs.Beliefs:
    state = beliefs.Beliefs(records.Codec(), own, (), '', random.Random(1))
    for name in names:
        state.entry_vms[name] = forwarding.EntryVm(f'{name}:1')
    service = routes.Service(
        name=_SERVICE, kv_tokens=10_000, hold_s=2.0, handle_s=0.5, slots=8
    )
    table = routes.Table(
        version=1, routes=(), services=(service,), limits=routes.Limits()
    )
    state.matcher = routes.Matcher(table)
    for name, stage in (('d', 'decode'), ('p', 'prefill')):
        state.fleet.put(
            forwarding.Backend(
                id=name,
                service=_SERVICE,
                address='x:1',
                stage='decode' if stage == 'decode' else 'prefill',
            )
        )
    return state


def _ask(request: str, waited_ms: int = 0) -> messages.AskPlace:
    return messages.AskPlace(
        service=_SERVICE,
        request=request,
        holder='vm-1',
        prompt=4000,
        hinted=500,
        longest=1000,
        waited_ms=waited_ms,
        target_ms=900,
        priority=1,
    )


def _kept(*requests: str) -> messages.KeepPlaces:
    return messages.KeepPlaces(
        service=_SERVICE,
        holder='vm-2',
        places=tuple(
            messages.KeptPlace(
                request=name, worker='d', prompt=4000, hinted=500, longest=1000
            )
            for name in requests
        ),
    )


def test_a_new_home_gives_nothing_before_it_knows_what_is_held() -> None:
    """The home is stopped while its engines are full, and another takes over.

    Knowing of nothing it would grant places that are taken. The prompts would
    be read, the decode workers turn them away, and the callers be refused.
    """
    state = _state(['vm-1', 'vm-2'], 'vm-1:1')
    woken: list[bool] = []
    state.plans.on_unsurveyed = lambda: woken.append(True)
    assert isinstance(state.plans.ask(_ask('new'), 1.0), messages.Queued)
    assert woken
    assert state.plans.surveys_due(1.0) == [_SERVICE]
    assert state.plans.surveyed(_SERVICE, [_kept('a', 'b')], 1.01)
    again = state.plans.ask(_ask('new'), 1.05)
    assert isinstance(again, messages.Queued)
    # Both have ended by the next time that it asks.
    assert not state.plans.surveyed(_SERVICE, [_kept()], 2.05)
    place = state.plans.ask(_ask('new'), 2.1)
    assert isinstance(place, messages.Place)


def test_a_home_asks_all_that_answer() -> None:
    """One of the VMs is down when another becomes home.

    Its places lapse, and those of the others are known at once.
    """
    state = _state(['vm-1', 'vm-2', 'vm-3'], 'vm-1:1')
    owner = actors.Owner(state, lambda: 5.0)
    vms = _Vms()
    vms.handlers['vm-2:1'] = lambda _: _kept('a')
    survey = surveys.Surveys(
        owner=owner, peers=vms, held=lambda _: _kept('b'), clock=lambda: 5.0
    )
    owner.run(lambda found, now: found.plans.ask(_ask('new'), now))
    survey.step()
    assert owner.run(lambda found, _: found.plans.planned())[_SERVICE][
        'planned'
    ] == {'d': 2}
    owner.stop()


class _Vm:
    """The asking side of one entry VM; `own` is the home by the hash.

    It is that VM itself unless told otherwise, then one that is never a home.
    """

    def __init__(self, answer: messages.Any, *, is_home: bool = True) -> None:
        names = [f'vm-{number}' for number in range(1, 5)]
        self.own = homes.home(_SERVICE, names)
        self.next = homes.home(_SERVICE, [n for n in names if n != self.own])
        self.now = 1.0
        self.vms = _Vms()
        self.answer = answer
        rest = [name for name in names if name not in (self.own, self.next)]
        me = self.own if is_home else rest[0]
        state = _state(names, f'{me}:1')
        self.owner = actors.Owner(state, self.clock)
        self.places = places.Places(
            entry_vm=me,
            owner=self.owner,
            homes=asking.Asking(
                entry_vm=me,
                handle=lambda _: self.answer,
                owner=self.owner,
                peers=self.vms,
                clock=self.clock,
            ),
            clock=self.clock,
        )

    def clock(self) -> float:
        return self.now


def test_a_home_that_stops_asks_the_next_one_for_its_own_requests() -> None:
    """The VM that is home is stopped by plan, and still has callers.

    Refused by itself, it must not reserve at the engines behind the back of
    the next home.
    """
    place = messages.Place(worker='d', prefiller='p')
    vm = _Vm(messages.Fail(code='stopping'))
    vm.vms.handlers[f'{vm.next}:1'] = lambda _: place
    assert vm.places.ask(_ask('a')) == place
    # Nobody asks it while it says that it is not fit.
    vm.vms.handlers[f'{vm.own}:1'] = lambda _: messages.HomeReply(
        fit=False, grown=False
    )
    vm.now += 1.0
    vm.places.step()
    assert not vm.places.is_home(_SERVICE)
    vm.vms.handlers[f'{vm.own}:1'] = lambda _: messages.HomeReply(
        fit=True, grown=True
    )
    vm.now += 1.0
    vm.places.step()
    assert vm.places.is_home(_SERVICE)
    vm.owner.stop()


def _fitness(
    peers: ports.PeerGroup, now: list[float], *, first_start: bool = False
) -> fitness.Fitness:
    state = _state(['vm-1', 'vm-2'], 'vm-1:1')
    return fitness.Fitness(
        owner=actors.Owner(state, lambda: now[0]),
        peers=peers,
        stopping=threading.Event(),
        clock=lambda: now[0],
        first_start=first_start,
        entry_vm='vm-1',
    )


def test_a_new_process_leaves_homes_to_older_ones() -> None:
    """VMs are replaced one after the other while engines are full.

    By the hash a new process would be home at once: the home would move twice
    for each VM, and each time the VMs disagree for a moment.
    """
    now = [100.0]
    vms = _Vms()
    vms.handlers['vm-2:1'] = lambda _: messages.HomeReply(fit=True, grown=True)
    found = _fitness(vms, now)
    found.step()
    assert found.reason() == 'young'
    assert not found.reply().fit
    now[0] += fitness.GROWN_S
    assert found.reason() == ''
    assert found.reply() == messages.HomeReply(fit=True, grown=True)


def test_where_all_are_new_one_of_them_is_home() -> None:
    """All VMs lose power at once and start again together."""
    now = [100.0]
    vms = _Vms()
    vms.handlers['vm-2:1'] = lambda _: messages.HomeReply(
        fit=False, grown=False
    )
    found = _fitness(vms, now)
    assert found.reason() == 'young'
    found.step()
    assert found.reason() == ''


def test_at_the_first_start_of_all_no_one_waits() -> None:
    assert _fitness(_Vms(), [100.0], first_start=True).reason() == ''


def test_a_home_that_is_gone_for_good_is_found_before_it_is_needed() -> None:
    """A VM was replaced, and the list still names it as the home.

    Each process that starts later lost half a second of its first requests to
    it, and all processes start at once after a power loss.
    """
    place = messages.Place(worker='d', prefiller='p')
    vm = _Vm(place, is_home=False)
    vm.vms.handlers[f'{vm.next}:1'] = lambda _: place
    for _ in range(suspects.MISSES):
        vm.places.step()
    vm.vms.asked.clear()
    assert vm.places.ask(_ask('a')) == place
    assert vm.vms.asked == [f'{vm.next}:1']
    # One that answered is not asked again for nothing.
    vm.vms.asked.clear()
    vm.places.step()
    assert vm.vms.asked == []
    vm.owner.stop()
