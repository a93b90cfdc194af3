"""Three VMs, callers and a log: at most once under random schedules.

The answers of everything go into a history. A longer run with new seeds:

    python -m tests.oncenet --first 100000 --seeds 5000
"""

import argparse
import collections
import random

from foxtaildale import codes
from foxtaildale import messages
from tests import history
from tests import oncebench
from tests import oncevms

_PATIENCE_S = 8.0
_TRIES = 3


class Caller:
    """Sends one request until it knows, or has no more tries."""

    def __init__(
        self,
        bench: oncebench.Bench,
        vms: list[tuple[oncevms.Entry, oncevms.Keeper]],
        name: str,
        service: str,
    ) -> None:
        self._bench = bench
        self._vms = vms
        self._name = name
        self.service = service
        self._ticket: messages.Ticket | None = None
        self._key = ''
        self._tries = 0
        # Whether each try so far was answered "not run".
        self._alone = True
        # What the caller knows in the end; empty while it knows nothing.
        self.ran = ''

    def begin(self) -> None:
        """Fetches a ticket or the beginning of a key, then sends."""
        bench = self._bench
        entry, keeper = bench.rng.choice(self._vms)
        if self.service == 'desk':
            self._ticket = entry.mint()
            ready = self._ticket is not None
        else:
            prefix = keeper.claims.key_prefix()
            self._key = f'{prefix}{self._name}'
            ready = prefix is not None
        if ready:
            self._send()
        else:
            bench.clock.after(0.5, self.begin)

    def _send(self) -> None:
        bench = self._bench
        self._tries += 1
        req = oncebench.Request(
            f'{self._name}-{self._tries}',
            self.service,
            self._name.encode(),
            self._ticket,
            self._key,
            self._alone,
        )
        ticket = self._ticket
        inv = history.Invocation(
            request=req.request,
            caller=self._name,
            service=self.service,
            at=bench.clock.now,
            identity=ticket.identity if ticket else self._key,
            rule='ticket' if ticket else 'claim',
            body=req.body.hex(),
        )
        bench.history.add(inv)
        open_tries = [req.request]

        def got(reply: messages.RunReply | None) -> None:
            if open_tries:
                open_tries.pop()
                self._got(req, reply)

        entry, _ = bench.rng.choice(self._vms)
        entry.act(lambda: entry.serve(req, got))
        bench.clock.after(_PATIENCE_S, lambda: got(None))

    def _got(
        self, req: oncebench.Request, reply: messages.RunReply | None
    ) -> None:
        bench = self._bench
        ran = 'unknown'
        if reply is not None:
            ran = codes.ran(reply.outcome.code)
            bench.history.add(self._response(req, reply))
        self.ran = ran
        self._alone = self._alone and ran == 'no'
        more = self._tries < _TRIES and bench.rules.ask_again
        if more and (ran == 'unknown' or (ran == 'no' and self._key)):
            bench.clock.after(bench.rng.uniform(0.5, 3.0), self._send)

    def _response(
        self, req: oncebench.Request, reply: messages.RunReply
    ) -> history.Response:
        answer = None
        if reply.response:
            text = reply.response.decode()
            answer = history.Answer(
                request=reply.outcome.request,
                positions=(0,),
                digest=text,
                said_count=1,
                said_digest=text,
            )
        return history.Response(
            request=req.request,
            at=self._bench.clock.now,
            code=reply.outcome.code,
            answer=answer,
        )


def run(
    rules: oncebench.Rules, rng: random.Random
) -> tuple[oncebench.Bench, list[Caller]]:
    """Lets callers and failures meet; the history is in the bench."""
    bench = oncebench.Bench(rules, rng)
    keepers = [oncevms.Keeper(bench, f'k{n}') for n in range(3)]
    entries = [
        oncevms.Entry(bench, f'e{n}', keepers[n:] + keepers[:n])
        for n in range(3)
    ]
    for process in [*keepers, *entries]:
        bench.add(process)
    vms = list(zip(entries, keepers, strict=True))
    callers = []
    for n in range(rules.callers):
        for service in ('desk', 'reader'):
            caller = Caller(bench, vms, f'{service}{n}', service)
            callers.append(caller)
            bench.clock.after(rng.uniform(1.0, rules.for_s / 2), caller.begin)
    if rules.fault_every_s:
        bench.clock.after(rules.fault_every_s, bench.fail_somewhere)
    bench.clock.run(rules.for_s)
    return bench, callers


def main() -> None:
    """Judges many schedules and counts what callers know in the end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--seeds', type=int, default=300)
    parser.add_argument('--no-tell', action='store_true')
    parser.add_argument('--no-resend', action='store_true')
    parser.add_argument('--no-asking-again', action='store_true')
    parser.add_argument('--fault-every', type=float, default=2.0)
    args = parser.parse_args()
    rules = oncebench.Rules(
        tell=not args.no_tell,
        resend=not args.no_resend,
        ask_again=not args.no_asking_again,
        fault_every_s=args.fault_every,
    )
    ends: collections.Counter[tuple[str, str]] = collections.Counter()
    answers: collections.Counter[str] = collections.Counter()
    red = 0
    for seed in range(args.first, args.first + args.seeds):
        bench, callers = run(rules, random.Random(seed))
        ends.update((caller.service, caller.ran) for caller in callers)
        answers.update(response.code for response in bench.history.responses)
        verdicts = history.check(bench.history)
        red += bool(verdicts)
        for verdict in verdicts:
            print(f'seed {seed}', verdict, sep='\n')
    print(f'{red} of {args.seeds} histories are red')
    for service in ('desk', 'reader'):
        total = sum(n for (name, _), n in ends.items() if name == service)
        shares = ', '.join(
            f'{ran or "nothing"} {ends[service, ran] / total:.1%}'
            for ran in ('yes', 'no', 'unknown', '')
        )
        print(f'{service}, {total} requests, callers know: {shares}')
    print(dict(answers.most_common()))


if __name__ == '__main__':
    main()
