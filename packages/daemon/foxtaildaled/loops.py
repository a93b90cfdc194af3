"""The loops of a router: what it follows, repeats and looks at.

Each runs in a thread of its own and has a client of the store of its own, so
that one which waits holds up no other.
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
    """Returns the loops, not started.

    Args:
        cfg: Settings of the router.
        codec: What the records of the store mean.
        store: Makes a client of the store.
        workers: The backend servers.
        owner: Owns what the router believes.
        peers: The other entry VMs.
        plan: The asking side of the homes.
        fit: Whether this entry VM may be one.
        counts: Metrics.
        stopping: Set when the router is told to stop.
        on_read: Called behind each read of configuration or servers.
        clock: Seconds.
        rng: Chooses among peers.
    """

    def topic(name: str, wait_s: float) -> syncing.Topic:
        return syncing.Topic(name, owner, store(), counts, wait_s)

    pace_s = cfg.leaving_s / syncing.READS_PER_BOUND
    limit_s = cfg.leaving_s * syncing.STALE_PART
    readers = storereaders.Readers(cfg.entry_vm, cfg.data_centre, clock)
    introduction = introductions.Introduction(
        owner=owner,
        peers=peers,
        own=cfg.peer_address,
        seeds=cfg.seeds,
        limit_s=limit_s,
        first_start=cfg.first_start,
        clock=clock,
        rng=rng,
    )

    # Wake those that leave reading to another VM, which may be no reader now.
    wakes: list[threading.Event] = []

    def wake_all() -> None:
        for wake in wakes:
            wake.set()

    readers.on_passed = wake_all

    def follow(name: str, wait_s: float) -> Callable[[], None]:
        lazy = syncing.Lazy(
            topic=topic(name, wait_s),
            owner=owner,
            readers=readers,
            entry_vm=cfg.entry_vm,
            limit_s=limit_s,
            rng=rng,
        )
        wakes.append(threading.Event())
        return _behind(introduction, _paced(lazy.step, on_read, wakes[-1]))

    members = syncing.Members(
        name=cfg.entry_vm,
        member=forwarding.EntryVm(cfg.peer_address, cfg.data_centre, cfg.cores),
        codec=codec,
        owner=owner,
        store=store(),
        topic=topic(codec.members_topic, 0.0),
        readers=readers,
        clock=clock,
    )
    peer = syncing.PeerSync(
        owner=owner,
        peers=peers,
        readers=readers,
        entry_vm=cfg.entry_vm,
        limit_s=limit_s,
        rng=rng,
    )

    def ask_peers() -> None:
        introduction.run()
        peer.step()

    balancer = balancing.Balancing(
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
    survey = surveys.Surveys(
        owner=owner, peers=peers, held=plan.held, clock=clock
    )
    survey_loop = process.Loop('surveys', surveys.LOOK_S, survey.step)
    owner.run(
        lambda state, _: setattr(state.plans, 'on_unsurveyed', survey_loop.wake)
    )
    config = follow(codec.config_topic, syncing.CONFIG_WAIT_S)
    balance = _unless(stopping, balancer.step)
    return [
        process.Loop('config', 0.0, config),
        process.Loop('servers', pace_s, follow(codec.servers_topic, 0.0)),
        process.Loop(
            'members',
            syncing.MEMBERS_S,
            _behind(introduction, _until(members.step)),
        ),
        process.Loop('places', places.PROBE_S, plan.step),
        process.Loop('fitness', fitness.LOOK_S, fit.step),
        survey_loop,
        process.Loop('peers', syncing.PEER_S, ask_peers),
        process.Loop('balancing', balancing.LOOK_S, balance),
    ]


def _behind(
    introduction: introductions.Introduction, step: Callable[[], None]
) -> Callable[[], None]:
    """Waits until what others know has been taken, or none of them knows."""

    def run() -> None:
        introduction.wait()
        step()

    return run


def _paced(
    step: Callable[[], float],
    after: Callable[[], None],
    wake: threading.Event,
) -> Callable[[], None]:
    """Waits as long as a step says, unless it is woken."""

    def run() -> None:
        wait_s = step()
        after()
        wake.wait(wait_s)
        wake.clear()

    return run


def _until(step: Callable[[], bool]) -> Callable[[], None]:
    """Repeats a step until it is done, with less and less haste."""

    def run() -> None:
        wait_s = syncing.PEER_S
        while not step():
            time.sleep(wait_s)
            wait_s = min(2 * wait_s, syncing.RETRY_MOST_S)

    return run


def _unless(
    stopping: threading.Event, step: Callable[[], None]
) -> Callable[[], None]:
    """Leaves what lasts to the entry VM that takes over."""

    def run() -> None:
        if not stopping.is_set():
            step()

    return run
