"""DRAIN: a late heartbeat brings back an upstream whose leaving was acknowledged."""

import asyncio

from parts import BOUNDS, configuration, play

SERVICE = 'mapsvc'
NODES = ((SERVICE, 'lk-west-a'), (SERVICE, 'lk-west-b'), (SERVICE, 'lk-west-c'))
REPLACED = 1
LATE_S = 3.0
"""A heartbeat may arrive seconds late."""


async def scenario(case):
    await case.begin(NODES, configuration({'/maps/': SERVICE}, [SERVICE]), slots=40)
    start = case.record.now()
    load = [
        asyncio.ensure_future(case.load(one, start + 20, 20, ['/maps/a', '/maps/b'], 'k1'))
        for one in case.nodes
    ]
    await asyncio.sleep(3)
    # The first upstream leaves as planned.
    upstream = case.upstreams[REPLACED]
    upstream.beats.cancel()
    upstream.beats = None
    upstream.state = 'draining'
    await upstream.heartbeat()
    await asyncio.sleep(BOUNDS['drainS'] + 0.5)
    await upstream.delete()
    await upstream.stop()
    await asyncio.sleep(0.5)
    # Another one starts in its place. Its first heartbeat is late.
    await upstream.start('i-1-b', beats=False)
    late = asyncio.ensure_future(upstream.heartbeat(LATE_S if case.is_troubled else 0))
    await asyncio.sleep(1.2)
    # It is told to leave, deregisters, and goes on serving for some seconds.
    await upstream.delete()
    left_at = case.record.now()
    await asyncio.gather(*load, late)
    await upstream.stop()
    return check(case, left_at)


def check(case, left_at):
    return [
        f'{event["id"]} reached the upstream i-1-b {event["t"] - left_at:.2f} s after its leaving was acknowledged'
        for event in case.events()
        if event['what'] == 'run' and event['instance'] == 'i-1-b'
        and event['t'] > left_at + BOUNDS['drainS']
    ]


play('.', scenario)
