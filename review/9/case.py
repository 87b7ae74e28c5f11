"""Case 9: a sound request is refused for good after upstreams crashed."""

import asyncio
import collections
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as kit

MACHINES = 20
CRASHED = 3  # share 0.15 of the upstreams of a service
DOWN_S = 4.5
SLOTS = 8
WORK_S = 0.4
COLD_S = 3
COLD_X = 2
PER_S = 60
BEFORE_S = 6
AFTER_S = 75


async def play(deployment, record, has_trouble):
    started_at = {}

    def add():
        def work_s(path):
            is_cold = time.monotonic() - started_at.get(upstream, -99) < COLD_S
            return WORK_S * random.uniform(0.8, 1.2) * (
                COLD_X if is_cold else 1
            )

        _, upstream = deployment.add(
            'tilesvc', 'abc'[len(deployment.machines) % 3], SLOTS, work_s
        )

    for _ in range(MACHINES):
        add()
    await deployment.start(
        {
            'version': '00000003',
            'routes': {
                'tile': kit.route(
                    'tiles.example',
                    '/tile/',
                    'tilesvc',
                    priority=2,
                    targetLatencyS=1.2,
                )
            },
            'services': {'tilesvc': {'healthPath': '/healthz'}},
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 1_000_000,
                'headerTimeoutS': 3,
                'idleTimeoutS': 15,
            },
            'tenants': {
                'harbour': {'apiKeys': ['k1'], 'ratePerS': 500, 'burst': 500},
                'survey': {'apiKeys': ['k2'], 'ratePerS': 500, 'burst': 500},
            },
        },
        wait_s=35,
    )
    clients = [kit.Clients(one, record) for one in deployment.machines]
    stop = asyncio.Event()
    tasks = set()

    async def send_load():
        """One tenant reads the tile of its harbour, the other many tiles."""
        count = 0
        while not stop.is_set():
            chosen = clients[count % MACHINES]
            if count // MACHINES % 2:
                asked = chosen.ask(
                    'tiles.example',
                    '/tile/',
                    path='/tile/colombo',
                    key='k1',
                    tenant='harbour',
                )
            else:
                asked = chosen.ask(
                    'tiles.example', '/tile/', key='k2', tenant='survey'
                )
            task = asyncio.create_task(asked)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            count += 1
            await asyncio.sleep(1 / PER_S)

    load = asyncio.create_task(send_load())
    await asyncio.sleep(BEFORE_S)
    crashed_at = record.now()
    if has_trouble:
        # Those that run the harbour's tile at this moment are no others than
        # an operator would meet: it is asked for all the time.
        crashed = deployment.upstreams[:CRASHED]
        for upstream in crashed:
            upstream.crash()
        await asyncio.sleep(DOWN_S)
        for upstream in crashed:
            started_at[upstream] = time.monotonic()
            await upstream.start()
    await asyncio.sleep(crashed_at + AFTER_S - record.now())
    stop.set()
    await load
    if tasks:
        await asyncio.wait(tasks)
    requests = [request for one in clients for request in one.requests]

    def served(chosen):
        return sum(one['outcome'] == 200 for one in chosen) / len(chosen)

    own = [one for one in requests if one['tenant'] == 'harbour']
    share, share_of_all = served(own), served(requests)
    late = [
        one for one in own if one.get('sent', 0) > crashed_at + DOWN_S + 15
    ]
    outcomes = collections.Counter(str(one['outcome']) for one in late)
    print(
        f"tenant 'harbour' is served {share:.3f}, all {share_of_all:.3f}; "
        f'its requests later than 15 s after the upstreams are back: '
        f'{dict(outcomes)}'
    )
    record.write('SERVED', tenant=round(share, 3), all=round(share_of_all, 3))
    return 1 if share < share_of_all / 4 else 0


kit.run(pathlib.Path(__file__).parent, play)
