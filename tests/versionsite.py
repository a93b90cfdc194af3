"""A site whose decode workers are of several software versions.

A stream of a stand-in has five events. A caller that resumes one claims to have
received the first two.
"""

import http.client
import itertools
import json
import pathlib
import signal
from typing import Final

from foxtaildaled import router_daemon
from tests import site as sites
from tests import soakrouter
from tests.standins import keyedstore
from tests.standins import serving
from tests.standins import wireworker

# Events that a caller has received when it resumes a stream.
_RECEIVED: Final = 2
_START_S: Final = 30.0


def decode_versions(
    workers: list[wireworker.WireWorker], attempt: str
) -> set[str]:
    """Returns the versions of the decode workers that ran an attempt."""
    return {
        worker.version
        for worker in workers
        if worker.stage == 'decode' and attempt in worker.ids()
    }


def listed(router: router_daemon.RouterDaemon) -> dict[str, str]:
    """Returns the versions of the servers that a router lists, by id."""
    dump = json.loads(router._dump())
    return {
        server['id']: server['software'] for server in dump['backend_servers']
    }


def refusal(body: bytes) -> str:
    """Returns the code in the body of a refusal."""
    code: str = json.loads(body)['error']['code']
    return code


class VersionSite(sites.Site):
    """Decode workers of the versions v1 and v2, two each."""

    def __init__(self) -> None:
        super().__init__()
        self._numbers = itertools.count()

    def fill(
        self, routers: int, versions: tuple[str, ...] = ('v1', 'v1', 'v2', 'v2')
    ) -> None:
        """Starts the workers and routers."""
        self.store.put('keyed.op', 'config', sites.config(1))
        self.worker('p1', 'model', 'prefill')
        for number, version in enumerate(versions):
            self.worker(f'd{number}', 'model', 'decode', version)
        self.start_routers(routers)

    def remove(self, name: str) -> None:
        """Removes a worker from the list and waits for the routers."""
        self.store.put('keyed.servers', name, None)
        for router in self.routers:
            sites.until(lambda r=router: name not in listed(r))  # type: ignore[misc]

    def begin(self, number: int = 0, path: str = '/chat/x') -> tuple[str, str]:
        """Begins a stream; returns its attempt and the version it came from."""
        attempt = f'a{next(self._numbers)}'
        status, headers, body = sites.send(
            self, 'POST', path, attempt=attempt, number=number
        )
        assert status == 200, body
        return attempt, self._delivered_version(attempt, headers)

    def begin_each(self, count: int, number: int = 0) -> dict[str, str]:
        """Begins streams; returns their versions by attempt."""
        return dict(self.begin(number) for _ in range(count))

    def try_begin(self, number: int = 0) -> tuple[str, str]:
        """Asks for a stream; returns its attempt and version, '' if it fails."""
        attempt = f'a{next(self._numbers)}'
        status, headers, _ = sites.send(
            self, 'POST', '/chat/x', attempt=attempt, number=number
        )
        if status != 200:
            return attempt, ''
        return attempt, self._delivered_version(attempt, headers)

    def resume(
        self, resumes: str, number: int = 0, path: str = '/chat/x'
    ) -> tuple[int, str, str]:
        """Resumes a stream; returns status, refusal code and version."""
        attempt = f'r{next(self._numbers)}'
        headers = {'Last-Event-Id': str(_RECEIVED)}
        if resumes:
            headers['Resumes'] = resumes
        status, _, body = sites.send(
            self,
            'POST',
            path,
            attempt=attempt,
            number=number,
            headers=headers,
        )
        if status != 200:
            return status, refusal(body), ''
        (version,) = self.versions(attempt)
        return status, '', version

    def versions(self, attempt: str) -> set[str]:
        """Returns the versions of the decode workers that ran an attempt."""
        return decode_versions(list(self.workers.values()), attempt)

    def _delivered_version(self, attempt: str, headers: dict[str, str]) -> str:
        """Returns the version of all servers that sent a part of a stream.

        They are the one that the response names and those that went on behind
        it. What others ran from the beginning did not reach the caller.
        """
        name, _, _ = headers['foxtaildale-response-stamp'].partition('.')
        versions = {self.workers[name].version} | {
            worker.version
            for worker in self.workers.values()
            if worker.stage == 'decode'
            for req in worker.ran
            if req.headers.get('foxtaildale-attempt-id') == attempt
            and 'last-event-id' in req.headers
        }
        (version,) = versions
        return version

    def break_streams(self) -> None:
        """Lets each stream break off once, behind its second event."""
        broken: set[str] = set()

        def break_off(number: int, attempt: str) -> None:
            if number > _RECEIVED and attempt not in broken:
                broken.add(attempt)
                raise serving.Cut

        for worker in self.workers.values():
            worker.on_event = break_off


class ProcessSite:
    """Router processes, and decode workers of two versions."""

    def __init__(
        self,
        folder: pathlib.Path,
        count: int,
        versions: tuple[str, ...] = ('v1', 'v1', 'v2', 'v2'),
    ) -> None:
        self._numbers = itertools.count()
        self.store = keyedstore.KeyedStore()
        self.store.put('keyed.op', 'config', sites.config(1))
        self.workers = [
            wireworker.WireWorker('p1', 'model', 'prefill'),
            *(
                wireworker.WireWorker(f'd{number}', 'model', 'decode', version)
                for number, version in enumerate(versions)
            ),
        ]
        for worker in self.workers:
            self.store.put('keyed.servers', worker.name, worker.entry())
        self._ports = soakrouter.Ports(4 * count)
        self.routers = [
            soakrouter.Router(
                number,
                folder,
                self.store.address,
                self._ports.numbers[4 * number : 4 * number + 4],
            )
            for number in range(count)
        ]
        seeds = [f'127.0.0.1:{router.control}' for router in self.routers]
        for router in self.routers:
            router.write(seeds)
        self.start()

    def start(self) -> None:
        """Starts all routers and waits until they know each other."""
        for router in self.routers:
            if router.process is not None:
                router.process.wait(10)
            router.start()
        for router in self.routers:
            sites.until(router.is_ready, _START_S)
        sites.until(
            lambda: len(self.store.keys('keyed.entryvms')) == len(self.routers)
        )

    def add(self, name: str, version: str) -> None:
        """Starts a decode worker and lists it."""
        worker = wireworker.WireWorker(name, 'model', 'decode', version)
        self.workers.append(worker)
        self.store.put('keyed.servers', name, worker.entry())

    def begin_each(self, count: int) -> dict[str, str]:
        """Begins streams at the first router; returns versions by attempt."""
        began = {}
        for _ in range(count):
            attempt = f'a{next(self._numbers)}'
            status, body = self._send(0, attempt, {})
            assert status == 200, body
            (began[attempt],) = decode_versions(self.workers, attempt)
        return began

    def resume(self, resumes: str, number: int) -> tuple[int, str, str]:
        """Resumes a stream; returns status, refusal code and version."""
        attempt = f'r{next(self._numbers)}'
        headers = {'Last-Event-Id': str(_RECEIVED), 'Resumes': resumes}
        status, body = self._send(number, attempt, headers)
        if status != 200:
            return status, refusal(body), ''
        (version,) = decode_versions(self.workers, attempt)
        return status, '', version

    def close(self) -> None:
        """Ends all."""
        for router in self.routers:
            router.send_signal(signal.SIGCONT)
            router.end(signal.SIGKILL)
            router.relay.close()
            router.control_relay.close()
            router.out.close()
        for worker in self.workers:
            worker.close()
        self.store.close()
        self._ports.close()

    def _send(
        self, number: int, attempt: str, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        conn = http.client.HTTPConnection(
            '127.0.0.1', self.routers[number].front, timeout=6
        )
        sent = {
            'Host': 'h.example',
            'Foxtaildale-Attempt-Id': attempt,
            'Foxtaildale-Deadline-Ms': '3000',
            'Foxtaildale-Token-Count': '500,640',
        }
        conn.request('POST', '/chat/x', headers=sent | headers)
        resp = conn.getresponse()
        body = resp.read()
        conn.close()
        return resp.status, body
