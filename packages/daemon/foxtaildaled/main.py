"""The program `foxtaildaled`: one daemon, its role taken from its settings."""

from collections.abc import Callable
import logging
import os
import pathlib
import sys

import defopt

from foxtaildale import errors
from foxtaildale import options
from foxtaildale import settings
from foxtaildale_adapters import logs
from foxtaildale_platform import boot
from foxtaildale_platform import calls
from foxtaildale_platform import records
from foxtaildale_platform import store
from foxtaildale_platform import workers
from foxtaildaled import process
from foxtaildaled import routing
from foxtaildaled import wiring

# Status for settings that are wrong, as sysexits names it.
_CONFIG_STATUS = 78


def run(
    settings_file: pathlib.Path | None = None,
    *,
    check: bool = False,
    metrics_port: int = 9100,
) -> int:
    """Runs the daemon until it is told to stop.

    Without a settings file it runs as the router of a platform that writes one
    itself and names it in the environment variable FOXTAILDALE_BOOT.

    :param settings_file: JSON with comments; docs/SETTINGS.md names the fields.
    :param check: Only check the settings.
    :param metrics_port: Where a router serves metrics, state and liveness.
    :return: Exit status: 0, 78 for wrong settings.
    """
    try:
        if settings_file is None:
            made = _router(metrics_port)
        else:
            made = _role(settings_file)
    except (OSError, errors.SettingsError) as exc:
        print(exc, file=sys.stderr)
        return _CONFIG_STATUS
    if check:
        return 0
    process.stop_on_broken_invariants()
    daemon = made()
    daemon.start()
    if isinstance(daemon, routing.RouterDaemon):
        process.wait_for_stop(lambda: _reload(daemon))
    else:
        process.wait_for_stop()
    daemon.stop()
    return 0


def _reload(daemon: routing.RouterDaemon) -> None:
    """Reads the platform's settings anew; wrong ones change nothing."""
    try:
        daemon.reload(_boot())
    except (OSError, errors.SettingsError) as exc:
        logs.event(logging.ERROR, 'reload failed', error=str(exc))


def _boot() -> options.RouterOptions:
    """Reads the settings file that the platform wrote.

    Raises:
        errors.SettingsError: It is wrong, or not named.
        OSError: It can't be read.
    """
    name = os.environ.get(boot.VARIABLE)
    if not name:
        raise errors.SettingsError(
            (f'neither a settings file nor {boot.VARIABLE} is given',)
        )
    return boot.read(pathlib.Path(name).read_text(encoding='utf-8'), name)


def _role(file: pathlib.Path) -> Callable[[], wiring.Daemon]:
    """Checks the settings; returns what makes the daemon."""
    cfg = settings.options(file.read_text(encoding='utf-8'), str(file))

    def make() -> wiring.Daemon:
        logs.setup(cfg.role, cfg.entry_vm, cfg.log_level)
        return wiring.make(cfg)

    return make


def _router(metrics_port: int) -> Callable[[], wiring.Daemon]:
    """Checks the platform's settings; returns what makes the router."""
    cfg = _boot()
    adapters = routing.Adapters(
        codec=records.Codec(),
        store=store.Store,
        decode=calls.decode,
        workers=workers.Workers(),
    )

    def make() -> wiring.Daemon:
        logs.setup_bounded('router', cfg.entry_vm, 'info')
        return routing.RouterDaemon(cfg, adapters, metrics_port)

    return make


def main() -> None:
    """Entry point of the program."""
    sys.exit(defopt.run(run))
