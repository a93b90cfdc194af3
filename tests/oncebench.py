"""What the VMs of a random schedule share: clock, net, log and failures."""

from collections.abc import Callable
import random

import msgspec

from foxtaildale import claims
from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildale import values
from foxtaildale import witness
from tests import fakelog
from tests import fakenet
from tests import history

LIFE_S = 20.0
CALL = 'call'


class Rules(msgspec.Struct, frozen=True):
    """What the VMs do and what fails."""

    # Whether the executor tells the witness what came of it.
    tell: bool = True
    # Whether notes, voids and questions are sent again when no reply came, and
    # the witness is asked again about a start whose outcome it doesn't know.
    resend: bool = True
    # Whether a caller asks again when it got no or an unknown answer.
    ask_again: bool = True
    executor_type: type[tickets.Executor] = tickets.Executor
    witness_type: type[witness.Witness] = witness.Witness
    claims_type: type[claims.Claims] = claims.Claims
    # Shares of messages.
    loss: float = 0.03
    double: float = 0.05
    # Time between kills, freezes and cuts anywhere, seconds; 0 for none.
    fault_every_s: float = 2.0
    # Share of appends whose answer is lost or that fail.
    bad_appends: float = 0.2
    callers: int = 10
    for_s: float = 60.0


class Request(msgspec.Struct, frozen=True):
    """One try of a caller, as an entry gets it."""

    request: str
    service: str
    body: bytes
    ticket: messages.Ticket | None = None
    key: str = ''
    alone: bool = False


Reply = Callable[[messages.RunReply], None]


class Bench:
    """Everything of one run."""

    def __init__(self, rules: Rules, rng: random.Random) -> None:
        self.rules = rules
        self.rng = rng
        self.clock = fakenet.Clock()
        self.net = fakenet.Net(self.clock, rng, rules.loss, rules.double)
        self.log = fakelog.FakeLog()
        self.log_is_down = False
        self.history = history.History()
        self.processes: list[fakenet.Process] = []

    def add(self, process: fakenet.Process) -> None:
        """Starts a process."""
        self.processes.append(process)
        self.net.add(process)
        process.start()

    def outcome(self, request: str, code: codes.Code) -> values.Outcome:
        return values.Outcome(
            request=request,
            code=code.name,
            sentence='',
            revision=0,
            entry_vm='',
            at=self.clock.now,
        )

    def execute(
        self, req: Request, identity: str, done: Callable[[bytes], None]
    ) -> None:
        """The backend server; it records the run and may lose the answer."""
        result = f'{identity}:{len(self.history.executions)}'
        run = history.Execution(
            backend_server='s',
            request=req.request,
            service=req.service,
            at=self.clock.now,
            identity=identity,
            body=req.body.hex(),
            result=result,
        )
        delay_s = self.rng.uniform(0.0, 0.05)
        self.clock.after(delay_s, lambda: self.history.add(run))
        answered_s = delay_s + self.rng.uniform(0.05, 2.0)
        lost = self.rng.random() < self.rules.loss
        self.clock.after(
            answered_s, lambda: done(b'' if lost else result.encode())
        )

    def fail_somewhere(self) -> None:
        """Brings one failure about, and the next one later."""
        kind = self.rng.choice(['kill', 'kill', 'freeze', 'suspend', 'cut'])
        process = self.rng.choice(self.processes)
        other = self.rng.choice(self.processes)
        for_s = self.rng.choice([0.3, 3.0, 2 * LIFE_S])
        if kind == 'kill':
            process.kill()
        elif kind == 'cut':
            self.net.cut(process.address, other.address, min(for_s, 5.0))
        else:
            process.freeze(for_s, suspend=kind == 'suspend')
        if self.rng.random() < 0.3:
            self.log_is_down = not self.log_is_down
        if self.rng.random() < 0.1:
            self.log.expire_all_but(self.rng.randint(0, 20))
        self.clock.after(self.rules.fault_every_s, self.fail_somewhere)
