"""Composition root of the router role, and its start and stop.

One process a VM. At a planned stop it first says that it is not ready and goes
on serving until the balancer has noticed, then takes no new connections, then
ends when its requests have ended or the time before SIGKILL is over.
"""

from collections.abc import Callable
import json
import logging
import math
import random
import threading
import time
from typing import Any
from typing import Final

from foxtaildale import accounts
from foxtaildale import allowances
from foxtaildale import fingerprint
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import ports
from foxtaildale_adapters import admin
from foxtaildale_adapters import callers
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics
from foxtaildale_adapters import peers
from foxtaildale_adapters import probe
from foxtaildale_adapters import wire
from foxtaildaled import actors
from foxtaildaled import asking
from foxtaildaled import beliefs
from foxtaildaled import breaks
from foxtaildaled import fitness
from foxtaildaled import forward
from foxtaildaled import generate
from foxtaildaled import limits
from foxtaildaled import loops
from foxtaildaled import places
from foxtaildaled import process
from foxtaildaled import prompts
from foxtaildaled import quarantining
from foxtaildaled import router
from foxtaildaled import selfreports
from foxtaildaled import sendlimits
from foxtaildaled import sends
from foxtaildaled import spots
from foxtaildaled import tidy
from foxtaildaled import watched

# Time after the stop signal in which new connections are still taken, seconds:
# the balancer asks once a second and takes a VM out after two misses.
LAME_S: Final = 2.8
# Kept before SIGKILL for closing what is open, seconds.
CLOSE_S: Final = 0.5
# Threads that answer other entry VMs.
_PEER_THREADS: Final = 3
# Heartbeats of connections between entry VMs, and the silence after which one
# is replaced, seconds. Each entry VM has one to each home that it asks.
_HEARTBEAT_S: Final = 1.0
_SILENCE_S: Final = 2.5
# Beyond the idle time that callers are told, seconds, so that a request which
# comes at the last moment still finds its connection open.
_IDLE_MARGIN_S: Final = 3.0
# Time for a whole request to arrive after its head's bound, seconds.
_BODY_S: Final = 7.0
_READY_THREADS: Final = 2
_READY_TIMEOUT_S: Final = 30.0
_READY_BODY: Final = 1024
_STOP_POLL_S: Final = 0.05
# Time between looks for idle connections of each of three servers, seconds. A
# process at rest should hardly wake for them.
_LOOK_S: Final = 0.5
# Longest body before a configuration is known, bytes.
_BODY_BYTES: Final = 4_194_304


def clock() -> float:
    """Seconds, monotonic, running on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Adapters:
    """What a platform's adapter gives to the router."""

    __slots__ = ('codec', 'decode', 'store', 'workers')

    def __init__(
        self,
        *,
        codec: ports.RecordCodec,
        store: Callable[[str], ports.Topics],
        decode: router.Decode,
        workers: ports.Workers,
    ) -> None:
        self.codec = codec
        # Makes a client of the store, given its address.
        self.store = store
        self.decode = decode
        self.workers = workers


class _Readiness:
    """Answers the balancer."""

    __slots__ = ('_ready',)

    def __init__(self, ready: Callable[[], str]) -> None:
        self._ready = ready

    def handle(self, exchange: callers.Exchange) -> None:
        reason = self._ready()
        status = 503 if reason else 200
        exchange.respond(status, admin.TEXT, f'{reason or "ready"}\n'.encode())


class RouterDaemon:
    """The router of an entry VM."""

    __slots__ = (
        '_admin',
        '_asking',
        '_closed',
        '_codec',
        '_counting',
        '_ends_at',
        '_fitness',
        '_handlers',
        '_limits_version',
        '_loops',
        '_metrics',
        '_owner',
        '_peers',
        '_places',
        '_quarantining',
        '_readiness',
        '_responder',
        '_self_reports',
        '_send_limits',
        '_server',
        '_state',
        '_stopping',
        '_stores',
        '_tidy',
        'addresses',
        'cfg',
    )

    def __init__(
        self, cfg: options.RouterOptions, made: Adapters, metrics_port: int
    ) -> None:
        self.cfg = cfg
        self._codec = made.codec
        rng = random.Random()
        self._stopping = threading.Event()
        # Bound addresses, by use; filled by `start`.
        self.addresses: dict[str, str] = {}
        self._limits_version = -1
        self._closed = False
        # When this process ends at the latest, once it is being stopped.
        self._ends_at = math.inf
        # Each loop has a client of its own: one that waits holds up no other.
        self._stores: list[ports.Topics] = []
        self._metrics = metrics.Metrics()
        self._state = beliefs.Beliefs(
            made.codec, cfg.peer_address, cfg.seeds, cfg.data_centre, rng
        )
        running = watched.Running()
        self._state.on_restarted = running.restarted
        owner = self._owner = actors.Owner(self._state, clock)
        self._peers = peers.Peers(_HEARTBEAT_S, _SILENCE_S)
        self._responder = wire.Responder(
            cfg.peer_address, self._handle, _PEER_THREADS
        )
        self._fitness = fitness.Fitness(
            owner=owner,
            peers=self._peers,
            stopping=self._stopping,
            clock=clock,
            first_start=cfg.first_start,
            entry_vm=cfg.entry_vm,
        )
        self._asking = asking.Asking(
            entry_vm=cfg.entry_vm,
            handle=self._handle,
            owner=owner,
            peers=self._peers,
            clock=clock,
        )
        self._send_limits = sendlimits.SendLimits(
            entry_vm=cfg.entry_vm,
            homes=self._asking,
            peers=self._peers,
            addresses=lambda: owner.run(lambda state, _: state.peers()),
            clock=clock,
        )
        self._self_reports = selfreports.SelfReports(owner, self._send_limits)
        made = Adapters(
            codec=made.codec,
            store=made.store,
            decode=made.decode,
            workers=watched.Workers(
                made.workers,
                running,
                self._self_reports,
            ),
        )
        self._tidy = tidy.Tidy(made.workers)
        self._places = places.Places(
            entry_vm=cfg.entry_vm,
            owner=owner,
            homes=self._asking,
            clock=clock,
        )
        self._counting = limits.Counting(
            known=self._accounts,
            book=allowances.Allowances(
                allowances.Tolerance(
                    window_s=cfg.limit_window_s,
                    overage=cfg.limit_overage,
                    slack=cfg.limit_slack,
                ),
                clock(),
                first_start=cfg.first_start,
            ),
            homes=self._asking,
            peers=self._peers,
            clock=clock,
        )
        self._quarantining = quarantining.Quarantining(
            owner=owner,
            homes=self._asking,
            peers=self._peers,
            codec=made.codec,
            store=self._make_store(made),
            clock=clock,
        )
        budget = sends.Sends(
            cfg.retry_ratio,
            cfg.retry_burst,
            owner,
            clock,
            cfg.entry_vm,
            first_start=cfg.first_start,
        )
        broken = breaks.Breaks(probe.Probe(), clock, self._quarantining.crashed)
        handler = router.Router(
            entry_vm=cfg.entry_vm,
            matcher=lambda: self._state.matcher,
            decode=made.decode,
            plain=forward.Forward(
                owner=owner,
                workers=made.workers,
                budget=budget,
                send_limits=self._send_limits,
                broken=broken,
                on_completed=self._quarantining.completed,
                clock=clock,
                rng=rng,
            ),
            model=self._make_generate(made, budget, broken, rng),
            limiter=self._make_limiter(),
            counts=self._metrics,
            clock=clock,
            ends_at=lambda: self._ends_at,
            held_s=lambda found: self._state.verdicts.quarantine.left_s(
                clock(), found
            ),
        )
        self._server = callers.Server(
            cfg.caller_address,
            handler,
            cfg.threads,
            _READY_TIMEOUT_S,
            _BODY_BYTES,
            entry_vm=cfg.entry_vm,
            half_close=False,
            look_s=_LOOK_S,
        )
        self._readiness = callers.Server(
            cfg.ready_address,
            _Readiness(self._unready),
            _READY_THREADS,
            _READY_TIMEOUT_S,
            _READY_BODY,
            look_s=_LOOK_S,
        )
        self._admin = admin.Admin(
            f'{cfg.admin_host}:{metrics_port}',
            self._unready,
            self._dump,
            self._metrics.render,
            _LOOK_S,
        )
        self._loops = self._make_loops(made, rng)
        # Of messages that are not about what the router believes.
        self._handlers: dict[type, Callable[[Any], messages.Any]] = {
            messages.AskHome: lambda _: self._fitness.reply(),
            messages.AskCredit: self._counting.ask,
            messages.GiveBack: self._counting.take_back,
            messages.LetIn: self._counting.told,
            messages.CrashReports: self._quarantining.report,
            messages.Quarantined: self._quarantining.take,
            messages.AskSends: self._send_limits.lend,
            messages.Sends: self._send_limits.hear,
            messages.AskHeld: lambda msg: self._places.held(msg.service),
            messages.Dump: lambda _: messages.DumpReply(state=self._dump()),
        }

    def start(self) -> None:
        """Starts the loops, then serves."""
        self._responder.start()
        self._tidy.start()
        self._asking.start()
        for loop in self._loops:
            loop.start()
        self.addresses = {
            'admin': self._admin.start(),
            'caller': self._server.start(),
            'ready': self._readiness.start(),
        }
        logs.event(
            logging.INFO,
            'started',
            first_start=self.cfg.first_start,
            **self.addresses,
        )

    def stop(self) -> None:
        """Ends gracefully: cuts no request in progress."""
        began = clock()
        self._ends_at = began + self.cfg.grace_s - CLOSE_S
        self._stopping.set()
        self._server.announce_stop()
        logs.event(logging.INFO, 'stopping', busy=self._server.busy())
        time.sleep(LAME_S)
        self._server.stop_accepting()
        self._server.close_idle()
        while self._server.busy() and clock() < self._ends_at:
            time.sleep(_STOP_POLL_S)
        logs.event(logging.INFO, 'stopped', busy=self._server.busy())
        self.close()

    def busy(self) -> int:
        """Returns how many requests are in progress."""
        return self._server.busy()

    def entry_vms(self) -> frozenset[str]:
        """Returns the names of the entry VMs that it knows."""
        return self._owner.run(lambda state, _: frozenset(state.entry_vms))

    def version(self) -> int | None:
        """Returns the version of the configuration in force, if one is known."""
        matcher = self._state.matcher
        return matcher.table.version if matcher is not None else None

    def close(self) -> None:
        """Ends at once, whatever is in progress."""
        if self._closed:
            return
        self._closed = True
        for loop in self._loops:
            loop.end()
        for server in (self._server, self._readiness, self._admin):
            server.close()
        self._responder.close()
        self._peers.close()
        self._owner.stop()

    def reload(self, cfg: options.RouterOptions) -> None:
        """Takes changed settings; addresses to listen on stay as they are."""
        if cfg == self.cfg:
            return
        self._owner.run(lambda state, _: state.on_seeds(cfg.seeds))
        for store in self._stores:
            store.move(cfg.store)
        self.cfg = cfg
        logs.event(
            logging.INFO, 'reloaded', store=cfg.store, seeds=list(cfg.seeds)
        )

    def _make_limiter(self) -> limits.Limiter:
        alone = limits.Shares(lambda: len(self._state.entry_vms), clock)
        return limits.Homes(self._asking, alone)

    def _accounts(self) -> accounts.Accounts | None:
        matcher = self._state.matcher
        return matcher.client_accounts if matcher is not None else None

    def _make_generate(
        self,
        made: Adapters,
        budget: sends.Sends,
        broken: breaks.Breaks,
        rng: random.Random,
    ) -> generate.Generate:
        finder = spots.Spots(
            owner=self._owner,
            workers=made.workers,
            plan=self._places,
            send_limits=self._send_limits,
            entry_vm=self.cfg.entry_vm,
            clock=clock,
        )
        return generate.Generate(
            owner=self._owner,
            workers=made.workers,
            budget=budget,
            finder=finder,
            reader=prompts.Prompts(
                owner=self._owner,
                workers=made.workers,
                budget=budget,
                send_limits=self._send_limits,
                broken=broken,
                clock=clock,
                failed=finder.failed,
                replaced=finder.replaced,
            ),
            tidy=self._tidy,
            broken=broken,
            on_completed=self._quarantining.completed,
            clock=clock,
            rng=rng,
        )

    def _make_loops(
        self, made: Adapters, rng: random.Random
    ) -> list[process.Loop]:
        tell = process.Loop('limits', limits.TELL_S, self._counting.step)
        hold = process.Loop(
            'quarantine', self._quarantining.pace_s, self._quarantining.step
        )
        self._quarantining.on_report = hold.wake
        ask = process.Loop(
            'server limits', self._send_limits.pace_s, self._send_limits.step
        )
        self._send_limits.on_told = ask.wake
        return [
            tell,
            hold,
            ask,
            *loops.make(
                self.cfg,
                codec=made.codec,
                store=lambda: self._make_store(made),
                workers=made.workers,
                owner=self._owner,
                peers=self._peers,
                plan=self._places,
                fit=self._fitness,
                counts=self._metrics,
                stopping=self._stopping,
                on_read=self._apply_limits,
                clock=clock,
                rng=rng,
            ),
        ]

    def _make_store(self, made: Adapters) -> ports.Topics:
        found = made.store(self.cfg.store)
        self._stores.append(found)
        return found

    def _apply_limits(self) -> None:
        matcher = self._state.matcher
        if matcher is None or matcher.table.version == self._limits_version:
            return
        limits = matcher.table.limits
        self._server.on_limits(
            limits.idle_s + _IDLE_MARGIN_S,
            limits.header_s + _BODY_S,
            limits.body_bytes,
        )
        self._limits_version = matcher.table.version

    def _handle(self, msg: messages.Any) -> messages.Any:
        # Whoever is refused chooses another home or reader at once; left to
        # notice the end of this process, it would wait for it first.
        needs_home = isinstance(
            msg,
            messages.AskPlace | messages.AskCredit | messages.AskSends,
        )
        if needs_home and self._fitness.reason():
            return messages.Fail(code=self._fitness.reason())
        needs_life = isinstance(
            msg, messages.AskRecords | messages.CrashReports
        )
        if needs_life and self._stopping.is_set():
            return messages.Fail(code='stopping')
        handler = self._handlers.get(type(msg))
        if handler is not None:
            return handler(msg)
        return self._owner.run(lambda state, now: state.handle(msg, now))

    def _unready(self) -> str:
        if self._stopping.is_set():
            return 'being stopped'
        if self._state.matcher is None:
            return 'no configuration is known'
        if not self._state.servers_known:
            return 'no list of backend servers is known'
        return ''

    def _dump(self) -> bytes:
        def turn(state: beliefs.Beliefs, now: float) -> dict[str, object]:
            matcher = state.matcher
            return {
                'role': 'router',
                'entry_vm': self.cfg.entry_vm,
                'stopping': self._stopping.is_set(),
                'version': matcher.table.version if matcher else None,
                'fresh_at': state.fresh_at,
                'store_failed_at': state.failed_at,
                'now': now,
                'entry_vms': sorted(state.entry_vms),
                'backend_servers': [
                    {
                        'id': tally.backend.id,
                        'service': tally.backend.service,
                        'stage': tally.backend.stage,
                        'leaving': tally.backend.leaving,
                        'in_flight': tally.in_flight,
                        'held_tokens': tally.held_tokens,
                        'faults': round(tally.faults_now(now), 2),
                    }
                    for tally in state.fleet.known()
                ],
                'busy': self._server.busy(),
                'plans': state.plans.planned(),
                'accounts': self._counting.levels(),
                'server_limits': self._send_limits.limits(),
                'held': {
                    fingerprint.text(found): round(left_s)
                    for found, left_s in state.verdicts.quarantine.held(
                        now
                    ).items()
                },
            }

        return json.dumps(self._owner.run(turn), sort_keys=True).encode()
