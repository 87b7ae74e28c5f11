"""Case 10: machines that leave take the counts of crashes with them."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness2 as kit

MACHINES = 13
SLOTS = 8
WORK_S = 0.1
PER_S = 30
DOWN_S = 3
COMES_EVERY_S = 2.5
REMOVED_FIRST = 3
REMOVED_LATER = 2
LENGTH_S = 96
ALLOWED = 3
PATH = '/map/crashes-its-upstream'


async def play(deployment, record, has_trouble):
    tasks = set()
    arrivals = []
    gone = set()
    disturbed_at = {}

    def spawn(work):
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def crash(upstream):
        """The request crashes the upstream, which is back after seconds."""
        await asyncio.sleep(0.05)
        upstream.crash()
        await asyncio.sleep(DOWN_S)
        if upstream.machine not in gone:
            await upstream.start()

    def add():
        _, upstream = deployment.add(
            'mapsvc',
            'abc'[len(deployment.machines) % 3],
            SLOTS,
            lambda path: 5 if path == PATH else WORK_S,
        )

        def on_run(path):
            if path == PATH:
                arrivals.append((record.now(), upstream.machine))
                spawn(crash(upstream))

        upstream.on_run = on_run

    for _ in range(MACHINES):
        add()
    await deployment.start(
        {
            'version': '00000003',
            'routes': {
                'map': kit.route(
                    'maps.example', '/map/', 'mapsvc', attempts=1, priority=2
                )
            },
            'services': {'mapsvc': {'healthPath': '/healthz'}},
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 1_000_000,
                'headerTimeoutS': 3,
                'idleTimeoutS': 15,
            },
            'tenants': {
                'survey': {'apiKeys': ['k1'], 'ratePerS': 500, 'burst': 500}
            },
        },
        wait_s=30,
    )
    clients = {one: kit.Clients(one, record) for one in deployment.machines}
    stop = asyncio.Event()

    async def send_load():
        count = 0
        while not stop.is_set():
            present = [one for one in deployment.machines if one not in gone]
            spawn(
                clients[present[count % len(present)]].ask(
                    'maps.example', '/map/', key='k1'
                )
            )
            count += 1
            await asyncio.sleep(1 / PER_S)

    async def send_crashing(machine):
        """One client attempt; it is not sent again."""
        request = {
            'id': kit.new_id(),
            'host': 'maps.example',
            'path': PATH,
            'deadline_ms': 2000,
            'key': 'k1',
        }
        await kit.Client(machine, record).request(request)

    def remove(machine):
        """The machine is removed for good, with its upstream."""
        if not has_trouble or machine in gone:
            return
        gone.add(machine)
        record.write('REMOVED', node=machine.name)
        deployment.signal(machine, signal.SIGKILL)
        for upstream in deployment.upstreams:
            if upstream.machine is machine and upstream.server is not None:
                upstream.crash()

    load = asyncio.create_task(send_load())
    started_at = record.now()
    await asyncio.sleep(1)
    first = deployment.machines[:REMOVED_FIRST]
    for machine in first:
        await send_crashing(machine)
        await asyncio.sleep(1)
    third_at = record.now()
    # Long enough for all to be counted: each upstream is back by then.
    await asyncio.sleep(DOWN_S + 2)
    for machine in first:
        remove(machine)
    others = deployment.machines[REMOVED_FIRST:]
    later = others[:REMOVED_LATER]
    number = 0
    while record.now() - started_at < LENGTH_S:
        await asyncio.sleep(COMES_EVERY_S)
        present = [one for one in others if one not in gone]
        chosen = present[number % len(present)]
        before = len(arrivals)
        await send_crashing(chosen)
        if len(arrivals) == before:
            continue
        number += 1
        hit = arrivals[-1][1]
        if hit in later or len(gone) < REMOVED_FIRST + REMOVED_LATER:
            # The other machines that ran it are taken away in their turn,
            # after their crash was counted.
            await asyncio.sleep(DOWN_S + 1)
            remove(hit)
    stop.set()
    await load
    if tasks:
        await asyncio.wait(tasks)
    window_s = deployment.bounds['stabilityWindowS']
    retries = [one for one in arrivals if one[0] > third_at + window_s]
    for at, machine in arrivals:
        record.write('ARRIVAL', at=round(at, 3), node=machine.name)
    print(
        f'{len(arrivals)} arrivals of the request; {len(retries)} retries '
        f'reached an upstream after the third crash ({ALLOWED} allowed); '
        f'machines removed: {len(gone)}'
    )
    return 1 if len(retries) > ALLOWED else 0


kit.run(pathlib.Path(__file__).parent, play)
