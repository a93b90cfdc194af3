"""Creates the periodic loops of a router.

Each loop runs in its own thread and has its own client of the store, so that a
loop that waits does not block another one.
"""

from collections.abc import Callable
import random
import threading
import time

from foxtaildale import forwarding
from foxtaildale import incarnations
from foxtaildale import options
from foxtaildale import ports
from foxtaildale_adapters import metrics
from foxtaildaled import actors
from foxtaildaled import initial_state
from foxtaildaled import inventories
from foxtaildaled import placement_client
from foxtaildaled import process
from foxtaildaled import reader_choice
from foxtaildaled import router_state
from foxtaildaled import stage_orders
from foxtaildaled import store_sync
from foxtaildaled import vm_eligibility


def make_loops(
    cfg: options.RouterOptions,
    *,
    relay_address: str,
    codec: ports.RecordCodec,
    store: Callable[[], ports.KeyedTopics],
    workers: ports.ServerClient,
    owner: actors.StateOwner[router_state.RouterState],
    peers: ports.PeerGroup,
    client: placement_client.PlacementClient,
    eligibility: vm_eligibility.Eligibility,
    router_metrics: metrics.Metrics,
    stopping: threading.Event,
    on_read: Callable[[], None],
    clock: ports.Clock,
    rng: random.Random,
) -> list[process.Loop]:
    """Returns the loops; they are not started.

    Args:
        cfg: Settings of the router.
        relay_address: Address at which connections are relayed to backend
            servers for other entry VMs.
        codec: Encodes and decodes the records of the store.
        store: Makes a client of the store.
        workers: The backend servers.
        owner: Owns the state of the router.
        peers: The other entry VMs.
        client: The client that sends placement requests to coordinators.
        eligibility: Checks whether this entry VM may be a coordinator.
        router_metrics: Metrics of the router.
        stopping: Set when the router is asked to stop.
        on_read: Called after each read of the configuration or the servers.
        clock: Returns the time, seconds.
        rng: Chooses among peers.
    """

    def make_topic(name: str, wait_s: float) -> store_sync.TopicReader:
        return store_sync.TopicReader(
            name, owner, store(), router_metrics, wait_s
        )

    max_age_s = cfg.leaving_s * store_sync.MAX_AGE_FRACTION
    readers = reader_choice.ReaderChoice(cfg.entry_vm, cfg.data_centre, clock)
    introduction = initial_state.InitialState(
        owner=owner,
        config_topic=codec.config_topic,
        peers=peers,
        own_address=cfg.peer_address,
        seeds=cfg.seeds,
        max_age_s=max_age_s,
        first_start=cfg.first_start,
        clock=clock,
        rng=rng,
    )

    # Events that wake the loops that rely on another reader, by topic.
    wake_events: dict[str, threading.Event] = {}

    def wake_all() -> None:
        # The reader may have changed.
        for wake in wake_events.values():
            wake.set()

    def wake_topic(topic: str) -> None:
        if topic in wake_events:
            wake_events[topic].set()

    readers.on_reader_excluded = wake_all
    owner.run(
        lambda state, _: setattr(
            state.large_records, 'on_announced', wake_topic
        )
    )

    def make_reader(
        name: str, topic: str, *, wait_s: float, interval_s: float
    ) -> process.Loop:
        reader = store_sync.FallbackReader(
            topic=make_topic(topic, wait_s),
            owner=owner,
            peers=peers,
            readers=readers,
            entry_vm=cfg.entry_vm,
            interval_s=interval_s,
            max_age_s=max_age_s,
            rng=rng,
        )
        wake = wake_events[topic] = threading.Event()
        step = _with_pause(reader.read_if_stale, on_read, wake)
        # The pause is part of the step.
        return process.Loop(name, 0.0, _after_introduction(introduction, step))

    members = store_sync.MemberListing(
        name=cfg.entry_vm,
        member=forwarding.EntryVm(
            cfg.peer_address, cfg.data_centre, cfg.cores, relay_address
        ),
        codec=codec,
        owner=owner,
        store=store(),
        topic=make_topic(codec.members_topic, 0.0),
        readers=readers,
        clock=clock,
    )
    peer_sync = store_sync.PeerSync(
        owner=owner,
        peers=peers,
        readers=readers,
        entry_vm=cfg.entry_vm,
        max_age_s=max_age_s,
        rng=rng,
    )

    def sync_with_peers() -> None:
        introduction.run()
        peer_sync.sync_once()

    stage_balancer = stage_orders.StageOrders(
        entry_vm=cfg.entry_vm,
        holder=incarnations.make('router', cfg.entry_vm),
        lease_s=cfg.lease_s,
        owner=owner,
        client=client,
        codec=codec,
        store=store(),
        workers=workers,
        clock=clock,
    )
    inventory = inventories.Inventories(
        owner=owner,
        peers=peers,
        own_placements=client.current_placements,
        clock=clock,
    )
    inventory_loop = process.Loop(
        'surveys', inventories.POLL_S, inventory.take_due
    )
    owner.run(
        lambda state, _: setattr(
            state.plans, 'on_inventory_needed', inventory_loop.wake
        )
    )
    balance_stages = _unless_stopping(
        stopping, stage_balancer.order_due_changes
    )
    return [
        make_reader(
            'config',
            codec.config_topic,
            wait_s=store_sync.CONFIG_WAIT_S,
            interval_s=0.0,
        ),
        make_reader(
            'servers',
            codec.servers_topic,
            wait_s=0.0,
            interval_s=cfg.leaving_s / store_sync.READS_PER_LEAVING_BOUND,
        ),
        process.Loop(
            'members',
            store_sync.MEMBERS_INTERVAL_S,
            _after_introduction(introduction, _until_done(members.list_once)),
        ),
        process.Loop(
            'places',
            placement_client.PROBE_INTERVAL_S,
            client.probe_coordinators,
        ),
        process.Loop(
            'fitness', vm_eligibility.POLL_S, eligibility.check_older_vms
        ),
        inventory_loop,
        process.Loop('peers', store_sync.PEER_INTERVAL_S, sync_with_peers),
        process.Loop('balancing', stage_orders.POLL_S, balance_stages),
    ]


def _after_introduction(
    introduction: initial_state.InitialState, step: Callable[[], None]
) -> Callable[[], None]:
    """Returns a step that runs after the initial state was requested.

    It waits until the state of another VM was applied or no VM has any.
    """

    def run() -> None:
        introduction.wait()
        step()

    return run


def _with_pause(
    step: Callable[[], float],
    on_done: Callable[[], None],
    wake: threading.Event,
) -> Callable[[], None]:
    """Returns a step that waits as long as `step` returns, or until `wake`."""

    def run() -> None:
        wait_s = step()
        on_done()
        wake.wait(wait_s)
        wake.clear()

    return run


def _until_done(step: Callable[[], bool]) -> Callable[[], None]:
    """Returns a step that repeats `step` until it is done.

    The wait between attempts doubles up to a maximum.
    """

    def run() -> None:
        wait_s = store_sync.PEER_INTERVAL_S
        while not step():
            time.sleep(wait_s)
            wait_s = min(2 * wait_s, store_sync.MAX_RETRY_S)

    return run


def _unless_stopping(
    stopping: threading.Event, step: Callable[[], None]
) -> Callable[[], None]:
    """Returns a step that does nothing while the router stops.

    Work that takes long is left to the entry VM that takes over.
    """

    def run() -> None:
        if not stopping.is_set():
            step()

    return run
