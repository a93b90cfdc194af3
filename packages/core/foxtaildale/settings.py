"""Parses and checks settings: JSON with comments into options and presets.

A text is parsed and validated against the JSON schema that msgspec derives
from the struct. Then fields that depend on each other are compared, except
fields that are invalid themselves. All faults are raised together, one per
line with the file, the field, the value found and the allowed values. The
program reads the file; this module does no I/O.
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

# Fields whose values never appear in a message.
_SECRET_FIELDS: Final = frozenset({'secret', 'keys'})
# Maximum length of a value in a message, characters.
_MAX_SHOWN_CHARS: Final = 60
# Maximum length of a file, characters.
MAX_TEXT_CHARS: Final = 1_048_576

# Values used for required fields that are missing or invalid while the other
# fields are compared; they violate no rule.
_PLACEHOLDERS: Final = {
    'role': 'keeper',
    'entry_vm': 'x',
    'data_centre': 'x',
    'platform': '127.0.0.1:1',
    'secret': 16 * 'x',
}
# Returns the faults of a parsed text, given the paths of invalid fields.
_RuleCheck = Callable[[dict[str, Any], frozenset[str]], list[rules.Fault]]

# Matches the offset in a message of the parser, characters.
_PARSER_OFFSET: Final = re.compile(r' near (\d+).*')

# Separators between the top-level field and the rest of a path.
_PATH_SEPARATOR: Final = re.compile(r'[.\[]')

_T = TypeVar('_T')


def _is_integer(_: object, value: object) -> bool:
    """Whether a value is an integer.

    JSON schema treats 2.0 as an integer, but msgspec does not.
    """
    return isinstance(value, int) and not isinstance(value, bool)


_Validator: Final = jsonschema.validators.extend(  # type: ignore[no-untyped-call]
    jsonschema.Draft202012Validator,
    type_checker=jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        'integer', _is_integer
    ),
)


def parse_options(text: str, name: str) -> options_lib.Options:
    """Parses the options of a daemon.

    Args:
        text: JSON with comments.
        name: Name of the file, for messages.

    Raises:
        errors.SettingsError: The text is invalid; contains all faults.
    """
    return _parse_checked(text, name, options_lib.Options, _check_options)


def parse_preset(text: str, name: str) -> values.Preset:
    """Parses a preset.

    Args:
        text: JSON with comments.
        name: Name of the file, for messages.

    Raises:
        errors.SettingsError: The text is invalid; contains all faults.
    """
    return _parse_checked(text, name, values.Preset, _check_preset)


def schema(kind: type[Any]) -> dict[str, Any]:
    """Returns the JSON schema of a settings struct; rejects unknown fields.

    Otherwise a misspelt field would be ignored and its default used, without
    any sign of the mistake until the default has an effect.
    """
    result = msgspec.json.schema(kind)
    for part in result['$defs'].values():
        if 'properties' in part:
            part['additionalProperties'] = False
    return result


def _parse_checked(
    text: str, name: str, kind: type[_T], check_rules: _RuleCheck
) -> _T:
    parsed = _decode(text, name)
    faults: list[rules.Fault] = []
    for error in _Validator(schema(kind)).iter_errors(parsed):
        faults += _schema_faults(error)
    faults += _non_finite_faults(parsed, ())
    if isinstance(parsed, dict):
        faults += check_rules(parsed, frozenset(fault.path for fault in faults))
    _raise_if_any(name, faults)
    try:
        return msgspec.convert(parsed, kind)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError((f'{name}: {exc}',)) from exc


def _check_options(
    parsed: dict[str, Any], invalid: frozenset[str]
) -> list[rules.Fault]:
    """Checks the rules for the options that are valid separately."""
    field_names = options_lib.Options.__struct_fields__
    # A fault in a list names the item; the whole field is invalid then.
    invalid_fields = {
        _PATH_SEPARATOR.split(path, maxsplit=1)[0] for path in invalid
    }
    valid = {
        key: value
        for key, value in parsed.items()
        if key in field_names and key not in invalid_fields
    }
    cfg = msgspec.convert({**_PLACEHOLDERS, **valid}, options_lib.Options)
    return [
        fault
        for fault in rules.check_options(cfg, frozenset(parsed))
        if not invalid & {fault.path, *fault.compared}
    ]


def _check_preset(
    parsed: dict[str, Any], invalid: frozenset[str]
) -> list[rules.Fault]:
    """Checks the rules for the parts of a preset that are valid."""
    return _check_services(parsed, invalid) + _check_accounts(parsed, invalid)


def _check_accounts(
    parsed: dict[str, Any], invalid: frozenset[str]
) -> list[rules.Fault]:
    accounts = parsed.get('accounts')
    if not isinstance(accounts, dict):
        return []
    valid = {
        name: msgspec.convert(value, values.Account)
        for name, value in accounts.items()
        if not any(
            f'{invalid_path}.'.startswith(f'accounts.{name}.')
            for invalid_path in invalid
        )
    }
    return rules.check_accounts(valid)


def _check_services(
    parsed: dict[str, Any], invalid: frozenset[str]
) -> list[rules.Fault]:
    """Checks the rules for the services whose fields are valid."""
    services = parsed.get('services')
    if not isinstance(services, dict):
        return []
    faults: list[rules.Fault] = []
    for key, value in services.items():
        path = f'services.{key}'
        if any(
            f'{invalid_path}.'.startswith(f'{path}.')
            for invalid_path in invalid
        ):
            continue
        faults += rules.check_service(
            path, msgspec.convert(value, values.Service)
        )
    return faults


def _decode(text: str, name: str) -> object:
    if len(text) > MAX_TEXT_CHARS:
        raise errors.SettingsError(
            (
                f'{name}: found {len(text)} characters,'
                f' allowed: at most {MAX_TEXT_CHARS}',
            )
        )
    try:
        return pyjson5.decode(text, maxdepth=32)
    except pyjson5.Json5Exception as exc:
        raise errors.SettingsError(
            (
                f'{name}: {_describe_parse_error(str(exc.args[0]), text)},'
                ' allowed: JSON with comments',
            )
        ) from exc


def _describe_parse_error(message: str, text: str) -> str:
    """Returns the parser's message with a line number instead of an offset."""
    match = _PARSER_OFFSET.search(message)
    if match is None:
        return f'found {message}'
    before = text[: int(match[1])]
    return f'line {before.count(chr(10)) + 1}: found {message[: match.start()]}'


def _raise_if_any(name: str, faults: list[rules.Fault]) -> None:
    if not faults:
        return
    lines = {
        f'{name}: {fault.path or "whole file"}: found {fault.found},'
        f' allowed: {fault.allowed}'
        for fault in faults
    }
    raise errors.SettingsError(tuple(sorted(lines)))


def _schema_faults(error: jsonschema.ValidationError) -> list[rules.Fault]:
    """Converts one error of the schema validation to faults."""
    path = tuple(str(part) for part in error.absolute_path)
    part = error.schema
    assert isinstance(part, dict)
    value: Any = error.instance
    if error.validator == 'additionalProperties':
        properties = part['properties']
        return [
            rules.Fault(
                _join_path((*path, key)),
                'an unknown field',
                _one_of(properties),
            )
            for key in value
            if key not in properties
        ]
    if error.validator == 'required':
        properties = part['properties']
        return [
            rules.Fault(
                _join_path((*path, key)),
                'nothing',
                _describe_allowed(properties[key]),
            )
            for key in part['required']
            if key not in value
        ]
    if 'propertyNames' in error.absolute_schema_path:
        return [
            rules.Fault(
                _join_path(path),
                f'key {_format_value(value)}',
                _describe_allowed(part),
            )
        ]
    shown = (
        _describe_secret(value)
        if set(path) & _SECRET_FIELDS
        else _format_value(value)
    )
    return [rules.Fault(_join_path(path), shown, _describe_allowed(part))]


def _non_finite_faults(
    parsed: object, path: tuple[str, ...]
) -> list[rules.Fault]:
    """Finds NaN and infinity, which the parser accepts.

    NaN passes every bound of the schema, because every comparison with it is
    false; a timeout of NaN would expire never or at once.
    """
    if isinstance(parsed, float) and not math.isfinite(parsed):
        return [rules.Fault(_join_path(path), str(parsed), 'a finite number')]
    if isinstance(parsed, dict):
        parts = [(str(key), value) for key, value in parsed.items()]
    elif isinstance(parsed, list):
        parts = [(str(i), value) for i, value in enumerate(parsed)]
    else:
        parts = []
    faults: list[rules.Fault] = []
    for key, value in parts:
        faults += _non_finite_faults(value, (*path, key))
    return faults


def _join_path(path: tuple[str, ...]) -> str:
    return '.'.join(path)


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        return 'an object' if value else 'an empty object'
    text = json.dumps(value, ensure_ascii=False)
    return (
        text if len(text) <= _MAX_SHOWN_CHARS else text[:_MAX_SHOWN_CHARS] + '…'
    )


def _describe_secret(value: object) -> str:
    if isinstance(value, str):
        return f'a text of {len(value)} characters'
    return f'a value of type {type(value).__name__}'


def _one_of(names: Iterable[str]) -> str:
    return 'one of ' + ', '.join(sorted(names))


# Message texts for the keywords of the schema.
_KEYWORD_TEXTS: Final = (
    ('minimum', 'at least {}'),
    ('exclusiveMinimum', 'above {}'),
    ('maximum', 'at most {}'),
    ('minLength', 'at least {} characters'),
    ('maxLength', 'at most {} characters'),
    ('pattern', 'matching {}'),
    ('minProperties', 'at least {} entries'),
    ('maxProperties', 'at most {} entries'),
)
_TYPE_TEXTS: Final = {
    'string': 'a text',
    'number': 'a number',
    'integer': 'a whole number',
    'object': 'an object',
    'array': 'a list',
    'boolean': 'true or false',
}


def _describe_allowed(subschema: dict[str, Any]) -> str:
    """Describes the values that a part of the schema allows."""
    if '$ref' in subschema:
        return 'an object'
    if 'enum' in subschema:
        return _one_of(str(value) for value in subschema['enum'])
    words = [_TYPE_TEXTS.get(subschema.get('type', 'string'), 'a value')]
    words += [
        phrase.format(subschema[key])
        for key, phrase in _KEYWORD_TEXTS
        if key in subschema
    ]
    return ', '.join(words)
