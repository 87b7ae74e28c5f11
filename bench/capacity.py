"""Measures the cost per unit of size that ``docs/CAPACITY.md`` builds on.

Each cost is measured at three or more sizes, and a line is fitted to the
measurements. ``make capacity`` runs this module, which writes
``out/capacity.json`` and prints a table.
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


def format_cost(cost: LinearCost) -> str:
    """Format one row of the table."""
    points = ' '.join(
        f'{size}:{measured:.4g}' for size, measured in cost.points
    )
    return (
        f'{cost.name:36}{cost.unit:>7}{cost.intercept:12.4g}'
        f'{cost.slope:12.4g}  {cost.per:24}{cost.worst_error:7.1%}'
        f'  {points}'
    )


def main() -> int:
    """Run all benchmarks, print the costs and budgets, and write the JSON."""
    measured_costs: list[LinearCost] = []
    sys.stdout.write(f'{HEADER}\n')
    benchmarks = (
        *create_bytes_benchmarks(),
        *create_memory_benchmarks(),
        *create_link_benchmarks(),
        *create_time_benchmarks(),
    )
    for benchmark in benchmarks:
        cost = measure_cost(benchmark)
        sys.stdout.write(f'{format_cost(cost)}\n')
        measured_costs.append(cost)
    costs_by_name = {cost.name: cost for cost in measured_costs}
    for fleet in (TODAY, FULL_SIZE):
        print_budget(costs_by_name, fleet, sys.stdout.write)
    report = [dataclasses.asdict(cost) for cost in measured_costs]
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(report, indent=1), encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())
