"""Runs random schedules of faults on a fleet and checks its guarantees.

Run ``python -m bench.schedules --count 50000 --seed 1``. Each schedule has its
own seed, which is printed if the schedule violates a guarantee.
"""

import argparse
import dataclasses
import functools
import random
import sys
import types
from collections.abc import Mapping

from bench.fault_helpers import BeginFault
from bench.fleet import Fleet
from bench.fleet_node import FleetNode
from bench.fleet_shape import FleetShape, ZoneShares
from bench.history import History, Violation, find_violations
from bench.schedule_faults import FLEET_FAULTS
from bench.slot_attacks import ATTACKS, SLOT_FAULTS, Attack
from ebonycleat.internal.process.team_tokens import Token
from ebonycleat.internal.request.refusal import Refusal

TEAMS = ('ferry', 'tram')
ZONES = ('a', 'b')
DURATION_S = 9.0
MAX_FAULTS = 8
MAX_SELECTOR = 60
# Shorter and longer than the lease duration of 1.5 s, some of them close to it.
DURATIONS_S = (0.1, 0.5, 1.2, 1.7, 2.5, 4)
# Clock rates differ from 1 by at most this much in both directions, so that any
# two clocks differ by at most the 1% that the design assumes.
CLOCK_SPREAD = 0.00495
CALLS_PER_S = 16
LINK_DELAY_S = 0.003
RETURN_PROBABILITY = 0.05
# Steps of an attack are sometimes omitted, which produces other attacks.
KEPT_STEP_PROBABILITY = 0.9

FAULTS: Mapping[str, BeginFault] = types.MappingProxyType({
    **FLEET_FAULTS,
    **SLOT_FAULTS,
})


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that begins at a time and lasts for a duration.

    ``selector`` is a number that selects a node, a zone or a slot, depending
    on the kind.
    """

    kind: str
    at: float
    duration_s: float
    selector: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The plan of a schedule; equal plans give equal histories."""

    seed: int
    nodes_per_zone: int
    faults: tuple[Fault, ...]


def create_random_plan(seed: int) -> Plan:
    """Draw a plan of independent faults and, in most cases, an attack."""
    rng = random.Random(seed)
    faults = [
        Fault(
            rng.choice(sorted(FAULTS)),
            rng.uniform(0, DURATION_S - 1),
            rng.choice(DURATIONS_S),
            rng.randrange(MAX_SELECTOR),
        )
        for _ in range(rng.choice((0, 0, 2, 5, MAX_FAULTS)))
    ]
    faults += draw_attack(rng, rng.choice(ATTACKS))
    return Plan(seed, rng.choice((2, 3, 4)), tuple(faults))


def draw_attack(rng: random.Random, attack: Attack) -> list[Fault]:
    """Draw the faults of an attack on one slot, with varied times."""
    begin = rng.uniform(0.8, 2)
    selector = rng.randrange(MAX_SELECTOR)
    return [
        Fault(
            kind,
            begin + delay_s + rng.uniform(0, 0.4),
            duration_s * rng.uniform(0.8, 1.25),
            selector,
        )
        for kind, delay_s, duration_s in attack
        if rng.random() < KEPT_STEP_PROBABILITY
    ]


def run_plan(plan: Plan) -> History:
    """Run one schedule and return its history."""
    rng = random.Random(plan.seed)
    names = [
        f'{zone}{number}'
        for zone in ZONES
        for number in range(plan.nodes_per_zone)
    ]
    shape = FleetShape(
        {name: name[0] for name in names},
        slots_per_scope=1,
        tick_s=0.15,
        clock_spread=CLOCK_SPREAD,
    )
    fleet = Fleet(
        shape,
        _draw_shares(rng),
        rng,
        lambda *link: rng.uniform(0, LINK_DELAY_S),
    )
    fleet.start()
    for fault in plan.faults:
        fleet.clock.call_at(fault.at, _begin_fault, fleet, fault)
    _make_calls(fleet)
    fleet.clock.run_until(DURATION_S)
    return fleet.history


def run_schedules(count: int, first_seed: int) -> list[tuple[int, Violation]]:
    """Run schedules with consecutive seeds; return their first violations."""
    violations = []
    for seed in range(first_seed, first_seed + count):
        history = run_plan(create_random_plan(seed))
        violations += [
            (seed, violation) for violation in find_violations(history)[:1]
        ]
    return violations


def main() -> int:
    """Run schedules; return 1 if any of them violates a guarantee."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=50_000)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    sys.stdout.write(f'schedules {options.count}, first seed {options.seed}\n')
    violations = run_schedules(options.count, options.seed)
    for seed, violation in violations:
        sys.stdout.write(f'seed {seed}: {violation}\n')
    sys.stdout.write(f'violated guarantees: {len(violations)}\n')
    return 1 if violations else 0


def _begin_fault(fleet: Fleet, fault: Fault) -> None:
    end = FAULTS[fault.kind](fleet, fault.selector, fault.duration_s)
    fleet.clock.call_later(fault.duration_s, end)


def _draw_shares(rng: random.Random) -> ZoneShares:
    # The shares are so small that calls are likely to exceed them.
    return {
        zone: {
            team: (rng.choice((2, 8, 20)), rng.choice((1, 3, 8)))
            for team in TEAMS
        }
        for zone in ZONES
    }


def _make_calls(fleet: Fleet) -> None:
    rng = fleet.rng
    node = rng.choice(list(fleet.nodes.values()))
    team = rng.choice(TEAMS)
    for _ in range(rng.choice((1, 1, 1, 6))):
        node.run(node.incarnation, _make_call, fleet, node, team)
    delay_s = rng.expovariate(CALLS_PER_S)
    fleet.clock.call_later(delay_s, _make_calls, fleet)


def _make_call(fleet: Fleet, node: FleetNode, team: str) -> None:
    # Some calls wait in the router after they have received a token.
    delay_s = fleet.rng.choice((0, 0, 0.01, 0.3))
    node.admit(
        team,
        functools.partial(node.later, delay_s, _send_call, fleet, node),
        _ignore_refusal,
    )


def _send_call(fleet: Fleet, node: FleetNode, token: Token) -> None:
    if fleet.rng.random() < RETURN_PROBABILITY:
        node.holder.return_token(token, node.now())
        node.perform_holder_events()
    else:
        fleet.spend_token(node, token)


def _ignore_refusal(refusal: Refusal) -> None:
    """Ignore a refusal; schedules check only that no guarantee is violated."""


if __name__ == '__main__':
    sys.exit(main())
