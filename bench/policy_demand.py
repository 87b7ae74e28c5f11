"""Demand of 2 and 4 times the capacity at both sites."""

from bench.policy_clients import RootRequest, goodput_per_s, share_served
from bench.policy_figures import Figure
from bench.policy_sites import (
    CHAINS,
    Variant,
    capacity_per_s,
    create_clients,
    create_site,
    create_flows,
)

from ebonycleat.internal.request.call import Priority

CALM_FACTOR = 0.6
SURGE_S = 6
WARM_S = 7
END_S = 12
GOODPUT_SHARE = 0.95
IMPORTANT_SHARE = 0.99


def run_demand(
    site: str,
    chain: tuple[str, ...],
    factor: float,
    variant: Variant,
    seed: int,
) -> list[RootRequest]:
    """Surge from a calm load to a multiple of the capacity."""
    simulation = create_site(site, seed)
    clients = create_clients(variant, simulation)
    rate_per_s = capacity_per_s(simulation, chain) * factor
    calm_per_s = capacity_per_s(simulation, chain) * CALM_FACTOR
    for calm in create_flows(chain, calm_per_s, {}):
        clients.send_flow(calm, 0, SURGE_S)
    for surge in create_flows(chain, rate_per_s, {}):
        clients.send_flow(surge, SURGE_S, END_S)
    simulation.clock.run_until(END_S + 2)
    return clients.requests


def _is_important(request: RootRequest) -> bool:
    return request.flow.priority is Priority.CRITICAL


def measure_demand(variant: Variant, seed: int) -> list[Figure]:
    """Measure all chains of both sites."""
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
    """Compare goodput with the capacity that slots and work allow.

    The computed capacity is stricter than a measured one.
    """
    is_layer = variant is Variant.LAYER
    reference = capacity_per_s(create_site(site, seed), chain)
    figures = []
    for factor in (2, 4):
        requests = run_demand(site, chain, factor, variant, seed)
        goodput = goodput_per_s(requests, WARM_S, END_S)
        important = share_served(requests, WARM_S, END_S, _is_important)
        title = f'{site} {chain[0]} {factor}x'
        figures += [
            Figure(
                title,
                variant.value,
                'goodput / capacity',
                goodput / reference,
                at_least=GOODPUT_SHARE if is_layer else None,
            ),
            Figure(
                title,
                variant.value,
                'important requests served',
                important,
                at_least=IMPORTANT_SHARE if is_layer else None,
            ),
        ]
    return figures
