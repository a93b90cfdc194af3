"""HTTP API of an entry VM for callers.

    POST /v1/chat/completions     requests a completion of a model service
    GET  /v1/streams              resumes a response stream (Last-Event-ID)
    POST /v1/services/NAME/CALL   calls a plain service
    POST /v1/tickets              issues tickets for services that accept them
    GET  /v1/keys                 returns the prefix of new idempotency keys
    GET  /v1/outcomes/REQUEST     returns the outcome of a request decided here

Each request gets an identity and ends in one outcome, which is sent to the
caller, logged and added to `outcome_records`. This module only routes requests;
`request_checks` checks them, and `chat_requests` and `plain_requests` serve
them.
"""

from collections.abc import Callable
from typing import Final
import uuid

import msgspec

from foxtaildale import codes
from foxtaildale import outcomes
from foxtaildale import values
from foxtaildale_adapters import caller_server
from foxtaildaled import chat_requests
from foxtaildaled import outcome_records
from foxtaildaled import plain_requests
from foxtaildaled import request_checks
from foxtaildaled import request_context
from foxtaildaled import view

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
    _gate: request_checks.RequestChecks
    _chats: chat_requests.ChatRequests
    _calls: plain_requests.PlainRequests
    _replies: request_context.Replies
    _records: outcome_records.OutcomeRecords

    def __init__(
        self,
        *,
        entry_vm: str,
        current_view: view.View,
        checks: request_checks.RequestChecks,
        chat_handler: chat_requests.ChatRequests,
        plain_handler: plain_requests.PlainRequests,
        replies: request_context.Replies,
        outcome_records: outcome_records.OutcomeRecords,
    ) -> None:
        self._entry_vm = entry_vm
        self._view = current_view
        self._gate = checks
        self._chats = chat_handler
        self._calls = plain_handler
        self._replies = replies
        self._records = outcome_records

    def handle(self, exchange: caller_server.Exchange) -> None:
        """Handles one request of a caller."""
        request = f'{self._entry_vm}-{uuid.uuid4().hex[:16]}'
        context = request_context.RequestContext(
            exchange, request, self._view.snapshot
        )
        route = self._route(exchange.method, exchange.path)
        if route is None:
            self._replies.reject(context, '', 'no such path')
        elif self._gate.check_account(context):
            route(context)

    def _route(
        self, method: str, path: str
    ) -> Callable[[request_context.RequestContext], None] | None:
        exact = {
            ('POST', '/v1/chat/completions'): self._chats.complete,
            ('GET', '/v1/streams'): self._chats.resume_stream,
            ('POST', '/v1/tickets'): self._calls.issue_tickets,
            ('GET', '/v1/keys'): self._send_key_prefix,
        }
        if (method, path) in exact:
            return exact[(method, path)]
        if method == 'POST' and path.startswith(plain_requests.PREFIX):
            return self._calls.serve_call
        if method == 'GET' and path.startswith(_OUTCOMES_PATH):
            return self._send_outcome
        return None

    def _send_key_prefix(self, context: request_context.RequestContext) -> None:
        prefix = context.snapshot.key_prefix
        if prefix:
            self._replies.respond_document(context, KeysReply(prefix))
            return
        self._replies.refuse(
            context,
            '',
            codes.LOG_DOWN,
            retry_after_s=request_context.DEFAULT_RETRY_AFTER_S,
        )

    def _send_outcome(self, context: request_context.RequestContext) -> None:
        outcome = self._records.find(
            context.exchange.path.removeprefix(_OUTCOMES_PATH)
        )
        if outcome is None:
            reason = values.Figure('reason', 'not decided here lately')
            self._replies.refuse(
                context, '', codes.NO_OUTCOME, figures=(reason,)
            )
            return
        context.exchange.respond(
            200, {'Content-Type': outcomes.JSON}, outcomes.body(outcome)
        )
