"""Command line program `foxtaildale` for operators.

Parses the command line, opens the clients of the platform and of the
processes, runs one command and prints its result. Exit statuses are those of
`exits.Exit`.
"""

from collections.abc import Callable
from collections.abc import Sequence
import os
import pathlib
import sys
import time
from typing import Final
import uuid

import defopt
import msgspec

from foxtaildale import accounts
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale_adapters import http_client
from foxtaildale_adapters import peers as peers_lib
from foxtaildale_adapters import platform as platform_lib
from foxtaildale_client import config_reader
from foxtaildale_client import exits
from foxtaildale_client import explain as explain_lib
from foxtaildale_client import presets
from foxtaildale_client import request_trace
from foxtaildale_client import results
from foxtaildale_client import status as status_lib
from foxtaildale_client import submit

# Default address of the platform.
_DEFAULT_PLATFORM: Final = os.environ.get(
    'FOXTAILDALE_PLATFORM', '127.0.0.1:9000'
)
# Heartbeat interval of connections to keepers, seconds.
_HEARTBEAT_INTERVAL_S: Final = 0.5
# Time without a reply after which a keeper or the platform counts as
# unreachable, seconds.
_PEER_TIMEOUT_S: Final = 2.0


class State(results.Result, frozen=True):
    """The state of a process, as the process reported it."""

    state: msgspec.Raw

    def text(self) -> str:
        """Returns the human-readable output."""
        return msgspec.json.format(bytes(self.state), indent=2).decode()


def check(file: pathlib.Path, *, json: bool = False) -> int:
    """Checks a preset file.

    :param file: JSON with comments; docs/SETTINGS.md names the fields.
    :param json: Print JSON.
    """
    return _run(lambda: presets.check(_read_file(file), str(file)), json)


def publish(
    file: pathlib.Path,
    *,
    platform: str = _DEFAULT_PLATFORM,
    patience_s: float = 10.0,
    json: bool = False,
) -> int:
    """Checks a preset file and publishes it; it is not yet in force.

    :param file: JSON with comments; docs/SETTINGS.md names the fields.
    :param platform: Address of the platform.
    :param patience_s: Maximum time to wait for the outcome, seconds.
    :param json: Print JSON.
    """
    return _run(
        lambda: presets.publish(
            _submitter(platform, patience_s), _read_file(file), str(file)
        ),
        json,
    )


def switch(
    preset: str,
    *,
    expects: int | None = None,
    platform: str = _DEFAULT_PLATFORM,
    patience_s: float = 10.0,
    json: bool = False,
) -> int:
    """Puts a published preset in force everywhere.

    :param preset: NAME, or NAME@DIGEST.
    :param expects: Revision to replace; the one in force if not given.
    :param platform: Address of the platform.
    :param patience_s: Maximum time to wait for the outcome, seconds.
    :param json: Print JSON.
    """
    return _run(
        lambda: presets.switch(
            _submitter(platform, patience_s), preset, expects
        ),
        json,
    )


def outcome(
    change: str,
    *,
    base: int,
    platform: str = _DEFAULT_PLATFORM,
    json: bool = False,
) -> int:
    """Queries the outcome of an earlier publish or switch.

    :param change: Id that the publish or switch printed.
    :param base: Offset that the publish or switch printed.
    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(
        lambda: presets.outcome(_submitter(platform, 0.0), change, base), json
    )


def listed(*, platform: str = _DEFAULT_PLATFORM, json: bool = False) -> int:
    """Lists the published presets; a star marks the one in force.

    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(lambda: presets.listed(_reader(platform)), json)


def show(
    preset: str = '', *, platform: str = _DEFAULT_PLATFORM, json: bool = False
) -> int:
    """Shows a complete published preset.

    :param preset: NAME, or NAME@DIGEST; the one in force if not given.
    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(lambda: presets.show(_reader(platform), preset), json)


def diff(
    old: str, new: str, *, platform: str = _DEFAULT_PLATFORM, json: bool = False
) -> int:
    """Shows the fields in which two published presets differ.

    :param old: NAME, or NAME@DIGEST.
    :param new: NAME, or NAME@DIGEST.
    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(lambda: presets.diff(_reader(platform), old, new), json)


def current(*, platform: str = _DEFAULT_PLATFORM, json: bool = False) -> int:
    """Shows which preset is in force.

    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(lambda: presets.current(_reader(platform)), json)


def state(address: str, *, timeout_s: float = 5.0, json: bool = False) -> int:
    """Prints the state of one process.

    :param address: Its admin address.
    :param timeout_s: Maximum wait, seconds.
    :param json: Print JSON on one line.
    """
    return _run(lambda: _state(address, timeout_s), json)


def explain(
    request: str,
    *,
    platform: str = _DEFAULT_PLATFORM,
    log: str = '',
    json: bool = False,
) -> int:
    """Explains the outcome of a request.

    :param request: Id of the request, received or sent by the caller.
    :param platform: Address of the platform.
    :param log: File with log lines of routers, of one or more VMs; - for
        standard input. The platform is not contacted then.
    :param json: Print JSON.
    """
    if log:
        return _run(lambda: _explain_from_logs(log, request), json)
    return _run(lambda: explain_lib.explain(_platform(platform), request), json)


def _explain_from_logs(log: str, request: str) -> results.Result:
    if log == '-':
        return request_trace.trace_request(
            request_trace.parse(sys.stdin), request
        )
    with open(log, encoding='utf-8', errors='replace') as lines:
        return request_trace.trace_request(request_trace.parse(lines), request)


def status(
    *,
    platform: str = _DEFAULT_PLATFORM,
    keeper: str = '',
    timeout_s: float = 2.0,
    json: bool = False,
) -> int:
    """Shows a summary of the deployment.

    :param platform: Address of the platform.
    :param keeper: Address of a keeper that lists the others while the platform
        is down.
    :param timeout_s: Maximum wait for one keeper, seconds.
    :param json: Print JSON.
    """
    return _run(lambda: _status(platform, keeper, timeout_s), json)


def account_key(*, json: bool = False) -> int:
    """Computes the digest of a client account's key, for a preset.

    The key is read from standard input, so that it appears neither in the
    process list nor in the shell history.

    :param json: Print JSON.
    """
    return _run(_account_key, json)


_COMMANDS: Final = {
    'preset': {
        'check': check,
        'publish': publish,
        'list': listed,
        'show': show,
        'diff': diff,
        'switch': switch,
        'current': current,
        'outcome': outcome,
    },
    'state': state,
    'explain': explain,
    'status': status,
    'account-key': account_key,
}


def run(argv: Sequence[str]) -> int:
    """Runs the command line and returns the exit status."""
    result: int = defopt.run(_COMMANDS, argv=list(argv))
    return result


def main() -> None:
    """Entry point of the program."""
    sys.exit(run(sys.argv[1:]))


def _run(command: Callable[[], results.Result], as_json: bool) -> int:
    result = _run_command(command)
    # Errors go to stderr so that the next program of a pipe doesn't read them.
    failed = isinstance(result, results.Problem) and not as_json
    stream = sys.stderr if failed else sys.stdout
    shown = result.text()
    if as_json:
        shown = msgspec.json.encode(result, order='sorted').decode()
    print(shown, file=stream)
    return int(result.exit)


def _run_command(command: Callable[[], results.Result]) -> results.Result:
    """Runs a command and converts its errors into `Problem` results."""
    try:
        return command()
    except errors.SettingsError as exc:
        return _problem(exits.Exit.BAD_FILE, *exc.faults)
    except (OSError, UnicodeDecodeError) as exc:
        return _problem(exits.Exit.BAD_FILE, str(exc))
    except (errors.PortError, config_reader.UnknownStateError) as exc:
        # These errors are raised only before anything is sent; see `submit`.
        return _problem(
            exits.Exit.UNAVAILABLE, f'this command changed nothing: {exc}'
        )


def _problem(status_code: exits.Exit, *problems: str) -> results.Problem:
    return results.Problem(status=status_code, problems=problems)


def _read_file(file: pathlib.Path) -> str:
    return file.read_text(encoding='utf-8')


def _platform(address: str) -> platform_lib.Platform:
    # No backoff: one command sends only a few requests, all of them intended.
    return platform_lib.Platform(address, _PEER_TIMEOUT_S, retry_delay_s=0.0)


def _account_key() -> results.Result:
    key = sys.stdin.readline().strip()
    if not key:
        return _problem(exits.Exit.BAD_FILE, 'no key on standard input')
    return results.KeyDigest(digest=accounts.digest(key).hex())


def _reader(address: str) -> config_reader.Reader:
    return config_reader.Reader(_platform(address))


def _submitter(address: str, patience_s: float) -> submit.Submitter:
    return submit.Submitter(
        _platform(address),
        clock=time.monotonic,
        sleep=time.sleep,
        new_id=lambda: uuid.uuid4().hex,
        patience_s=patience_s,
    )


def _state(address: str, timeout_s: float) -> results.Result:
    response = http_client.HttpClient().send(
        address, 'GET', '/state', timeout_s=timeout_s
    )
    try:
        decoding.decode(msgspec.json.decode, response.body)
    except errors.DecodeError:
        return _problem(
            exits.Exit.UNAVAILABLE,
            f'{address} is not a foxtaildale process: status {response.status}',
        )
    return State(state=msgspec.Raw(response.body))


def _status(platform: str, keeper: str, timeout_s: float) -> results.Result:
    peers = peers_lib.Peers(_HEARTBEAT_INTERVAL_S, _PEER_TIMEOUT_S)
    try:
        return status_lib.summarize(
            _platform(platform), peers, keeper, timeout_s
        )
    finally:
        peers.close()


if __name__ == '__main__':
    main()
