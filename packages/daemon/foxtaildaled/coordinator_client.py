"""Chooses coordinators among the entry VMs and sends them requests.

Whatever must be counted or planned over all entry VMs (placements at engines,
the usage of client accounts) has one entry VM as its coordinator. It is chosen
by rendezvous hashing of a name, so all VMs choose the same one without
agreement. A VM that does not reply, or reports that it is not fit, is excluded
for all names until it replies to a probe (`suspects`); the next VM by the hash
is asked instead.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
import heapq
import logging
import threading
from typing import Final
from typing import TypeVar

from foxtaildale import coordinator_choice
from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import suspects
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import background_queue
from foxtaildaled import router_state

# Limits of one request: it fails after `MAX_LOST_REPLIES` lost replies, which
# is one less than two replies of each of two coordinators, or after
# `MAX_REFUSALS` refusals. More refusals are allowed since they arrive within
# milliseconds.
MAX_LOST_REPLIES: Final = 3
MAX_REFUSALS: Final = 8
# Maximum number of VMs by rank that are known for a name.
MAX_RANKED: Final = 4
# Timeout for the reply to a probe, seconds. A round trip takes two
# milliseconds.
PROBE_TIMEOUT_S: Final = 0.25
# Timeout for the reply to a notification, seconds.
NOTIFY_TIMEOUT_S: Final = 0.25
# Maximum number of queued notifications; more are dropped. The next inventory
# makes up for a lost release of a placement and the next failure for a lost
# report. Units that were not refunded become available again at the rate of the
# account.
MAX_NOTIFICATIONS: Final = 500

# Name and peer address of an entry VM.
Coordinator = tuple[str, str]
_Answer = TypeVar('_Answer')
Handler = Callable[[messages.Message], messages.Message]


class CoordinatorClient:
    """Client of all coordinators; safe for concurrent use."""

    __slots__ = (
        '_cache',
        '_clock',
        '_eligible_vms',
        '_entry_vm',
        '_handle',
        '_lock',
        '_notifications',
        '_owner',
        '_peers',
        '_ranked',
        '_replied',
        '_suspects',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        handle: Handler,
        owner: actors.StateOwner[router_state.RouterState],
        peers: ports.PeerGroup,
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        # Handles requests for which this entry VM itself is the coordinator.
        self._handle = handle
        self._owner = owner
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self._suspects = suspects.Suspects()
        self._eligible_vms = coordinator_choice.EligibleVms(lambda vm: vm.cores)
        self._cache = coordinator_choice.CoordinatorCache()
        # Eligible VMs that the ranking is for, and the first others by rank; by
        # name. The names are few and fixed.
        self._ranked: dict[str, tuple[tuple[str, ...], list[str]]] = {}
        # Entry VMs that replied at least once. This distinguishes VMs that are
        # busy from VMs that were removed but are still listed.
        self._replied: set[str] = set()
        # Queued notifications by name, in the order in which they are sent.
        self._notifications: background_queue.BackgroundQueue[
            tuple[str, messages.Message]
        ] = background_queue.BackgroundQueue(
            'asking', MAX_NOTIFICATIONS, self._send_notification
        )

    def start(self) -> None:
        """Starts the thread that sends notifications."""
        self._notifications.start()

    def close(self, timeout_s: float) -> int:
        """Sends the queued notifications; returns how many were dropped.

        Args:
            timeout_s: Time for that, seconds.
        """
        return self._notifications.close(timeout_s)

    def request(
        self,
        name: str,
        msg: messages.Message,
        reply_types: tuple[type[_Answer], ...],
        timeout_s: float,
    ) -> _Answer | None:
        """Sends a request to a coordinator; None if no coordinator replies.

        Args:
            name: The name whose coordinator is asked.
            msg: The request.
            reply_types: The message types that are valid replies.
            timeout_s: Timeout for the reply of one coordinator, seconds.
        """
        lost = refused = 0
        while lost < MAX_LOST_REPLIES and refused < MAX_REFUSALS:
            coordinator = self._coordinator(name)
            if coordinator is None:
                return None
            try:
                reply = self._send(coordinator, msg, timeout_s)
            except errors.PortError as exc:
                if isinstance(exc, errors.NoReplyError):
                    lost += 1
                else:
                    refused += 1
                self._suspect(coordinator, exc)
                continue
            with self._lock:
                self._suspects.record_success(coordinator[0])
                self._replied.add(coordinator[0])
            if isinstance(reply, reply_types):
                return reply
            refused += 1
        return None

    def notify(self, name: str, msg: messages.Message) -> None:
        """Notifies a coordinator asynchronously; does not retry."""
        if not self._notifications.put((name, msg)):
            tag = type(msg).__struct_config__.tag
            logs.event(logging.WARNING, 'home not told', what=str(tag))

    def is_coordinator(self, name: str) -> bool:
        """Whether this entry VM is the coordinator of a name."""
        coordinator = self._coordinator(name)
        return coordinator is not None and coordinator[0] == self._entry_vm

    def successor_addresses(self, name: str, count: int) -> list[str]:
        """Returns the addresses of the first coordinators by rank.

        These are the current coordinator and its successors, in the order in
        which they would take over. This entry VM is never among them.

        Args:
            name: The name whose coordinators are returned.
            count: How many, at most `MAX_RANKED`.
        """
        entry_vms = self._entry_vms()
        with self._lock:
            eligible = self._eligible_vms.eligible(
                entry_vms, self._suspects.excluded()
            )
            ranked_of, ranked = self._ranked.get(name, ((), []))
            if ranked_of is not eligible:
                ranked = heapq.nlargest(
                    MAX_RANKED,
                    (vm for vm in eligible if vm != self._entry_vm),
                    key=lambda vm: (coordinator_choice.score(name, vm), vm),
                )
                self._ranked[name] = (eligible, ranked)
        return [entry_vms[vm].peer_address for vm in ranked[:count]]

    def record_replies(
        self, addresses: Iterable[str], replied: Container[str]
    ) -> None:
        """Records which successors replied to a copy.

        Successors that repeatedly fail to reply, or refuse, are excluded, so
        that the next VMs by rank get the copies.
        """
        names = {
            vm.peer_address: name for name, vm in self._entry_vms().items()
        }
        for address in addresses:
            if address not in names:
                continue
            if address in replied:
                with self._lock:
                    self._suspects.record_success(names[address])
            else:
                self._suspect(
                    (names[address], address), errors.NoReplyError('no copy')
                )

    def probe_suspects(self) -> None:
        """Probes the suspects that are due."""
        with self._lock:
            due = self._suspects.due_probes(self._clock())
        if not due:
            return
        entry_vms = self._entry_vms()
        addresses = {
            name: entry_vms[name].peer_address
            for name in due
            if name in entry_vms
        }
        replies = self._peers.request_all(
            list(addresses.values()),
            messages.EligibilityRequest(),
            PROBE_TIMEOUT_S,
        )
        for name, address in addresses.items():
            reply = replies.get(address)
            fit = (
                isinstance(reply, messages.EligibilityReply) and reply.eligible
            )
            with self._lock:
                self._suspects.record_probe(self._clock(), name, fit=fit)
            if fit:
                logs.event(logging.INFO, 'home regained', entry_vm_asked=name)

    def probe_coordinator(self, name: str) -> None:
        """Probes a coordinator before a request needs it.

        The list of VMs also contains VMs that were removed. If the first
        requests of each new process had to detect this, each of them would
        lose two replies, which takes half a second of a target of 0.9 s.
        """
        coordinator = self._coordinator(name)
        if (
            coordinator is None
            or coordinator[0] == self._entry_vm
            or coordinator[0] in self._replied
        ):
            return
        try:
            reply = self._peers.request(
                coordinator[1], messages.EligibilityRequest(), PROBE_TIMEOUT_S
            )
        except errors.PortError as exc:
            self._suspect(coordinator, exc)
            return
        with self._lock:
            self._replied.add(coordinator[0])
        if isinstance(reply, messages.EligibilityReply) and not reply.eligible:
            self._suspect(coordinator, errors.RejectedError('unfit', 'not fit'))

    def _send_notification(
        self, notification: tuple[str, messages.Message]
    ) -> None:
        name, msg = notification
        coordinator = self._coordinator(name)
        if coordinator is None:
            return
        try:
            self._send(coordinator, msg, NOTIFY_TIMEOUT_S)
        except errors.PortError as exc:
            self._suspect(coordinator, exc)

    def _entry_vms(self) -> dict[str, forwarding.EntryVm]:
        return self._owner.run(lambda state, _: state.entry_vms)

    def _coordinator(self, name: str) -> Coordinator | None:
        """Returns the coordinator of a name; None if no VM is eligible."""
        entry_vms = self._entry_vms()
        with self._lock:
            eligible = self._eligible_vms.eligible(
                entry_vms, self._suspects.excluded()
            )
            chosen = self._cache.coordinator_of(name, eligible)
        return (chosen, entry_vms[chosen].peer_address) if chosen else None

    def _send(
        self, coordinator: Coordinator, msg: messages.Message, answer_s: float
    ) -> messages.Message:
        name, address = coordinator
        if name != self._entry_vm:
            return self._peers.request(address, msg, answer_s)
        reply = self._handle(msg)
        if isinstance(reply, messages.ErrorReply):
            raise errors.RejectedError(reply.code, reply.message)
        return reply

    def _suspect(self, coordinator: Coordinator, exc: errors.PortError) -> None:
        name, address = coordinator
        lost = isinstance(exc, errors.NoReplyError)
        with self._lock:
            passed = self._suspects.record_failure(
                self._clock(), name, lost=lost
            )
        if not passed:
            return
        logs.event(
            logging.INFO,
            'home lost',
            entry_vm_asked=name,
            address=address,
            error=str(exc),
        )
