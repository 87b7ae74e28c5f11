"""Measures the slopes that ``docs/CAPACITY.md`` is worked out from.

Each cost is measured at three sizes or more and fitted with a line. Run it
with ``make capacity``; it writes ``out/capacity.json`` and prints a table.
"""

import dataclasses
import json
import pathlib
import sys

from bench.capacity_budget import FULL_SIZE, TODAY, print_budget
from bench.capacity_bytes import create_bytes_benchmarks
from bench.capacity_fit import LinearCost, measure_cost
from bench.capacity_links import create_link_benchmarks
from bench.capacity_memory import create_memory_benchmarks
from bench.capacity_time import create_time_benchmarks

OUTPUT = pathlib.Path('out') / 'capacity.json'
HEADER = (
    f'{"cost":36}{"unit":>7}{"fixed":>12}{"slope":>12}  {"per":24}'
    f'{"worst":>7}  points'
)


def describe_slope(found: LinearCost) -> str:
    """One line of the table."""
    points = ' '.join(f'{size}:{cost:.4g}' for size, cost in found.points)
    return (
        f'{found.name:36}{found.unit:>7}{found.intercept:12.4g}'
        f'{found.slope:12.4g}  {found.per:24}{found.worst_error:7.1%}'
        f'  {points}'
    )


def main() -> int:
    """Measure everything."""
    slopes: list[LinearCost] = []
    sys.stdout.write(f'{HEADER}\n')
    subjects = (
        *create_bytes_benchmarks(),
        *create_memory_benchmarks(),
        *create_link_benchmarks(),
        *create_time_benchmarks(),
    )
    for subject in subjects:
        found = measure_cost(subject)
        sys.stdout.write(f'{describe_slope(found)}\n')
        slopes.append(found)
    costs = {found.name: found for found in slopes}
    for fleet in (TODAY, FULL_SIZE):
        print_budget(costs, fleet, sys.stdout.write)
    described = [dataclasses.asdict(found) for found in slopes]
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(described, indent=1), encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())
