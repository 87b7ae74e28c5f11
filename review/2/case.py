"""A change of the configuration adds a tenant whose name is not Latin-1.

Its first requests stop every gate, for all tenants.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

NAME = 'Zé’s Raquetes'  # with the usual typographic apostrophe, U+2019
PLAIN_NAME = "Ze's Raquetes"
TIMEOUT_S = 5


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

    async def load(key, name, per_s, for_s):
        ends = record.now() + for_s
        number = 0
        while record.now() < ends:
            number += 1
            sent.append((record.now(), name, asyncio.ensure_future(fleet.send(
                fleet.nodes[number % 3], 'GET', f'/map/{name}{number}', key,
                TIMEOUT_S + 2, name=name))))
            await asyncio.sleep(1 / per_s)

    def share(name, begins, ends):
        found = [task.result()[1] for at, one, task in sent
                 if one == name and begins <= at < ends]
        return found.count(200) / max(1, len(found)), len(found)

    await fleet.start(make_config(1), ['mapsvc'] * 3, work_s=0.16)
    await load('key-of-crew', 'crew', 40, 10)
    changed = record.now()
    await fleet.store.write_config(
        make_config(2, NAME if trouble else PLAIN_NAME))
    record.write('the store has acknowledged version 2 with a new tenant')
    await asyncio.sleep(4)
    begins = record.now()
    await asyncio.gather(load('key-of-crew', 'crew', 40, 45),
                         load('key-of-new', 'new', 5, 45))
    ends = record.now()
    await asyncio.gather(*(task for _, _, task in sent))
    before, _ = share('crew', 0, changed)
    new, new_count = share('new', begins, ends)
    crew, crew_count = share('crew', begins, ends)
    late, _ = share('crew', ends - 15, ends)
    everyone = (new * new_count + crew * crew_count) / (new_count + crew_count)
    record.write(f'served: crew before the change {before:.3f}, all after it '
                 f'{everyone:.3f}, the new tenant {new:.3f}, '
                 f'crew in the last 15 s {late:.3f}')
    is_starved = new < everyone / 4
    is_stopped = late < before / 4
    return is_starved and is_stopped


standins.main(script, pathlib.Path(__file__).resolve().parent)
