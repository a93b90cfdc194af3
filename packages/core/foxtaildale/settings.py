"""Checked settings: JSON with comments into options and presets.

A text is parsed, held against the JSON schema that msgspec derives from the
struct, and fields that only make sense together are compared; where a field is
wrong by itself, what it would be compared with is left alone. All faults are
raised together, each on one line that names the file, the field, what was
found and what is allowed. The program reads the file; this module has no I/O.
"""

from collections.abc import Callable
from collections.abc import Iterable
import json
import math
import re
from typing import Any
from typing import Final
from typing import TypeVar

import jsonschema
import msgspec
import pyjson5

from foxtaildale import errors
from foxtaildale import options as options_lib
from foxtaildale import rules
from foxtaildale import values

# Fields whose content is never shown, not even in a fault.
_SECRET: Final = frozenset({'secret', 'keys'})
# What was found is cut to this many characters in a fault.
_SHOWN: Final = 60
# Longest file looked at, characters.
MAX_TEXT: Final = 1_048_576

# Stand in for required fields that are missing or wrong, while the others are
# compared; they pass every rule.
_PLACEHOLDERS: Final = {
    'role': 'keeper',
    'entry_vm': 'x',
    'data_centre': 'x',
    'platform': '127.0.0.1:1',
    'secret': 16 * 'x',
}
# Returns the faults of a parsed text, given the paths known to be wrong.
_Compare = Callable[[dict[str, Any], frozenset[str]], list[rules.Fault]]

# Where the parser says at which character it stopped.
_NEAR: Final = re.compile(r' near (\d+).*')

# What separates a field from the rest of a path in a fault.
_INNER: Final = re.compile(r'[.\[]')

_T = TypeVar('_T')


def _is_integer(_: object, found: object) -> bool:
    """Tells a whole number; 2.0 is one to the schema but not to the codec."""
    return isinstance(found, int) and not isinstance(found, bool)


_Validator: Final = jsonschema.validators.extend(  # type: ignore[no-untyped-call]
    jsonschema.Draft202012Validator,
    type_checker=jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        'integer', _is_integer
    ),
)


def options(text: str, name: str) -> options_lib.Options:
    """Returns the options of a daemon.

    Args:
        text: JSON with comments.
        name: The file's name, for faults.

    Raises:
        errors.SettingsError: The text is wrong; carries every fault.
    """
    return _read(text, name, options_lib.Options, _compare_options)


def preset(text: str, name: str) -> values.Preset:
    """Returns a preset that may be published.

    Args:
        text: JSON with comments.
        name: The file's name, for faults.

    Raises:
        errors.SettingsError: The text is wrong; carries every fault.
    """
    return _read(text, name, values.Preset, _compare_preset)


def schema(kind: type[Any]) -> dict[str, Any]:
    """Returns the JSON schema of a settings struct; unknown fields are out.

    A misspelt field would otherwise be ignored and its default used, which
    nobody notices until the default matters.
    """
    result = msgspec.json.schema(kind)
    for part in result['$defs'].values():
        if 'properties' in part:
            part['additionalProperties'] = False
    return result


def _read(text: str, name: str, kind: type[_T], compare: _Compare) -> _T:
    found = _parse(text, name)
    faults: list[rules.Fault] = []
    for error in _Validator(schema(kind)).iter_errors(found):
        faults += _faults(error)
    faults += _not_finite(found, ())
    if isinstance(found, dict):
        faults += compare(found, frozenset(fault.path for fault in faults))
    _raise(name, faults)
    try:
        return msgspec.convert(found, kind)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError((f'{name}: {exc}',)) from exc


def _compare_options(
    found: dict[str, Any], wrong: frozenset[str]
) -> list[rules.Fault]:
    """Compares the fields of options that are right by themselves."""
    known = options_lib.Options.__struct_fields__
    # A fault within a list names the item; its field is wrong as a whole.
    tops = {_INNER.split(path, maxsplit=1)[0] for path in wrong}
    right = {
        key: value
        for key, value in found.items()
        if key in known and key not in tops
    }
    cfg = msgspec.convert({**_PLACEHOLDERS, **right}, options_lib.Options)
    return [
        fault
        for fault in rules.options_faults(cfg, frozenset(found))
        if not wrong & {fault.path, *fault.compared}
    ]


def _compare_preset(
    found: dict[str, Any], wrong: frozenset[str]
) -> list[rules.Fault]:
    """Compares the fields of a preset that are right by themselves."""
    return _compare_services(found, wrong) + _compare_accounts(found, wrong)


def _compare_accounts(
    found: dict[str, Any], wrong: frozenset[str]
) -> list[rules.Fault]:
    known = found.get('accounts')
    if not isinstance(known, dict):
        return []
    right = {
        name: msgspec.convert(value, values.Account)
        for name, value in known.items()
        if not any(f'{one}.'.startswith(f'accounts.{name}.') for one in wrong)
    }
    return rules.account_faults(right)


def _compare_services(
    found: dict[str, Any], wrong: frozenset[str]
) -> list[rules.Fault]:
    """Compares the fields of services that are right by themselves."""
    services = found.get('services')
    if not isinstance(services, dict):
        return []
    faults: list[rules.Fault] = []
    for key, value in services.items():
        path = f'services.{key}'
        if any(f'{one}.'.startswith(f'{path}.') for one in wrong):
            continue
        faults += rules.service_faults(
            path, msgspec.convert(value, values.Service)
        )
    return faults


def _parse(text: str, name: str) -> object:
    if len(text) > MAX_TEXT:
        raise errors.SettingsError(
            (
                f'{name}: found {len(text)} characters,'
                f' allowed: at most {MAX_TEXT}',
            )
        )
    try:
        return pyjson5.decode(text, maxdepth=32)
    except pyjson5.Json5Exception as exc:
        raise errors.SettingsError(
            (
                f'{name}: {_place(str(exc.args[0]), text)},'
                ' allowed: JSON with comments',
            )
        ) from exc


def _place(message: str, text: str) -> str:
    """Returns the parser's message with a line in place of an offset."""
    match = _NEAR.search(message)
    if match is None:
        return f'found {message}'
    before = text[: int(match[1])]
    return f'line {before.count(chr(10)) + 1}: found {message[: match.start()]}'


def _raise(name: str, faults: list[rules.Fault]) -> None:
    if not faults:
        return
    lines = {
        f'{name}: {fault.path or "whole file"}: found {fault.found},'
        f' allowed: {fault.allowed}'
        for fault in faults
    }
    raise errors.SettingsError(tuple(sorted(lines)))


def _faults(error: jsonschema.ValidationError) -> list[rules.Fault]:
    """Returns the faults behind one error of the schema."""
    path = tuple(str(part) for part in error.absolute_path)
    part = error.schema
    assert isinstance(part, dict)
    found: Any = error.instance
    if error.validator == 'additionalProperties':
        known = part['properties']
        return [
            rules.Fault(_join((*path, key)), 'an unknown field', _names(known))
            for key in found
            if key not in known
        ]
    if error.validator == 'required':
        known = part['properties']
        return [
            rules.Fault(_join((*path, key)), 'nothing', _allowed(known[key]))
            for key in part['required']
            if key not in found
        ]
    if 'propertyNames' in error.absolute_schema_path:
        return [rules.Fault(_join(path), f'key {_show(found)}', _allowed(part))]
    shown = _hidden(found) if set(path) & _SECRET else _show(found)
    return [rules.Fault(_join(path), shown, _allowed(part))]


def _not_finite(found: object, path: tuple[str, ...]) -> list[rules.Fault]:
    """Finds NaN and infinity, which JSON with comments has and we do not.

    NaN passes every bound of the schema, because no comparison with it holds;
    a timeout of NaN would then never or always pass.
    """
    if isinstance(found, float) and not math.isfinite(found):
        return [rules.Fault(_join(path), str(found), 'a finite number')]
    if isinstance(found, dict):
        parts = [(str(key), value) for key, value in found.items()]
    elif isinstance(found, list):
        parts = [(str(i), value) for i, value in enumerate(found)]
    else:
        parts = []
    faults: list[rules.Fault] = []
    for key, value in parts:
        faults += _not_finite(value, (*path, key))
    return faults


def _join(path: tuple[str, ...]) -> str:
    return '.'.join(path)


def _show(found: object) -> str:
    if isinstance(found, dict):
        return 'an object' if found else 'an empty object'
    text = json.dumps(found, ensure_ascii=False)
    return text if len(text) <= _SHOWN else text[:_SHOWN] + '…'


def _hidden(found: object) -> str:
    if isinstance(found, str):
        return f'a text of {len(found)} characters'
    return f'a value of type {type(found).__name__}'


def _names(names: Iterable[str]) -> str:
    return 'one of ' + ', '.join(sorted(names))


# How each keyword of the schema reads in a sentence.
_PHRASES: Final = (
    ('minimum', 'at least {}'),
    ('exclusiveMinimum', 'above {}'),
    ('maximum', 'at most {}'),
    ('minLength', 'at least {} characters'),
    ('maxLength', 'at most {} characters'),
    ('pattern', 'matching {}'),
    ('minProperties', 'at least {} entries'),
    ('maxProperties', 'at most {} entries'),
)
_TYPES: Final = {
    'string': 'a text',
    'number': 'a number',
    'integer': 'a whole number',
    'object': 'an object',
    'array': 'a list',
    'boolean': 'true or false',
}


def _allowed(part: dict[str, Any]) -> str:
    """Returns what a part of the schema allows, in words."""
    if '$ref' in part:
        return 'an object'
    if 'enum' in part:
        return _names(str(value) for value in part['enum'])
    words = [_TYPES.get(part.get('type', 'string'), 'a value')]
    words += [
        phrase.format(part[key]) for key, phrase in _PHRASES if key in part
    ]
    return ', '.join(words)
