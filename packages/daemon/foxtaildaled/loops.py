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
from foxtaildaled import balancing
from foxtaildaled import beliefs
from foxtaildaled import fitness
from foxtaildaled import introductions
from foxtaildaled import places
from foxtaildaled import process
from foxtaildaled import storereaders
from foxtaildaled import surveys
from foxtaildaled import syncing


def make(
    cfg: options.RouterOptions,
    *,
    codec: ports.RecordCodec,
    store: Callable[[], ports.Topics],
    workers: ports.Workers,
    owner: actors.Owner[beliefs.Beliefs],
    peers: ports.PeerGroup,
    plan: places.Places,
    fit: fitness.Fitness,
    counts: metrics.Metrics,
    stopping: threading.Event,
    on_read: Callable[[], None],
    clock: ports.Clock,
    rng: random.Random,
) -> list[process.Loop]:
    """Returns the loops; they are not started.

    Args:
        cfg: Settings of the router.
        codec: Encodes and decodes the records of the store.
        store: Makes a client of the store.
        workers: The backend servers.
        owner: Owns the state of the router.
        peers: The other entry VMs.
        plan: The client that sends placement requests to coordinators.
        fit: Checks whether this entry VM may be a coordinator.
        counts: Metrics of the router.
        stopping: Set when the router is asked to stop.
        on_read: Called after each read of the configuration or the servers.
        clock: Returns the time, seconds.
        rng: Chooses among peers.
    """

    def make_topic(name: str, wait_s: float) -> syncing.Topic:
        return syncing.Topic(name, owner, store(), counts, wait_s)

    read_interval_s = cfg.leaving_s / syncing.READS_PER_BOUND
    max_age_s = cfg.leaving_s * syncing.STALE_PART
    readers = storereaders.Readers(cfg.entry_vm, cfg.data_centre, clock)
    introduction = introductions.Introduction(
        owner=owner,
        peers=peers,
        own=cfg.peer_address,
        seeds=cfg.seeds,
        limit_s=max_age_s,
        first_start=cfg.first_start,
        clock=clock,
        rng=rng,
    )

    # Wakes the loops that rely on another reader, since it may have changed.
    wake_events: list[threading.Event] = []

    def wake_all() -> None:
        for wake in wake_events:
            wake.set()

    readers.on_passed = wake_all

    def make_reader(name: str, wait_s: float) -> Callable[[], None]:
        reader = syncing.Lazy(
            topic=make_topic(name, wait_s),
            owner=owner,
            readers=readers,
            entry_vm=cfg.entry_vm,
            limit_s=max_age_s,
            rng=rng,
        )
        wake_events.append(threading.Event())
        return _after_introduction(
            introduction, _with_pause(reader.step, on_read, wake_events[-1])
        )

    members = syncing.Members(
        name=cfg.entry_vm,
        member=forwarding.EntryVm(cfg.peer_address, cfg.data_centre, cfg.cores),
        codec=codec,
        owner=owner,
        store=store(),
        topic=make_topic(codec.members_topic, 0.0),
        readers=readers,
        clock=clock,
    )
    peer_sync = syncing.PeerSync(
        owner=owner,
        peers=peers,
        readers=readers,
        entry_vm=cfg.entry_vm,
        limit_s=max_age_s,
        rng=rng,
    )

    def sync_with_peers() -> None:
        introduction.run()
        peer_sync.step()

    stage_balancer = balancing.Balancing(
        entry_vm=cfg.entry_vm,
        holder=incarnations.make('router', cfg.entry_vm),
        lease_s=cfg.lease_s,
        owner=owner,
        plan=plan,
        codec=codec,
        store=store(),
        workers=workers,
        clock=clock,
    )
    inventory = surveys.Surveys(
        owner=owner, peers=peers, held=plan.held, clock=clock
    )
    inventory_loop = process.Loop('surveys', surveys.LOOK_S, inventory.step)
    owner.run(
        lambda state, _: setattr(
            state.plans, 'on_unsurveyed', inventory_loop.wake
        )
    )
    read_config = make_reader(codec.config_topic, syncing.CONFIG_WAIT_S)
    balance_stages = _unless_stopping(stopping, stage_balancer.step)
    return [
        process.Loop('config', 0.0, read_config),
        process.Loop(
            'servers', read_interval_s, make_reader(codec.servers_topic, 0.0)
        ),
        process.Loop(
            'members',
            syncing.MEMBERS_S,
            _after_introduction(introduction, _until_done(members.step)),
        ),
        process.Loop('places', places.PROBE_S, plan.step),
        process.Loop('fitness', fitness.LOOK_S, fit.step),
        inventory_loop,
        process.Loop('peers', syncing.PEER_S, sync_with_peers),
        process.Loop('balancing', balancing.LOOK_S, balance_stages),
    ]


def _after_introduction(
    introduction: introductions.Introduction, step: Callable[[], None]
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
        wait_s = syncing.PEER_S
        while not step():
            time.sleep(wait_s)
            wait_s = min(2 * wait_s, syncing.RETRY_MOST_S)

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
