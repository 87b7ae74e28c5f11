"""Sizes and traffic mixes of the two sites and of a deep chain.

Slots and connections are those of design section 2. Service times are
chosen so that a run has few events; only their ratio to timeouts matters.
"""

import enum
import types
from collections.abc import Mapping
from typing import TypeAlias

from bench.policy_baselines import BaselineSystem
from bench.policy_clients import Clients, Flow
from bench.policy_layer import LayerSystem
from bench.policy_simulation import ServiceSize, Simulation, SystemUnderTest
from ebonycleat.internal.request.call import Priority

Chains: TypeAlias = tuple[tuple[str, ...], ...]

TEAM_SHARES: Mapping[str, float] = types.MappingProxyType({
    't1': 0.28,
    't2': 0.22,
    't3': 0.15,
    't4': 0.1,
    't5': 0.08,
    't6': 0.07,
    't7': 0.05,
    't8': 0.05,
})
PRIORITY_SHARES: Mapping[Priority, float] = types.MappingProxyType({
    Priority.CRITICAL: 0.2,
    Priority.HIGH: 0.15,
    Priority.NORMAL: 0.4,
    Priority.LOW: 0.25,
})
LANKADEEP: Mapping[str, ServiceSize] = types.MappingProxyType({
    'map': ServiceSize(4, 35, 300, 0.12),
    'tile': ServiceSize(3, 45, 400, 0.12),
    'billing': ServiceSize(3, 45, 400, 0.1),
    'registry': ServiceSize(3, 10, 150, 0.2),
})
CORDA_VIVA: Mapping[str, ServiceSize] = types.MappingProxyType({
    'readiness': ServiceSize(3, 300, 1900, 0.5),
    'payment': ServiceSize(3, 300, 1900, 0.5),
    'workbench': ServiceSize(3, 35, 300, 0.15),
    'catalogue': ServiceSize(5, 180, 1200, 0.15),
})
LANKADEEP_ZONE_DELAY_S = 0.0005
CORDA_VIVA_ZONE_DELAY_S = 0.001
CHAINS: Mapping[str, Chains] = types.MappingProxyType({
    'lankadeep': (('map', 'tile'), ('billing', 'registry')),
    'corda-viva': (('readiness', 'payment'), ('workbench', 'catalogue')),
})
TIMEOUT_S = 2
RETRY_LIMIT = 2


class Variant(enum.Enum):
    """System under test: the layer or one of the two baselines."""

    LAYER = 'layer'
    NO_LAYER = 'no layer'
    FIXED_FIFO = 'fixed limit, FIFO'


def create_site(name: str, seed: int) -> Simulation:
    """Create the simulation of a site."""
    if name == 'lankadeep':
        return Simulation(LANKADEEP, LANKADEEP_ZONE_DELAY_S, seed)
    return Simulation(CORDA_VIVA, CORDA_VIVA_ZONE_DELAY_S, seed)


def create_deep_site(depth: int, seed: int) -> Simulation:
    """Create a chain of services with 3 targets each.

    The targets of the last service have 10 slots, the others 45.
    """
    sizes = {
        f'hop{number}': ServiceSize(3, 45, 400, 0.012)
        for number in range(1, depth)
    }
    sizes[f'hop{depth}'] = ServiceSize(3, 10, 150, 0.1)
    return Simulation(sizes, LANKADEEP_ZONE_DELAY_S, seed)


def deep_chain(depth: int) -> tuple[str, ...]:
    """Names of the services of a deep chain, in the order of the calls."""
    return tuple(f'hop{number}' for number in range(1, depth + 1))


def create_clients(variant: Variant, simulation: Simulation) -> Clients:
    """Create the system under test and the clients of one run."""
    system: SystemUnderTest
    if variant is Variant.LAYER:
        system = LayerSystem(simulation, RETRY_LIMIT, TEAM_SHARES)
    else:
        has_limit = variant is Variant.FIXED_FIFO
        system = BaselineSystem(simulation, TIMEOUT_S, has_limit)
    return Clients(system)


def capacity_per_s(simulation: Simulation, chain: tuple[str, ...]) -> float:
    """Requests per second at which the bottleneck of a chain is full.

    A target occupies its slot while it waits for the services after it.
    """
    capacities = []
    for number, service in enumerate(chain):
        size = simulation.service_sizes[service]
        slot_time_s = sum(
            simulation.service_sizes[later].service_s
            for later in chain[number:]
        )
        capacities.append(size.targets * size.slots / slot_time_s)
    return min(capacities)


def create_flows(
    chain: tuple[str, ...],
    rate_per_s: float,
    factors: Mapping[str, float],
    attempts: int = 1,
) -> list[Flow]:
    """Split a rate over teams and priorities; factors multiply team rates."""
    return [
        Flow(
            team=team,
            chain=chain,
            priority=priority,
            rate_per_s=rate_per_s * team_share * share * factors.get(team, 1),
            timeout_s=TIMEOUT_S,
            attempts=attempts,
        )
        for team, team_share in TEAM_SHARES.items()
        for priority, share in PRIORITY_SHARES.items()
    ]
