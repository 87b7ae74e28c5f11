"""Latency that a node adds at 250 calls/s, compared with a plain proxy.

``bench/latency.sh`` starts the processes and runs this module. The load is
open-loop: a slow answer does not delay the next request. Each round measures
all paths one after the other, and there are several rounds, because other
processes use the same machine.
"""

import argparse
import json
import pathlib
import sys
import threading
import time
import types
from collections.abc import Sequence
from typing import TypeAlias

from ebonycleat.internal.request.incoming import digest_key
from ebonycleat_tools.demo_client import DemoClient, RequestFailed
from ebonycleat_tools.load_plan import LoadPlan, RequestTemplate, TeamLoad
from ebonycleat_tools.load_runner import run_load

KEY = 'bench-key'
OPERATOR_KEY = 'demo-operator-key'
RATE_PER_S = 250
MAX_ADDED_P99_MS = 1.2
PATHS = types.MappingProxyType({
    'target': '127.0.0.1:27301',
    'passthrough': '127.0.0.1:27400',
    'node': '127.0.0.1:27101',
    'peer': '127.0.0.1:27103',
})
SETUP_CHANGES = (
    'create team survey rate 5000 burst 2500 zones a; '
    f'create key {digest_key(KEY)} for team survey; '
    'create route map to map methods GET path /map priority critical '
    'retries 2 timeout 2000 ms idempotent'
)
START_TIMEOUT_S = 20.0
FIXED_SERVICE_TIME = b'{"distribution": "fixed", "mean_s": 0.002}'
MS_PER_S = 1000
FIGURES = ('p50_ms', 'p99_ms', 'answered', 'offered')

Figures: TypeAlias = dict[str, float]
Rounds: TypeAlias = dict[str, list[Figures]]


def prepare_nodes(client: DemoClient) -> None:
    """Wait for the nodes, create team, key and route, and wait for tokens."""
    delay = threading.Event()
    deadline = time.monotonic() + START_TIMEOUT_S
    is_configured = False
    while time.monotonic() < deadline:
        delay.wait(0.2)
        try:
            if not is_configured:
                client.apply_change(PATHS['node'], SETUP_CHANGES, OPERATOR_KEY)
                is_configured = True
            replies = [
                client.get(PATHS[name], '/map/x', KEY)
                for name in ('node', 'peer', 'passthrough')
            ]
        except RequestFailed:
            continue
        if all(reply.status == 200 for reply in replies):
            # A fixed service time: the percentiles of the paths then differ
            # by what each path adds, not by randomly drawn service times.
            client.send(
                'POST', PATHS['target'], '/control', {}, FIXED_SERVICE_TIME
            )
            return
    raise RequestFailed('not every path answered with 200 in time')


def measure_path(
    name: str, seconds: float, rate_per_s: float
) -> dict[str, float]:
    """Send load over one path; return its percentiles in milliseconds."""
    team = TeamLoad(
        name='survey',
        rate_per_s=rate_per_s,
        requests=(RequestTemplate(path='/map/x', priority='critical'),),
        key_variable='SURVEY_KEY',
    )
    plan = LoadPlan(
        addresses=(PATHS[name],),
        duration_s=seconds,
        teams=(team,),
        threads=16,
    )
    results = run_load(plan, {'survey': KEY}, name).to_dict()
    group = results['groups'][0]
    return {
        'p50_ms': group['p50_s'] * MS_PER_S,
        'p99_ms': group['p99_s'] * MS_PER_S,
        'answered': group['answered'],
        'offered': group['offered'],
    }


def median(values: list[float]) -> float:
    """Return the median; of an even number, the upper middle value."""
    return sorted(values)[len(values) // 2]


def main(arguments: Sequence[str]) -> int:
    """Measure all paths in several rounds; return the exit code."""
    parser = argparse.ArgumentParser(prog='bench/latency.sh')
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--rate', type=float, default=RATE_PER_S)
    parser.add_argument('--check', action='store_true')
    options = parser.parse_args(arguments)
    prepare_nodes(DemoClient())
    rounds: Rounds = {name: [] for name in PATHS}
    for _ in range(options.rounds):
        for name, measured in rounds.items():
            measured.append(measure_path(name, options.seconds, options.rate))
    return report(rounds, options.check)


def report(
    rounds: Rounds,
    check: bool,
) -> int:
    """Write JSON, print a table and compare it with the bound."""
    out = pathlib.Path('out/latency.json')
    out.parent.mkdir(exist_ok=True)
    out.write_text(json.dumps(rounds, indent=1), encoding='utf-8')
    table = {
        name: median_figures(measured) for name, measured in rounds.items()
    }
    added_p99_ms = [
        print_path(name, figures, table['target'])
        for name, figures in table.items()
    ]
    missed = max(added_p99_ms[2:]) > MAX_ADDED_P99_MS
    if missed:
        sys.stdout.write(
            f'missed: added p99 at most {MAX_ADDED_P99_MS} ms\n',
        )
    return int(check and missed)


def median_figures(measured: list[Figures]) -> Figures:
    """Return the median of each figure over all rounds."""
    return {
        figure: median([figures[figure] for figures in measured])
        for figure in FIGURES
    }


def print_path(name: str, figures: Figures, direct: Figures) -> float:
    """Print the figures of one path; return its added p99 in milliseconds."""
    added_p50_ms = figures['p50_ms'] - direct['p50_ms']
    added_p99_ms = figures['p99_ms'] - direct['p99_ms']
    sys.stdout.write(
        f'{name:12} p50 {figures["p50_ms"]:6.2f} ms  '
        f'p99 {figures["p99_ms"]:6.2f} ms  '
        f'added p50 {added_p50_ms:5.2f}  p99 {added_p99_ms:5.2f}  '
        f'answered {figures["answered"]:.0f} of '
        f'{figures["offered"]:.0f}\n',
    )
    return added_p99_ms


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
