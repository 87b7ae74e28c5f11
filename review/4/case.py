"""A rolling restart makes the nodes forget which request crashes upstreams."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

POISON = '/map/poison'
BACK_AFTER_S = 3
IN_TOUCH_S = 3  # stabilityWindowS
NODES = 6


async def script(fleet, trouble):
    now = fleet.record.now
    arrivals = []
    crashes = []
    disturbed = [0.0] * NODES  # last start, stop or signal of each node
    sender = {}

    def on_run(upstream, request_id, target):
        if target != POISON or not trouble and len(crashes) == 3:
            return 'ok'
        calm = all(now() - disturbed[number] > IN_TOUCH_S
                   for number in (upstream.number, sender[request_id]))
        arrivals.append((now(), request_id, calm))
        crashes.append(now())
        asyncio.ensure_future(upstream.come_back(BACK_AFTER_S))
        return 'crash'

    config = standins.config(
        1, {'map': standins.route('map', 'mapsvc', 'idempotent',
                                    attempts=1)}, ['mapsvc'],
        {'crew': {'apiKeys': ['key-of-crew'], 'ratePerS': 90, 'burst': 90}})
    await fleet.start(config, ['mapsvc'] * NODES, on_run=on_run, work_s=0.16)
    stopped = set()

    async def load():
        number = 0
        while True:
            number += 1
            if number % NODES not in stopped:
                asyncio.ensure_future(fleet.send(
                    fleet.nodes[number % NODES], 'GET', f'/map/{number}',
                    'key-of-crew', 5))
            await asyncio.sleep(0.05)

    async def poison():
        number = 0
        while True:
            number += 1
            calm = [one for one in range(NODES)
                    if now() - disturbed[one] > IN_TOUCH_S]
            node = calm[number % len(calm)]
            request_id = fleet.new_id('poison')
            sender[request_id] = node
            asyncio.ensure_future(fleet.send(
                fleet.nodes[node], 'GET', POISON, 'key-of-crew', 5,
                request_id=request_id))
            await asyncio.sleep(2.5)

    tasks = [asyncio.ensure_future(load()), asyncio.ensure_future(poison())]
    await asyncio.sleep(20)
    fleet.record.write(f'{len(crashes)} crashes before the rolling restart')
    if trouble:
        for number, node in enumerate(fleet.nodes):
            stopped.add(number)
            disturbed[number] = now() + 60
            await node.stop()
            await node.start()
            disturbed[number] = now()
            while not await node.is_ready():
                await asyncio.sleep(0.1)
            stopped.discard(number)
            await asyncio.sleep(6)
    else:
        await asyncio.sleep(50)
    for task in tasks:
        task.cancel()
    served = [status for one, status in fleet.answers.items()
              if one.startswith('r')]
    fleet.record.write(
        f'other requests: {len(served)}, with 200: {served.count(200)}')
    if len(crashes) < 3:
        return False
    late = {one for at, one, calm in arrivals
            if calm and at > crashes[2] + IN_TOUCH_S}
    fleet.record.write(
        f'{len(crashes)} crashes, third at {crashes[2]:.1f} s; the request came '
        f'to upstreams in {len(late)} later retries: {sorted(late)}')
    return len(late) > 3


standins.main(script, pathlib.Path(__file__).resolve().parent)
