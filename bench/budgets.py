"""Measures wrongful refusals and cost of dividing budgets, several ways.

Run ``python -m bench.budgets --seed 1``. A refusal is wrongful when the
team's whole budget had a token left at that moment, by an exact bucket over
all admissions of the fleet.
"""

import argparse
import json
import random
import statistics
import sys
from collections import Counter
from typing import Any

from bench.budget_traffic import Arrival, Site, create_site, draw_arrivals
from bench.budget_divisions import (
    CentralOwners,
    FixedZoneShares,
    GrantSimulation,
    CallDecision,
    Failure,
    divide_per_node,
)
from bench.history import FleetBucket, BudgetChange
from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.grant_messages import GRANT_MESSAGES
from ebonycleat.internal.connection.lease_messages import LEASE_MESSAGES

WARM_UP_S = 5
DURATION_S = 25
TROUBLE_AT_S = 10
# Detection, promise and wait: what the nodes need, given to the comparison.
TAKEOVER_S = 4
ROUNDING = 1e-6

CALM = Failure('calm', TROUBLE_AT_S)
VM_LOST = Failure('one VM lost', TROUBLE_AT_S, node='payment-1')
ZONE_CUT = Failure('one zone cut off', TROUBLE_AT_S, zone='b')

Report = dict[str, Any]


def measure(trouble: Failure, seed: int) -> list[Report]:
    """Run one trouble in all ways with the same arrivals."""
    site = create_site()
    arrivals = draw_arrivals(site, DURATION_S, random.Random(seed))
    arrivals = _move_callers(site, arrivals, trouble)
    run = GrantSimulation(site, trouble, seed)
    ideal = FixedZoneShares(site, trouble)
    central = CentralOwners(site, _Reachability(site, trouble))
    ways = {
        'grants': run.run(arrivals, WARM_UP_S),
        'static per node': divide_per_node(site, arrivals),
        'ask every call': [central.decide(arrival) for arrival in arrivals],
        'ideal zone parts': [ideal.decide(arrival) for arrival in arrivals],
    }
    reports = [
        {
            'trouble': trouble.name,
            'way': way,
            'seed': seed,
            **_judge(site, outcomes),
        }
        for way, outcomes in ways.items()
    ]
    reports[0].update(_count_messages(run, len(site.zone_of)))
    return reports


class _Reachability:
    """Whether the owner of the comparison answers a node."""

    def __init__(self, site: Site, trouble: Failure) -> None:
        self.site = site
        self.trouble = trouble

    def __call__(self, node: str, owner: str, at: float) -> bool:
        trouble = self.trouble
        if at < trouble.at:
            return True
        if trouble.node == owner:
            return at >= trouble.at + TAKEOVER_S
        if not trouble.zone:
            return True
        here = self.site.zone_of[node] == trouble.zone
        there = self.site.zone_of[owner] == trouble.zone
        return here == there


def _move_callers(
    site: Site,
    arrivals: list[Arrival],
    trouble: Failure,
) -> list[Arrival]:
    # Callers of a lost VM connect to another one of its zone.
    if not trouble.node:
        return arrivals
    zone_of = site.zone_of
    heir = next(
        name
        for name, zone in zone_of.items()
        if zone == zone_of[trouble.node] and name != trouble.node
    )
    return [
        Arrival(arrival.at, arrival.team, heir)
        if arrival.node == trouble.node and arrival.at >= trouble.at
        else arrival
        for arrival in arrivals
    ]


def _judge(site: Site, outcomes: list[CallDecision]) -> Report:
    buckets = {
        team: FleetBucket(BudgetChange(0, team, *part))
        for team, part in site.budgets.items()
    }
    counts: Counter[str] = Counter()
    wrongful_by_team: Counter[str] = Counter()
    for outcome in sorted(outcomes, key=lambda item: item.at):
        bucket = buckets[outcome.arrival.team]
        bucket.advance(outcome.at)
        if not outcome.reason:
            bucket.level -= 1
            counts['excess'] += bucket.level < -ROUNDING
        if outcome.arrival.at < WARM_UP_S:
            continue
        counts[outcome.reason or 'admitted'] += 1
        if outcome.reason and bucket.level >= 1:
            wrongful_by_team[outcome.arrival.team] += 1
    outcomes = [item for item in outcomes if item.arrival.at >= WARM_UP_S]
    return {
        **_describe_refusals(outcomes, wrongful_by_team),
        'excess': counts.pop('excess'),
        'outcomes': dict(counts),
        **_describe_delays(outcomes),
    }


def _describe_refusals(
    outcomes: list[CallDecision],
    wrongful_by_team: Counter[str],
) -> Report:
    offered = Counter(outcome.arrival.team for outcome in outcomes)
    worst = max(
        offered, key=lambda team: wrongful_by_team[team] / offered[team]
    )
    return {
        'offered': len(outcomes),
        'wrongful_percent': _percent(
            wrongful_by_team.total(),
            offered.total(),
        ),
        'worst_team': worst,
        'worst_team_percent': _percent(
            wrongful_by_team[worst],
            offered[worst],
        ),
    }


def _percent(part: int, whole: int) -> float:
    return round(100 * part / whole, 3)


def _describe_delays(outcomes: list[CallDecision]) -> Report:
    delays_ms = sorted(
        1000 * (outcome.at - outcome.arrival.at)
        for outcome in outcomes
        if not outcome.reason
    )
    return {
        'added_ms_mean': round(statistics.fmean(delays_ms), 3),
        'added_ms_p99': round(delays_ms[len(delays_ms) * 99 // 100], 3),
    }


def _count_messages(run: GrantSimulation, nodes: int) -> Report:
    codec = create_codec(*GRANT_MESSAGES, *LEASE_MESSAGES)
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    sent_by: Counter[str] = Counter()
    for sender, effect in run.fleet.sent or ():
        kind = type(effect.message).__name__
        counts[kind] += 1
        sent_bytes = len(codec.encode(effect.message))
        sizes[kind] += sent_bytes
        sent_by[sender] += sent_bytes
    seconds = DURATION_S - WARM_UP_S
    return {
        'messages_per_node_s': round(counts.total() / nodes / seconds, 1),
        'bytes_per_node_s': round(sizes.total() / nodes / seconds),
        'busiest_node_bytes_s': round(max(sent_by.values()) / seconds),
        'bytes_per_node_s_by_kind': _divide(sizes, nodes * seconds),
        'messages_per_node_s_by_kind': _divide(counts, nodes * seconds),
    }


def _divide(counts: Counter[str], divisor: int) -> dict[str, float]:
    return {kind: round(counts[kind] / divisor, 1) for kind in counts}


COLUMNS = (
    'trouble',
    'way',
    'offered',
    'wrongful_percent',
    'worst_team_percent',
    'excess',
    'added_ms_mean',
    'added_ms_p99',
    'messages_per_node_s',
    'bytes_per_node_s',
)


def main() -> int:
    """Measure all troubles and write JSON, then a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    reports = [
        report
        for trouble in (CALM, VM_LOST, ZONE_CUT)
        for report in measure(trouble, seed)
    ]
    sys.stdout.write(json.dumps(reports, indent=1))
    sys.stdout.write('\n\n')
    sys.stdout.write(' | '.join(COLUMNS))
    for row in reports:
        cells = [str(row.get(column, '')) for column in COLUMNS]
        sys.stdout.write('\n{0}'.format(' | '.join(cells)))
    sys.stdout.write('\n')
    return 1 if any(report['excess'] for report in reports[::4]) else 0


if __name__ == '__main__':
    sys.exit(main())
