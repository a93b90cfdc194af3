"""Faults of settings, read from a case file.

A case opens with `== KIND TITLE`, holds the text of a settings file and, after
`--`, the faults that it must give; none means that the text is taken.
"""

from collections.abc import Iterator
import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import errors
from foxtaildale import settings

_CASES = pathlib.Path(__file__).parent / 'cases' / 'settings.txt'
_READERS = {'options': settings.options, 'preset': settings.preset}


def _cases() -> Iterator[tuple[str, str, str, str]]:
    for part in _CASES.read_text().split('\n== ')[1:]:
        title, _, rest = part.partition('\n')
        kind, _, title = title.partition(' ')
        text, _, faults = rest.partition('\n--')
        yield title, kind, text, faults.strip()


@pytest.mark.parametrize(
    ('kind', 'text', 'faults'),
    [pytest.param(*case[1:], id=case[0]) for case in _cases()],
)
def test_each_fault_is_named_and_all_at_once(
    kind: str, text: str, faults: str
) -> None:
    """An operator mistypes a few fields of a file.

    Told of one at a time, they would start the program once for each; a fault
    that is not named at all changes what the system does, unnoticed.
    """
    found = ''
    try:
        _READERS[kind](text, 'f')
    except errors.SettingsError as exc:
        found = '\n'.join(exc.faults)
    assert found == faults


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.text(max_size=60))
def test_any_text_is_taken_or_a_settings_error(text: str) -> None:
    """A file of something else is given, or one that was cut short."""
    for read in _READERS.values():
        try:
            read(text, 'f')
        except errors.SettingsError:
            pass


def test_a_secret_is_not_shown() -> None:
    """A secret is mistyped, and faults go to logs that many people read."""
    with pytest.raises(errors.SettingsError) as caught:
        settings.options('{secret: "hush"}', 'f')
    assert 'hush' not in str(caught.value)
