"""Memory per entry of each data structure that grows with the fleet."""

import functools
import gc
import tracemalloc
from collections.abc import Callable
from typing import TypeAlias

from bench import capacity_states as states
from bench.capacity_fit import CostBenchmark

Builder: TypeAlias = Callable[[int], object]

UNIT = 'bytes'
DEFAULT_SIZES = (1000, 2000, 4000, 8000)
SMALL_SIZES = (100, 200, 400, 800)


def create_memory_benchmarks() -> list[CostBenchmark]:
    """Create one benchmark per data structure that grows with its entries."""
    return [
        _create_benchmark('configuration key', 'key', states.build_keys),
        _create_benchmark(
            'configuration team', 'team', states.build_teams, SMALL_SIZES
        ),
        _create_benchmark('configuration route', 'route', states.build_routes),
        _create_benchmark(
            'remembered change set',
            'change set',
            states.build_operations,
            (500, 1000, 2000),
        ),
        _create_benchmark('announced member', 'node', states.build_members),
        _create_benchmark('ownership fold', 'slot', states.build_ownership),
        _create_benchmark(
            'lease of an owned slot',
            'slot',
            states.build_held_slots,
            SMALL_SIZES,
        ),
        _create_benchmark(
            'promise of a witness', 'slot', states.build_promises
        ),
        _create_benchmark(
            'started id from the log', 'id', states.build_started_ids
        ),
        _create_benchmark(
            'id with a kept answer', 'id', states.build_kept_answers
        ),
        _create_benchmark('token bucket', 'team', states.build_buckets),
        _create_benchmark('demand estimate', 'team', states.build_estimates),
        _create_benchmark(
            'record of a target', 'target', states.build_target_records
        ),
        _create_benchmark(
            'latency histogram',
            'team and class',
            states.build_histograms,
            (50, 100, 200),
        ),
    ]


def _create_benchmark(
    name: str,
    per: str,
    build: Builder,
    sizes: tuple[int, ...] = DEFAULT_SIZES,
) -> CostBenchmark:
    measure = functools.partial(traced_bytes, build)
    return CostBenchmark(f'memory: {name}', UNIT, per, sizes, measure)


def traced_bytes(build: Builder, size: int) -> float:
    """Bytes that stay allocated while the built structure is referenced."""
    build(2)  # Fills caches and imports modules before counting.
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [build(size)]
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(kept)
