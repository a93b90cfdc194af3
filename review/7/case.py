"""Streams of a router that the store turns away go on at another version."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_3 as kit  # noqa: E402

# Three machines, and one that is added. The store turns that one away: a share
# of 0.25, for 7 s; the site file has a share of 0.33 and 9 s.
ROUTERS = 4
TURNED_AWAY_S = 7.0
STREAMS = 16


async def case(site: kit.Site, trouble: bool) -> bool:
    """Returns whether more than two streams hold events of two versions."""
    await site.add_routers(ROUTERS)
    await site.store.put('keyed.op', 'config', kit.model_config())
    await site.add_worker('p1', 'llm', 'prefill').start()
    await site.add_worker('p2', 'llm', 'prefill').start()
    for number, version in enumerate(('v1', 'v1', 'v1', 'v2', 'v2')):
        await site.add_worker(f'd{number}', 'llm', 'decode', version).start()
    await site.start_routers(ROUTERS - 1)
    await asyncio.sleep(8)
    added = site.routers[-1]
    turned_away_at = time.monotonic()
    if trouble:
        site.record.say(f'the store turns {added.name} away')
        site.store.refused.add(added.name)
    site.record.say(f'{added.name} is added')
    added.start()
    await added.until_ready()
    clients = []
    for number in range(STREAMS):
        stream = kit.read_stream(site, ROUTERS - 1, number, 6)
        clients.append(asyncio.create_task(stream))
        await asyncio.sleep(0.2)
    await asyncio.sleep(1.0)
    if trouble:
        site.record.say('all processes of the system are killed')
        for router in site.routers:
            router.kill()
        await asyncio.sleep(0.5)
        for router in site.routers:
            router.start()
        left_s = TURNED_AWAY_S - (time.monotonic() - turned_away_at)
        await asyncio.sleep(max(0.0, left_s))
        site.record.say(f'the store serves {added.name} again')
        site.store.refused.clear()
    found = await asyncio.gather(*clients)
    mixed = sum(len(versions) > 1 for versions in found)
    site.record.say(f'{len(found)} streams, {mixed} of two versions')
    return mixed > 2


kit.run(str(FOLDER), case)
