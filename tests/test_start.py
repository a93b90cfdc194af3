"""What a process of the router loads before it serves."""

import os
import pathlib
import subprocess
import sys

# Parsers of command lines and schemas, event loops, and the other roles: each
# takes 10 to 150 ms of a processor's time, and a router has no use for it.
_UNUSED = (
    'aioprometheus',
    'asyncio',
    'defopt',
    'docutils',
    'jsonschema',
    'pyjson5',
    'foxtaildale.settings',
    'foxtaildaled.entry',
    'foxtaildaled.keeper',
    'foxtaildaled.main',
    'foxtaildaled.wiring',
)
_PROGRAM = (
    'import sys\n'
    'from foxtaildaled import start\n'
    f'print([name for name in {_UNUSED!r} if name in sys.modules])\n'
)


def _run(
    *args: str, boot: pathlib.Path | None = None
) -> subprocess.CompletedProcess[str]:
    env = os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)}
    env.pop('FOXTAILDALE_BOOT', None)
    if boot is not None:
        env['FOXTAILDALE_BOOT'] = str(boot)
    return subprocess.run(
        [sys.executable, *args],
        capture_output=True,
        text=True,
        check=False,
        env=env,
    )


def test_a_router_loads_only_what_it_serves_with() -> None:
    """Power returns to all VMs at once, and each loads its program.

    While it does, callers find no connection: on half a core each tenth of a
    second of loading is two in which nobody is served.
    """
    found = _run('-c', _PROGRAM)
    assert found.stdout == '[]\n', found.stderr


def test_without_arguments_the_platforms_settings_are_used(
    tmp_path: pathlib.Path,
) -> None:
    """The parser of command lines is not loaded where there is nothing to parse.

    Settings that are wrong must be told all the same.
    """
    found = _run('-m', 'foxtaildaled')
    assert found.returncode == 78
    assert 'FOXTAILDALE_BOOT' in found.stderr
    wrong = tmp_path / 'boot.toml'
    wrong.write_text('node_name = 7')
    found = _run('-m', 'foxtaildaled', boot=wrong)
    assert found.returncode == 78
    assert str(wrong) in found.stderr
