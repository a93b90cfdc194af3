"""Starts the router of a platform that writes its settings itself.

How soon a VM serves again after it lost power is, for the most part, how long
its process takes to load what it runs on. So this module loads the router and
nothing else: the command line's parser, the settings' schema and the other
roles stand in `main`.
"""

import logging
import os
import pathlib
import sys

from foxtaildale import errors
from foxtaildale import options
from foxtaildale_adapters import logs
from foxtaildale_platform import boot
from foxtaildale_platform import calls
from foxtaildale_platform import records
from foxtaildale_platform import store
from foxtaildale_platform import workers
from foxtaildaled import process
from foxtaildaled import routing

# Where a router serves metrics, state and liveness, unless told otherwise.
METRICS_PORT = 9100
# Status for settings that are wrong, as sysexits names it.
CONFIG_STATUS = 78


def run(metrics_port: int = METRICS_PORT, *, check: bool = False) -> int:
    """Runs the router until it is told to stop.

    Args:
        metrics_port: Where it serves metrics, state and liveness.
        check: Whether to check the settings only.

    Returns:
        Exit status: 0, 78 for wrong settings.
    """
    try:
        cfg = _settings()
    except (OSError, errors.SettingsError) as exc:
        print(exc, file=sys.stderr)
        return CONFIG_STATUS
    if check:
        return 0
    process.stop_on_broken_invariants()
    logs.setup_bounded('router', cfg.entry_vm, 'info')
    adapters = routing.Adapters(
        codec=records.Codec(),
        store=store.Store,
        decode=calls.decode,
        workers=workers.Workers(),
    )
    daemon = routing.RouterDaemon(cfg, adapters, metrics_port)
    daemon.start()
    process.wait_for_stop(lambda: _reload(daemon))
    daemon.stop()
    return 0


def _reload(daemon: routing.RouterDaemon) -> None:
    """Reads the platform's settings anew; wrong ones change nothing."""
    try:
        daemon.reload(_settings())
    except (OSError, errors.SettingsError) as exc:
        logs.event(logging.ERROR, 'reload failed', error=str(exc))


def _settings() -> options.RouterOptions:
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
