"""Starts the router with settings that the platform writes.

After a power loss of a VM, most of the time until it serves again is spent on
loading modules. So this module imports only what the router needs; the command
line parser, the schema of the settings and the other roles are in `main`.
"""

import logging
import os
import pathlib
import sys

from foxtaildale import errors
from foxtaildale import options
from foxtaildale_adapters import connectors
from foxtaildale_adapters import logs
from foxtaildale_platform import caller_requests
from foxtaildale_platform import records
from foxtaildale_platform import server_client
from foxtaildale_platform import settings_file
from foxtaildale_platform import store
from foxtaildaled import process
from foxtaildaled import router_daemon

# Default port on which a router serves metrics, state and liveness.
METRICS_PORT = 9100
# Exit status for invalid settings, EX_CONFIG of sysexits.h.
CONFIG_STATUS = 78


def run(metrics_port: int = METRICS_PORT, *, check: bool = False) -> int:
    """Runs the router until it receives SIGTERM or SIGINT.

    Args:
        metrics_port: Port on which it serves metrics, state and liveness.
        check: Whether to only check the settings.

    Returns:
        Exit status: 0, or 78 for invalid settings.
    """
    try:
        cfg = _read_settings()
    except (OSError, errors.SettingsError) as exc:
        print(exc, file=sys.stderr)
        return CONFIG_STATUS
    if check:
        return 0
    signals = process.Signals()
    process.stop_on_broken_invariants()
    logs.setup_bounded('router', cfg.entry_vm, 'info')
    adapters = router_daemon.Adapters(
        codec=records.Codec(),
        make_store=store.Store,
        decode=caller_requests.decode_request,
        make_workers=server_client.ServerClient,
        connector=connectors.DirectConnector(),
    )
    daemon = router_daemon.RouterDaemon(cfg, adapters, metrics_port)
    daemon.start()
    signals.wait_for_stop(lambda: _reload(daemon))
    daemon.stop()
    signals.ignore()
    logs.flush()
    return 0


def _reload(daemon: router_daemon.RouterDaemon) -> None:
    """Reads the platform's settings again; invalid ones are not applied."""
    try:
        daemon.reload(_read_settings())
    except (OSError, errors.SettingsError) as exc:
        logs.event(logging.ERROR, 'reload failed', error=str(exc))


def _read_settings() -> options.RouterOptions:
    """Reads the settings file that the platform wrote.

    Raises:
        errors.SettingsError: The file is invalid, or its path is not given.
        OSError: The file can't be read.
    """
    name = os.environ.get(settings_file.SETTINGS_PATH_VARIABLE)
    if not name:
        raise errors.SettingsError(
            (
                f'neither a settings file nor {settings_file.SETTINGS_PATH_VARIABLE} is given',
            )
        )
    try:
        text = pathlib.Path(name).read_text(encoding='utf-8')
    except UnicodeDecodeError as exc:
        raise errors.SettingsError((f'{name}: {exc}',)) from exc
    return settings_file.decode_settings(text, name)
