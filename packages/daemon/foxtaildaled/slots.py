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


class Slots:
    """Asks for slots and gives them back."""

    __slots__ = ('_clock', '_entry_vm', '_lock', '_peers', '_shares')

    _peers: ports.Peers
    _entry_vm: str
    _clock: ports.Clock
    # Fallbacks, by service.
    _shares: dict[str, share.Share]
    _lock: threading.Lock

    def __init__(
        self, peers: ports.Peers, entry_vm: str, clock: ports.Clock
    ) -> None:
        self._peers = peers
        self._entry_vm = entry_vm
        self._clock = clock
        self._shares = {}
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
            if isinstance(reply, messages.Granted | Refusal):
                return reply
            job.gone.wait(reply.again_in_ms / 1000)
        return Refusal(codes.GONE)

    def end(self, job: jobs.Job, msg: messages.EndSlot) -> None:
        """Gives a slot back, with what was measured on the way."""
        with self._lock:
            self._share(job).end(self._clock(), msg)
        address = job.snapshot.home(job.name)
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
        own.on_listing(job.snapshot.listing)
        return own
