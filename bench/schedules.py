"""Adversarial schedules over many nodes, checked against the promises.

Run ``python -m bench.schedules --count 50000 --seed 1``. Each schedule has a
seed of its own, which is printed when a promise was broken.
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
MAX_TARGET = 60
# Around the hold time of 1.5 s and well beyond it.
DURATIONS_S = (0.1, 0.5, 1.2, 1.7, 2.5, 4)
# Half of the clocks are slower and half faster; any two differ by at most
# the 1% that the design assumes.
CLOCK_SPREAD = 0.00495
CALLS_PER_S = 16
LINK_DELAY_S = 0.003
RETURNED_SHARE = 0.05
# Leaving out a step of an attack now and then finds others.
KEPT_STEP_SHARE = 0.9

FAULTS: Mapping[str, BeginFault] = types.MappingProxyType({
    **FLEET_FAULTS,
    **SLOT_FAULTS,
})


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong at a time, for a while.

    ``target`` selects a node, a zone or a slot, as the kind needs.
    """

    kind: str
    at: float
    duration_s: float
    target: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A schedule; equal plans run equally."""

    seed: int
    nodes_per_zone: int
    faults: tuple[Fault, ...]


def create_random_plan(seed: int) -> Plan:
    """Draw a plan of independent faults and, mostly, an attack on a slot."""
    rng = random.Random(seed)
    faults = [
        Fault(
            rng.choice(sorted(FAULTS)),
            rng.uniform(0, DURATION_S - 1),
            rng.choice(DURATIONS_S),
            rng.randrange(MAX_TARGET),
        )
        for _ in range(rng.choice((0, 0, 2, 5, MAX_FAULTS)))
    ]
    faults += draw_attack(rng, rng.choice(ATTACKS))
    return Plan(seed, rng.choice((2, 3, 4)), tuple(faults))


def draw_attack(rng: random.Random, attack: Attack) -> list[Fault]:
    """Draw an attack on one slot, at times close to those it names."""
    begin = rng.uniform(0.8, 2)
    target = rng.randrange(MAX_TARGET)
    return [
        Fault(
            kind,
            begin + delay_s + rng.uniform(0, 0.4),
            duration_s * rng.uniform(0.8, 1.25),
            target,
        )
        for kind, delay_s, duration_s in attack
        if rng.random() < KEPT_STEP_SHARE
    ]


def run_plan(plan: Plan) -> History:
    """Run one schedule and return what happened."""
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
        _draw_parts(rng),
        rng,
        lambda *link: rng.uniform(0, LINK_DELAY_S),
    )
    fleet.start()
    for fault in plan.faults:
        fleet.clock.call_at(fault.at, _begin_fault, fleet, fault)
    _call_again(fleet)
    fleet.clock.run_until(DURATION_S)
    return fleet.history


def run_many(count: int, first_seed: int) -> list[tuple[int, Violation]]:
    """Run schedules with consecutive seeds and return broken promises."""
    broken = []
    for seed in range(first_seed, first_seed + count):
        history = run_plan(create_random_plan(seed))
        broken += [(seed, found) for found in find_violations(history)[:1]]
    return broken


def main() -> int:
    """Run schedules as the command line asks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=50_000)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    sys.stdout.write(f'schedules {options.count}, first seed {options.seed}\n')
    broken = run_many(options.count, options.seed)
    for seed, violation in broken:
        sys.stdout.write(f'seed {seed}: {violation}\n')
    sys.stdout.write(f'broken promises: {len(broken)}\n')
    return 1 if broken else 0


def _begin_fault(fleet: Fleet, fault: Fault) -> None:
    end = FAULTS[fault.kind](fleet, fault.target, fault.duration_s)
    fleet.clock.call_later(fault.duration_s, end)


def _draw_parts(rng: random.Random) -> ZoneShares:
    # Calls are likely to exceed these.
    return {
        zone: {
            team: (rng.choice((2, 8, 20)), rng.choice((1, 3, 8)))
            for team in TEAMS
        }
        for zone in ZONES
    }


def _call_again(fleet: Fleet) -> None:
    rng = fleet.rng
    node = rng.choice(list(fleet.nodes.values()))
    team = rng.choice(TEAMS)
    for _ in range(rng.choice((1, 1, 1, 6))):
        node.run(node.incarnation, _make_call, fleet, node, team)
    delay_s = rng.expovariate(CALLS_PER_S)
    fleet.clock.call_later(delay_s, _call_again, fleet)


def _make_call(fleet: Fleet, node: FleetNode, team: str) -> None:
    # Some calls wait in the router between their token and their sending.
    delay_s = fleet.rng.choice((0, 0, 0.01, 0.3))
    node.admit(
        team,
        functools.partial(node.later, delay_s, _send_call, fleet, node),
        _ignore,
    )


def _send_call(fleet: Fleet, node: FleetNode, token: Token) -> None:
    if fleet.rng.random() < RETURNED_SHARE:
        node.holder.return_token(token, node.now())
        node.perform_holder_events()
    else:
        fleet.spend_token(node, token)


def _ignore(refusal: Refusal) -> None:
    """Drop a refused call; schedules check safety only."""


if __name__ == '__main__':
    sys.exit(main())
