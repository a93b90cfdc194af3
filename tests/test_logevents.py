"""The registry of log events agrees with the code and the documentation."""

import pathlib
import re

from foxtaildale import logevents

_ROOT = pathlib.Path(__file__).parent.parent
_DAEMON = _ROOT / 'packages' / 'daemon' / 'foxtaildaled'
_PLATFORM = _ROOT / 'platform' / 'foxtaildale_platform'
_ADAPTERS = _ROOT / 'packages' / 'adapters' / 'foxtaildale_adapters'
_MODULES = (
    'account_limits',
    'coordinator_client',
    'crash_detection',
    'crash_evidence',
    'default_version_store',
    'engine_cleanup',
    'generation',
    'initial_state',
    'inventories',
    'origin_finder',
    'origin_reports',
    'origin_store',
    'placement_client',
    'placement_finder',
    'plain_forwarder',
    'prefill_clients',
    'quarantine_manager',
    'quarantine_state',
    'reader_choice',
    'routed_request',
    'router',
    'router_daemon',
    'router_state',
    'self_reports',
    'sendlimits',
    'server_announcements',
    'server_paths',
    'stage_orders',
    'store_sync',
    'ticket_handler',
)
_LOG_CALL = re.compile(
    r'(?:logs\.event\(\s*[\w.]+,|\.log\()\s*'
    r"('[^']+'(?:\s+if [^,]+?\s+else\s+'[^']+')?)"
)
_EVENT_ASSIGNMENT = re.compile(r"\bevent = \(?\s*('[^']+'[^\n]*)")


def _events_in_code() -> set[str]:
    event_names = set()
    paths = [_DAEMON / f'{module}.py' for module in _MODULES]
    adapter_names = ('records', 'store', 'server_client')
    adapter_paths = [_PLATFORM / f'{name}.py' for name in adapter_names]
    server_paths = [
        _ADAPTERS / f'{name}.py'
        for name in (
            'httpd',
            'peers',
            'connection_relay',
            'liveness',
            'zmq_responder',
        )
    ]
    for path in (*paths, *adapter_paths, *server_paths):
        text = path.read_text()
        text = re.sub(r"== '[^']*'", '', text)
        for pattern in (_LOG_CALL, _EVENT_ASSIGNMENT):
            for match in pattern.finditer(text):
                event_names.update(re.findall(r"'([^']+)'", match.group(1)))
    return event_names


def test_every_event_of_the_code_is_registered() -> None:
    assert _events_in_code() <= set(logevents.ALL)


def test_every_registered_event_is_in_the_code() -> None:
    logged_elsewhere = {'log lines left out', 'reload failed'}
    assert set(logevents.ALL) - _events_in_code() <= logged_elsewhere


def test_the_page_has_every_event_with_its_fields() -> None:
    page = (_ROOT / 'docs' / 'LOGS.md').read_text()
    for name, event in logevents.ALL.items():
        fields = ', '.join(f'`{field}`' for field in event.fields) or '-'
        assert f'| `{name}` | {fields} |' in page


def test_sentences_use_fields_that_are_registered() -> None:
    for name, event in logevents.ALL.items():
        placeholders = set(re.findall(r'\{(\w+)\}', event.sentence))
        assert placeholders <= set(event.fields), name
