"""Rules that involve several settings.

The schema checks each field separately. This module checks combinations of
fields and returns faults, from which `settings` makes error messages.
"""

from collections.abc import Mapping
from typing import Final

import msgspec

from foxtaildale import options
from foxtaildale import values

# Minimum silence_s as a multiple of heartbeat_s: a single late heartbeat must
# not make a process count as removed.
_MIN_HEARTBEATS_IN_SILENCE: Final = 2
_ADDRESSES: Final = (
    'caller_address',
    'peer_address',
    'admin_address',
    'keeper',
    'platform',
)
_LISTENING: Final = _ADDRESSES[:3]


class Fault(msgspec.Struct, frozen=True):
    """One violation of a rule in settings."""

    # Dotted path of the field; empty for the whole file.
    path: str
    found: str
    allowed: str
    # Other fields that were compared. If one of them is invalid itself, the
    # fault is not reported.
    compared: tuple[str, ...] = ()


def check_options(cfg: options.Options, given: frozenset[str]) -> list[Fault]:
    """Returns the faults of options whose fields are valid separately.

    Args:
        cfg: The options.
        given: Names of the fields that are present in the file.
    """
    faults = _role_faults(cfg, given)
    for name in _ADDRESSES:
        faults += _address_faults(name, getattr(cfg, name))
    faults += _shared_faults(cfg)
    faults += _time_faults(cfg)
    return faults


def _role_faults(cfg: options.Options, given: frozenset[str]) -> list[Fault]:
    if cfg.role == 'entry' and 'keeper' not in given:
        return [
            Fault(
                'keeper',
                'nothing',
                'the address of the keeper of this VM',
                ('role',),
            )
        ]
    if cfg.role == 'keeper':
        return [
            Fault(
                name,
                f'"{getattr(cfg, name)}"',
                'nothing, for a keeper',
                ('role',),
            )
            for name in ('caller_address', 'keeper')
            if name in given
        ]
    return []


def _address_faults(name: str, address: str) -> list[Fault]:
    if not address.isascii() or address != address.strip():
        # The pattern also matches digits of other scripts and a newline at the
        # end; such an address cannot be bound or connected to.
        return [Fault(name, ascii(address), 'plain digits, dots and a colon')]
    ip, _, port = address.rpartition(':')
    if any(int(part) > 255 for part in ip.split('.')) or int(port) > 65_535:
        return [
            Fault(name, f'"{address}"', 'numbers to 255 and a port to 65535')
        ]
    if name not in _LISTENING and int(port) == 0:
        # The kernel only chooses a port for a listening socket.
        return [Fault(name, f'"{address}"', 'a port from 1 to 65535')]
    return []


def _shared_faults(cfg: options.Options) -> list[Fault]:
    """Finds interfaces on the same address; only one could be opened."""
    used_by: dict[str, str] = {}
    faults: list[Fault] = []
    for name in _LISTENING:
        address = getattr(cfg, name)
        if address.endswith(':0'):
            continue
        if address in used_by:
            faults.append(
                Fault(
                    name,
                    f'"{address}", the same as {used_by[address]}',
                    'an address of its own',
                    (used_by[address],),
                )
            )
        used_by[address] = name
    return faults


def _time_faults(cfg: options.Options) -> list[Fault]:
    min_silence_s = _MIN_HEARTBEATS_IN_SILENCE * cfg.heartbeat_s
    read_cycle_s = cfg.poll_s + cfg.platform_timeout_s
    faults: list[Fault] = []
    if cfg.silence_s < min_silence_s:
        # One lost heartbeat would exclude a healthy process.
        faults.append(
            Fault(
                'silence_s',
                str(cfg.silence_s),
                f'at least {_MIN_HEARTBEATS_IN_SILENCE} times heartbeat_s,'
                f' {min_silence_s}',
                ('heartbeat_s',),
            )
        )
    if cfg.freshness_s < max(cfg.silence_s, read_cycle_s):
        # A keeper would stop vouching for the preset between two successful
        # reads of the log.
        faults.append(
            Fault(
                'freshness_s',
                str(cfg.freshness_s),
                'at least silence_s and poll_s + platform_timeout_s,'
                f' {max(cfg.silence_s, read_cycle_s)}',
                ('silence_s', 'poll_s', 'platform_timeout_s'),
            )
        )
    if cfg.ticket_life_s <= cfg.silence_s:
        # A ticket would expire before its executor counts as removed.
        faults.append(
            Fault(
                'ticket_life_s',
                str(cfg.ticket_life_s),
                f'above silence_s, {cfg.silence_s}',
                ('silence_s',),
            )
        )
    return faults


def check_service(path: str, service: values.Service) -> list[Fault]:
    """Returns the faults of a service whose fields are valid separately.

    Args:
        path: Path of the service in the file.
        service: The service's section of the preset.
    """
    faults: list[Fault] = []
    if service.kind == 'plain':
        faults += [
            Fault(
                f'{path}.{name}',
                str(getattr(service, name)),
                '0, since a plain service has no tokens',
            )
            for name in ('first_answer_ms', 'between_tokens_ms')
            if getattr(service, name)
        ]
    if service.kind == 'plain' and service.engine_settings:
        faults.append(
            Fault(
                f'{path}.engine_settings',
                str(service.engine_settings),
                'none, since a plain service has no engine',
            )
        )
    if service.kind == 'model' and service.once == 'ticket':
        # The outcome of a ticket is sent between VMs as one message, which a
        # stream cannot be.
        faults.append(
            Fault(f'{path}.once', 'ticket', 'claim or none for a model service')
        )
    if 0 < service.first_answer_ms < service.patience_ms:
        # A request would stay in the queue for longer than its own target.
        faults.append(
            Fault(
                f'{path}.patience_ms',
                str(service.patience_ms),
                f'at most first_answer_ms, {service.first_answer_ms}',
            )
        )
    if service.patience_ms and not service.queue_limit:
        faults.append(
            Fault(
                f'{path}.queue_limit',
                '0',
                'at least 1 where patience_ms is set',
            )
        )
    return faults


def check_accounts(accounts: Mapping[str, values.Account]) -> list[Fault]:
    """Returns the faults of accounts whose fields are valid separately."""
    faults: list[Fault] = []
    owners: dict[str, str] = {}
    for name, account in accounts.items():
        for key in account.keys:
            owner = owners.setdefault(key, name)
            if owner != name:
                # A request with this key could be assigned to either account.
                faults.append(
                    Fault(
                        f'accounts.{name}.keys',
                        f'a key of {owner}',
                        'keys that no other account has',
                    )
                )
        if account.burst and not account.requests_per_s:
            faults.append(
                Fault(
                    f'accounts.{name}.burst',
                    str(account.burst),
                    '0 where requests_per_s is 0',
                )
            )
    return faults
