"""Tests of the faults reported for settings, read from a case file.

A case starts with `== KIND TITLE`, followed by the text of a settings file and,
after `--`, the expected faults. Without faults, the text must be accepted.
"""

from collections.abc import Iterator
import json
import pathlib
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import errors
from foxtaildale import options
from foxtaildale import settings
from foxtaildale import values

_CASE_FILE = pathlib.Path(__file__).parent / 'cases' / 'settings.txt'
_PARSERS = {'options': settings.parse_options, 'preset': settings.parse_preset}


def _read_cases() -> Iterator[tuple[str, str, str, str]]:
    for part in _CASE_FILE.read_text().split('\n== ')[1:]:
        title, _, rest = part.partition('\n')
        kind, _, title = title.partition(' ')
        text, _, faults = rest.partition('\n--')
        yield title, kind, text, faults.strip()


@pytest.mark.parametrize(
    ('kind', 'text', 'faults'),
    [pytest.param(*case[1:], id=case[0]) for case in _read_cases()],
)
def test_all_faults_are_reported_at_once(
    kind: str, text: str, faults: str
) -> None:
    """An operator mistypes a few fields of a file.

    If faults were reported one at a time, each would cost a start of the
    program. A fault that is not reported changes the behaviour unnoticed.
    """
    reported = ''
    try:
        _PARSERS[kind](text, 'f')
    except errors.SettingsError as exc:
        reported = '\n'.join(exc.faults)
    assert reported == faults


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.text(max_size=60))
def test_any_text_is_accepted_or_a_settings_error(text: str) -> None:
    """A file of another kind is given, or a truncated one."""
    for parse in _PARSERS.values():
        try:
            parse(text, 'f')
        except errors.SettingsError:
            pass


_TEXTS = [
    '',
    'entry',
    'keeper',
    'model',
    'plain',
    'claim',
    'ticket',
    'a b',
    '127.0.0.1:0',
    '127.0.0.1:80',
    '999.0.0.1:99999',
    '1.1.1.1:1\n',
    '0123456789abcdef',
]
_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-2, 70_000),
    strategies.floats(),
    strategies.sampled_from(_TEXTS),
    strategies.lists(strategies.integers(), max_size=1),
    strategies.dictionaries(strategies.just('x'), strategies.none()),
)


def _field_dicts(kind: type[Any]) -> strategies.SearchStrategy[dict[str, Any]]:
    names = strategies.sampled_from([*kind.__struct_fields__, 'odd'])
    return strategies.dictionaries(names, _VALUES, max_size=12)


_SERVICES = strategies.dictionaries(
    strategies.sampled_from(['a', 'b', 'A b', '']),
    strategies.one_of(_VALUES, _field_dicts(values.Service)),
    max_size=3,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    _field_dicts(options.Options), _field_dicts(values.Preset), _SERVICES
)
def test_any_fields_are_accepted_or_a_settings_error(
    cfg: dict[str, Any], preset: dict[str, Any], services: dict[str, Any]
) -> None:
    """Fields have values of other fields, or values that no field accepts."""
    inputs = (
        (settings.parse_options, cfg),
        (settings.parse_preset, preset),
        (settings.parse_preset, {**preset, 'services': services}),
        (settings.parse_preset, {'name': 'x', 'services': services}),
    )
    for parse, fields in inputs:
        try:
            parse(json.dumps(fields), 'f')
        except errors.SettingsError:
            pass


def test_a_secret_is_not_shown() -> None:
    """A secret is malformed, and its fault is logged where many people read."""
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse_options('{secret: "hush"}', 'f')
    assert 'hush' not in str(caught.value)
