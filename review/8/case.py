"""A client hides a request in the body of another one; see claim.txt."""

import contextlib
import pathlib
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins  # noqa: E402

# Time for the answers on a connection, seconds.
ANSWERS_S = 2.0
# What the outer requests say of their body, beside its true chunks.
HOSTILE = {
    'http-1.0': ('HTTP/1.0', 'chunked', 'Keep-Alive'),
    'empty-coding': ('HTTP/1.1', ',', 'keep-alive'),
}
SOUND = dict.fromkeys(HOSTILE, ('HTTP/1.1', 'chunked', 'keep-alive'))


class Case:
    """The requests that ran."""

    def __init__(self, deployment: stand_ins.Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._ran: list[str] = []

    def behave(
        self,
        worker: stand_ins.Worker,
        conn: stand_ins.Connection,
        req: stand_ins.Request,
    ) -> bool:
        """Runs a request, whose body has a length or chunks."""
        self._ran.append(req.attempt)
        self._record.note(
            f'{worker.name} runs {req.attempt}: {req.method} {req.target},'
            f' body {req.body!r}'
        )
        conn.respond(
            200,
            {
                stand_ins.ATTEMPT: req.attempt,
                stand_ins.STAMP: f'{worker.name}.{req.attempt}',
            },
            b'done',
        )
        return True

    def _send(self, name: str, form: tuple[str, str, str]) -> None:
        """Sends one request with a body, and records what comes back."""
        version, coding, connection = form
        hidden = stand_ins.request_bytes(
            'POST', '/booking/hidden', f'hidden-{name}'
        )
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(hidden), hidden)
        fields = [
            f'POST /booking/outer {version}',
            'Host: h.example',
            f'{stand_ins.ATTEMPT}: outer-{name}',
            'Foxtaildale-Deadline-Ms: 1500',
            f'Connection: {connection}',
            f'Transfer-Encoding: {coding}',
        ]
        if form not in SOUND.values():
            # Up to the end of the line with the size of the chunk.
            size = body.index(b'\r\n') + 2
            fields.append(f'Content-Length: {size}')
        data = ('\r\n'.join(fields) + '\r\n\r\n').encode() + body
        router = self._deployment.routers[0]
        answers = b''
        with socket.create_connection((router.ip, router.front), 5.0) as sock:
            sock.settimeout(ANSWERS_S)
            sock.sendall(data)
            with contextlib.suppress(OSError):
                while part := sock.recv(65536):
                    answers += part
        found = [
            line for line in answers.split(b'\r\n') if b'HTTP/1.1 ' in line
        ]
        self._record.note(
            f'one request sent ({version}, Transfer-Encoding {coding!r}),'
            f' {len(found)} answers: {found}'
        )

    def play(self, *, trouble: bool) -> bool:
        """Plays the case; returns whether the rule held."""
        deployment = self._deployment
        deployment.configure(
            [stand_ins.route('booking', 'non_idempotent', 'desk')]
        )
        for number in range(3):
            deployment.add_worker(f'i-{number}', 'desk', self.behave)
        deployment.start_routers(1)
        for name, form in (HOSTILE if trouble else SOUND).items():
            self._send(name, form)
            time.sleep(0.2)
        if not trouble and len(self._ran) != len(SOUND):
            raise stand_ins.NotReadyError('the sound requests did not run')
        return not any(attempt.startswith('hidden') for attempt in self._ran)


stand_ins.run(
    FOLDER, lambda deployment, trouble: Case(deployment).play(trouble=trouble)
)
