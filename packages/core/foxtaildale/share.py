"""What an entry grants itself while it can't reach the home.

Each entry VM takes its share of each worker's slots and no more, so that all
of them, cut off at once and knowing nothing of each other, can't overfill the
workers. Lagging reports lower the share where a worker is busier than that.
"""

from typing import Final

from foxtaildale import backends
from foxtaildale import codes
from foxtaildale import homes
from foxtaildale import ledger
from foxtaildale import messages
from foxtaildale import values
from foxtaildale import workers

# A report older than this says nothing, milliseconds.
_STALE_MS: Final = 5_000
# When a caller comes back after a refusal, and a waiter asks, milliseconds.
_RETRY_MS: Final = 1_000
_AGAIN_MS: Final = 100


class Share:
    """One entry VM's fallback for one service."""

    __slots__ = (
        '_entry_vm',
        '_entry_vms',
        '_ledger',
        '_name',
        '_service',
        '_turn',
        '_workers',
    )

    _name: str
    _entry_vm: str
    # Every entry VM that may use the workers, this one included.
    _entry_vms: tuple[str, ...]
    _service: values.Service
    _workers: dict[str, workers.Worker]
    # Grants of this entry VM only, its own and the home's.
    _ledger: ledger.Ledger
    # Prefill workers take turns.
    _turn: int

    def __init__(self, service_name: str, entry_vm: str) -> None:
        self._name = service_name
        self._entry_vm = entry_vm
        self._entry_vms = (entry_vm,)
        self._service = values.Service(kind='model')
        self._workers = {}
        self._ledger = ledger.Ledger()
        self._turn = 0

    def on_service(self, service: values.Service) -> None:
        """Takes what the preset in force says."""
        self._service = service

    def on_listing(self, listing: values.Listing) -> None:
        """Takes the newest list."""
        names = {vm.name for vm in listing.entry_vms} | {self._entry_vm}
        self._entry_vms = tuple(sorted(names))
        known = self._workers
        self._workers = {}
        for server in listing.backend_servers:
            if server.service != self._name:
                continue
            worker = known.get(server.name) or workers.Worker(server)
            worker.server = server
            self._workers[server.name] = worker

    def on_load(self, server: str, load: backends.Load) -> None:
        """Takes a lagging report of one backend server."""
        worker = self._workers.get(server)
        if worker is not None:
            worker.load = load

    def granted(
        self, now: float, msg: messages.AskSlot, granted: messages.Granted
    ) -> None:
        """Counts a grant of the home against the share."""
        self._add(now, msg, granted.prefill, granted.decode)

    def ask(
        self, now: float, msg: messages.AskSlot
    ) -> messages.Granted | messages.Queued | messages.Refused:
        """Grants from the share, queues or refuses."""
        wanted = 'plain' if self._service.kind == 'plain' else 'decode'
        decodes = self._usable(now, wanted, msg.avoid)
        prefills = self._usable(now, 'prefill', '')
        if not decodes or (wanted == 'decode' and not prefills):
            return messages.Refused(
                code=codes.NO_BACKEND.name, figures=(), retry_after_ms=_RETRY_MS
            )
        decode = max(decodes, key=self._left)
        if self._left(decode) <= 0:
            return self._wait(msg)
        prefill = None
        if wanted == 'decode' and not msg.ready_at:
            self._turn += 1
            prefill = prefills[self._turn % len(prefills)]
        self._add(
            now,
            msg,
            prefill.server.name if prefill else msg.ready_at,
            decode.server.name,
        )
        return messages.Granted(
            grant=ledger.name(msg.request, msg.attempt),
            prefill=prefill.server.name if prefill else msg.ready_at,
            prefill_address=prefill.server.address if prefill else '',
            decode=decode.server.name,
            decode_address=decode.server.address,
            start_in_ms=0,
            lapses_ms=round(ledger.LAPSE_S * 1000),
        )

    def end(self, now: float, msg: messages.EndSlot) -> None:
        """Gives a grant back."""
        grant = self._ledger.remove(msg.grant)
        if grant is None:
            return
        failed = {
            'prefill-failed': grant.prefill,
            'transfer-failed': grant.decode,
            'decode-failed': grant.decode,
        }.get(msg.result, '')
        worker = self._workers.get(failed)
        if worker is not None:
            worker.failed(now)

    def part(self, worker: values.BackendServer) -> int:
        """Returns this entry VM's part of a worker's slots.

        What does not divide goes to the entry VMs that a hash picks for this
        worker, so that the parts add up to the slots exactly.
        """
        whole, rest = divmod(worker.slots, len(self._entry_vms))
        ranked = sorted(
            self._entry_vms, key=lambda vm: homes.score(worker.name, vm)
        )
        return whole + (ranked.index(self._entry_vm) < rest)

    def _left(self, worker: workers.Worker) -> int:
        server = worker.server
        left = self.part(server) - self._ledger.held(server.name)
        load = worker.load
        if load is None or load.age_ms > _STALE_MS:
            return left
        return min(left, server.slots - load.running)

    def _usable(
        self, now: float, role: str, avoid: str
    ) -> list[workers.Worker]:
        usable = [
            worker
            for worker in self._workers.values()
            if worker.server.role == role and worker.usable(now)
        ]
        return [w for w in usable if w.server.name != avoid] or usable

    def _wait(
        self, msg: messages.AskSlot
    ) -> messages.Queued | messages.Refused:
        target_ms = self._service.first_answer_ms
        limit_ms = target_ms or self._service.patience_ms
        if msg.waited_ms + _AGAIN_MS < limit_ms:
            return messages.Queued(again_in_ms=_AGAIN_MS, position=0)
        if target_ms:
            return messages.Refused(
                code=codes.NO_CAPACITY.name,
                figures=(
                    values.Figure('estimate_ms', msg.waited_ms + _AGAIN_MS),
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
        self, now: float, msg: messages.AskSlot, prefill: str, decode: str
    ) -> None:
        grant = ledger.Grant(
            request=msg.request,
            attempt=msg.attempt,
            holder=msg.holder,
            prefill=prefill,
            decode=decode,
            prompt_tokens=msg.prompt_tokens,
            given_at=now,
            start_at=now,
            transfer_at=now,
            decode_at=now,
        )
        self._ledger.add(grant)
