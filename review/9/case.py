"""LOST: a planned stop breaks off requests that it accepted late and that upstreams still work on."""

import asyncio
import signal

from parts import BOUNDS, configuration, play

SERVICE = 'tilesvc'
USUAL_S = 0.4
LONG_S = 2.4
"""Mean and longest work of a tile read in the site file."""

NODES = ((SERVICE, 'lk-west-a'), (SERVICE, 'lk-west-b'), (SERVICE, 'lk-west-c'))
STOPPED = 1


def work_s(first, headers):
    return LONG_S if '/long' in first else USUAL_S


async def scenario(case):
    await case.begin(
        NODES, configuration({'/tiles/': SERVICE}, [SERVICE], timeout_s=5.0),
        work_s, slots=53)
    node = case.nodes[STOPPED]
    start = case.record.now()
    load = [
        asyncio.ensure_future(case.load(one, start + 16, 8, ['/tiles/a', '/tiles/b'], 'k1'))
        for one in case.nodes
    ]
    await asyncio.sleep(6)
    stopped_at = None
    if case.is_troubled:
        stopped_at = node.signal(signal.SIGTERM)
    # Some reads are long, as the site file says (tail). No zone but this one
    # has the node, so its clients go on sending while it is not ready.
    await asyncio.sleep(3.3)
    long = []
    for _ in range(6):
        long.append(asyncio.ensure_future(case.request(node, '/tiles/long', 'k1')))
        await asyncio.sleep(0.15)
    await asyncio.gather(*load, *long)
    return check(case, stopped_at)


def check(case, stopped_at):
    """The rule LOST around a SIGTERM, with its excuses."""
    if stopped_at is None:
        return [
            f'{sent.id} has no whole answer, without a stop' for sent in case.sent
            if sent.sent_at is not None and sent.how != 'answered'
        ]
    broken = []
    events = case.events()
    runs = {event['id'] for event in events if event['what'] == 'run'}
    for sent in case.sent:
        is_cut = sent.how == 'closed without a whole answer'
        if sent.node != STOPPED or not is_cut or sent.id not in runs:
            continue
        in_stop = stopped_at <= sent.ended_at <= stopped_at + BOUNDS['graceS'] + 1
        # Excused: the deadline or time-out was reached, or sent no later than
        # 3 s after the SIGTERM with the upstream at work in the last sixth.
        has_time = sent.ended_at - sent.sent_at < sent.deadline_s
        is_late = sent.sent_at > stopped_at + 3
        if in_stop and has_time and is_late:
            broken.append(
                f'{sent.id} was sent {sent.sent_at - stopped_at:.2f} s after the SIGTERM, was passed on, and '
                f'its connection ended {sent.ended_at - stopped_at:.2f} s after it without an answer')
    return broken


play('.', scenario)
