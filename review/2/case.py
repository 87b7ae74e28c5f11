"""A change of the configuration adds a tenant whose name is not Latin-1.

All processes are killed right after it was acknowledged, as at the end of a
day.  They come back, but the first requests of the new tenant stop every gate,
for all tenants.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

NAME = 'Zé’s Raquetes'  # with the usual typographic apostrophe, U+2019
PLAIN_NAME = "Ze's Raquetes"
TIMEOUT_S = 5
RECOVERY_S = 15  # recoveryS
DOWN_S = 1


def make_config(version, name=''):
    tenants = {'crew': {'apiKeys': ['key-of-crew'],
                        'ratePerS': 200, 'burst': 200}}
    if name:
        tenants[name] = {'apiKeys': ['key-of-new'],
                         'ratePerS': 50, 'burst': 50}
    routes = {'map': standins.route('map', 'mapsvc', 'idempotent',
                                    timeoutS=TIMEOUT_S)}
    return standins.config(version, routes, ['mapsvc'], tenants)


async def script(fleet, trouble):
    record = fleet.record
    sent = []  # time, tenant, task
    own_ends = []

    async def load(key, name, per_s):
        number = 0
        while True:
            number += 1
            sent.append((record.now(), name, asyncio.ensure_future(fleet.send(
                fleet.nodes[number % 3], 'GET', f'/map/{name}{number}', key,
                TIMEOUT_S, name=name))))
            await asyncio.sleep(1 / per_s)

    async def restart_ended(node):
        """The platform: starts again what has ended."""
        while True:
            await asyncio.sleep(0.05)
            if node.process.returncode is not None:
                if node.process.returncode != -signal.SIGKILL:
                    own_ends.append(node.number)
                    record.write(f'node {node.number} has ended by itself')
                await asyncio.sleep(DOWN_S)
                await node.start()

    def share(begins, ends, tenant=''):
        found = [task.result()[1] for at, one, task in sent
                 if begins <= at < ends and one.startswith(tenant)]
        return found.count(200) / max(1, len(found)), len(found)

    await fleet.start(make_config(1), ['mapsvc'] * 3, work_s=0.16)
    tasks = [asyncio.ensure_future(restart_ended(node)) for node in fleet.nodes]
    tasks.append(asyncio.ensure_future(load('key-of-crew', 'crew', 40)))
    await asyncio.sleep(10)
    fault_at = record.now()
    await fleet.store.write_config(
        make_config(2, NAME if trouble else PLAIN_NAME))
    record.write('the store has acknowledged version 2 with a new tenant')
    for node in fleet.nodes:
        node.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S + 0.2)
    while not all([await node.is_ready() for node in fleet.nodes]):
        await asyncio.sleep(0.1)
    back_at = record.now()
    record.write('all nodes are back and ready')
    tasks.append(asyncio.ensure_future(load('key-of-new', 'new', 8)))
    await asyncio.sleep(RECOVERY_S + 35)
    ends = record.now()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*(task for _, _, task in sent))
    before, _ = share(2, fault_at)
    after, count = share(back_at + RECOVERY_S, ends)
    crew, _ = share(back_at + RECOVERY_S, ends, 'crew')
    last, _ = share(ends - 15, ends, 'crew')
    record.write(f'served before the final fault: {before:.3f}; of the {count} '
                 f'requests sent later than {RECOVERY_S} s after the machines '
                 f'were back: {after:.3f}; of those of the tenant that was '
                 f'there before: {crew:.3f}, in the last 15 s {last:.3f}; '
                 f'processes that ended by themselves: {len(own_ends)}')
    return before >= 0.25 > after and crew < 0.25


standins.main(script, pathlib.Path(__file__).resolve().parent)
