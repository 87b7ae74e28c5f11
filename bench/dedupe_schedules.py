"""Runs many adversarial dedupe schedules: ``COUNT FIRST_SEED``.

Each schedule is one seed, so a failure is repeated with count 1.
"""

import argparse
import dataclasses
import json
import sys

from bench.dedupe_scenario import run_schedule


def main() -> int:
    """Run the schedules; exit with 1 if any showed a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('count', type=int, help='how many schedules')
    parser.add_argument('seed', type=int, help='the first seed')
    chosen = parser.parse_args()
    failed = []
    totals = {'runs': 0, 'answers': 0, 'not_run': 0, 'unknown': 0}
    for seed in range(chosen.seed, chosen.seed + chosen.count):
        verdict = dataclasses.asdict(run_schedule(seed))
        for kind in totals:
            totals[kind] += verdict[kind]
        if verdict['violations']:
            failed.append(seed)
            sys.stderr.write(f'seed {seed}: {verdict["violations"]}\n')
    sys.stdout.write(
        json.dumps({
            'first_seed': chosen.seed,
            'schedules': chosen.count,
            'failed_seeds': failed,
            **totals,
        })
        + '\n',
    )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
