"""Registry of the router's log lines: each event, its fields, what it says.

Every line has `at`, `level`, `role`, `entry_vm` and `event` beside them. Lines
on a request also have `request`, `route`, `version` (of the configuration that
it is served by) and `age_ms` (since it came). `docs/LOGS.md` shows them for
operators; a test compares both with the code.
"""

from typing import Final

import msgspec


class Event(msgspec.Struct, frozen=True):
    """One kind of line."""

    # What happened, for `foxtaildale explain`; a template over the fields.
    sentence: str
    fields: tuple[str, ...] = ()
    # Whether it is on one request.
    on_request: bool = True


ON_REQUEST: Final[dict[str, Event]] = {
    'let in': Event(
        'client account {account} was within its limit by its {by}:'
        ' it counts as {cost}, {remaining} are left',
        ('account', 'cost', 'remaining', 'by', 'took_ms'),
    ),
    'queued': Event(
        'it waits behind {position} others, by the plan for {wait_ms} ms,'
        ' for want of {short_of}',
        ('position', 'wait_ms', 'patience_ms', 'came_back', 'short_of'),
    ),
    'placed': Event(
        'the plan gave it {server}, its prompt to {prefill}',
        (
            'server',
            'prefill',
            'reads_itself',
            'waited_ms',
            'prompt',
            'hinted',
            'longest',
        ),
    ),
    'place given up': Event(
        '{server} takes no more since it was given', ('server',)
    ),
    'reserved': Event(
        'without a plan, {server} reserved {tokens} tokens for it',
        ('server', 'tokens', 'prompt', 'longest', 'hinted'),
    ),
    'reservation failed': Event(
        '{server} could not be asked for a place: {error}',
        ('server', 'error'),
    ),
    'prefilled': Event(
        '{server} read its prompt in {took_ms} ms', ('server', 'took_ms')
    ),
    'prefill refused': Event(
        '{server} did not read its prompt (status {status})',
        ('server', 'status'),
    ),
    'prefill failed': Event(
        '{server} did not read its prompt: {error}', ('server', 'error')
    ),
    'prompt kept': Event(
        'its prompt was read {held_ms} ms ago and is offered again',
        ('held_ms',),
    ),
    'sent': Event(
        'it was sent to {server} (attempt {attempt})',
        ('server', 'attempt', 'fingerprint'),
    ),
    'server probed': Event(
        'its connection to {server} broke after {ran_ms} ms; the server is'
        ' now {reach}',
        ('server', 'reach', 'fingerprint', 'began', 'ran_ms'),
    ),
    'not run': Event(
        '{server} promised that it did not run it (status {status})',
        ('server', 'status'),
    ),
    'send failed': Event(
        '{server} gave no whole answer: {error}', ('server', 'error')
    ),
    'answer put aside': Event(
        '{server} answered {status} (ran: {ran}); another may be tried',
        ('server', 'status', 'ran'),
    ),
    'retry': Event(
        'another attempt was allowed: {allowed}',
        ('server', 'allowed'),
    ),
    'first event': Event('the first event went to its caller'),
    'stream broken': Event(
        'the stream of {server} broke: {error}', ('server', 'error')
    ),
    'answered': Event(
        'its caller got status {status}, whole: {whole}',
        ('status', 'whole', 'blocks', 'position'),
    ),
    'refused': Event(
        'refused as {code} (status {status}), to come back after'
        ' {retry_after_s} s',
        ('code', 'status', 'retry_after_s'),
    ),
    'failed': Event(
        'given up as {code} (status {status})',
        ('code', 'status', 'retry_after_s'),
    ),
}

OF_BELIEFS: Final[dict[str, Event]] = {
    name: Event(sentence, fields, on_request=False)
    for name, sentence, fields in (
        (
            'started',
            'the router started',
            ('first_start', 'caller', 'ready', 'admin'),
        ),
        ('stopping', 'told to stop with {busy} requests', ('busy',)),
        ('stopped', 'ended with {busy} requests', ('busy',)),
        ('reloaded', 'settings were read anew', ('store', 'seeds')),
        ('reload failed', 'changed settings are wrong: {error}', ('error',)),
        (
            'configuration in force',
            'version {version} is in force, told by {source}',
            ('version', 'offset', 'routes', 'accounts', 'source'),
        ),
        (
            'configuration not sealed',
            'a configuration was not kept, since its keys could not be told'
            ' apart: {error}',
            ('error',),
        ),
        (
            'key not readable',
            'the record at {offset} names no key: {error}',
            ('offset', 'error'),
        ),
        (
            'backend server started again',
            '{server} started again; {lost} requests to it were ended',
            ('server', 'born', 'before', 'lost', 'offset', 'source'),
        ),
        (
            'old entry passed over',
            'an entry of an earlier start of {server} changes nothing',
            ('server', 'born', 'known', 'offset', 'source'),
        ),
        (
            'record not readable',
            'a record of {topic} was passed over: {error}',
            ('topic', 'key', 'offset', 'source', 'error'),
        ),
        (
            'backend server known',
            '{server} may get work of {service}, told by {source}',
            ('server', 'service', 'address', 'stage', 'offset', 'source'),
        ),
        (
            'backend server leaving',
            '{server} leaves and gets nothing new, told by {source}',
            ('server', 'service', 'address', 'stage', 'offset', 'source'),
        ),
        (
            'backend server gone',
            '{server} is gone, told by {source}',
            ('server', 'offset', 'source'),
        ),
        (
            'backend server vanished',
            '{server} vanished while the store was not well; used on a little',
            ('server', 'offset', 'source'),
        ),
        (
            'store epoch',
            'the store came back from a copy: {topic} is of epoch {epoch} now, {before}'
            ' before, told by {source}',
            ('topic', 'epoch', 'before', 'offset', 'known', 'source'),
        ),
        (
            'old answer passed over',
            'an answer of {topic} is of an epoch that is over',
            ('topic', 'offset', 'known'),
        ),
        ('store reached', 'the store answered first', ('topic', 'offset')),
        ('store regained', 'the store answers again', ('topic', 'offset')),
        (
            'store lost',
            'the store does not answer: {error}',
            ('topic', 'error'),
        ),
        ('listing failed', 'listing this VM failed: {error}', ('error',)),
        (
            'reader passed over',
            '{reader} has nothing fresh (answered: {answered})',
            ('reader', 'answered'),
        ),
        (
            'peer lost',
            '{address} does not answer: {error}',
            ('address', 'error'),
        ),
        (
            'home lost',
            '{entry_vm_asked} does not answer as home: {error}',
            ('entry_vm_asked', 'address', 'error'),
        ),
        (
            'home regained',
            '{entry_vm_asked} answers as home again',
            ('entry_vm_asked',),
        ),
        (
            'home taken',
            '{answered} of {asked} VMs said what they hold of {service}',
            ('service', 'asked', 'answered', 'places', 'took_ms'),
        ),
        (
            'claim failed',
            'the right to order engines of {service} was not had: {error}',
            ('service', 'error'),
        ),
        (
            'stage ordered',
            '{server} was ordered to do {stage}, and said: {answer}',
            ('server', 'service', 'stage', 'fence', 'answer'),
        ),
        (
            'server limit',
            '{server} takes {limit} requests a second of all VMs together,'
            ' {before} before',
            ('server', 'limit', 'before'),
        ),
        (
            'header not readable',
            'the header {header} of a server is no number: {text}',
            ('header', 'text'),
        ),
        (
            'leave announced',
            '{server} has said that it leaves, heard from {source}',
            ('server', 'born', 'revision', 'source'),
        ),
        (
            'leave withdrawn',
            '{server} does not leave any more, heard from {source}',
            ('server', 'born', 'revision', 'source'),
        ),
        (
            'backoff asked',
            '{server} wants nothing from this VM for {backoff_s} s',
            ('server', 'born', 'service', 'backoff_s'),
        ),
        (
            'request held',
            'requests of this fingerprint go to no server for {left_s} s, by'
            ' {source}',
            ('fingerprint', 'left_s', 'source'),
        ),
        (
            'ends told',
            'a new home of such reports is told all {reports} that are known'
            ' here',
            ('reports',),
        ),
        (
            'request cleared',
            'requests of this fingerprint run to their end, and are held no'
            ' more',
            ('fingerprint',),
        ),
        (
            'quarantine not saved',
            'the store was not told what is held: {error}',
            ('error',),
        ),
        ('home not told', 'too much waited; lost: {what}', ('what',)),
        (
            'left to lapse',
            'what {server} keeps was not given back',
            ('server', 'error'),
        ),
        (
            'log lines left out',
            '{count} lines were left out under load',
            ('count',),
        ),
    )
}

ALL: Final[dict[str, Event]] = ON_REQUEST | OF_BELIEFS
