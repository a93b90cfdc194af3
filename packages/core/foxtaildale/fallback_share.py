"""Grants that an entry issues itself while the coordinator is unreachable.

Each entry VM uses at most its share of each worker's slots. The workers are
thus not overcommitted even if all entry VMs are cut off from the coordinator
and from each other. A load report lowers the share of a worker that is busier
than the shares account for.
"""

from typing import Final

from foxtaildale import backends
from foxtaildale import codes
from foxtaildale import coordinator_choice
from foxtaildale import ledger
from foxtaildale import messages
from foxtaildale import values
from foxtaildale import workers

# Load reports older than this are ignored, milliseconds.
_MAX_REPORT_AGE_MS: Final = 5_000
# Time until a refused caller retries, and until a queued request polls again,
# milliseconds.
_RETRY_MS: Final = 1_000
_POLL_MS: Final = 100


class FallbackShare:
    """The part of one service's slots that one entry VM may grant itself."""

    __slots__ = (
        '_entry_vm',
        '_entry_vms',
        '_ledger',
        '_name',
        '_prefill_turn',
        '_service',
        '_workers',
    )

    _name: str
    _entry_vm: str
    # Sorted names of all entry VMs that may use the workers, this one included.
    _entry_vms: tuple[str, ...]
    _service: values.Service
    _workers: dict[str, workers.Worker]
    # Grants to this entry VM, issued by itself and by the coordinator.
    _ledger: ledger.Ledger
    # Number of prefills granted here; selects the next prefill worker in turn.
    _prefill_turn: int

    def __init__(self, service_name: str, entry_vm: str) -> None:
        self._name = service_name
        self._entry_vm = entry_vm
        self._entry_vms = (entry_vm,)
        self._service = values.Service(kind='model')
        self._workers = {}
        self._ledger = ledger.Ledger()
        self._prefill_turn = 0

    def on_service(self, service: values.Service) -> None:
        """Applies the service settings of the preset in force."""
        self._service = service

    def on_listing(self, listing: values.Listing) -> None:
        """Updates the entry VMs and the workers from the newest list."""
        names = {vm.name for vm in listing.entry_vms} | {self._entry_vm}
        self._entry_vms = tuple(sorted(names))
        old_workers = self._workers
        self._workers = {}
        for server in listing.backend_servers:
            if server.service != self._name:
                continue
            worker = old_workers.get(server.name) or workers.Worker(server)
            worker.server = server
            self._workers[server.name] = worker

    def on_load(self, server: str, load: backends.Load) -> None:
        """Applies a delayed load report of one backend server."""
        worker = self._workers.get(server)
        if worker is not None:
            worker.load = load

    def count_grant(
        self, now: float, msg: messages.SlotRequest, granted: messages.SlotGrant
    ) -> None:
        """Counts a grant of the coordinator against the share."""
        self._add(now, msg, granted.prefill_worker, granted.decode_worker)

    def request_slot(
        self, now: float, msg: messages.SlotRequest
    ) -> messages.SlotGrant | messages.Queued | messages.Refused:
        """Grants from the share, queues or refuses a request for a slot."""
        slot_role = 'plain' if self._service.kind == 'plain' else 'decode'
        decodes = self._usable_workers(now, slot_role, msg.excluded_worker)
        prefills = self._usable_workers(now, 'prefill', '')
        if not decodes or (slot_role == 'decode' and not prefills):
            return messages.Refused(
                code=codes.NO_BACKEND.name, figures=(), retry_after_ms=_RETRY_MS
            )
        decode = max(decodes, key=self._free_slots)
        if self._free_slots(decode) <= 0:
            return self._queue_or_refuse(msg)
        prefill = None
        if slot_role == 'decode' and not msg.prefilled_at:
            self._prefill_turn += 1
            prefill = prefills[self._prefill_turn % len(prefills)]
        self._add(
            now,
            msg,
            prefill.server.name if prefill else msg.prefilled_at,
            decode.server.name,
        )
        return messages.SlotGrant(
            grant=ledger.grant_name(msg.request, msg.attempt),
            prefill_worker=prefill.server.name if prefill else msg.prefilled_at,
            prefill_address=prefill.server.address if prefill else '',
            decode_worker=decode.server.name,
            decode_address=decode.server.address,
            start_in_ms=0,
            expires_ms=round(ledger.GRANT_TTL_S * 1000),
        )

    def release(self, now: float, msg: messages.SlotRelease) -> None:
        """Releases a grant."""
        grant = self._ledger.remove(msg.grant)
        if grant is None:
            return
        failed_worker = {
            'prefill-failed': grant.prefill,
            'transfer-failed': grant.decode,
            'decode-failed': grant.decode,
        }.get(msg.result, '')
        worker = self._workers.get(failed_worker)
        if worker is not None:
            worker.record_failure(now)

    def slot_share(self, worker: values.BackendServer) -> int:
        """Returns this entry VM's share of a worker's slots.

        A hash over the worker ranks the entry VMs, and the first ones get one
        slot of the remainder each, so that the shares add up to the slots.
        """
        quotient, remainder = divmod(worker.slots, len(self._entry_vms))
        ranked = sorted(
            self._entry_vms,
            key=lambda vm: coordinator_choice.score(worker.name, vm),
        )
        return quotient + (ranked.index(self._entry_vm) < remainder)

    def _free_slots(self, worker: workers.Worker) -> int:
        server = worker.server
        free_slots = self.slot_share(server) - self._ledger.granted_slots(
            server.name
        )
        load = worker.load
        if load is None or load.age_ms > _MAX_REPORT_AGE_MS:
            return free_slots
        return min(free_slots, server.slots - load.running)

    def _usable_workers(
        self, now: float, role: str, avoid: str
    ) -> list[workers.Worker]:
        usable = [
            worker
            for worker in self._workers.values()
            if worker.server.role == role and worker.is_usable(now)
        ]
        return [w for w in usable if w.server.name != avoid] or usable

    def _queue_or_refuse(
        self, msg: messages.SlotRequest
    ) -> messages.Queued | messages.Refused:
        target_ms = self._service.first_answer_ms
        limit_ms = target_ms or self._service.patience_ms
        if msg.waited_ms + _POLL_MS < limit_ms:
            return messages.Queued(retry_in_ms=_POLL_MS, position=0)
        if target_ms:
            return messages.Refused(
                code=codes.NO_CAPACITY.name,
                figures=(
                    values.Figure('estimate_ms', msg.waited_ms + _POLL_MS),
                    values.Figure('target_ms', target_ms),
                ),
                retry_after_ms=_RETRY_MS,
            )
        return messages.Refused(
            code=codes.PATIENCE_OVER.name,
            figures=(values.Figure('patience_ms', limit_ms),),
            retry_after_ms=_RETRY_MS,
        )

    def _add(
        self, now: float, msg: messages.SlotRequest, prefill: str, decode: str
    ) -> None:
        grant = ledger.Grant(
            request=msg.request,
            attempt=msg.attempt,
            holder=msg.holder,
            prefill=prefill,
            decode=decode,
            prompt_tokens=msg.prompt_tokens,
            granted_at=now,
            start_at=now,
            transfer_at=now,
            decode_at=now,
        )
        self._ledger.add(grant)
