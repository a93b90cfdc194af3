"""Choice of the coordinator of a service, and what a new one knows."""

from collections.abc import Callable
from collections.abc import Sequence
import random
import threading

from foxtaildale import coordinator_choice
from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import routes
from foxtaildale import suspects
from foxtaildale_platform import records
from foxtaildaled import actors
from foxtaildaled import coordinator_client
from foxtaildaled import inventories
from foxtaildaled import placement_client
from foxtaildaled import router_state
from foxtaildaled import vm_eligibility

_SERVICE = 's'


class _Vms:
    """Entry VMs that reply with the handlers that a test sets."""

    def __init__(self) -> None:
        # By address.
        self.handlers: dict[
            str, Callable[[messages.Message], messages.Message]
        ] = {}
        self.asked: list[str] = []

    def request(
        self, address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        self.asked.append(address)
        if address not in self.handlers:
            raise errors.UnreachableError(f'{address} is down')
        reply = self.handlers[address](msg)
        if isinstance(reply, messages.ErrorReply):
            raise errors.RejectedError(reply.code, reply.message)
        return reply

    def request_all(
        self, addresses: Sequence[str], msg: messages.Message, timeout_s: float
    ) -> dict[str, messages.Message]:
        return {
            address: self.handlers[address](msg)
            for address in addresses
            if address in self.handlers
        }


def _state(names: Sequence[str], own: str) -> router_state.RouterState:
    state = router_state.RouterState(
        records.Codec(), own, (), '', random.Random(1)
    )
    for name in names:
        state.entry_vms[name] = forwarding.EntryVm(f'{name}:1')
    service = routes.Service(
        name=_SERVICE, kv_tokens=10_000, hold_s=2.0, handle_s=0.5, slots=8
    )
    table = routes.RoutingTable(
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


def _placement_request(
    request: str, waited_ms: int = 0
) -> messages.PlacementRequest:
    return messages.PlacementRequest(
        service=_SERVICE,
        request=request,
        holder='vm-1',
        prompt_tokens=4000,
        hinted_tokens=500,
        max_output_tokens=1000,
        waited_ms=waited_ms,
        target_ms=900,
        priority=1,
    )


def _placements(*requests: str) -> messages.PlacementRenewal:
    return messages.PlacementRenewal(
        service=_SERVICE,
        holder='vm-2',
        places=tuple(
            messages.ActivePlacement(
                request=name,
                decode_worker='d',
                prompt_tokens=4000,
                hinted_tokens=500,
                max_output_tokens=1000,
            )
            for name in requests
        ),
    )


def test_a_new_coordinator_grants_nothing_before_its_inventory() -> None:
    """The coordinator stops while its engines are full; another VM takes over.

    Without the existing placements it would grant their memory again. Prefills
    would be wasted, and decode workers and then callers would be refused.
    """
    state = _state(['vm-1', 'vm-2'], 'vm-1:1')
    inventory_requests: list[bool] = []
    state.plans.on_inventory_needed = lambda: inventory_requests.append(True)
    assert isinstance(
        state.plans.request_placement(_placement_request('new'), 1.0),
        messages.Queued,
    )
    assert inventory_requests
    assert state.plans.due_inventories(1.0) == [_SERVICE]
    assert state.plans.apply_inventory(_SERVICE, [_placements('a', 'b')], 1.01)
    again = state.plans.request_placement(_placement_request('new'), 1.05)
    assert isinstance(again, messages.Queued)
    # Both placements are released before the next inventory.
    assert not state.plans.apply_inventory(_SERVICE, [_placements()], 2.05)
    place = state.plans.request_placement(_placement_request('new'), 2.1)
    assert isinstance(place, messages.PlacementGrant)


def test_the_inventory_includes_all_reachable_vms() -> None:
    """One of the VMs is down when another becomes the coordinator.

    Its placements expire, and those of the others are known immediately.
    """
    state = _state(['vm-1', 'vm-2', 'vm-3'], 'vm-1:1')
    owner = actors.StateOwner(state, lambda: 5.0)
    vms = _Vms()
    vms.handlers['vm-2:1'] = lambda _: _placements('a')
    inventory = inventories.Inventories(
        owner=owner,
        peers=vms,
        own_placements=lambda _: _placements('b'),
        clock=lambda: 5.0,
    )
    owner.run(
        lambda state, now: state.plans.request_placement(
            _placement_request('new'), now
        )
    )
    inventory.take_due()
    assert owner.run(lambda state, _: state.plans.summary())[_SERVICE][
        'planned'
    ] == {'d': 2}
    owner.stop()


class _Vm:
    """The requesting side of one entry VM; `own` is the coordinator by hash.

    The VM is `own` itself, or one that is never a coordinator if `is_home` is
    false.
    """

    def __init__(
        self, reply: messages.Message, *, is_home: bool = True
    ) -> None:
        names = [f'vm-{number}' for number in range(1, 5)]
        self.own = coordinator_choice.choose_coordinator(_SERVICE, names)
        self.next = coordinator_choice.choose_coordinator(
            _SERVICE, [n for n in names if n != self.own]
        )
        self.now = 1.0
        self.vms = _Vms()
        self.reply = reply
        others = [name for name in names if name not in (self.own, self.next)]
        entry_vm = self.own if is_home else others[0]
        state = _state(names, f'{entry_vm}:1')
        self.owner = actors.StateOwner(state, self.clock)
        self.places = placement_client.PlacementClient(
            entry_vm=entry_vm,
            owner=self.owner,
            coordinators=coordinator_client.CoordinatorClient(
                entry_vm=entry_vm,
                handle=lambda _: self.reply,
                owner=self.owner,
                peers=self.vms,
                clock=self.clock,
            ),
            clock=self.clock,
        )

    def clock(self) -> float:
        return self.now


def test_a_stopping_coordinator_requests_from_its_successor() -> None:
    """The coordinator is shut down in order and still has callers.

    It refuses its own requests, and must not make reservations at the engines
    that the next coordinator doesn't know of.
    """
    place = messages.PlacementGrant(decode_worker='d', prefill_worker='p')
    vm = _Vm(messages.ErrorReply(code='stopping'))
    vm.vms.handlers[f'{vm.next}:1'] = lambda _: place
    assert vm.places.request(_placement_request('a')) == place
    # It gets no requests while it reports that it is unfit.
    vm.vms.handlers[f'{vm.own}:1'] = lambda _: messages.EligibilityReply(
        eligible=False, established=False
    )
    vm.now += 1.0
    vm.places.probe_coordinators()
    assert not vm.places.is_coordinator(_SERVICE)
    vm.vms.handlers[f'{vm.own}:1'] = lambda _: messages.EligibilityReply(
        eligible=True, established=True
    )
    vm.now += 1.0
    vm.places.probe_coordinators()
    assert vm.places.is_coordinator(_SERVICE)
    vm.owner.stop()


def _make_fitness(
    peers: ports.PeerGroup, now: list[float], *, first_start: bool = False
) -> vm_eligibility.Eligibility:
    state = _state(['vm-1', 'vm-2'], 'vm-1:1')
    return vm_eligibility.Eligibility(
        owner=actors.StateOwner(state, lambda: now[0]),
        peers=peers,
        stopping=threading.Event(),
        clock=lambda: now[0],
        first_start=first_start,
        entry_vm='vm-1',
    )


def test_a_new_process_is_no_coordinator_beside_older_ones() -> None:
    """VMs are replaced one after the other while engines are full.

    By the hash a new process would be the coordinator at once: it would change
    twice for each VM, and the VMs briefly disagree at each change.
    """
    now = [100.0]
    vms = _Vms()
    vms.handlers['vm-2:1'] = lambda _: messages.EligibilityReply(
        eligible=True, established=True
    )
    vm_fitness = _make_fitness(vms, now)
    vm_fitness.check_older_vms()
    assert vm_fitness.ineligibility_reason() == 'young'
    assert not vm_fitness.probe_reply().eligible
    now[0] += vm_eligibility.MATURITY_DELAY_S
    assert vm_fitness.ineligibility_reason() == ''
    assert vm_fitness.probe_reply() == messages.EligibilityReply(
        eligible=True, established=True
    )


def test_a_new_process_is_fit_if_all_others_are_new() -> None:
    """All VMs lose power and restart at the same time."""
    now = [100.0]
    vms = _Vms()
    vms.handlers['vm-2:1'] = lambda _: messages.EligibilityReply(
        eligible=False, established=False
    )
    vm_fitness = _make_fitness(vms, now)
    assert vm_fitness.ineligibility_reason() == 'young'
    vm_fitness.check_older_vms()
    assert vm_fitness.ineligibility_reason() == ''


def test_the_first_start_of_a_site_has_no_waiting_time() -> None:
    assert (
        _make_fitness(_Vms(), [100.0], first_start=True).ineligibility_reason()
        == ''
    )


def test_a_removed_coordinator_is_detected_before_requests() -> None:
    """A VM was replaced, and the list still names it as the coordinator.

    Each process that starts later would delay its first requests by half a
    second, and all processes start at once after a power loss.
    """
    place = messages.PlacementGrant(decode_worker='d', prefill_worker='p')
    vm = _Vm(place, is_home=False)
    vm.vms.handlers[f'{vm.next}:1'] = lambda _: place
    for _ in range(suspects.MAX_LOST_REPLIES):
        vm.places.probe_coordinators()
    vm.vms.asked.clear()
    assert vm.places.request(_placement_request('a')) == place
    assert vm.vms.asked == [f'{vm.next}:1']
    # A VM that just replied gets no probe.
    vm.vms.asked.clear()
    vm.places.probe_coordinators()
    assert vm.vms.asked == []
    vm.owner.stop()
