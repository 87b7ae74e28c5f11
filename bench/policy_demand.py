"""Scenario: demand of 2 and 4 times the capacity, at both sites."""

from bench.policy_clients import RootRequest, goodput_per_s, share_served
from bench.policy_figures import Figure
from bench.policy_sites import (
    CHAINS,
    Variant,
    capacity_per_s,
    create_clients,
    create_flows,
    create_site,
)
from ebonycleat.internal.request.call import Priority

BASE_LOAD_FACTOR = 0.6
SURGE_S = 6
MEASURED_FROM_S = 7
END_S = 12
MIN_GOODPUT_SHARE = 0.95
MIN_CRITICAL_SHARE = 0.99


def run_demand(
    site: str,
    chain: tuple[str, ...],
    factor: float,
    variant: Variant,
    seed: int,
) -> list[RootRequest]:
    """Raise the load from below the capacity to a multiple of it."""
    simulation = create_site(site, seed)
    clients = create_clients(variant, simulation)
    rate_per_s = capacity_per_s(simulation, chain) * factor
    base_rate_per_s = capacity_per_s(simulation, chain) * BASE_LOAD_FACTOR
    for base_flow in create_flows(chain, base_rate_per_s, {}):
        clients.send_flow(base_flow, 0, SURGE_S)
    for surge_flow in create_flows(chain, rate_per_s, {}):
        clients.send_flow(surge_flow, SURGE_S, END_S)
    simulation.clock.run_until(END_S + 2)
    return clients.requests


def _is_critical(request: RootRequest) -> bool:
    return request.flow.priority is Priority.CRITICAL


def measure_demand(variant: Variant, seed: int) -> list[Figure]:
    """Measure goodput under overload for all chains of both sites."""
    figures = []
    for site, chains in CHAINS.items():
        for chain in chains:
            figures.extend(measure_chain(site, chain, variant, seed))
    return figures


def measure_chain(
    site: str,
    chain: tuple[str, ...],
    variant: Variant,
    seed: int,
) -> list[Figure]:
    """Compare goodput with the capacity computed from slots and service times.

    The computed capacity is a stricter reference than a measured one.
    """
    has_bounds = variant is Variant.LAYER
    chain_capacity_per_s = capacity_per_s(create_site(site, seed), chain)
    figures = []
    for factor in (2, 4):
        requests = run_demand(site, chain, factor, variant, seed)
        goodput_rate = goodput_per_s(requests, MEASURED_FROM_S, END_S)
        critical_share = share_served(
            requests, MEASURED_FROM_S, END_S, _is_critical
        )
        scenario = f'{site} {chain[0]} {factor}x'
        figures += [
            Figure(
                scenario,
                variant.value,
                'goodput / capacity',
                goodput_rate / chain_capacity_per_s,
                at_least=MIN_GOODPUT_SHARE if has_bounds else None,
            ),
            Figure(
                scenario,
                variant.value,
                'important requests served',
                critical_share,
                at_least=MIN_CRITICAL_SHARE if has_bounds else None,
            ),
        ]
    return figures
