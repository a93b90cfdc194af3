"""Composition root of the router role, with its start and stop.

One such process runs on each entry VM. At a planned stop it first reports that
it is not ready, and keeps serving until the load balancer has noticed. It then
accepts no new connections, and ends when its requests have ended or shortly
before SIGKILL is due.
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
from foxtaildale import forwarding
from foxtaildale import incarnations
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import ports
from foxtaildale import routes
from foxtaildale_adapters import admin
from foxtaildale_adapters import allocator
from foxtaildale_adapters import byte_budget
from foxtaildale_adapters import caller_server
from foxtaildale_adapters import connection_relay
from foxtaildale_adapters import connectors
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics
from foxtaildale_adapters import peers
from foxtaildale_adapters import zmq_responder
from foxtaildaled import account_limits
from foxtaildaled import actors
from foxtaildaled import coordinator_client
from foxtaildaled import crash_detection
from foxtaildaled import crash_evidence
from foxtaildaled import default_version_store
from foxtaildaled import engine_cleanup
from foxtaildaled import generation
from foxtaildaled import loops
from foxtaildaled import origin_finder
from foxtaildaled import origin_reports
from foxtaildaled import origin_store
from foxtaildaled import placement_client
from foxtaildaled import placement_finder
from foxtaildaled import plain_forwarder
from foxtaildaled import prefill_clients
from foxtaildaled import process
from foxtaildaled import quarantine_manager
from foxtaildaled import router
from foxtaildaled import router_retry_budgets
from foxtaildaled import router_state
from foxtaildaled import self_reports
from foxtaildaled import sendlimits
from foxtaildaled import server_paths
from foxtaildaled import token_times
from foxtaildaled import tracked_flights
from foxtaildaled import vm_eligibility

# Time after the stop signal in which new connections are still accepted,
# seconds. The load balancer checks readiness once a second and removes a VM
# after two failed checks.
LAME_DUCK_S: Final = 2.8
# Time before SIGKILL that is reserved for the last responses and releases, and
# for closing connections, seconds.
CLOSE_MARGIN_S: Final = 1.0
# Part of it in which requests that were cut are answered, seconds.
_LAST_RESPONSES_S: Final = 0.3
# Time for each queue of releases to be sent at a close, seconds.
_FLUSH_S: Final = 0.1
# Number of threads that serve requests of other entry VMs.
_PEER_THREADS: Final = 3
# Interval of heartbeats on connections between entry VMs, seconds. Each entry
# VM has one connection to each coordinator that it sends requests to.
_HEARTBEAT_S: Final = 1.0
# Silence after which such a connection is replaced, seconds.
_SILENCE_S: Final = 2.5
# Time for which a connection stays open beyond the idle time announced to
# callers, seconds. A request that arrives at the last moment still finds its
# connection open.
_IDLE_MARGIN_S: Final = 3.0
# Time for a request to arrive completely, after the limit for its head,
# seconds.
_BODY_S: Final = 7.0
# Limits of the readiness server: number of threads, seconds and bytes.
_READY_THREADS: Final = 2
_READY_TIMEOUT_S: Final = 30.0
_READY_BODY: Final = 1024
# Interval at which a stop compares the clock with its end, seconds.
_STOP_POLL_S: Final = 0.05
# Interval at which each of the three servers checks for idle connections,
# seconds. It is long enough that an idle process rarely wakes up for the
# checks.
_IDLE_CHECK_S: Final = 0.5
# Maximum size of a request body until a configuration is known, bytes.
_BODY_BYTES: Final = 4_194_304


def clock() -> float:
    """Returns monotonic seconds; time in which the VM is suspended counts."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Adapters:
    """Implementations of the ports that the platform provides to the router."""

    __slots__ = ('codec', 'connector', 'decode', 'make_store', 'make_workers')

    def __init__(
        self,
        *,
        codec: ports.RecordCodec,
        make_store: Callable[[str], ports.KeyedTopics],
        decode: router.Decode,
        make_workers: Callable[[connectors.Connector], ports.ServerClient],
        connector: connectors.Connector,
    ) -> None:
        self.codec = codec
        # Creates a client of the store at an address.
        self.make_store = make_store
        self.decode = decode
        # Creates the client of the backend servers, which opens connections by
        # a connector, and the one that connects to the servers themselves.
        self.make_workers = make_workers
        self.connector = connector


class _Readiness:
    """Handles readiness checks of the load balancer."""

    __slots__ = ('_ready',)

    def __init__(self, ready: Callable[[], str]) -> None:
        self._ready = ready

    def handle(self, exchange: caller_server.Exchange) -> None:
        reason = self._ready()
        status = 503 if reason else 200
        exchange.respond(status, admin.TEXT, f'{reason or "ready"}\n'.encode())


class RouterDaemon:
    """The router of an entry VM: creates, starts and stops its parts."""

    __slots__ = (
        '_admin',
        '_byte_budget',
        '_cleanup',
        '_closed',
        '_codec',
        '_coordinators',
        '_crash_evidence',
        '_default_versions',
        '_ends_at',
        '_fitness',
        '_handlers',
        '_limit_accounting',
        '_limits_version',
        '_loops',
        '_metrics',
        '_open_flights',
        '_origin_finder',
        '_origin_reports',
        '_owner',
        '_peers',
        '_placement_plan',
        '_quarantining',
        '_readiness',
        '_relay',
        '_responder',
        '_self_reports',
        '_send_limits',
        '_server',
        '_server_paths',
        '_state',
        '_stopping',
        '_stores',
        '_workers',
        'addresses',
        'cfg',
    )

    def __init__(
        self, cfg: options.RouterOptions, adapters: Adapters, metrics_port: int
    ) -> None:
        self.cfg = cfg
        self._codec = adapters.codec
        rng = random.Random()
        self._stopping = threading.Event()
        # Bound addresses by purpose; set by `start`.
        self.addresses: dict[str, str] = {}
        self._limits_version = -1
        self._closed = False
        # Latest time at which this process ends; infinite until it is stopped.
        self._ends_at = math.inf
        # Each loop has its own client, so that a loop that waits delays no
        # other.
        self._stores: list[ports.KeyedTopics] = []
        self._metrics = metrics.Metrics()
        self._byte_budget = byte_budget.ByteBudget(
            cfg.memory_bytes * byte_budget.MEMORY_FRACTION
        )
        self._state = router_state.RouterState(
            adapters.codec,
            cfg.peer_address,
            cfg.seeds,
            cfg.data_centre,
            rng,
            link_bytes_per_s=cfg.link_bytes_per_s,
        )
        self._open_flights = tracked_flights.OpenFlights()
        owner = self._owner = actors.StateOwner(self._state, clock)
        self._peers = peers.Peers(_HEARTBEAT_S, _SILENCE_S)
        self._responder = zmq_responder.Responder(
            cfg.peer_address, self._handle, _PEER_THREADS
        )
        self._fitness = vm_eligibility.Eligibility(
            owner=owner,
            peers=self._peers,
            stopping=self._stopping,
            clock=clock,
            first_start=cfg.first_start,
            entry_vm=cfg.entry_vm,
        )
        self._coordinators = coordinator_client.CoordinatorClient(
            entry_vm=cfg.entry_vm,
            handle=self._handle,
            owner=owner,
            peers=self._peers,
            clock=clock,
        )
        self._send_limits = sendlimits.SendLimits(
            entry_vm=cfg.entry_vm,
            coordinators=self._coordinators,
            peers=self._peers,
            addresses=lambda: owner.run(lambda state, _: state.peers()),
            clock=clock,
        )
        self._self_reports = self_reports.SelfReportHandler(
            owner, self._send_limits
        )
        self._server_paths = server_paths.ServerPaths(
            direct=adapters.connector,
            entry_vm=cfg.entry_vm,
            data_centre=cfg.data_centre,
            entry_vms=lambda: owner.run(lambda state, _: state.entry_vms),
            servers=lambda: owner.run(lambda state, _: state.fleet.addresses()),
            clock=clock,
            rng=rng,
        )
        self._relay = connection_relay.Relay(
            cfg.relay_address,
            adapters.connector,
            self._server_paths,
            clock,
            incarnations.make('relay', cfg.entry_vm),
        )
        self._workers = tracked_flights.TrackingWorkers(
            adapters.make_workers(self._server_paths),
            self._open_flights,
            self._self_reports,
        )
        self._server_paths.on_changed = self._workers.close_idle
        self._cleanup = engine_cleanup.EngineCleanup(self._workers)
        self._placement_plan = placement_client.PlacementClient(
            entry_vm=cfg.entry_vm,
            owner=owner,
            coordinators=self._coordinators,
            clock=clock,
        )
        self._limit_accounting = account_limits.UsageCounter(
            configured=self._accounts,
            usage=allowances.Allowances(
                allowances.Tolerance(
                    window_s=cfg.limit_window_s,
                    overage=cfg.limit_overage,
                    slack=cfg.limit_slack,
                ),
                clock(),
                first_start=cfg.first_start,
            ),
            coordinators=self._coordinators,
            peers=self._peers,
            clock=clock,
        )
        evidence = self._crash_evidence = crash_evidence.CrashEvidence(
            owner=owner, peers=self._peers, clock=clock
        )
        self._quarantining = quarantine_manager.QuarantineManager(
            owner=owner,
            coordinators=self._coordinators,
            evidence=evidence,
            peers=self._peers,
            codec=adapters.codec,
            store=self._make_store(adapters),
            clock=clock,
        )
        origins = origin_store.OriginStore(
            reader=self._make_store(adapters),
            writer=self._make_store(adapters),
            clock=clock,
            wall=time.time,
        )
        self._default_versions = default_version_store.DefaultVersionStore(
            reader=self._make_store(adapters),
            writer=self._make_store(adapters),
            owner=owner,
            coordinators=self._coordinators,
            peers=self._peers,
            origins=origins,
            clock=clock,
            first_start=cfg.first_start,
        )
        self._origin_reports = origin_reports.OriginReports(
            entry_vm=cfg.entry_vm,
            peer_address=cfg.peer_address,
            owner=owner,
            coordinators=self._coordinators,
            peers=self._peers,
            store=origins,
            clock=clock,
        )
        self._origin_finder = origin_finder.OriginFinder(
            owner=owner,
            coordinators=self._coordinators,
            peers=self._peers,
            reports=self._origin_reports,
            store=origins,
            defaults=self._default_versions,
            service=self._service,
        )
        budgets = router_retry_budgets.RouterRetryBudgets(
            cfg.retry_ratio,
            cfg.retry_burst,
            owner,
            clock,
            cfg.entry_vm,
            first_start=cfg.first_start,
        )
        crash_probe = crash_detection.CrashDetector(
            self._server_paths, clock, self._quarantining.record_crash
        )

        def handle_restart(server: forwarding.Backend) -> int:
            crash_probe.handle_restart(server)
            return self._open_flights.cancel_earlier(server)

        self._state.on_restarted = handle_restart
        handler = router.Router(
            entry_vm=cfg.entry_vm,
            matcher=lambda: self._state.matcher,
            decode=adapters.decode,
            forwarder=plain_forwarder.PlainForwarder(
                owner=owner,
                workers=self._workers,
                budgets=budgets,
                send_limits=self._send_limits,
                crash_probe=crash_probe,
                budget=self._byte_budget,
                on_completed=self._quarantining.record_completed,
                clock=clock,
                rng=rng,
            ),
            generator=self._make_generate(adapters, budgets, crash_probe, rng),
            limiter=self._make_limiter(),
            request_metrics=self._metrics,
            clock=clock,
            ends_at=lambda: self._ends_at,
            is_accepting=self._is_accepting,
            find_quarantine=lambda request, parts: (
                self._state.quarantine_state.quarantine.find(
                    clock(), request, parts
                )
            ),
        )
        self._server = caller_server.Server(
            cfg.caller_address,
            handler,
            cfg.threads,
            _READY_TIMEOUT_S,
            _BODY_BYTES,
            entry_vm=cfg.entry_vm,
            half_close=False,
            idle_check_s=_IDLE_CHECK_S,
            has_peers=lambda: len(self._state.entry_vms) > 1,
            budget=self._byte_budget,
            on_body_refused=lambda: self._metrics.refused_bodies.add(
                1, 'request'
            ),
        )
        self._readiness = caller_server.Server(
            cfg.ready_address,
            _Readiness(self._unready_reason),
            _READY_THREADS,
            _READY_TIMEOUT_S,
            _READY_BODY,
            idle_check_s=_IDLE_CHECK_S,
        )
        self._admin = admin.Admin(
            f'{cfg.admin_host}:{metrics_port}',
            self._unready_reason,
            self._dump,
            self._metrics.render,
            _IDLE_CHECK_S,
        )
        self._loops = self._make_loops(adapters, rng)
        # Handlers by message type; `_state` handles all other messages.
        self._handlers: dict[type, Callable[[Any], messages.Message]] = {
            messages.EligibilityRequest: lambda _: self._fitness.probe_reply(),
            messages.CreditRequest: self._limit_accounting.admit,
            messages.CreditRefund: self._limit_accounting.refund,
            messages.UsageReport: self._limit_accounting.count_remote,
            messages.CrashReports: self._quarantining.apply_reports,
            messages.QuarantineUpdate: self._quarantining.apply_update,
            messages.CrashEvidenceRequest: self._crash_evidence.reply_to,
            messages.SendTokensRequest: self._send_limits.grant_tokens,
            messages.SendTokensReply: self._send_limits.apply_grants,
            messages.InventoryRequest: lambda msg: (
                self._placement_plan.current_placements(msg.service)
            ),
            messages.OriginReport: self._origin_reports.apply_report,
            messages.OriginsSaved: self._origin_reports.apply_confirmation,
            messages.OriginRequest: self._origin_finder.answer,
            messages.DefaultVersionsRequest: self._default_versions.answer,
            messages.DumpRequest: lambda _: messages.DumpReply(
                state=self._dump()
            ),
        }

    def start(self) -> None:
        """Starts the loops, then the servers."""
        if not allocator.return_large_blocks():
            logs.event(logging.WARNING, 'large blocks kept')
        self._responder.start()
        self._relay.start()
        self._cleanup.start()
        self._coordinators.start()
        self._origin_reports.start()
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
        """Stops gracefully.

        Requests in progress may run until shortly before SIGKILL is due.
        """
        stopped_at = clock()
        self._ends_at = stopped_at + self.cfg.grace_s - CLOSE_MARGIN_S
        self._stopping.set()
        self._server.announce_stop()
        logs.event(logging.INFO, 'stopping', **self._load())
        time.sleep(LAME_DUCK_S)
        self._server.stop_accepting()
        self._relay.stop_accepting()
        if not self._drain(self._ends_at):
            # Without their backend servers the requests end with an error that
            # still reaches their callers.
            cancelled = self._open_flights.cancel_all()
            logs.event(logging.WARNING, 'requests cut', requests=cancelled)
            self._drain(self._ends_at + _LAST_RESPONSES_S)
        logs.event(logging.INFO, 'stopped', **self._load())
        # What is still in use has had its time.
        self.close(in_use_s=0.0)

    def _drain(self, ends_at: float) -> bool:
        """Serves the requests in progress until no connection is open.

        Returns:
            False if one was still open at `ends_at`.
        """
        while clock() < ends_at:
            # A later request on an idle connection would have less time left.
            self._server.close_idle()
            if self._server.drain(_STOP_POLL_S):
                if not self._relay.open_connections():
                    return True
                time.sleep(_STOP_POLL_S)
        return False

    def requests_in_progress(self) -> int:
        """Returns the number of requests in progress."""
        return self._server.busy()

    def body_bytes(self) -> int:
        """Returns the bytes that the larger bodies under way use."""
        return self._byte_budget.used

    def relayed_connections(self) -> int:
        """Returns the number of connections relayed for other entry VMs."""
        return self._relay.open_connections()

    def entry_vms(self) -> frozenset[str]:
        """Returns the names of the known entry VMs."""
        return self._owner.run(lambda state, _: frozenset(state.entry_vms))

    def config_version(self) -> int | None:
        """Returns the version of the configuration in force, or None."""
        matcher = self._state.matcher
        return matcher.table.version if matcher is not None else None

    def close(self, in_use_s: float = caller_server.IN_USE_S) -> None:
        """Stops at once, also with requests in progress.

        Args:
            in_use_s: Time until connections in use are cut, seconds.
        """
        if self._closed:
            return
        self._closed = True
        for loop in self._loops:
            loop.request_stop()
        for server in (self._server, self._readiness, self._admin):
            server.close(in_use_s)
        # The requests that have just ended may have reported crashes, and queued
        # releases.
        self._quarantining.send_pending()
        dropped = self._cleanup.close(_FLUSH_S)
        dropped += self._coordinators.close(_FLUSH_S)
        dropped += self._origin_reports.close(_FLUSH_S)
        if dropped:
            logs.event(logging.WARNING, 'releases dropped', count=dropped)
        self._relay.close()
        self._responder.close()
        self._peers.close()
        self._owner.stop()

    def reload(self, cfg: options.RouterOptions) -> None:
        """Applies changed settings, except for the addresses to listen on."""
        if cfg == self.cfg:
            return
        self._owner.run(lambda state, _: state.set_seeds(cfg.seeds))
        for store in self._stores:
            store.set_address(cfg.store)
        self.cfg = cfg
        logs.event(
            logging.INFO, 'reloaded', store=cfg.store, seeds=list(cfg.seeds)
        )

    def _load(self) -> dict[str, int]:
        """Returns the requests in progress and the open connections."""
        return {
            'busy': self._server.busy(),
            'connections': self._server.open_connections(),
        }

    def _make_limiter(self) -> account_limits.Limiter:
        local_shares = account_limits.LocalShares(
            lambda: len(self._state.entry_vms), clock
        )
        return account_limits.CoordinatorLimiter(
            self._coordinators, local_shares
        )

    def _accounts(self) -> accounts.Accounts | None:
        matcher = self._state.matcher
        return matcher.client_accounts if matcher is not None else None

    def _service(self, name: str) -> routes.Service:
        matcher = self._state.matcher
        if matcher is None:
            return routes.Service(name=name)
        return matcher.table.service(name)

    def _make_generate(
        self,
        adapters: Adapters,
        budgets: router_retry_budgets.RouterRetryBudgets,
        crash_probe: crash_detection.CrashDetector,
        rng: random.Random,
    ) -> generation.Generation:
        placements = placement_finder.PlacementFinder(
            owner=self._owner,
            workers=self._workers,
            client=self._placement_plan,
            send_limits=self._send_limits,
            times=token_times.TokenTimes(clock),
            entry_vm=self.cfg.entry_vm,
            clock=clock,
        )
        return generation.Generation(
            owner=self._owner,
            workers=self._workers,
            budgets=budgets,
            placements=placements,
            origins=self._origin_finder,
            prefill_client=prefill_clients.PrefillClient(
                owner=self._owner,
                workers=self._workers,
                budgets=budgets,
                send_limits=self._send_limits,
                crash_probe=crash_probe,
                budget=self._byte_budget,
                clock=clock,
                on_failed=placements.record_failure,
                on_replaced=placements.report_replaced,
            ),
            cleanup=self._cleanup,
            crash_probe=crash_probe,
            budget=self._byte_budget,
            on_completed=self._quarantining.record_completed,
            clock=clock,
            rng=rng,
        )

    def _make_loops(
        self, adapters: Adapters, rng: random.Random
    ) -> list[process.Loop]:
        limits_loop = process.Loop(
            'limits',
            account_limits.REPORT_INTERVAL_S,
            self._limit_accounting.report_admitted,
        )
        quarantine_loop = process.Loop(
            'quarantine',
            self._quarantining.interval_s,
            self._quarantining.exchange_reports,
        )
        self._quarantining.on_report = quarantine_loop.wake
        send_limits_loop = process.Loop(
            'server limits',
            self._send_limits.interval_s,
            self._send_limits.exchange_tokens,
        )
        self._send_limits.on_limit_changed = send_limits_loop.wake
        origins_loop = process.Loop(
            'origins',
            origin_reports.REPORT_INTERVAL_S,
            self._origin_reports.send,
        )
        self._origin_reports.on_report = origins_loop.wake
        saved_origins_loop = process.Loop(
            'saved origins',
            origin_reports.SAVE_INTERVAL_S,
            self._origin_reports.save,
        )
        self._origin_reports.on_save = saved_origins_loop.wake
        default_versions_loop = process.Loop(
            'default versions',
            default_version_store.POLL_INTERVAL_S,
            self._default_versions.update,
        )
        paths_loop = process.Loop(
            'server paths',
            self._server_paths.interval_s,
            self._server_paths.probe_lost,
        )
        self._server_paths.on_probe_needed = paths_loop.wake
        return [
            paths_loop,
            origins_loop,
            saved_origins_loop,
            default_versions_loop,
            limits_loop,
            quarantine_loop,
            send_limits_loop,
            *loops.make_loops(
                self.cfg,
                relay_address=self._relay.address,
                codec=adapters.codec,
                store=lambda: self._make_store(adapters),
                workers=self._workers,
                owner=self._owner,
                peers=self._peers,
                client=self._placement_plan,
                eligibility=self._fitness,
                router_metrics=self._metrics,
                stopping=self._stopping,
                on_read=self._apply_limits,
                clock=clock,
                rng=rng,
            ),
        ]

    def _make_store(self, adapters: Adapters) -> ports.KeyedTopics:
        client = adapters.make_store(self.cfg.store)
        self._stores.append(client)
        return client

    def _apply_limits(self) -> None:
        matcher = self._state.matcher
        if matcher is None or matcher.table.version == self._limits_version:
            return
        limits = matcher.table.limits
        self._server.set_limits(
            limits.idle_s + _IDLE_MARGIN_S,
            limits.header_s + _BODY_S,
            limits.body_bytes,
        )
        self._limits_version = matcher.table.version

    def _handle(self, msg: messages.Message) -> messages.Message:
        # A VM that is refused chooses another coordinator or store reader at
        # once. Without the refusal it would first have to wait until it notices
        # that this process has ended.
        needs_coordinator = isinstance(
            msg,
            messages.PlacementRequest
            | messages.CreditRequest
            | messages.SendTokensRequest,
        )
        if needs_coordinator and self._fitness.ineligibility_reason():
            return messages.ErrorReply(
                code=self._fitness.ineligibility_reason()
            )
        needs_running = isinstance(
            msg,
            messages.RecordsRequest
            | messages.CrashReports
            | messages.OriginReport,
        )
        if needs_running and self._stopping.is_set():
            return messages.ErrorReply(code='stopping')
        handler = self._handlers.get(type(msg))
        if handler is not None:
            return handler(msg)
        return self._owner.run(lambda state, now: state.handle(msg, now))

    def _is_accepting(self) -> bool:
        return self._server.is_accepting()

    def _unready_reason(self) -> str:
        if self._stopping.is_set():
            return 'being stopped'
        if self._state.matcher is None:
            return 'no configuration is known'
        if not self._state.servers_received:
            return 'no list of backend servers is known'
        return ''

    def _dump(self) -> bytes:
        def collect(
            state: router_state.RouterState, now: float
        ) -> dict[str, object]:
            matcher = state.matcher
            return {
                'role': 'router',
                'entry_vm': self.cfg.entry_vm,
                'stopping': self._stopping.is_set(),
                'version': matcher.table.version if matcher else None,
                'fresh_at': state.servers_current_at,
                'store_failed_at': state.store_failed_at,
                'now': now,
                'entry_vms': sorted(state.entry_vms),
                'backend_servers': [
                    {
                        'id': server_state.backend.id,
                        'service': server_state.backend.service,
                        'stage': server_state.backend.stage,
                        'software': server_state.backend.version,
                        'leaving': server_state.backend.leaving,
                        'in_flight': server_state.in_flight,
                        'held_tokens': server_state.in_flight_tokens,
                        'faults': round(server_state.decayed_failures(now), 2),
                    }
                    for server_state in state.fleet.server_states()
                ],
                'busy': self._server.busy(),
                'stream_origins': len(self._origin_reports),
                'plans': state.plans.summary(),
                'accounts': self._limit_accounting.levels(),
                'server_limits': self._send_limits.limits(),
                'held': {
                    fingerprint.to_text(request): round(left_s)
                    for request, left_s in state.quarantine_state.quarantine.quarantined(
                        now
                    ).items()
                },
            }

        return json.dumps(self._owner.run(collect), sort_keys=True).encode()
