"""LOST: with tenants that have no limit, a full gate breaks off the requests of its peers."""

import asyncio
import signal

from parts import BOUNDS, configuration, play

SERVICE = 'billing'
NODES = ((SERVICE, 'lk-west-a'), (SERVICE, 'lk-west-b'))
WORK_S = 0.21
SLOTS = 13
STOPPED = 0
PER_S = 36


async def scenario(case):
    version = configuration({'/renew/': SERVICE}, [SERVICE], unsafe=('/renew/',))
    # "0 or omitted means no limit".
    version['tenants'] = {'planter': {'apiKeys': ['k1']}, 'surveyor': {'apiKeys': ['k2']}}
    await case.begin(NODES, version, lambda first, headers: WORK_S, slots=SLOTS)
    start = case.record.now()
    load = [
        asyncio.ensure_future(case.load(node, start + 14, PER_S / 2, ['/renew/a', '/renew/b'], key))
        for node in case.nodes for key in ('k1', 'k2')
    ]
    await asyncio.sleep(5)
    stopped_at = case.nodes[STOPPED].signal(signal.SIGTERM) if case.is_troubled else None
    await asyncio.gather(*load)
    return check(case, stopped_at)


def check(case, stopped_at):
    """LOST, "after a SIGTERM": an answer of the node's own while the upstream is at work on the request."""
    if stopped_at is None:
        return [
            f'{sent.id} was not served ({sent.how}, {sent.status}), without a stop'
            for sent in case.sent if sent.how == 'answered' and sent.status == 502
        ]
    begun, over = {}, {}
    for event in case.events():
        if event['what'] == 'run':
            begun[event['id']] = event['t']
        elif event['what'] in ('run ends', 'run dropped, its connection closed'):
            over[event['id']] = event['t']
    broken = []
    for sent in case.sent:
        if sent.node != STOPPED or sent.id not in begun or sent.status == 200 or sent.ended_at is None:
            continue
        in_stop = stopped_at <= sent.ended_at <= stopped_at + BOUNDS['graceS'] + 1
        was_at_work = begun[sent.id] < sent.ended_at < over.get(sent.id, 1e9)
        has_time = sent.ended_at - sent.sent_at < sent.deadline_s
        if in_stop and was_at_work and has_time and not sent.signature:
            broken.append(
                f'{sent.id} was sent {sent.sent_at - stopped_at:.2f} s after the SIGTERM, ran from '
                f'{begun[sent.id] - stopped_at:.2f} s on, and got {sent.how}, {sent.status} of the node\'s own at '
                f'{sent.ended_at - stopped_at:.2f} s; its run ended at {over.get(sent.id, 0) - stopped_at:.2f} s')
    return broken


play('.', scenario)
