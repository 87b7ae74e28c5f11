"""Processor time of decisions and encodings, per unit of their size."""

import functools
import gc
import time
from collections.abc import Callable
from typing import TypeAlias

from bench import capacity_actions as actions
from bench import capacity_fleet_actions as fleet_actions
from bench.capacity_fit import CostBenchmark

Prepare: TypeAlias = Callable[[int], actions.Action]

REPEATS = 7
US_PER_S = 1_000_000
# Shorter spans than this are close to the resolution of the clock.
SHORTEST_SPAN_S = 0.002
COUNTS = (1000, 2000, 4000)
FLEETS = (250, 500, 1000)
ZONE_SIZES = (64, 128, 256, 548)


def create_time_benchmarks() -> list[CostBenchmark]:
    """Every decision that a role makes often, and what starting costs."""
    bodies = (0, 4096, 65536)
    return [
        _subject('encode PeerCall', 'body byte', actions.encode_call, bodies),
        _subject('decode PeerCall', 'body byte', actions.decode_call, bodies),
        _subject(
            'encode PeerAnswer', 'body byte', actions.encode_answer, bodies
        ),
        _subject(
            'decode PeerAnswer', 'body byte', actions.decode_answer, bodies
        ),
        _subject('fold a record', 'record', actions.apply_change_sets, COUNTS),
        _subject('start from log pages', 'record', actions.replay_log, COUNTS),
        _subject(
            'start from a snapshot',
            'key',
            actions.restore_snapshot,
            (1000, 4000, 8000),
        ),
        _subject(
            'take a snapshot', 'key', actions.write_snapshot, (1000, 4000, 8000)
        ),
        _subject('find a route', 'lookup', actions.find_routes, COUNTS),
        _subject(
            'find the team of a key', 'lookup', actions.find_teams, COUNTS
        ),
        _subject(
            'gate: offer and finish',
            'call',
            actions.run_calls_through_gate,
            COUNTS,
        ),
        _subject(
            'owner: give a grant', 'grant', actions.answer_grant_asks, COUNTS
        ),
        _subject(
            'owner: make heartbeats',
            'slot',
            actions.make_heartbeats,
            (8, 16, 64),
        ),
        _subject(
            'witness: hear a heartbeat',
            'slot',
            actions.handle_heartbeat,
            (8, 64, 512),
        ),
        _subject(
            'owner: rank members', 'member', actions.rank_members, ZONE_SIZES
        ),
        _subject(
            'owner: tick with 9 slots',
            'member',
            actions.tick_leases,
            ZONE_SIZES,
        ),
        _subject('node: fast tick', 'tick', fleet_actions.tick_calls, COUNTS),
        _subject(
            'node: slow tick', 'member', fleet_actions.tick_control, FLEETS
        ),
        _subject(
            'node: membership change',
            'member',
            fleet_actions.apply_membership_change,
            FLEETS,
        ),
        _subject(
            'ingress: members of a service',
            'member',
            fleet_actions.look_up_members,
            FLEETS,
        ),
        _subject(
            'follower: one tick', 'live node', actions.tick_follower, ZONE_SIZES
        ),
    ]


def _subject(
    name: str,
    per: str,
    prepare: Prepare,
    sizes: tuple[int, ...],
) -> CostBenchmark:
    measure = functools.partial(processor_time_us, prepare)
    return CostBenchmark(f'time: {name}', 'us', per, sizes, measure)


def processor_time_us(
    prepare: Prepare,
    size: int,
    clock: Callable[[], float] = time.process_time,
) -> float:
    """Least processor time of some repeats; others ran at the same time.

    Short actions are repeated until the clock can resolve them.
    """
    best = float('inf')
    rounds = 1
    for _ in range(REPEATS):
        spent_s, rounds = _time_rounds(prepare, size, rounds, clock)
        best = min(best, spent_s / rounds)
    return best * US_PER_S


def _time_rounds(
    prepare: Prepare,
    size: int,
    rounds: int,
    clock: Callable[[], float],
) -> tuple[float, int]:
    spent_s = float()
    while spent_s < SHORTEST_SPAN_S:
        rounds = rounds if spent_s == 0 else rounds * 4
        prepared = [prepare(size) for _ in range(rounds)]
        gc.collect()
        gc.disable()
        begun = clock()
        for act in prepared:
            act()
        spent_s = clock() - begun
        gc.enable()
    return spent_s, rounds
