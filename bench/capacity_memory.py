"""Bytes of memory per entry of each state that grows with the fleet."""

import functools
import gc
import tracemalloc
from collections.abc import Callable
from typing import TypeAlias

from bench import capacity_states as states
from bench.capacity_fit import CostBenchmark

Builder: TypeAlias = Callable[[int], object]

UNIT = 'bytes'
STEP_SIZES = (1000, 2000, 4000, 8000)
SMALL_SIZES = (100, 200, 400, 800)


def create_memory_benchmarks() -> list[CostBenchmark]:
    """Everything whose memory grows with a number of entries."""
    return [
        _subject('configuration key', 'key', states.build_keys),
        _subject('configuration team', 'team', states.build_teams, SMALL_SIZES),
        _subject('configuration route', 'route', states.build_routes),
        _subject(
            'remembered change set',
            'change set',
            states.build_operations,
            (500, 1000, 2000),
        ),
        _subject('announced member', 'node', states.build_members),
        _subject('ownership fold', 'slot', states.build_ownership),
        _subject(
            'lease of an owned slot',
            'slot',
            states.build_held_slots,
            SMALL_SIZES,
        ),
        _subject('promise of a witness', 'slot', states.build_promises),
        _subject('started id from the log', 'id', states.build_started_ids),
        _subject('id with a kept answer', 'id', states.build_kept_answers),
        _subject('token bucket', 'team', states.build_buckets),
        _subject('demand estimate', 'team', states.build_estimates),
        _subject('record of a target', 'target', states.build_target_records),
        _subject(
            'latency histogram',
            'team and class',
            states.build_histograms,
            (50, 100, 200),
        ),
    ]


def _subject(
    name: str,
    per: str,
    build: Builder,
    sizes: tuple[int, ...] = STEP_SIZES,
) -> CostBenchmark:
    measure = functools.partial(traced_bytes, build)
    return CostBenchmark(f'memory: {name}', UNIT, per, sizes, measure)


def traced_bytes(build: Builder, size: int) -> float:
    """Memory that stays allocated while the built state is kept."""
    build(2)  # Caches and imports are not part of the state.
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [build(size)]
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(kept)
