"""HTTP API of an entry VM for callers.

    POST /v1/chat/completions     requests a completion of a model service
    GET  /v1/streams              resumes a response stream (Last-Event-ID)
    POST /v1/services/NAME/CALL   calls a plain service
    POST /v1/tickets              issues tickets for services that accept them
    GET  /v1/keys                 returns the prefix of new idempotency keys
    GET  /v1/outcomes/REQUEST     returns the outcome of a request decided here

Each request gets an identity and ends in one outcome, which is sent to the
caller, logged and added to `records`. This module only routes requests; `gate`
checks them, and `chats` and `calls` serve them.
"""

from collections.abc import Callable
from typing import Final
import uuid

import msgspec

from foxtaildale import codes
from foxtaildale import outcomes
from foxtaildale import values
from foxtaildale_adapters import callers
from foxtaildaled import calls
from foxtaildaled import chats
from foxtaildaled import gate
from foxtaildaled import records
from foxtaildaled import view
from foxtaildaled import visit as contexts

_OUTCOMES_PATH: Final = '/v1/outcomes/'


class KeysReply(msgspec.Struct, frozen=True):
    """Response with the prefix of new idempotency keys."""

    prefix: str


class Entry:
    """Routes the requests of callers to their handlers."""

    __slots__ = (
        '_calls',
        '_chats',
        '_entry_vm',
        '_gate',
        '_records',
        '_replies',
        '_view',
    )

    _entry_vm: str
    _view: view.View
    _gate: gate.Gate
    _chats: chats.Chats
    _calls: calls.Calls
    _replies: contexts.Replies
    _records: records.Records

    def __init__(
        self,
        *,
        entry_vm: str,
        seen: view.View,
        admission: gate.Gate,
        model: chats.Chats,
        services: calls.Calls,
        replies: contexts.Replies,
        kept: records.Records,
    ) -> None:
        self._entry_vm = entry_vm
        self._view = seen
        self._gate = admission
        self._chats = model
        self._calls = services
        self._replies = replies
        self._records = kept

    def handle(self, exchange: callers.Exchange) -> None:
        """Handles one request of a caller."""
        request = f'{self._entry_vm}-{uuid.uuid4().hex[:16]}'
        context = contexts.Visit(exchange, request, self._view.now)
        route = self._route(exchange.method, exchange.path)
        if route is None:
            self._replies.reject(context, '', 'no such path')
        elif self._gate.knows(context):
            route(context)

    def _route(
        self, method: str, path: str
    ) -> Callable[[contexts.Visit], None] | None:
        exact = {
            ('POST', '/v1/chat/completions'): self._chats.complete,
            ('GET', '/v1/streams'): self._chats.read_on,
            ('POST', '/v1/tickets'): self._calls.mint,
            ('GET', '/v1/keys'): self._send_key_prefix,
        }
        if (method, path) in exact:
            return exact[(method, path)]
        if method == 'POST' and path.startswith(calls.PREFIX):
            return self._calls.call
        if method == 'GET' and path.startswith(_OUTCOMES_PATH):
            return self._send_outcome
        return None

    def _send_key_prefix(self, context: contexts.Visit) -> None:
        prefix = context.snapshot.key_prefix
        if prefix:
            self._replies.tell(context, KeysReply(prefix))
            return
        self._replies.refuse(
            context, '', codes.LOG_DOWN, retry_after_s=contexts.AGAIN_S
        )

    def _send_outcome(self, context: contexts.Visit) -> None:
        outcome = self._records.find(
            context.ex.path.removeprefix(_OUTCOMES_PATH)
        )
        if outcome is None:
            reason = values.Figure('reason', 'not decided here lately')
            self._replies.refuse(
                context, '', codes.NO_OUTCOME, figures=(reason,)
            )
            return
        context.ex.respond(
            200, {'Content-Type': outcomes.JSON}, outcomes.body(outcome)
        )
