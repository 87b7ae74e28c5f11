"""Simulates sites under load and faults, with and without the layer.

``python -m bench.policy`` prints JSON and one table. With ``--check`` it
exits with 1 when a figure misses its bound. Bounds are the targets stated in
the design, never measured figures.
"""

import argparse
import dataclasses
import json
import sys
from collections.abc import Callable, Sequence
from typing import TypeAlias

from bench.policy_demand import measure_demand
from bench.policy_fairness import measure_fairness
from bench.policy_faults import measure_faults
from bench.policy_figures import Figure, format_table
from bench.policy_retries import measure_retries
from bench.policy_sites import Variant
from bench.policy_slow import measure_slow
from bench.policy_zones import measure_zones

Measure: TypeAlias = Callable[[Variant, int], list[Figure]]

MEASURES: Sequence[Measure] = (
    measure_demand,
    measure_slow,
    measure_fairness,
    measure_faults,
    measure_zones,
    measure_retries,
)
DEFAULT_SEED = 1


def measure_all(
    seed: int,
    layer_only: bool,
    only: str,
) -> list[Figure]:
    """Run the measuring functions whose name contains ``only``."""
    variants = [Variant.LAYER] if layer_only else list(Variant)
    figures = []
    for measure in MEASURES:
        if only in measure.__name__:
            for variant in variants:
                figures.extend(measure(variant, seed))
    return figures


def main(arguments: Sequence[str]) -> int:
    """Run the simulations and print the report; return the exit code."""
    parser = argparse.ArgumentParser(prog='python -m bench.policy')
    parser.add_argument('--check', action='store_true')
    parser.add_argument('--seed', type=int, default=DEFAULT_SEED)
    parser.add_argument('--layer-only', action='store_true')
    parser.add_argument('--only', default='', help='part of a measure name')
    options = parser.parse_args(arguments)
    figures = measure_all(options.seed, options.layer_only, options.only)
    missed = [figure for figure in figures if not figure.is_met]
    report = {
        'seed': options.seed,
        'figures': [dataclasses.asdict(figure) for figure in figures],
        'missed': len(missed),
    }
    out = sys.stdout
    out.write(f'{json.dumps(report)}\n\n{format_table(figures)}\n')
    out.write(f'seed {options.seed}, {len(missed)} bounds missed\n')
    for figure in missed:
        out.write(f'missed: {figure.scenario}: {figure.name}\n')
    return 1 if missed and options.check else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
