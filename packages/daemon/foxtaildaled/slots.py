"""Gets a decode slot for a request, from the home of the service's pool.

The home answers at once: granted, asked to come again, or refused. A home that
can't be reached must not stop the service, so the entry then falls back to its
own share of the workers by their lagged reports; a wrong count costs time, and
the engine's own refusal corrects it.
"""

import threading
from typing import Final

import msgspec

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import ledger
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import share
from foxtaildale import values
from foxtaildaled import job as jobs
from foxtaildaled import view

# Longest wait for the home's answer, seconds; it decides without waiting.
_HOME_S: Final = 1.0


class Refusal(msgspec.Struct, frozen=True):
    """No slot; nothing was sent to a backend server."""

    code: codes.Code
    figures: tuple[values.Figure, ...] = ()
    retry_after_s: float = 0.0
    # The answer of an earlier run, where there was one and it is kept.
    answer: bytes = b''


class Slots:
    """Asks for slots and gives them back."""

    __slots__ = (
        '_clock',
        '_entry_vm',
        '_held',
        '_holder',
        '_listed',
        '_lock',
        '_peers',
        '_shares',
        '_view',
    )

    _peers: ports.Peers
    _view: view.View
    _entry_vm: str
    # Incarnation of this entry.
    _holder: str
    _clock: ports.Clock
    # Grants in use: service and decode worker, by grant.
    _held: dict[str, tuple[str, str]]
    # Fallbacks, by service.
    _shares: dict[str, share.Share]
    # List that each of them has taken last, by service.
    _listed: dict[str, values.Listing]
    _lock: threading.Lock

    def __init__(
        self,
        peers: ports.Peers,
        seen: view.View,
        entry_vm: str,
        holder: str,
        clock: ports.Clock,
    ) -> None:
        self._peers = peers
        self._view = seen
        self._holder = holder
        self._held = {}
        self._entry_vm = entry_vm
        self._clock = clock
        self._shares = {}
        self._listed = {}
        self._lock = threading.Lock()

    def get(
        self, job: jobs.Job, ready_at: str, avoid: str
    ) -> messages.Granted | Refusal:
        """Waits until there is a slot or a refusal, or the caller has gone.

        Args:
            job: The request.
            ready_at: Prefill worker that holds a finished prefill; or ''.
            avoid: Decode worker that an earlier attempt failed at; or ''.
        """
        while not job.gone.is_set():
            reply = self._ask(job, ready_at, avoid)
            if isinstance(reply, messages.Granted):
                with self._lock:
                    self._held[reply.grant] = (job.name, reply.decode)
            if isinstance(reply, messages.Granted | Refusal):
                return reply
            job.gone.wait(reply.again_in_ms / 1000)
        self._leave_queue(job)
        return Refusal(codes.GONE)

    def end(self, job: jobs.Job, msg: messages.EndSlot) -> None:
        """Gives a slot back, with what was measured on the way."""
        with self._lock:
            self._held.pop(msg.grant, None)
            self._share(job).end(self._clock(), msg)
        self._tell_home(job.name, msg)

    def step(self) -> None:
        """Repeats to each home what this entry holds, as a loop.

        A home that was lost and made anew elsewhere knows nothing of earlier
        grants and would give the same slots again; one would see engines
        refuse as full. The repeat rebuilds its ledger within a beat. It also
        keeps grants of long streams from lapsing.
        """
        with self._lock:
            held = list(self._held.items())
        services: dict[str, list[tuple[str, str]]] = {}
        for grant, (service, decode) in held:
            services.setdefault(service, []).append((grant, decode))
        for service, grants in services.items():
            msg = messages.KeepSlots(
                service=service, holder=self._holder, grants=tuple(grants)
            )
            self._tell_home(service, msg)

    def _leave_queue(self, job: jobs.Job) -> None:
        """Gives up the place of a caller that went away while it waited."""
        msg = messages.EndSlot(
            service=job.name,
            grant=ledger.name(job.request, job.attempt),
            result='cancelled',
        )
        self._tell_home(job.name, msg)

    def _tell_home(
        self, service: str, msg: messages.EndSlot | messages.KeepSlots
    ) -> None:
        address = self._view.now.home(service)
        if address is None:
            return
        try:
            self._peers.ask(address, msg, _HOME_S)
        except errors.PortError:
            # The grant lapses at the home by itself.
            return

    def _ask(
        self, job: jobs.Job, ready_at: str, avoid: str
    ) -> messages.Granted | messages.Queued | Refusal:
        now = self._clock()
        msg = messages.AskSlot(
            service=job.name,
            request=job.request,
            attempt=job.attempt,
            holder=job.holder,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.max_tokens,
            prefixes=job.prefixes,
            waited_ms=round((now - job.arrived_at) * 1000),
            ready_at=ready_at,
            avoid=avoid,
        )
        reply = self._ask_home(job.snapshot, msg)
        with self._lock:
            own = self._share(job)
            if reply is None:
                reply = own.ask(now, msg)
            elif isinstance(reply, messages.Granted):
                own.granted(now, msg, reply)
        if isinstance(reply, messages.Refused):
            return Refusal(
                codes.ALL.get(reply.code, codes.NO_CAPACITY),
                reply.figures,
                reply.retry_after_ms / 1000,
            )
        return reply

    def _ask_home(
        self, snapshot: view.Snapshot, msg: messages.AskSlot
    ) -> messages.Granted | messages.Queued | messages.Refused | None:
        address = snapshot.home(msg.service)
        if address is None:
            return None
        try:
            reply = self._peers.ask(address, msg, _HOME_S)
        except errors.PortError:
            return None
        if isinstance(
            reply, messages.Granted | messages.Queued | messages.Refused
        ):
            return reply
        return None

    def _share(self, job: jobs.Job) -> share.Share:
        own = self._shares.get(job.name)
        if own is None:
            own = self._shares[job.name] = share.Share(job.name, self._entry_vm)
        own.on_service(job.service)
        # A share works its servers out anew from each list; that need not be
        # done for every ask and end by the same one.
        if self._listed.get(job.name) is not job.snapshot.listing:
            own.on_listing(job.snapshot.listing)
            self._listed[job.name] = job.snapshot.listing
        return own
