"""The operators' program `foxtaildale`.

Parses the command line, opens the clients of the platform and of the
processes, runs one command and prints what it gave back. Exit statuses are
those of `exits.Exit`.
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
from foxtaildale import errors
from foxtaildale_adapters import exchange
from foxtaildale_adapters import peers as peers_lib
from foxtaildale_adapters import platform as platform_lib
from foxtaildale_client import exits
from foxtaildale_client import explain as explain_lib
from foxtaildale_client import presets
from foxtaildale_client import reading
from foxtaildale_client import results
from foxtaildale_client import status as status_lib
from foxtaildale_client import story
from foxtaildale_client import submit

# Where the platform is, unless the command line says so.
_PLATFORM: Final = os.environ.get('FOXTAILDALE_PLATFORM', '127.0.0.1:9000')
# Heartbeat and silence of connections to keepers, seconds.
_HEARTBEAT_S: Final = 0.5
_SILENCE_S: Final = 2.0


class State(results.Result, frozen=True):
    """The state of a process, as it gave it."""

    state: msgspec.Raw

    def text(self) -> str:
        """Lines for people."""
        return msgspec.json.format(bytes(self.state), indent=2).decode()


def check(file: pathlib.Path, *, json: bool = False) -> int:
    """Checks a preset file.

    :param file: JSON with comments; docs/SETTINGS.md names the fields.
    :param json: Print JSON.
    """
    return _run(lambda: presets.check(_read(file), str(file)), json)


def publish(
    file: pathlib.Path,
    *,
    platform: str = _PLATFORM,
    patience_s: float = 10.0,
    json: bool = False,
) -> int:
    """Checks a preset file and publishes it; it is not yet in force.

    :param file: JSON with comments; docs/SETTINGS.md names the fields.
    :param platform: Address of the platform.
    :param patience_s: How long to pursue the outcome, seconds.
    :param json: Print JSON.
    """
    return _run(
        lambda: presets.publish(
            _submitter(platform, patience_s), _read(file), str(file)
        ),
        json,
    )


def switch(
    preset: str,
    *,
    expects: int | None = None,
    platform: str = _PLATFORM,
    patience_s: float = 10.0,
    json: bool = False,
) -> int:
    """Puts a published preset in force everywhere.

    :param preset: NAME, or NAME@DIGEST.
    :param expects: Revision to replace; the one in force if not given.
    :param platform: Address of the platform.
    :param patience_s: How long to pursue the outcome, seconds.
    :param json: Print JSON.
    """
    return _run(
        lambda: presets.switch(
            _submitter(platform, patience_s), preset, expects
        ),
        json,
    )


def outcome(
    change: str, *, base: int, platform: str = _PLATFORM, json: bool = False
) -> int:
    """Asks again what came of a publish or a switch.

    :param change: Id that the first command printed.
    :param base: Offset that the first command printed.
    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(
        lambda: presets.outcome(_submitter(platform, 0.0), change, base), json
    )


def listed(*, platform: str = _PLATFORM, json: bool = False) -> int:
    """Lists the published presets; a star marks the one in force.

    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(lambda: presets.listed(_reader(platform)), json)


def show(
    preset: str = '', *, platform: str = _PLATFORM, json: bool = False
) -> int:
    """Shows a published preset, whole.

    :param preset: NAME, or NAME@DIGEST; the one in force if not given.
    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(lambda: presets.show(_reader(platform), preset), json)


def diff(
    old: str, new: str, *, platform: str = _PLATFORM, json: bool = False
) -> int:
    """Tells in which fields two published presets differ.

    :param old: NAME, or NAME@DIGEST.
    :param new: NAME, or NAME@DIGEST.
    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(lambda: presets.diff(_reader(platform), old, new), json)


def current(*, platform: str = _PLATFORM, json: bool = False) -> int:
    """Names the preset in force.

    :param platform: Address of the platform.
    :param json: Print JSON.
    """
    return _run(lambda: presets.current(_reader(platform)), json)


def state(address: str, *, timeout_s: float = 5.0, json: bool = False) -> int:
    """Prints the state of one process.

    :param address: Its admin address.
    :param timeout_s: Longest wait, seconds.
    :param json: Print JSON on one line.
    """
    return _run(lambda: _state(address, timeout_s), json)


def explain(
    request: str,
    *,
    platform: str = _PLATFORM,
    log: str = '',
    json: bool = False,
) -> int:
    """Explains what became of a request.

    :param request: Its id, as the caller was given it or sent it.
    :param platform: Address of the platform.
    :param log: File with log lines of routers, of one or more VMs; - for
        standard input. The platform is not asked then.
    :param json: Print JSON.
    """
    if log:
        return _run(lambda: _story(log, request), json)
    return _run(lambda: explain_lib.explain(_platform(platform), request), json)


def _story(log: str, request: str) -> results.Result:
    if log == '-':
        return story.tell(story.parse(sys.stdin), request)
    with open(log, encoding='utf-8', errors='replace') as lines:
        return story.tell(story.parse(lines), request)


def status(
    *,
    platform: str = _PLATFORM,
    keeper: str = '',
    timeout_s: float = 2.0,
    json: bool = False,
) -> int:
    """Shows the deployment at a glance.

    :param platform: Address of the platform.
    :param keeper: A keeper to ask for the others while the platform is down.
    :param timeout_s: Longest wait for one keeper, seconds.
    :param json: Print JSON.
    """
    return _run(lambda: _status(platform, keeper, timeout_s), json)


def account_key(*, json: bool = False) -> int:
    """Makes the digest of a client account's key, for a preset.

    The key is read from standard input, so that it stands in no list of
    processes and no shell's history.

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
    result = _guard(command)
    # What went wrong goes where a pipe's next program doesn't read it.
    failed = isinstance(result, results.Problem) and not as_json
    stream = sys.stderr if failed else sys.stdout
    shown = result.text()
    if as_json:
        shown = msgspec.json.encode(result, order='sorted').decode()
    print(shown, file=stream)
    return int(result.exit)


def _guard(command: Callable[[], results.Result]) -> results.Result:
    """Turns the errors that a command may meet into problems."""
    try:
        return command()
    except errors.SettingsError as exc:
        return _problem(exits.Exit.BAD_FILE, *exc.faults)
    except (OSError, UnicodeDecodeError) as exc:
        return _problem(exits.Exit.BAD_FILE, str(exc))
    except (errors.PortError, reading.UnknownStateError) as exc:
        # Raised before anything is sent only; see `submit`.
        return _problem(
            exits.Exit.UNAVAILABLE, f'this command changed nothing: {exc}'
        )


def _problem(status_code: exits.Exit, *problems: str) -> results.Problem:
    return results.Problem(status=status_code, problems=problems)


def _read(file: pathlib.Path) -> str:
    return file.read_text(encoding='utf-8')


def _platform(address: str) -> platform_lib.Platform:
    # No holding off: one command asks a few times only, and means to.
    return platform_lib.Platform(address, _SILENCE_S, hold_off_s=0.0)


def _account_key() -> results.Result:
    key = sys.stdin.readline().strip()
    if not key:
        return _problem(exits.Exit.BAD_FILE, 'no key on standard input')
    return results.KeyDigest(digest=accounts.digest(key).hex())


def _reader(address: str) -> reading.Reader:
    return reading.Reader(_platform(address))


def _submitter(address: str, patience_s: float) -> submit.Submitter:
    return submit.Submitter(
        _platform(address),
        clock=time.monotonic,
        pause=time.sleep,
        new_id=lambda: uuid.uuid4().hex,
        patience_s=patience_s,
    )


def _state(address: str, timeout_s: float) -> results.Result:
    answer = exchange.Exchange().send(
        address, 'GET', '/state', timeout_s=timeout_s
    )
    try:
        msgspec.json.decode(answer.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _problem(
            exits.Exit.UNAVAILABLE,
            f'{address} is no process of ours: status {answer.status}',
        )
    return State(state=msgspec.Raw(answer.body))


def _status(platform: str, keeper: str, timeout_s: float) -> results.Result:
    peers = peers_lib.Peers(_HEARTBEAT_S, _SILENCE_S)
    try:
        return status_lib.glance(_platform(platform), peers, keeper, timeout_s)
    finally:
        peers.close()


if __name__ == '__main__':
    main()
