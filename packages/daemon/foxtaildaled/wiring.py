"""Composition root of the daemon: creates its parts and connects them.

For these roles no other module constructs adapters. A role consists of a list
of loops, a server for the other processes, a server for operators, and, for an
entry, a server for callers.
"""

import json
import logging
import os
import time
from typing import Protocol

from foxtaildale import abandoned_holdings
from foxtaildale import incarnations
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import tickets
from foxtaildale import values
from foxtaildale_adapters import admin
from foxtaildale_adapters import caller_server
from foxtaildale_adapters import engines
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics
from foxtaildale_adapters import peers
from foxtaildale_adapters import platform
from foxtaildale_adapters import services
from foxtaildale_adapters import stream_reader
from foxtaildale_adapters import zmq_responder
from foxtaildaled import account_limits
from foxtaildaled import actors
from foxtaildaled import cancels
from foxtaildaled import chat_requests
from foxtaildaled import claim_client
from foxtaildaled import completions
from foxtaildaled import entry
from foxtaildaled import entry_retry_budgets
from foxtaildaled import keeper
from foxtaildaled import outcome_records
from foxtaildaled import peer_loops
from foxtaildaled import plain_requests
from foxtaildaled import plain_services
from foxtaildaled import platform_loops
from foxtaildaled import process
from foxtaildaled import request_checks
from foxtaildaled import request_context
from foxtaildaled import slot_acquisition
from foxtaildaled import ticket_handler
from foxtaildaled import view

# Number of threads that reply to other processes. A claim occupies a thread
# until the log has settled the claim; a forwarded ticket occupies a thread
# until its call has ended.
_PEER_THREADS = 16
# Interval at which due cancels are sent, and at which a stopping keeper checks
# for unfinished work, seconds.
_POLL_S = 0.1
# Interval at which outcomes are written to the store, seconds.
_FLUSH_INTERVAL_S = 1.0
# Maximum request body of any service, bytes.
_MAX_BODY_BYTES = 16 * 1024 * 1024


class Daemon(Protocol):
    """A role of the daemon."""

    def start(self) -> None:
        """Starts serving."""

    def stop(self) -> None:
        """Stops gracefully: does not abort requests in progress."""


def make_daemon(cfg: options.Options) -> Daemon:
    """Returns the daemon for the role in the settings."""
    return KeeperDaemon(cfg) if cfg.role == 'keeper' else EntryDaemon(cfg)


class KeeperDaemon:
    """The keeper of an entry VM."""

    __slots__ = (
        '_admin',
        '_cfg',
        '_gossip',
        '_loops',
        '_metrics',
        '_owner',
        '_peers',
        '_responder',
        '_settle_loop',
    )

    _cfg: options.Options
    _peers: peers.Peers
    _responder: zmq_responder.Responder
    _metrics: metrics.Metrics
    _owner: actors.StateOwner[keeper.Keeper]
    _gossip: peer_loops.GossipLoop
    _settle_loop: process.Loop
    _loops: list[process.Loop]
    _admin: admin.Admin

    def __init__(self, cfg: options.Options) -> None:
        self._cfg = cfg
        self._peers = peers.Peers(cfg.heartbeat_s, cfg.silence_s)
        self._responder = zmq_responder.Responder(
            cfg.peer_address, self._handle, _PEER_THREADS
        )

    def start(self) -> None:
        """Binds the peer address, then starts the loops."""
        cfg = self._cfg
        address = self._responder.start()
        me = values.Keeper(
            name=cfg.entry_vm,
            incarnation=incarnations.make('keeper', cfg.entry_vm),
            address=address,
            data_centre=cfg.data_centre,
        )
        self._owner = actors.StateOwner(keeper.Keeper(me, cfg), time.monotonic)
        self._metrics = metrics.Metrics()
        store = platform.Platform(cfg.platform, cfg.platform_timeout_s)
        claims_store = platform.Platform(cfg.platform, cfg.platform_timeout_s)
        workers = engines.Engines()
        self._gossip = peer_loops.GossipLoop(
            self._owner, self._peers, cfg.silence_s
        )
        self._settle_loop = process.Loop(
            'settle',
            cfg.poll_s,
            platform_loops.ClaimSettler(
                self._owner, claims_store
            ).settle_waiting,
        )
        self._loops = [
            self._settle_loop,
            process.Loop(
                'follow',
                cfg.poll_s,
                platform_loops.PlatformFollower(
                    self._owner, store, store
                ).read_once,
            ),
            process.Loop(
                'gossip', cfg.heartbeat_s, self._gossip.send_heartbeats
            ),
            process.Loop(
                'watch',
                cfg.poll_s,
                peer_loops.LoadLoop(self._owner, workers).read_loads,
            ),
            process.Loop(
                'steer',
                cfg.poll_s,
                peer_loops.OrderLoop(self._owner, workers).send_orders,
            ),
            process.Loop(
                'reap',
                cfg.heartbeat_s,
                peer_loops.ReapLoop(
                    self._owner,
                    workers,
                    abandoned_holdings.AbandonedHoldings(cfg.grace_s),
                ).reap_workers,
            ),
        ]
        self._admin = admin.Admin(
            cfg.admin_address, self._ready, self._state, self._render
        )
        for loop in self._loops:
            loop.start()
        _report_addresses(cfg, peer=address, admin=self._admin.start())

    def stop(self) -> None:
        """Stops the keeper gracefully.

        It waits, for `drain_s` at most, until the entries of the VM have
        stopped and all claims are written.
        """
        self._owner.run(_mark_stopping)
        deadline = time.monotonic() + self._cfg.drain_s
        while time.monotonic() < deadline:
            if not self._owner.run(_has_unfinished_work):
                break
            time.sleep(_POLL_S)
        self._gossip.announce_stop()
        for loop in self._loops:
            loop.stop()
        self._admin.close()
        self._responder.close()
        self._peers.close()
        self._owner.stop()

    def _handle(self, msg: messages.Message) -> messages.Message:
        if isinstance(msg, messages.ClaimRequest):
            fut = self._owner.run(
                lambda state, now: state.handle_claim(now, msg)
            )
            self._settle_loop.wake()
            return fut.get(timeout=keeper.CLAIM_TIMEOUT_S)
        if isinstance(msg, messages.DumpRequest):
            return messages.DumpReply(state=self._state())
        return self._owner.run(lambda state, now: state.handle(now, msg))

    def _render(self) -> bytes:
        return _render(self._metrics, self._peers, self._responder)

    def _ready(self) -> str:
        vouched = self._owner.run(
            lambda state, now: state.follower.vouched(now)
        )
        return '' if vouched else 'no current report of the preset in force'

    def _state(self) -> bytes:
        return self._owner.run(lambda state, now: state.dump(now))


class EntryDaemon:
    """An entry of an entry VM."""

    __slots__ = (
        '_admin',
        '_cancels',
        '_cfg',
        '_desk',
        '_gate',
        '_incarnation',
        '_loops',
        '_metrics',
        '_peers',
        '_pump',
        '_records',
        '_responder',
        '_server',
        '_view',
    )

    _cfg: options.Options
    _incarnation: str
    _peers: peers.Peers
    _responder: zmq_responder.Responder
    _metrics: metrics.Metrics
    _view: view.View
    _desk: ticket_handler.TicketHandler
    _pump: stream_reader.StreamReader
    _records: outcome_records.OutcomeRecords
    _cancels: cancels.CancelQueue
    _gate: request_checks.RequestChecks
    _server: caller_server.Server
    _admin: admin.Admin
    _loops: list[process.Loop]

    def __init__(self, cfg: options.Options) -> None:
        self._cfg = cfg
        self._incarnation = incarnations.make('entry', cfg.entry_vm)
        self._peers = peers.Peers(cfg.heartbeat_s, cfg.silence_s)
        self._responder = zmq_responder.Responder(
            cfg.peer_address, self._handle, _PEER_THREADS
        )

    def start(self) -> None:
        """Binds the peer address, then starts the loops and serves callers."""
        cfg = self._cfg
        address = self._responder.start()
        counts = self._metrics = metrics.Metrics()
        self._make_parts(address, counts)
        for loop in self._loops:
            loop.start()
        self._admin = admin.Admin(
            cfg.admin_address, self._ready, self._state, self._render
        )
        _report_addresses(
            cfg,
            peer=address,
            admin=self._admin.start(),
            caller=self._server.start(),
        )

    def stop(self) -> None:
        """Stops gracefully.

        The entry reports that it is not ready, accepts no new connections,
        drains the requests in progress, writes the outcomes to the store and
        notifies the keeper, in this order.
        """
        self._gate.stopping = True
        self._server.stop_accepting()
        drained = self._server.drain(self._cfg.drain_s)
        logs.event(logging.INFO, 'drained', whole=drained)
        self._cancels.send_due()
        self._records.flush()
        for loop in self._loops:
            loop.stop()
        self._server.close()
        # Requests that were cut leave cancels and outcomes as well.
        self._cancels.send_due()
        self._records.flush()
        self._view.report_stop()
        self._pump.close()
        self._admin.close()
        self._responder.close()
        self._peers.close()

    def _make_parts(self, address: str, counts: metrics.Metrics) -> None:
        cfg = self._cfg
        clock = time.monotonic
        store = platform.Platform(cfg.platform, cfg.platform_timeout_s)
        workers = engines.Engines()
        budgets = entry_retry_budgets.RetryBudgets(clock)
        self._pump = stream_reader.StreamReader()
        self._pump.start()
        self._view = view.View(
            cfg, self._incarnation, address, self._peers, clock
        )
        self._records = outcome_records.OutcomeRecords(store, counts)
        replies = request_context.Replies(cfg.entry_vm, self._records)
        self._cancels = cancels.CancelQueue(workers, clock)
        plain_calls = plain_services.PlainServices(services.Services(), budgets)
        slot_client = slot_acquisition.SlotClient(
            self._peers, self._view, cfg.entry_vm, self._incarnation, clock
        )
        model = completions.Completions(
            cfg=cfg,
            engines=workers,
            current_view=self._view,
            stream_pump=self._pump,
            slot_client=slot_client,
            budgets=budgets,
            request_metrics=counts,
            clock=clock,
        )
        executor = actors.StateOwner(
            tickets.Executor(
                self._incarnation,
                address,
                cfg.secret.encode(),
                cfg.ticket_life_s,
            ),
            clock,
        )
        self._desk = ticket_handler.TicketHandler(
            cfg=cfg,
            incarnation=self._incarnation,
            owner=executor,
            peers=self._peers,
            service_client=plain_calls,
            current_view=self._view,
            make_outcome=replies.make_outcome,
        )
        local_shares = account_limits.LocalShares(
            lambda: len(self._view.snapshot.keepers), clock
        )
        self._gate = request_checks.RequestChecks(
            self._desk, replies, local_shares
        )
        claim_desk = claim_client.ClaimClient(
            cfg, self._incarnation, self._peers, replies
        )
        handler = entry.Entry(
            entry_vm=cfg.entry_vm,
            current_view=self._view,
            checks=self._gate,
            chat_handler=chat_requests.ChatRequests(
                cfg=cfg,
                incarnation=self._incarnation,
                checks=self._gate,
                replies=replies,
                completion_runner=model,
                claim_desk=claim_desk,
                cancel_queue=self._cancels,
                clock=clock,
            ),
            plain_handler=plain_requests.PlainRequests(
                admission=self._gate,
                replies=replies,
                services=plain_calls,
                ticket_desk=self._desk,
                claim_desk=claim_desk,
            ),
            replies=replies,
            outcome_records=self._records,
        )
        self._server = caller_server.Server(
            cfg.caller_address,
            handler,
            cfg.threads,
            cfg.caller_timeout_s,
            _MAX_BODY_BYTES,
            entry_vm=cfg.entry_vm,
        )
        cancel_loop = process.Loop('cancels', _POLL_S, self._send_due_cancels)
        self._cancels.on_added = cancel_loop.wake
        self._loops = [
            process.Loop('view', cfg.heartbeat_s, self._view.refresh),
            process.Loop('tickets', cfg.heartbeat_s, self._desk.refresh_clock),
            process.Loop('slots', cfg.heartbeat_s, slot_client.renew_grants),
            process.Loop(
                'records', _FLUSH_INTERVAL_S, self._records.flush_once
            ),
            cancel_loop,
        ]

    def _send_due_cancels(self) -> None:
        """Sends the due cancels; drops those for engines that were removed."""
        listing = self._view.snapshot.listing
        if listing.version:
            self._cancels.remove_unlisted(
                frozenset(s.address for s in listing.backend_servers)
            )
        self._cancels.send_due()

    def _handle(self, msg: messages.Message) -> messages.Message:
        if isinstance(msg, messages.RunRequest):
            return self._desk.handle_forwarded(msg)
        if isinstance(msg, messages.DumpRequest):
            return messages.DumpReply(state=self._state())
        return messages.ErrorReply(code='not-for-an-entry')

    def _render(self) -> bytes:
        return _render(self._metrics, self._peers, self._responder)

    def _ready(self) -> str:
        if self._gate.stopping:
            return 'being stopped'
        if self._view.snapshot.in_force is None:
            return 'no preset in force is known'
        return ''

    def _state(self) -> bytes:
        snapshot = self._view.snapshot
        state = {
            'role': 'entry',
            'incarnation': self._incarnation,
            'entry_vm': self._cfg.entry_vm,
            'stopping': self._gate.stopping,
            'revision': snapshot.revision,
            'preset': (
                snapshot.in_force.preset.name if snapshot.in_force else None
            ),
            'listing_version': snapshot.listing.version,
            'keepers': [keeper.name for keeper in snapshot.keepers],
            'busy': self._server.busy(),
            'cancels': len(self._cancels),
            'outcomes': self._records.dump(),
            'tickets': self._desk.dump(),
        }
        return json.dumps(state, default=str, sort_keys=True).encode()


def _mark_stopping(state: keeper.Keeper, _now: float) -> None:
    state.stopping = True


def _has_unfinished_work(state: keeper.Keeper, _now: float) -> bool:
    return bool(state.entries) or state.claims.pending_count() > 0


def _render(
    counts: metrics.Metrics,
    requester: peers.Peers,
    responder: zmq_responder.Responder,
) -> bytes:
    """Returns the metrics, with the message counts between processes."""
    all_counts = (requester.counts, responder.counts)
    for direction, total, size in (
        (
            'sent',
            sum(item.sent for item in all_counts),
            sum(item.sent_bytes for item in all_counts),
        ),
        (
            'received',
            sum(item.received for item in all_counts),
            sum(item.received_bytes for item in all_counts),
        ),
    ):
        counts.messages.set(total, direction)
        counts.message_bytes.set(size, direction)
    return counts.render()


def _report_addresses(cfg: options.Options, **addresses: str) -> None:
    """Logs the bound addresses and writes them to the address file.

    The settings may leave the choice of a port to the kernel.
    """
    logs.event(logging.INFO, 'started', **addresses)
    if not cfg.address_file:
        return
    # The file is written under another name and renamed, so that a reader never
    # sees a partial file.
    partial_path = f'{cfg.address_file}.partial'
    with open(partial_path, 'w', encoding='utf-8') as file:
        json.dump(addresses, file)
    os.replace(partial_path, cfg.address_file)
