"""The program `foxtaildaled`: one daemon, its role taken from its settings."""

import pathlib
import sys

import defopt

from foxtaildale import errors
from foxtaildale import settings
from foxtaildale_adapters import logs
from foxtaildaled import process
from foxtaildaled import start
from foxtaildaled import wiring


def run(
    settings_file: pathlib.Path | None = None,
    *,
    check: bool = False,
    metrics_port: int = start.METRICS_PORT,
) -> int:
    """Runs the daemon until it is told to stop.

    Without a settings file it runs as the router of a platform that writes one
    itself and names it in the environment variable FOXTAILDALE_BOOT.

    :param settings_file: JSON with comments; docs/SETTINGS.md names the fields.
    :param check: Only check the settings.
    :param metrics_port: Where a router serves metrics, state and liveness.
    :return: Exit status: 0, 78 for wrong settings.
    """
    if settings_file is None:
        return start.run(metrics_port, check=check)
    try:
        text = settings_file.read_text(encoding='utf-8')
        cfg = settings.options(text, str(settings_file))
    except (OSError, errors.SettingsError) as exc:
        print(exc, file=sys.stderr)
        return start.CONFIG_STATUS
    if check:
        return 0
    process.stop_on_broken_invariants()
    logs.setup(cfg.role, cfg.entry_vm, cfg.log_level)
    daemon = wiring.make(cfg)
    daemon.start()
    process.wait_for_stop()
    daemon.stop()
    return 0


def main() -> None:
    """Entry point of the program."""
    sys.exit(defopt.run(run))
