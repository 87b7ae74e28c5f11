"""Compares ways to divide budgets by wrongful refusals and message cost.

Run ``python -m bench.budgets --seed 1``. A refusal is wrongful if the team's
whole budget still had a token at that moment. This is decided by an exact
token bucket over all admissions of the fleet.
"""

import argparse
import json
import random
import statistics
import sys
from collections import Counter
from typing import Any

from bench.budget_divisions import (
    CallDecision,
    CentralOwners,
    Failure,
    FixedZoneShares,
    GrantSimulation,
    divide_per_node,
)
from bench.budget_traffic import Arrival, Site, create_site, draw_arrivals
from bench.history import BudgetChange, FleetBucket
from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.grant_messages import GRANT_MESSAGES
from ebonycleat.internal.connection.lease_messages import LEASE_MESSAGES

WARM_UP_S = 5
DURATION_S = 25
FAILURE_AT_S = 10
# Time after which an owner on a lost VM is replaced: failure detection, the
# promises of the witnesses and the wait of the new owner. The comparison with
# one owner per team uses the same time.
TAKEOVER_S = 4
ROUNDING = 1e-6

NO_FAILURE = Failure('calm', FAILURE_AT_S)
LOST_VM = Failure('one VM lost', FAILURE_AT_S, node='payment-1')
ISOLATED_ZONE = Failure('one zone cut off', FAILURE_AT_S, zone='b')

Report = dict[str, Any]


def measure(failure: Failure, seed: int) -> list[Report]:
    """Run all ways of division with one failure and the same arrivals."""
    site = create_site()
    arrivals = draw_arrivals(site, DURATION_S, random.Random(seed))
    arrivals = _reconnect_callers(site, arrivals, failure)
    run = GrantSimulation(site, failure, seed)
    ideal = FixedZoneShares(site, failure)
    central = CentralOwners(site, _Reachability(site, failure))
    ways = {
        'grants': run.run(arrivals, WARM_UP_S),
        'static per node': divide_per_node(site, arrivals),
        'ask every call': [central.decide(arrival) for arrival in arrivals],
        'ideal zone parts': [ideal.decide(arrival) for arrival in arrivals],
    }
    reports = [
        {
            'trouble': failure.name,
            'way': way,
            'seed': seed,
            **_summarize(site, outcomes),
        }
        for way, outcomes in ways.items()
    ]
    reports[0].update(_count_messages(run, len(site.zone_of)))
    return reports


class _Reachability:
    """Tells whether the owner of a team answers a node of ``CentralOwners``."""

    def __init__(self, site: Site, failure: Failure) -> None:
        self.site = site
        self.failure = failure

    def __call__(self, node: str, owner: str, at: float) -> bool:
        failure = self.failure
        if at < failure.at:
            return True
        if failure.node == owner:
            return at >= failure.at + TAKEOVER_S
        if not failure.zone:
            return True
        is_node_cut = self.site.zone_of[node] == failure.zone
        is_owner_cut = self.site.zone_of[owner] == failure.zone
        return is_node_cut == is_owner_cut


def _reconnect_callers(
    site: Site,
    arrivals: list[Arrival],
    failure: Failure,
) -> list[Arrival]:
    # Callers of a lost VM reconnect to another VM of its zone.
    if not failure.node:
        return arrivals
    zone_of = site.zone_of
    substitute = next(
        name
        for name, zone in zone_of.items()
        if zone == zone_of[failure.node] and name != failure.node
    )
    return [
        Arrival(arrival.at, arrival.team, substitute)
        if arrival.node == failure.node and arrival.at >= failure.at
        else arrival
        for arrival in arrivals
    ]


def _summarize(site: Site, outcomes: list[CallDecision]) -> Report:
    buckets = {
        team: FleetBucket(BudgetChange(0, team, *budget))
        for team, budget in site.budgets.items()
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


def _percent(count: int, total: int) -> float:
    return round(100 * count / total, 3)


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
    bytes_by_sender: Counter[str] = Counter()
    for sender, effect in run.fleet.sent or ():
        kind = type(effect.message).__name__
        counts[kind] += 1
        sent_bytes = len(codec.encode(effect.message))
        sizes[kind] += sent_bytes
        bytes_by_sender[sender] += sent_bytes
    seconds = DURATION_S - WARM_UP_S
    return {
        'messages_per_node_s': round(counts.total() / nodes / seconds, 1),
        'bytes_per_node_s': round(sizes.total() / nodes / seconds),
        'busiest_node_bytes_s': round(max(bytes_by_sender.values()) / seconds),
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
    """Measure all failures; write the reports as JSON and as a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    reports = [
        report
        for failure in (NO_FAILURE, LOST_VM, ISOLATED_ZONE)
        for report in measure(failure, seed)
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
