"""Scenarios: a zone is cut off from the others, or all its VMs crash."""

from functools import partial

from bench.policy_clients import (
    Clients,
    RootRequest,
    goodput_per_s,
    share_served,
)
from bench.policy_figures import Figure
from bench.policy_simulation import ZONES, Simulation
from bench.policy_sites import (
    CHAINS,
    Variant,
    capacity_per_s,
    create_clients,
    create_flows,
    create_site,
)

SITE = 'lankadeep'
FAULT_S = 5
MEASURED_FROM_S = 8
END_S = 16
FAULTY_ZONE = 'c'
CUT_LOAD = 0.6
LOST_LOAD = 0.9
MIN_SERVED_SHARE = 0.95


def run_zone_fault(
    load: float,
    is_lost: bool,
    variant: Variant,
    seed: int,
) -> Clients:
    """Run the map chain with a zone fault that lasts to the end."""
    simulation = create_site(SITE, seed)
    clients = create_clients(variant, simulation)
    chain = CHAINS[SITE][0]
    rate_per_s = capacity_per_s(simulation, chain) * load
    for flow in create_flows(chain, rate_per_s, {}):
        clients.send_flow(flow, 0, END_S)
    start_fault = _lose_zone if is_lost else _cut_zone
    simulation.clock.after(FAULT_S, partial(start_fault, simulation))
    simulation.clock.run_until(END_S + 2)
    return clients


def _cut_zone(simulation: Simulation) -> None:
    simulation.cut_since[FAULTY_ZONE] = simulation.clock.now


def _lose_zone(simulation: Simulation) -> None:
    for placement in simulation.placements.values():
        if placement.zone == FAULTY_ZONE:
            simulation.kill_node(placement.node)


def _is_from(zone: str, request: RootRequest) -> bool:
    return request.zone == zone


def measure_zones(variant: Variant, seed: int) -> list[Figure]:
    """Measure both faults.

    A zone that is cut off has enough targets of its own for its load. When a
    zone is lost, the load exceeds the capacity of the remaining targets.
    """
    has_bounds = variant is Variant.LAYER
    cut = run_zone_fault(CUT_LOAD, False, variant, seed)
    figures = [
        Figure(
            'zone c cut off',
            variant.value,
            f'served of requests of zone {zone}',
            share_served(
                cut.requests,
                MEASURED_FROM_S,
                END_S,
                partial(_is_from, zone),
            ),
            at_least=MIN_SERVED_SHARE if has_bounds else None,
        )
        for zone in ZONES
    ]
    lost = run_zone_fault(LOST_LOAD, True, variant, seed)
    goodput = goodput_per_s(lost.requests, MEASURED_FROM_S, END_S)
    remaining_capacity = capacity_left(lost.system.simulation)
    figures.append(
        Figure(
            'zone c lost',
            variant.value,
            'goodput / capacity left',
            goodput / remaining_capacity,
            at_least=MIN_SERVED_SHARE if has_bounds else None,
        ),
    )
    return figures


def capacity_left(simulation: Simulation) -> float:
    """Capacity of the map chain without the targets of the lost zone."""
    chain = CHAINS[SITE][0]
    placements = simulation.placements_of(chain[0])
    lost = sum(placement.zone == FAULTY_ZONE for placement in placements)
    return capacity_per_s(simulation, chain) * (1 - lost / len(placements))
