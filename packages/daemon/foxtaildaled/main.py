"""The program `foxtaildaled`: a daemon whose role is set in its settings."""

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
    """Runs the daemon until it receives SIGTERM or SIGINT.

    Without a settings file it runs as a router. The platform then writes the
    settings and gives the path in the environment variable FOXTAILDALE_BOOT.

    :param settings_file: JSON with comments; docs/SETTINGS.md lists the fields.
    :param check: Check the settings and exit.
    :param metrics_port: Port on which a router serves metrics, state and
        liveness.
    :return: Exit status: 0, or 78 for invalid settings.
    """
    if settings_file is None:
        return start.run(metrics_port, check=check)
    try:
        text = settings_file.read_text(encoding='utf-8')
        cfg = settings.parse_options(text, str(settings_file))
    except (OSError, errors.SettingsError) as exc:
        print(exc, file=sys.stderr)
        return start.CONFIG_STATUS
    if check:
        return 0
    signals = process.Signals()
    process.stop_on_broken_invariants()
    logs.setup(cfg.role, cfg.entry_vm, cfg.log_level)
    daemon = wiring.make_daemon(cfg)
    daemon.start()
    signals.wait_for_stop()
    daemon.stop()
    signals.ignore()
    return 0


def main() -> None:
    """Entry point of the program."""
    sys.exit(defopt.run(run))
