"""Case 7: a node that is stopped drops requests that wait in a queue."""

import asyncio
import collections
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as kit

SLOTS = 8
WORK_S = 0.7
CLUMP = 72
CLUMP_EVERY_S = 14
STOP_BEFORE_CLUMP_S = 1.7
DEADLINE_S = 5


async def play(deployment, record, has_trouble):
    stopped, _ = deployment.add('mapsvc', 'a', 40, lambda path: 0.16)
    other, _ = deployment.add('mapsvc', 'b', 40, lambda path: 0.16)
    _, billing = deployment.add(
        'billing', 'c', SLOTS, lambda path: WORK_S * random.uniform(0.8, 1.2)
    )
    await deployment.start(
        {
            'version': '00000003',
            'routes': {
                'renew': kit.route(
                    'billing.example', '/renew/', 'billing', 'non_idempotent'
                )
            },
            'services': {
                name: {'healthPath': '/healthz'}
                for name in ('mapsvc', 'billing')
            },
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
    clients = [kit.Clients(one, record) for one in (stopped, other)]
    tasks = []
    is_out = asyncio.Event()
    was_asked = asyncio.Condition()

    async def ask_whether_ready():
        """After two misses the clients of the machine get no new work."""
        misses = 0
        while True:
            is_ready = await deployment.is_ready(stopped)
            misses = 0 if is_ready else misses + 1
            if misses >= 2:
                is_out.set()
            async with was_asked:
                was_asked.notify_all()
            await asyncio.sleep(1)

    async def send_clump():
        """The receivers renew together, as they do every few seconds."""
        for number in range(CLUMP):
            chosen = clients[number % 2]
            if chosen is clients[0] and is_out.is_set():
                chosen = clients[1]
            tasks.append(
                asyncio.create_task(
                    chosen.ask(
                        'billing.example',
                        '/renew/',
                        'POST',
                        b'renewal',
                        key='k1',
                        deadline_ms=DEADLINE_S * 1000,
                    )
                )
            )
            await asyncio.sleep(0.002)

    probe = asyncio.create_task(ask_whether_ready())
    for _ in range(2):
        await send_clump()
        await asyncio.sleep(CLUMP_EVERY_S)
    async with was_asked:
        await was_asked.wait()
    stopped_at = record.now()
    if has_trouble:
        deployment.signal(stopped, signal.SIGTERM)
    await asyncio.sleep(STOP_BEFORE_CLUMP_S)
    await send_clump()
    await asyncio.wait(tasks)
    probe.cancel()
    grace_s = deployment.bounds['graceS']
    slack_s = deployment.bounds['lossSlackS']
    taken = clients[0].requests
    lost = []
    for request in taken:
        began = billing.spans.get(request['id'])
        if request['outcome'] != 'closed':
            continue
        since_stop_s = request['sent'] - stopped_at
        if not -3 <= since_stop_s <= grace_s + 1:
            continue
        waited_s = request['ended'] - request['sent']
        if waited_s < slack_s or waited_s >= request['deadline_ms'] / 1000:
            continue
        # Not counted: the upstream was at work in the last sixth of graceS.
        if began is not None:
            continue
        lost.append(request)
        record.write(
            'LOST',
            id=request['id'],
            sent_after_stop_s=round(since_stop_s, 3),
            closed_after_stop_s=round(request['ended'] - stopped_at, 3),
        )
    outcomes = collections.Counter(str(one['outcome']) for one in taken)
    print(
        f'{len(lost)} requests were read by the stopped node, ran nowhere and '
        f'got no answer; outcomes at it: {dict(outcomes)}'
    )
    return 1 if lost else 0


kit.run(pathlib.Path(__file__).parent, play)
