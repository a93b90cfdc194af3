"""Acquires decode slots from the coordinator of a service's pool.

The coordinator replies without waiting: it grants a slot, queues the request
or refuses it. A coordinator that is unreachable must not stop the service. The
entry then uses its own share of the workers, computed from their delayed
reports. A wrong count costs time, and is corrected when the engine refuses the
request.
"""

import threading
from typing import Final

import msgspec

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import fallback_share
from foxtaildale import ledger
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values
from foxtaildaled import job as jobs
from foxtaildaled import view

# Timeout of a reply of the coordinator, seconds; it decides without waiting.
_REPLY_TIMEOUT_S: Final = 1.0


class FinalResult(msgspec.Struct, frozen=True):
    """The final result of a request, with its code and figures.

    Without a slot it is a refusal: nothing was sent to a backend server.
    """

    code: codes.Code
    figures: tuple[values.Figure, ...] = ()
    retry_after_s: float = 0.0
    # Response of an earlier run of the request, if it is stored.
    answer: bytes = b''


class SlotClient:
    """Acquires, renews and releases slots."""

    __slots__ = (
        '_applied_listings',
        '_clock',
        '_entry_vm',
        '_fallbacks',
        '_grants',
        '_holder',
        '_lock',
        '_peers',
        '_view',
    )

    _peers: ports.Peers
    _view: view.View
    _entry_vm: str
    # Incarnation of this entry process.
    _holder: str
    _clock: ports.Clock
    # Service and decode worker of each grant in use, by name of the grant.
    _grants: dict[str, tuple[str, str]]
    # Share of the workers for an unreachable coordinator, by service.
    _fallbacks: dict[str, fallback_share.FallbackShare]
    # The listing that each share applied last, by service.
    _applied_listings: dict[str, values.Listing]
    _lock: threading.Lock

    def __init__(
        self,
        peers: ports.Peers,
        current_view: view.View,
        entry_vm: str,
        holder: str,
        clock: ports.Clock,
    ) -> None:
        self._peers = peers
        self._view = current_view
        self._holder = holder
        self._grants = {}
        self._entry_vm = entry_vm
        self._clock = clock
        self._fallbacks = {}
        self._applied_listings = {}
        self._lock = threading.Lock()

    def acquire(
        self, job: jobs.Job, ready_at: str, avoid: str
    ) -> messages.SlotGrant | FinalResult:
        """Waits for a slot or a refusal, or until the caller disconnects.

        Args:
            job: The request.
            ready_at: Prefill worker that holds a finished prefill; or ''.
            avoid: Decode worker at which an earlier attempt failed; or ''.
        """
        while not job.caller_disconnected.is_set():
            reply = self._request_slot(job, ready_at, avoid)
            if isinstance(reply, messages.SlotGrant):
                with self._lock:
                    self._grants[reply.grant] = (
                        job.service_name,
                        reply.decode_worker,
                    )
            if isinstance(reply, messages.SlotGrant | FinalResult):
                return reply
            job.caller_disconnected.wait(reply.retry_in_ms / 1000)
        self._leave_queue(job)
        return FinalResult(codes.GONE)

    def release(self, job: jobs.Job, msg: messages.SlotRelease) -> None:
        """Releases a slot and reports the measurements of the attempt."""
        with self._lock:
            self._grants.pop(msg.grant, None)
            self._fallback(job).release(self._clock(), msg)
        self._notify_coordinator(job.service_name, msg)

    def renew_grants(self) -> None:
        """Reports the grants in use to each coordinator; runs periodically.

        A coordinator that replaces a lost one has no record of earlier grants
        and would grant the same slots again, so that engines would refuse
        requests as full. The reports rebuild its ledger within one heartbeat.
        They also renew the grants of long streams, which would otherwise
        expire.
        """
        with self._lock:
            in_use = list(self._grants.items())
        services: dict[str, list[tuple[str, str]]] = {}
        for grant, (service, decode) in in_use:
            services.setdefault(service, []).append((grant, decode))
        for service, grants in services.items():
            msg = messages.SlotRenewal(
                service=service, holder=self._holder, grants=tuple(grants)
            )
            self._notify_coordinator(service, msg)

    def _leave_queue(self, job: jobs.Job) -> None:
        """Removes the request of a disconnected caller from the queue."""
        msg = messages.SlotRelease(
            service=job.service_name,
            grant=ledger.grant_name(job.request, job.attempt),
            result='cancelled',
        )
        self._notify_coordinator(job.service_name, msg)

    def _notify_coordinator(
        self, service: str, msg: messages.SlotRelease | messages.SlotRenewal
    ) -> None:
        address = self._view.snapshot.coordinator_address(service)
        if address is None:
            return
        try:
            self._peers.request(address, msg, _REPLY_TIMEOUT_S)
        except errors.PortError:
            # The grant expires at the coordinator.
            return

    def _request_slot(
        self, job: jobs.Job, ready_at: str, avoid: str
    ) -> messages.SlotGrant | messages.Queued | FinalResult:
        now = self._clock()
        msg = messages.SlotRequest(
            service=job.service_name,
            request=job.request,
            attempt=job.attempt,
            holder=job.holder,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.max_output_tokens,
            prefix_digests=job.prefixes,
            waited_ms=round((now - job.arrived_at) * 1000),
            prefilled_at=ready_at,
            excluded_worker=avoid,
        )
        reply = self._request_from_coordinator(job.snapshot, msg)
        with self._lock:
            fallback = self._fallback(job)
            if reply is None:
                reply = fallback.request_slot(now, msg)
            elif isinstance(reply, messages.SlotGrant):
                fallback.count_grant(now, msg, reply)
        if isinstance(reply, messages.Refused):
            return FinalResult(
                codes.ALL.get(reply.code, codes.NO_CAPACITY),
                reply.figures,
                reply.retry_after_ms / 1000,
            )
        return reply

    def _request_from_coordinator(
        self, snapshot: view.Snapshot, msg: messages.SlotRequest
    ) -> messages.SlotGrant | messages.Queued | messages.Refused | None:
        address = snapshot.coordinator_address(msg.service)
        if address is None:
            return None
        try:
            reply = self._peers.request(address, msg, _REPLY_TIMEOUT_S)
        except errors.PortError:
            return None
        if isinstance(
            reply, messages.SlotGrant | messages.Queued | messages.Refused
        ):
            return reply
        return None

    def _fallback(self, job: jobs.Job) -> fallback_share.FallbackShare:
        fallback = self._fallbacks.get(job.service_name)
        if fallback is None:
            fallback = self._fallbacks[job.service_name] = (
                fallback_share.FallbackShare(job.service_name, self._entry_vm)
            )
        fallback.on_service(job.service)
        # A share recomputes its servers from each listing. This is skipped when
        # the listing has not changed since the last request or release.
        if (
            self._applied_listings.get(job.service_name)
            is not job.snapshot.listing
        ):
            fallback.on_listing(job.snapshot.listing)
            self._applied_listings[job.service_name] = job.snapshot.listing
        return fallback
