"""The registry of log lines agrees with the code and with the page."""

import pathlib
import re

from foxtaildale import logevents

_ROOT = pathlib.Path(__file__).parent.parent
_DAEMON = _ROOT / 'packages' / 'daemon' / 'foxtaildaled'
_PLATFORM = _ROOT / 'platform' / 'foxtaildale_platform'
_MODULES = (
    'announcements',
    'asking',
    'balancing',
    'beliefs',
    'breaks',
    'forward',
    'generate',
    'introductions',
    'limits',
    'passage',
    'places',
    'prompts',
    'quarantining',
    'router',
    'selfreports',
    'sendlimits',
    'routing',
    'spots',
    'storereaders',
    'surveys',
    'syncing',
    'tidy',
    'verdicts',
)
_CALL = re.compile(
    r'(?:logs\.event\(\s*\w+\.\w+,|\.log\()\s*'
    r"('[^']+'(?:\s+if [^,]+?\s+else\s+'[^']+')?)"
)
_ASSIGNED = re.compile(r"\bevent = \(?\s*('[^']+'[^\n]*)")


def _in_code() -> set[str]:
    found = set()
    paths = [_DAEMON / f'{module}.py' for module in _MODULES]
    names = ('records', 'store', 'workers')
    adapters = [_PLATFORM / f'{name}.py' for name in names]
    for path in (*paths, *adapters):
        text = path.read_text()
        text = re.sub(r"== '[^']*'", '', text)
        for pattern in (_CALL, _ASSIGNED):
            for match in pattern.finditer(text):
                found.update(re.findall(r"'([^']+)'", match.group(1)))
    return found


def test_every_line_of_the_code_is_registered() -> None:
    assert _in_code() <= set(logevents.ALL)


def test_every_registered_line_is_in_the_code() -> None:
    outside = {'log lines left out', 'reload failed'}
    assert set(logevents.ALL) - _in_code() <= outside


def test_the_page_has_every_line_with_its_fields() -> None:
    page = (_ROOT / 'docs' / 'LOGS.md').read_text()
    for name, event in logevents.ALL.items():
        fields = ', '.join(f'`{field}`' for field in event.fields) or '-'
        assert f'| `{name}` | {fields} |' in page


def test_sentences_use_fields_that_are_registered() -> None:
    for name, event in logevents.ALL.items():
        used = set(re.findall(r'\{(\w+)\}', event.sentence))
        assert used <= set(event.fields), name
