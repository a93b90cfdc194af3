"""Commands that check, publish, switch and show presets.

Each command receives its external dependencies as ports and returns a result.
A preset is named `NAME`, for the newest preset published under that name, or
`NAME@DIGEST`, with the first characters of the digest.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from foxtaildale import changes
from foxtaildale import fold
from foxtaildale import settings
from foxtaildale import values
from foxtaildale_client import config_reader
from foxtaildale_client import exits
from foxtaildale_client import results
from foxtaildale_client import submit


def check(content: str, file: str) -> results.Checked:
    """Checks a preset file.

    Raises:
        errors.SettingsError: The file is invalid.
    """
    preset = settings.parse_preset(content, file)
    digest = changes.digest_of(changes.canonical_form(preset))
    return results.Checked(file=file, name=preset.name, digest=digest)


def publish(
    submitter: submit.Submitter, content: str, file: str
) -> results.Result:
    """Checks a preset file and publishes it.

    Raises:
        errors.SettingsError: The file is invalid; nothing was sent.
        errors.PortError: The log could not be read; nothing was sent.
    """
    preset = settings.parse_preset(content, file)
    digest = changes.digest_of(changes.canonical_form(preset))
    change_outcome = submitter.publish(preset)
    return _changed(change_outcome, 'publish', preset.name, digest)


def switch(
    submitter: submit.Submitter, which: str, expects: int | None
) -> results.Result:
    """Puts a published preset in force.

    Raises:
        errors.PortError: The log could not be read; nothing was sent.
    """
    submitter.reader.catch_up()
    published_preset = find(submitter.reader.state, which)
    if published_preset is None:
        return _not_found(which)
    change_outcome = submitter.switch(
        published_preset.name, published_preset.digest, expects
    )
    return _changed(
        change_outcome, 'switch', published_preset.name, published_preset.digest
    )


def outcome(
    submitter: submit.Submitter, change_id: str, base: int
) -> results.Result:
    """Queries the outcome of a change.

    Raises:
        errors.PortError: The log could not be read.
    """
    return _changed(submitter.query_outcome(change_id, base))


def listed(reader: config_reader.Reader) -> results.Result:
    """Lists the published presets."""
    reader.catch_up()
    state = reader.state
    in_force = state.in_force.digest if state.in_force else ''
    lines = [
        results.PublishedLine(
            name=item.name,
            digest=item.digest,
            offset=item.offset,
            in_force=item.digest == in_force,
        )
        for item in state.published
    ]
    return results.Listed(presets=tuple(lines))


def show(reader: config_reader.Reader, which: str) -> results.Result:
    """Shows a complete published preset; without a name, the one in force."""
    reader.catch_up()
    published_preset = find(reader.state, which)
    if published_preset is None:
        return _not_found(which)
    in_force = reader.state.in_force
    return results.ShownPreset(
        digest=published_preset.digest,
        revision=(
            in_force.revision
            if in_force and in_force.digest == published_preset.digest
            else 0
        ),
        preset=changes.decode_preset(published_preset.data),
    )


def current(reader: config_reader.Reader) -> results.Result:
    """Shows which preset is in force."""
    reader.catch_up()
    in_force = reader.state.in_force
    if in_force is None:
        return results.Current(revision=0)
    return results.Current(
        revision=in_force.revision,
        offset=in_force.offset,
        name=in_force.preset.name,
        digest=in_force.digest,
    )


def diff(reader: config_reader.Reader, old: str, new: str) -> results.Result:
    """Compares two published presets field by field."""
    reader.catch_up()
    compared: list[values.Preset] = []
    for which in (old, new):
        published_preset = find(reader.state, which)
        if published_preset is None:
            return _not_found(which)
        compared.append(changes.decode_preset(published_preset.data))
    return differences(old, new, *compared)


def differences(
    old: str, new: str, before: values.Preset, after: values.Preset
) -> results.Differences:
    """Compares two presets field by field."""
    old_fields = dict(_fields(msgspec.to_builtins(before), ''))
    new_fields = dict(_fields(msgspec.to_builtins(after), ''))
    return results.Differences(
        old=old,
        new=new,
        differences=tuple(
            results.Difference(
                field=field,
                old=old_fields.get(field),
                new=new_fields.get(field),
            )
            for field in sorted({*old_fields, *new_fields})
            if old_fields.get(field) != new_fields.get(field)
        ),
    )


def find(state: fold.Fold, which: str) -> fold.PublishedPreset | None:
    """Returns a published preset by name; without a name, the one in force."""
    if not which:
        digest = state.in_force.digest if state.in_force else '-'
        name = ''
    else:
        name, _, digest = which.partition('@')
    for item in reversed(state.published):
        if name in ('', item.name) and item.digest.startswith(digest):
            return item
    return None


def _fields(value: Any, path: str) -> Iterator[tuple[str, Any]]:  # noqa: ANN401
    """Yields the leaves of nested objects with their dotted paths."""
    if not isinstance(value, dict):
        yield path, value
        return
    for key, inner in value.items():
        yield from _fields(inner, f'{path}.{key}' if path else key)


def _changed(
    change_outcome: submit.ChangeOutcome,
    change: str = '',
    name: str = '',
    digest: str = '',
) -> results.Changed:
    return results.Changed(
        result=change_outcome.result,
        id=change_outcome.id,
        base=change_outcome.base,
        reason=change_outcome.reason,
        revision=change_outcome.revision,
        change=change,
        name=name,
        digest=digest,
    )


def _not_found(which: str) -> results.Problem:
    problem = f'no preset {which} is published' if which else 'none in force'
    return results.Problem(status=exits.Exit.NOT_FOUND, problems=(problem,))
