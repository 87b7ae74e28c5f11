"""Case 9: after upstreams crashed, a sound request is refused for good."""

import asyncio
import collections
import pathlib
import random
import signal
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
PER_S = 110
HARBOUR_OF = 6  # the harbour's requests are all but one of this many
BEFORE_S = 6
BACK_S = 8
KILLED_S = 1
LATE_S = 20


async def play(deployment, record, has_trouble):
    started_at = {}

    def add():
        def work_s(path):
            is_cold = time.monotonic() - started_at.get(upstream, -99) < COLD_S
            return (
                WORK_S * random.uniform(0.8, 1.2) * (COLD_X if is_cold else 1)
            )

        _, upstream = deployment.add(
            'mapsvc', 'abc'[len(deployment.machines) % 3], SLOTS, work_s
        )

    for _ in range(MACHINES):
        add()
    await deployment.start(
        {
            'version': '00000003',
            'routes': {
                'map': kit.route('maps.example', '/map/', 'mapsvc', priority=2)
            },
            'services': {'mapsvc': {'healthPath': '/healthz'}},
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
        """The harbour asks for the current map; the survey for many maps."""
        count = 0
        while not stop.is_set():
            chosen = random.choice(clients)
            if count % HARBOUR_OF:
                asked = chosen.ask(
                    'maps.example',
                    '/map/',
                    path='/map/current',
                    key='k1',
                    tenant='harbour',
                )
            else:
                asked = chosen.ask(
                    'maps.example', '/map/', key='k2', tenant='survey'
                )
            task = asyncio.create_task(asked)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            count += 1
            await asyncio.sleep(1 / PER_S)

    load = asyncio.create_task(send_load())
    await asyncio.sleep(BEFORE_S)
    disturbed_at = record.now()
    # Nearly all of them run the harbour's request at any time.
    busy = [
        one for one in deployment.upstreams if '/map/current' in one.at_work
    ]
    busy.sort(key=lambda one: one.at_work.count('/map/current'), reverse=True)
    record.write('RUNNING-THE-MAP', upstreams=len(busy))
    crashed = busy[:CRASHED] if has_trouble else []
    for upstream in crashed:
        upstream.crash()
    await asyncio.sleep(DOWN_S)
    for upstream in crashed:
        started_at[upstream] = time.monotonic()
        await upstream.start()
    await asyncio.sleep(BACK_S)
    # The final fault: all processes of the system are killed.
    for machine in deployment.machines:
        deployment.signal(machine, signal.SIGKILL)
        machine.process.wait()
    await asyncio.sleep(KILLED_S)
    for machine in deployment.machines:
        deployment.start_node(machine)
    back_at = record.now()
    recovery_s = deployment.bounds['recoveryS']
    await asyncio.sleep(recovery_s + LATE_S)
    stop.set()
    await load
    if tasks:
        await asyncio.wait(tasks)
    requests = [
        request
        for one in clients
        for request in one.requests
        if 'sent' in request
    ]

    def served(chosen):
        return sum(one['outcome'] == 200 for one in chosen) / len(chosen)

    before = [one for one in requests if one['sent'] < disturbed_at]
    late = [one for one in requests if one['sent'] > back_at + recovery_s]
    by_tenant = {
        tenant: dict(
            collections.Counter(
                str(one['outcome']) for one in late if one['tenant'] == tenant
            )
        )
        for tenant in ('harbour', 'survey')
    }
    print(
        f'served before: {served(before):.3f}, later than {recovery_s} s after '
        f'the machines were back: {served(late):.3f}; outcomes: {by_tenant}'
    )
    record.write('SERVED', before=served(before), late=served(late))
    return 1 if served(late) < 0.25 <= served(before) else 0


kit.run(pathlib.Path(__file__).parent, play)
