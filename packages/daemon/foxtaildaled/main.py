"""The program `foxtaildaled`: one daemon, its role taken from its settings."""

import pathlib
import sys

import defopt

from foxtaildale import errors
from foxtaildale import settings
from foxtaildale_adapters import logs
from foxtaildaled import process
from foxtaildaled import wiring

# Status for settings that are wrong, as sysexits names it.
_CONFIG_STATUS = 78


def run(settings_file: pathlib.Path, *, check: bool = False) -> int:
    """Runs the daemon until it is told to stop.

    :param settings_file: JSON with comments; docs/SETTINGS.md names the fields.
    :param check: Only check the settings.
    :return: Exit status: 0, 78 for wrong settings.
    """
    try:
        text = settings_file.read_text(encoding='utf-8')
        cfg = settings.options(text, str(settings_file))
    except (OSError, errors.SettingsError) as exc:
        print(exc, file=sys.stderr)
        return _CONFIG_STATUS
    if check:
        return 0
    logs.setup(cfg.role, cfg.entry_vm, cfg.log_level)
    process.stop_on_broken_invariants()
    daemon = wiring.make(cfg)
    daemon.start()
    process.wait_for_stop()
    daemon.stop()
    return 0


def main() -> None:
    """Entry point of the program."""
    sys.exit(defopt.run(run))


if __name__ == '__main__':
    main()
