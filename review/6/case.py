"""Case 6: a burst on open routes ends requests that an upstream is running."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as kit

MACHINES = 4
SLOTS = 8
WORK_S = 0.4
USUAL_PER_S = 72
BURST_X = 1.8
BURST_S = 20
ALLOWED = 3


async def play(deployment, record, has_trouble):
    for number in range(MACHINES):
        deployment.add(
            'tilesvc',
            'abca'[number],
            SLOTS,
            lambda path: WORK_S * random.uniform(0.8, 1.2),
        )
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
                    authExempt=True,
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
                'survey': {'apiKeys': ['k1'], 'ratePerS': 500, 'burst': 500}
            },
        }
    )
    clients = [kit.Clients(one, record) for one in deployment.machines]
    rate = {'per_s': USUAL_PER_S}
    ended = []
    stop = asyncio.Event()
    tasks = set()

    async def send_load():
        count = 0
        while not stop.is_set():
            task = asyncio.create_task(
                clients[count % MACHINES].ask('tiles.example', '/tile/')
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            count += 1
            await asyncio.sleep(1 / rate['per_s'])

    async def restart_ended():
        """Start processes again that ended, as the platform does."""
        while not stop.is_set():
            for machine in deployment.machines:
                code = machine.process.poll()
                if code is not None:
                    ended.append(machine.name)
                    record.write('ENDED-BY-ITSELF', node=machine.name, code=code)
                    await asyncio.sleep(0.5)
                    deployment.start_node(machine)
            await asyncio.sleep(0.1)

    load = asyncio.create_task(send_load())
    watch = asyncio.create_task(restart_ended())
    await asyncio.sleep(5)
    for _ in range(3):
        if has_trouble:
            record.write('BURST', x=BURST_X, for_s=BURST_S)
            rate['per_s'] = USUAL_PER_S * BURST_X
        await asyncio.sleep(BURST_S)
        rate['per_s'] = USUAL_PER_S
        await asyncio.sleep(6)
    stop.set()
    await asyncio.gather(load, watch)
    if tasks:
        await asyncio.wait(tasks)
    requests = [request for one in clients for request in one.requests]
    spans = {}
    for upstream in deployment.upstreams:
        spans.update(upstream.spans)
    lost = [
        request
        for request in requests
        if request['outcome'] == 'closed'
        and request['is_kept']
        and request['id'] in spans
    ]
    for request in lost:
        record.write(
            'LOST',
            id=request['id'],
            node=request['machine'],
            ran_from=round(spans[request['id']][0], 3),
            closed_at=round(request['ended'], 3),
        )
    outcomes = collections.Counter(str(one['outcome']) for one in requests)
    record.write('OUTCOMES', **outcomes)
    print(
        f'{len(lost)} requests of kept connections were passed on to a sound '
        f'upstream and their connection closed without an answer '
        f'({ALLOWED} allowed); processes that ended by themselves: '
        f'{dict(collections.Counter(ended))}; outcomes: {dict(outcomes)}'
    )
    return 1 if len(lost) > ALLOWED else 0


kit.run(pathlib.Path(__file__).parent, play)
