"""Measures the choice of a target: its processor time, and what it achieves.

The time is that of one choice among 10, 100 and 1,000 candidates. The waits are
simulated with targets of uneven speed (``placement_simulation``).
"""

import random
import sys
import time

from bench.placement_simulation import PlacementSimulation
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.router import (
    PlacementRequest,
    Router,
    create_router,
)
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import Call, Priority

CANDIDATES = (10, 100, 1000)
CHOICES = 2000
REPETITIONS = 5
MICROSECONDS_PER_S = 1_000_000
MILLISECONDS_PER_S = 1000

SPEEDS = (0.7, 0.7, 1.6)
UTILISATIONS = (0.6, 0.75, 0.9)
CALLS = 20_000
SEEDS = (1, 2, 3)

CALL = Call(
    call_id='1',
    root_id='1',
    team='team',
    route='short',
    service='maps',
    priority=Priority.NORMAL,
    idempotent=True,
    deadline=10,
    method='GET',
    path='/',
)


def create_loaded_router(members: tuple[Member, ...]) -> Router:
    """Create a router that has had an answer of each member."""
    rng = random.Random(1)
    router = create_router('a', '', rng)
    for member in members:
        running = rng.randrange(8)
        pace = rng.choice((1.0, 2.5))
        load = GateLoad(
            0, running, 8, 0.01, 1280, False, pace=pace, service_s=0.01
        )
        router.record_sent(member, 0)
        router.record_answer(member, load, 0.01, 0, CALL.route)
    return router


def measure_choice_us(candidates: int) -> float:
    """Return the processor time of one choice in microseconds."""
    members = tuple(
        Member(f'node-{number}', 'a', service='maps')
        for number in range(candidates)
    )
    router = create_loaded_router(members)
    request = PlacementRequest(CALL, members)
    times = []
    for _ in range(REPETITIONS):
        started_at = time.process_time()
        for _ in range(CHOICES):
            router.choose(request, 0.1)
        times.append((time.process_time() - started_at) / CHOICES)
    return min(times) * MICROSECONDS_PER_S


def create_simulated_router(rng: random.Random) -> Router:
    """Create the router of one simulated entry."""
    return create_router('a', '', rng)


def simulate_wait_ms(utilisation: float) -> float:
    """Return the mean wait of calls in milliseconds, over all seeds."""
    waits = [
        PlacementSimulation(SPEEDS, create_simulated_router, seed)
        .run(CALLS, utilisation)
        .mean_wait_s
        for seed in SEEDS
    ]
    return sum(waits) / len(waits) * MILLISECONDS_PER_S


def main() -> None:
    """Print all figures."""
    for candidates in CANDIDATES:
        choice_us = measure_choice_us(candidates)
        sys.stdout.write(f'{candidates} candidates: {choice_us:.1f} us\n')
    for utilisation in UTILISATIONS:
        wait_ms = simulate_wait_ms(utilisation)
        sys.stdout.write(f'utilisation {utilisation}: {wait_ms:.1f} ms wait\n')


if __name__ == '__main__':
    main()
