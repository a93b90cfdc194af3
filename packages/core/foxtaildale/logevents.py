"""Registry of the router's log events: fields and sentence of each event.

Every log line also has `at`, `level`, `role`, `entry_vm` and `event`. Lines of
a request also have `request`, `route`, `version` (of the configuration that it
is served with) and `age_ms` (time since its arrival). `docs/LOGS.md` lists the
events for operators and has to agree with this module and the log calls.
"""

from typing import Final

import msgspec


class Event(msgspec.Struct, frozen=True):
    """One kind of log line."""

    # Description for `foxtaildale explain`, a template over the fields.
    sentence: str
    fields: tuple[str, ...] = ()
    # Whether the line belongs to one request.
    on_request: bool = True


REQUEST_EVENTS: Final[dict[str, Event]] = {
    'resuming': Event(
        'its caller resumes the stream that attempt {resumes} began, behind'
        ' event {after}',
        ('resumes', 'after'),
    ),
    'origin known': Event(
        'the stream of attempt {resumes} goes on at software version {software}'
        ' of {service}, known by: {source}',
        ('resumes', 'service', 'software', 'source', 'origin_age_ms'),
    ),
    'origin looked for again': Event(
        'the origin of its stream is not known yet: {versions} versions are'
        ' listed in a list of {list_age_ms} ms, the store was read:'
        ' {store_read}, {replies} VMs replied',
        ('versions', 'list_age_ms', 'store_read', 'replies'),
    ),
    'let in': Event(
        'client account {account} was within its limit by its {by}:'
        ' the request costs {cost}, {remaining} remain',
        ('account', 'cost', 'remaining', 'by', 'took_ms'),
    ),
    'queued': Event(
        'it was queued behind {position} others for an estimated {wait_ms} ms;'
        ' missing resource: {short_of}',
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
        'the placement was released: {server} stopped taking requests',
        ('server',),
    ),
    'reserved': Event(
        'without a plan, {server} reserved {tokens} tokens for it',
        ('server', 'tokens', 'prompt', 'longest', 'hinted'),
    ),
    'reservation failed': Event(
        'the reservation request to {server} failed: {error}',
        ('server', 'error'),
    ),
    'prefilled': Event(
        '{server} prefilled its prompt in {took_ms} ms', ('server', 'took_ms')
    ),
    'prefill refused': Event(
        '{server} refused the prefill (status {status})',
        ('server', 'status'),
    ),
    'prefill failed': Event(
        'the prefill at {server} failed: {error}', ('server', 'error')
    ),
    'prompt kept': Event(
        'its prompt was prefilled {held_ms} ms ago; the result is used again',
        ('held_ms',),
    ),
    'sent': Event(
        'it was sent to {server} (attempt {attempt})',
        (
            'server',
            'software',
            'attempt',
            'fingerprint',
            'parts',
            'list_age_ms',
        ),
    ),
    'relayed': Event(
        '{via} relays it to {server}, which this VM does not reach',
        ('server', 'via'),
    ),
    'server probed': Event(
        'its connection to {server} broke after {ran_ms} ms; a probe of the'
        ' server returned: {reach}',
        ('server', 'reach', 'fingerprint', 'parts', 'began', 'ran_ms'),
    ),
    'not run': Event(
        '{server} promised that it did not run it (status {status})',
        ('server', 'status'),
    ),
    'response refused': Event(
        'no memory was left for more of the response of {server}, of which'
        ' {bytes} bytes were read; bodies use {held} of {limit} bytes',
        ('server', 'bytes', 'held', 'limit'),
    ),
    'send failed': Event(
        '{server} sent no complete response: {error}',
        ('server', 'error', 'framing', 'reused'),
    ),
    'answer put aside': Event(
        '{server} responded with status {status} (ran: {ran}); another'
        ' server may be tried',
        ('server', 'status', 'ran'),
    ),
    'retry': Event(
        'another attempt was allowed: {allowed}',
        ('server', 'allowed'),
    ),
    'first event': Event(
        'the first event was sent to its caller', ('software',)
    ),
    'default version only': Event(
        'origins of new streams are saved late or not at all, so it begins at'
        ' the default version {software}',
        ('software',),
    ),
    'stream not begun': Event(
        'its first event was not sent to its caller: its version {software} was'
        ' not saved, so it would be taken for a stream of {default}',
        ('software', 'default'),
    ),
    'stream broken': Event(
        'the stream of {server} broke: {error}',
        ('server', 'error', 'framing', 'reused'),
    ),
    'answered': Event(
        'its caller got status {status}, complete: {whole}',
        ('status', 'whole', 'blocks', 'position', 'framing', 'reused'),
    ),
    'refused': Event(
        'refused as {code} (status {status}), to come back after'
        ' {retry_after_s} s',
        ('code', 'status', 'retry_after_s'),
    ),
    'failed': Event(
        'failed as {code} (status {status})',
        ('code', 'status', 'retry_after_s'),
    ),
}

STATE_EVENTS: Final[dict[str, Event]] = {
    name: Event(sentence, fields, on_request=False)
    for name, sentence, fields in (
        (
            'started',
            'the router started',
            ('first_start', 'caller', 'ready', 'admin'),
        ),
        (
            'large blocks kept',
            'the memory allocator may keep the memory of large bodies that were'
            ' freed',
            (),
        ),
        (
            'stopping',
            'the router is stopping with {busy} requests in progress on'
            ' {connections} open connections',
            ('busy', 'connections'),
        ),
        (
            'stopped',
            'the router stopped with {busy} requests in progress on'
            ' {connections} open connections',
            ('busy', 'connections'),
        ),
        (
            'requests cut',
            'the stop cut {requests} requests to backend servers at the end of'
            ' the grace time',
            ('requests',),
        ),
        (
            'connection cut',
            'the stop cut the connection of {caller} on which {requests}'
            ' requests had begun',
            ('caller', 'requests'),
        ),
        ('handler failed', 'the handler of a request failed: {exc}', ('exc',)),
        (
            'connections closed unread',
            '{count} connections were closed before their requests were read;'
            ' {busy} requests are in progress (at most {limit}), the last one'
            ' waited {delay_ms} ms for a thread',
            ('count', 'busy', 'limit', 'delay_ms'),
        ),
        (
            'body refused',
            'no memory was left for a body of {bytes} bytes that {caller} sent'
            ' with attempt {attempt}; bodies use {held} of {limit} bytes',
            ('caller', 'attempt', 'bytes', 'held', 'limit'),
        ),
        (
            'thread not started',
            'no thread could be started, a request waits for another: {exc}',
            ('exc',),
        ),
        (
            'idle sweep failed',
            'idle connections stay open for now: {error}',
            ('error',),
        ),
        ('watch failed', 'a connection is no longer watched: {exc}', ('exc',)),
        ('http server', 'the HTTP library reports: {message}', ('message',)),
        ('reloaded', 'the settings were reloaded', ('store', 'seeds')),
        (
            'reload failed',
            'the changed settings are not valid: {error}',
            ('error',),
        ),
        (
            'configuration in force',
            'version {version} is in force, received from {source}',
            ('version', 'offset', 'routes', 'accounts', 'bytes', 'source'),
        ),
        (
            'configuration not sealed',
            'a configuration was not stored, since its keys could not be'
            ' replaced by digests: {error}',
            ('error',),
        ),
        (
            'key not readable',
            'the record at {offset} has no key: {error}',
            ('offset', 'error'),
        ),
        (
            'backend server started again',
            '{server} restarted; {lost} requests to it were cancelled',
            ('server', 'born', 'before', 'lost', 'offset', 'source'),
        ),
        (
            'old entry passed over',
            'an entry of an earlier incarnation of {server} was ignored',
            ('server', 'born', 'known', 'offset', 'source'),
        ),
        (
            'record not readable',
            'a record of {topic} was ignored: {error}',
            ('topic', 'key', 'offset', 'source', 'error'),
        ),
        (
            'message not readable',
            'a message between VMs was ignored: {error}',
            ('error',),
        ),
        (
            'saved reply not readable',
            'the saved reply of a service was ignored: {error}',
            ('error',),
        ),
        (
            'record not applied',
            'a record of {topic} raised an unexpected error: {error}',
            ('step', 'topic', 'key', 'offset', 'error'),
        ),
        (
            'backend server known',
            '{server} may get work of {service}, told by {source}',
            (
                'server',
                'service',
                'software',
                'address',
                'stage',
                'offset',
                'source',
            ),
        ),
        (
            'backend server leaving',
            '{server} is leaving and gets no new work, reported by {source}',
            (
                'server',
                'service',
                'software',
                'address',
                'stage',
                'offset',
                'source',
            ),
        ),
        (
            'backend server gone',
            '{server} was removed, reported by {source}',
            ('server', 'offset', 'source'),
        ),
        (
            'backend server vanished',
            '{server} vanished while the store was failing; it stays in use for'
            ' a limited time',
            ('server', 'offset', 'source'),
        ),
        (
            'store epoch',
            'the store was restored from a copy: {topic} is now of epoch'
            ' {epoch}, previously {before}, reported by {source}',
            ('topic', 'epoch', 'before', 'offset', 'known', 'source'),
        ),
        (
            'old answer passed over',
            'a reply for {topic} is of an earlier epoch and was ignored',
            ('topic', 'offset', 'known'),
        ),
        (
            'store reached',
            'the store replied for the first time',
            ('topic', 'offset'),
        ),
        ('store regained', 'the store replies again', ('topic', 'offset')),
        (
            'store lost',
            'the store does not reply: {error}',
            ('topic', 'error'),
        ),
        ('listing failed', 'listing this VM failed: {error}', ('error',)),
        (
            'reader passed over',
            '{reader} has no recent records (replied: {answered})',
            ('reader', 'answered'),
        ),
        (
            'server reached by relay',
            '{address} is reached through {via}, not directly: {error}',
            ('address', 'via', 'error'),
        ),
        (
            'relay failed',
            '{via} opened no connection to {address} ({result}): {error}',
            ('address', 'via', 'result', 'error'),
        ),
        (
            'relayed connection broken',
            'a connection to {address} that was relayed for another VM broke:'
            ' {error}',
            ('address', 'error'),
        ),
        (
            'unframed response ended',
            'a response of {address} ended with its connection; what proves it'
            ' complete is a response on the connection: {proof}, watched for'
            ' {watched_ms} ms',
            ('address', 'service', 'proof', 'took_ms', 'watched_ms'),
        ),
        (
            'server not watched',
            'no connection to {address} was opened to prove unframed responses'
            ' complete: {error}',
            ('address', 'service', 'error'),
        ),
        (
            'server not seen to go on',
            '{address} did not respond on a connection opened earlier: {error}',
            ('address', 'service', 'error'),
        ),
        (
            'relay accept failed',
            'a connection of another VM was not accepted: {error}',
            ('error',),
        ),
        (
            'servers unreachable',
            'this VM reaches no backend server: connections to {addresses}'
            ' failed: {error}',
            ('addresses', 'error'),
        ),
        (
            'servers reached',
            'this VM reaches backend servers again after {after_ms} ms',
            ('after_ms',),
        ),
        (
            'store read directly',
            '{topic} is read from the store, not from {reader}: the list of'
            ' servers is {list_age_ms} ms old, large records were left out:'
            ' {left_out}',
            ('topic', 'reader', 'list_age_ms', 'left_out'),
        ),
        (
            'late reply',
            'a reply of {address} with {bytes} bytes arrived after its timeout',
            ('address', 'bytes'),
        ),
        (
            'peer lost',
            '{address} does not reply: {error}',
            ('address', 'error'),
        ),
        (
            'home lost',
            'the coordinator {entry_vm_asked} does not reply: {error}',
            ('entry_vm_asked', 'address', 'error'),
        ),
        (
            'home regained',
            'the coordinator {entry_vm_asked} replies again',
            ('entry_vm_asked',),
        ),
        (
            'home taken',
            '{answered} of {asked} VMs reported their placements of {service}',
            ('service', 'asked', 'answered', 'places', 'took_ms'),
        ),
        (
            'claim failed',
            'the right to order engines of {service} was not obtained: {error}',
            ('service', 'error'),
        ),
        (
            'stage ordered',
            '{server} was ordered to change to stage {stage} and replied:'
            ' {answer}',
            ('server', 'service', 'stage', 'fence', 'answer'),
        ),
        (
            'server limit',
            '{server} accepts {limit} requests per second from all VMs'
            ' together, previously {before}',
            ('server', 'limit', 'before'),
        ),
        (
            'header not readable',
            'the header {header} of a server is not a number: {text}',
            ('header', 'text'),
        ),
        (
            'leave announced',
            '{server} announced that it is leaving, reported by {source}',
            ('server', 'born', 'revision', 'source'),
        ),
        (
            'leave withdrawn',
            '{server} is no longer leaving, reported by {source}',
            ('server', 'born', 'revision', 'source'),
        ),
        (
            'backoff asked',
            '{server} requested a backoff of {backoff_s} s from this VM',
            ('server', 'born', 'service', 'backoff_s'),
        ),
        (
            'request held',
            'requests with this fingerprint, or with all {parts} in their'
            ' prompts, are quarantined for {left_s} s, reported by {source}',
            ('fingerprint', 'parts', 'left_s', 'source'),
        ),
        (
            'crashes examined',
            'before a decision on {crashes} crashes, {replied} of {asked} VMs'
            ' replied; {running} are running, {completed} of {parts} completed',
            (
                'crashes',
                'running',
                'service',
                'parts',
                'completed',
                'service_completes',
                'asked',
                'replied',
            ),
        ),
        (
            'ends told',
            'all {reports} known crash reports were sent to their new'
            ' coordinator',
            ('reports',),
        ),
        (
            'ends copied',
            'all {reports} known crash reports were sent to {successors}, the'
            ' next coordinators',
            ('reports', 'successors'),
        ),
        (
            'crash under a request given up',
            'server {server} crashed under a request that had been given up after'
            ' {ran_ms} ms',
            ('server', 'born', 'fingerprint', 'ran_ms', 'found'),
        ),
        (
            'crash reports dropped',
            'this process ends, and its last reports of crashes reached no'
            ' coordinator',
            (),
        ),
        (
            'request cleared',
            'requests with this fingerprint run to completion and are no longer'
            ' quarantined',
            ('fingerprint',),
        ),
        (
            'origins not reported',
            'where {count} streams began was reported to {replied} of {asked}'
            ' VMs',
            ('count', 'asked', 'replied'),
        ),
        (
            'origins not saved',
            'where {count} streams began was not written to the store: {error}',
            ('count', 'error'),
        ),
        (
            'origins not read',
            'where streams began could not be read from the store: {error}',
            ('error',),
        ),
        (
            'origin not saved in time',
            'the version {software} of stream {stream} of {service} was not'
            ' saved in time; its first event is held: {held}',
            ('stream', 'service', 'software', 'held'),
        ),
        (
            'origins not confirmed',
            '{address} was not notified that the origins of {count} streams are'
            ' saved: {error}',
            ('address', 'count', 'error'),
        ),
        (
            'default version',
            'streams of {service} that are saved nowhere are of version'
            ' {software} now, before: {before}',
            (
                'service',
                'software',
                'before',
                'others_from',
                'settled',
                'retired',
            ),
        ),
        (
            'default versions copied',
            'the default versions of {services} services were copied from'
            ' another entry VM, which read them {read_age_ms} ms before',
            ('services', 'read_age_ms', 'asked', 'replied'),
        ),
        (
            'default versions not followed',
            'the default versions could not be read or written: {error}',
            ('error',),
        ),
        (
            'default version not readable',
            'the default version of {service} in the store was ignored: {error}',
            ('service', 'error'),
        ),
        (
            'origins not readable',
            'a record of where streams began was ignored: {error}',
            ('error',),
        ),
        (
            'quarantine not saved',
            'the quarantined requests were not written to the store: {error}',
            ('error',),
        ),
        (
            'home not told',
            'the queue of messages to the coordinator is full; dropped: {what}',
            ('what',),
        ),
        (
            'left to lapse',
            'resources held by {server} were not released and will expire',
            ('server', 'error'),
        ),
        (
            'accept failed',
            'connections that were waiting as the port closed were not accepted:'
            ' {error}',
            ('error',),
        ),
        (
            'releases dropped',
            '{count} releases of placements and of resources at engines were not'
            ' sent before the process ended',
            ('count',),
        ),
        (
            'log lines left out',
            '{count} log lines were dropped under load',
            ('count',),
        ),
    )
}

ALL: Final[dict[str, Event]] = REQUEST_EVENTS | STATE_EVENTS
