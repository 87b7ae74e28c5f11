"""Processor time of decisions and of message encoding, by size."""

import functools
import gc
import time
from collections.abc import Callable
from typing import TypeAlias

from bench import capacity_actions as actions
from bench import capacity_fleet_actions as fleet_actions
from bench.capacity_fit import CostBenchmark

PrepareAction: TypeAlias = Callable[[int], actions.Action]

REPEATS = 7
US_PER_S = 1_000_000
# Shorter times are too close to the resolution of the clock.
MIN_TIMED_S = 0.002
COUNTS = (1000, 2000, 4000)
FLEET_SIZES = (250, 500, 1000)
ZONE_SIZES = (64, 128, 256, 548)


def create_time_benchmarks() -> list[CostBenchmark]:
    """Create the benchmarks of frequent decisions and of starting a node."""
    body_sizes = (0, 4096, 65536)
    return [
        _create_benchmark(
            'encode PeerCall', 'body byte', actions.encode_call, body_sizes
        ),
        _create_benchmark(
            'decode PeerCall', 'body byte', actions.decode_call, body_sizes
        ),
        _create_benchmark(
            'encode PeerAnswer', 'body byte', actions.encode_answer, body_sizes
        ),
        _create_benchmark(
            'decode PeerAnswer', 'body byte', actions.decode_answer, body_sizes
        ),
        _create_benchmark(
            'fold a record', 'record', actions.apply_change_sets, COUNTS
        ),
        _create_benchmark(
            'start from log pages', 'record', actions.replay_log, COUNTS
        ),
        _create_benchmark(
            'start from a snapshot',
            'key',
            actions.restore_snapshot,
            (1000, 4000, 8000),
        ),
        _create_benchmark(
            'take a snapshot', 'key', actions.write_snapshot, (1000, 4000, 8000)
        ),
        _create_benchmark(
            'find a route', 'lookup', actions.find_routes, COUNTS
        ),
        _create_benchmark(
            'find the team of a key', 'lookup', actions.find_teams, COUNTS
        ),
        _create_benchmark(
            'gate: offer and finish',
            'call',
            actions.run_calls_through_gate,
            COUNTS,
        ),
        _create_benchmark(
            'owner: give a grant', 'grant', actions.answer_grant_asks, COUNTS
        ),
        _create_benchmark(
            'owner: make heartbeats',
            'slot',
            actions.make_heartbeats,
            (8, 16, 64),
        ),
        _create_benchmark(
            'witness: hear a heartbeat',
            'slot',
            actions.handle_heartbeat,
            (8, 64, 512),
        ),
        _create_benchmark(
            'owner: rank members', 'member', actions.rank_members, ZONE_SIZES
        ),
        _create_benchmark(
            'owner: tick with 9 slots',
            'member',
            actions.tick_leases,
            ZONE_SIZES,
        ),
        _create_benchmark(
            'node: fast tick', 'tick', fleet_actions.tick_calls, COUNTS
        ),
        _create_benchmark(
            'node: slow tick', 'member', fleet_actions.tick_control, FLEET_SIZES
        ),
        _create_benchmark(
            'node: membership change',
            'member',
            fleet_actions.apply_membership_change,
            FLEET_SIZES,
        ),
        _create_benchmark(
            'ingress: members of a service',
            'member',
            fleet_actions.look_up_members,
            FLEET_SIZES,
        ),
        _create_benchmark(
            'follower: one tick', 'live node', actions.tick_follower, ZONE_SIZES
        ),
    ]


def _create_benchmark(
    name: str,
    per: str,
    prepare: PrepareAction,
    sizes: tuple[int, ...],
) -> CostBenchmark:
    measure = functools.partial(processor_time_us, prepare)
    return CostBenchmark(f'time: {name}', 'us', per, sizes, measure)


def processor_time_us(
    prepare: PrepareAction,
    size: int,
    clock: Callable[[], float] = time.process_time,
) -> float:
    """Smallest processor time of several repeats, in microseconds.

    The smallest is taken because other processes slow some repeats down.
    Short actions run several times per repeat, so that the clock resolves
    them.
    """
    least_s = float('inf')
    rounds = 1
    for _ in range(REPEATS):
        used_s, rounds = _time_rounds(prepare, size, rounds, clock)
        least_s = min(least_s, used_s / rounds)
    return least_s * US_PER_S


def _time_rounds(
    prepare: PrepareAction,
    size: int,
    rounds: int,
    clock: Callable[[], float],
) -> tuple[float, int]:
    used_s = float()
    while used_s < MIN_TIMED_S:
        rounds = rounds if used_s == 0 else rounds * 4
        prepared = [prepare(size) for _ in range(rounds)]
        gc.collect()
        gc.disable()
        started = clock()
        for action in prepared:
            action()
        used_s = clock() - started
        gc.enable()
    return used_s, rounds
