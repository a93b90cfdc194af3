"""docs/SETTINGS.md names every field, with its default."""

import pathlib
import re
from typing import Any

import msgspec
import pytest

from foxtaildale import options
from foxtaildale import values
from foxtaildale_client import exits

_DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'
_ROW = re.compile(r'^\| `(\w+)` \|([^|]*)\|([^|]*)\|', re.MULTILINE)


def _rows() -> dict[str, tuple[str, str]]:
    page = (_DOCS / 'SETTINGS.md').read_text(encoding='utf-8')
    return {
        name: (needed.strip(), default.strip().strip('`'))
        for name, needed, default in _ROW.findall(page)
    }


@pytest.mark.parametrize(
    'kind',
    [options.Options, values.Preset, values.Service, values.Account],
)
def test_every_field_stands_with_its_default(kind: type[Any]) -> None:
    rows = _rows()
    for field in msgspec.structs.fields(kind):
        needed, default = rows[field.encode_name]
        if field.required:
            assert needed == 'yes'
        elif field.encode_name == 'keeper':
            assert needed == 'entry'
        elif field.encode_name == 'weights':
            assert field.default == values.Weights(1.0, 1.0)
        else:
            assert not needed
            default_value = field.default
            if field.default_factory is not msgspec.NODEFAULT:
                default_value = field.default_factory()
            found = str(default_value) or 'none'
            assert found.removesuffix('.0') == default


def test_the_fields_of_weights_are_named() -> None:
    page = (_DOCS / 'SETTINGS.md').read_text(encoding='utf-8')
    for field in values.Weights.__struct_fields__:
        assert f'`{field}`' in page


def test_every_exit_status_is_documented() -> None:
    page = (_DOCS / 'OPERATIONS.md').read_text(encoding='utf-8')
    table = page[page.index('### Exit statuses') :]
    for status in exits.Exit:
        assert f'\n| {status.value} |' in table
