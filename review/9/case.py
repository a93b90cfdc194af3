"""Streams of bytes without end are held far beyond the route's timeout."""

import asyncio
import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_3 as kit  # noqa: E402

ROUTERS = 3
DECODERS = 5
TIMEOUT_S = 5.0
# How long the clients wait.
CALLER_S = 14.0
# Workers in trouble, the share of their answers that is spoilt, and for how
# long; the site file has a share of 0.6, 0.05 of the answers, and 5.83 s.
TROUBLED = 3
SPOILT_SHARE = 0.05
TROUBLE_S = 5.8
# Streams a second.
RATE = 100.0


class Troubled(kit.Worker):
    """A decode worker that goes on without end in some of its answers."""

    is_in_trouble = False
    numbers: 'itertools.count[int]'

    async def run(
        self,
        req: kit.Request,
        attempt: str,
        mine: tuple[tuple[str, str], ...],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a request; each twentieth answer in the trouble has no end."""
        every = round(1 / SPOILT_SHARE)
        if not self.is_in_trouble or next(self.numbers) % every:
            await super().run(req, attempt, mine, reader, writer)
            return
        self.site.record.note(f'{self.name} answers {attempt} without end')
        stamp = (('Foxtaildale-Response-Stamp', f'{self.name}.{attempt}'),)
        writer.write(kit.stream_head(mine + stamp))
        await writer.drain()
        while not reader.at_eof():
            writer.write(100 * b'1\r\nx\r\n')
            await writer.drain()
            await asyncio.sleep(0.001)
        raise ConnectionResetError


async def client(site: kit.Site, number: int) -> kit.Reply:
    """Reads one stream."""
    router = site.routers[number % ROUTERS]
    reply = await kit.call(
        router,
        site.new_id(),
        'POST',
        f'/chat/{number}',
        headers=kit.prompt_headers(number, CALLER_S),
        body=b'p',
        limit_s=CALLER_S,
    )
    site.record.note(
        f'client {number} attempt {reply.attempt} at {router.name}: status'
        f' {reply.status}, complete {reply.complete}, after {reply.took_s:.2f} s'
    )
    return reply


async def case(site: kit.Site, trouble: bool) -> bool:
    """Returns whether too many requests are unanswered after the timeout."""
    await site.add_routers(ROUTERS)
    await site.store.put('keyed.op', 'config', kit.model_config(TIMEOUT_S))
    for number in range(3):
        await site.add_worker(f'p{number}', 'llm', 'prefill').start()
    workers = []
    for number in range(DECODERS):
        host = f'{site.net}.{150 + number}'
        made = Troubled(site, f'd{number}', 'llm', (host, 8080), stage='decode')
        made.events, made.pace_s = 3, 0.05
        made.numbers = itertools.count(1)
        workers.append(made)
        await made.start()
    await site.start_routers()
    await asyncio.sleep(4)
    clients: list[asyncio.Task[kit.Reply]] = []
    done = asyncio.Event()

    async def traffic() -> None:
        while not done.is_set():
            one = client(site, len(clients))
            clients.append(asyncio.create_task(one))
            await asyncio.sleep(1 / RATE)

    sending = asyncio.create_task(traffic())
    await asyncio.sleep(1)
    for worker in workers[:TROUBLED]:
        worker.is_in_trouble = trouble
    await asyncio.sleep(TROUBLE_S)
    for worker in workers:
        worker.is_in_trouble = False
    done.set()
    await sending
    replies = await asyncio.gather(*clients)
    lasting = [reply for reply in replies if reply.took_s > TIMEOUT_S]
    late = [reply for reply in lasting if reply.took_s > TIMEOUT_S + 0.5]
    site.record.say(
        f'{len(replies)} requests, {len(lasting)} lasted longer than the'
        f" route's timeout of {TIMEOUT_S} s, {len(late)} of them had no final"
        f' answer 0.5 s after it'
    )
    return len(late) >= 8 and len(late) > len(lasting) / 4


kit.run(str(FOLDER), case)
