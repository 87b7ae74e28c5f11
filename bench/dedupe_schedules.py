"""Runs random dedupe schedules: ``python -m bench.dedupe_schedules COUNT SEED``.

Each schedule has its own seed, from SEED on. Run a failed seed with COUNT 1
to repeat its schedule.
"""

import argparse
import dataclasses
import json
import sys

from bench.dedupe_scenario import run_schedule


def main() -> int:
    """Run the schedules; return 1 if any of them has a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('count', type=int, help='how many schedules')
    parser.add_argument('seed', type=int, help='the first seed')
    options = parser.parse_args()
    failed_seeds = []
    totals = {'runs': 0, 'answers': 0, 'not_run': 0, 'unknown': 0}
    for seed in range(options.seed, options.seed + options.count):
        schedule_result = dataclasses.asdict(run_schedule(seed))
        for kind in totals:
            totals[kind] += schedule_result[kind]
        if schedule_result['violations']:
            failed_seeds.append(seed)
            sys.stderr.write(f'seed {seed}: {schedule_result["violations"]}\n')
    sys.stdout.write(
        json.dumps({
            'first_seed': options.seed,
            'schedules': options.count,
            'failed_seeds': failed_seeds,
            **totals,
        })
        + '\n',
    )
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main())
