"""The commands around presets.

Each takes what it needs from outside as a port and gives back a result. A
preset is named `NAME`, for the newest one published under that name, or
`NAME@DIGEST` with the first characters of the digest.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from foxtaildale import changes
from foxtaildale import fold
from foxtaildale import settings
from foxtaildale import values
from foxtaildale_client import exits
from foxtaildale_client import reading
from foxtaildale_client import results
from foxtaildale_client import submit


def check(content: str, file: str) -> results.Checked:
    """Checks a preset file.

    Raises:
        errors.SettingsError: It has faults.
    """
    preset = settings.parse_preset(content, file)
    digest = changes.digest_of(changes.canonical_form(preset))
    return results.Checked(file=file, name=preset.name, digest=digest)


def publish(
    submitter: submit.Submitter, content: str, file: str
) -> results.Result:
    """Checks a preset file and publishes it.

    Raises:
        errors.SettingsError: It has faults; nothing was sent.
        errors.PortError: The log could not be read; nothing was sent.
    """
    preset = settings.parse_preset(content, file)
    digest = changes.digest_of(changes.canonical_form(preset))
    learnt = submitter.publish(preset)
    return _changed(learnt, 'publish', preset.name, digest)


def switch(
    submitter: submit.Submitter, which: str, expects: int | None
) -> results.Result:
    """Puts a published preset in force.

    Raises:
        errors.PortError: The log could not be read; nothing was sent.
    """
    submitter.reader.catch_up()
    found = find(submitter.reader.state, which)
    if found is None:
        return _not_found(which)
    learnt = submitter.switch(found.name, found.digest, expects)
    return _changed(learnt, 'switch', found.name, found.digest)


def outcome(
    submitter: submit.Submitter, change_id: str, base: int
) -> results.Result:
    """Asks again what came of a change.

    Raises:
        errors.PortError: The log could not be read.
    """
    return _changed(submitter.ask(change_id, base))


def listed(reader: reading.Reader) -> results.Result:
    """Lists the published presets."""
    reader.catch_up()
    state = reader.state
    in_force = state.in_force.digest if state.in_force else ''
    lines = [
        results.Line(
            name=item.name,
            digest=item.digest,
            offset=item.offset,
            in_force=item.digest == in_force,
        )
        for item in state.published
    ]
    return results.Listed(presets=tuple(lines))


def show(reader: reading.Reader, which: str) -> results.Result:
    """Shows a published preset, whole; the one in force without a name."""
    reader.catch_up()
    found = find(reader.state, which)
    if found is None:
        return _not_found(which)
    in_force = reader.state.in_force
    return results.Shown(
        digest=found.digest,
        revision=(
            in_force.revision
            if in_force and in_force.digest == found.digest
            else 0
        ),
        preset=changes.decode_preset(found.data),
    )


def current(reader: reading.Reader) -> results.Result:
    """Names the preset in force."""
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


def diff(reader: reading.Reader, old: str, new: str) -> results.Result:
    """Tells in which fields two published presets differ."""
    reader.catch_up()
    sides: list[values.Preset] = []
    for which in (old, new):
        found = find(reader.state, which)
        if found is None:
            return _not_found(which)
        sides.append(changes.decode_preset(found.data))
    return differences(old, new, *sides)


def differences(
    old: str, new: str, before: values.Preset, after: values.Preset
) -> results.Differences:
    """Compares two presets field by field."""
    one = dict(_fields(msgspec.to_builtins(before), ''))
    two = dict(_fields(msgspec.to_builtins(after), ''))
    return results.Differences(
        old=old,
        new=new,
        differences=tuple(
            results.Difference(
                field=field, old=one.get(field), new=two.get(field)
            )
            for field in sorted({*one, *two})
            if one.get(field) != two.get(field)
        ),
    )


def find(state: fold.Fold, which: str) -> fold.PublishedPreset | None:
    """Returns a published preset by name; the one in force for no name."""
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
    learnt: submit.Learnt, change: str = '', name: str = '', digest: str = ''
) -> results.Changed:
    return results.Changed(
        result=learnt.result,
        id=learnt.id,
        base=learnt.base,
        reason=learnt.reason,
        revision=learnt.revision,
        change=change,
        name=name,
        digest=digest,
    )


def _not_found(which: str) -> results.Problem:
    problem = f'no preset {which} is published' if which else 'none in force'
    return results.Problem(status=exits.Exit.NOT_FOUND, problems=(problem,))
