"""One team asks for 10 times its rate while its budget does not stop it."""

from collections.abc import Mapping

from bench.policy_clients import RootRequest, share_served
from bench.policy_figures import Figure
from bench.policy_sites import (
    CHAINS,
    TEAM_SHARES,
    Variant,
    capacity_per_s,
    create_clients,
    create_site,
    create_flows,
)

GREEDY_TEAM = 't6'
GREEDY_FACTOR = 10
LOAD = 0.85
WARM_S = 5
END_S = 15
WORST_TEAM_SHARE = 0.97
WRONGFUL_SHARE = 0.005


def run_mix(
    site: str,
    chain: tuple[str, ...],
    factors: Mapping[str, float],
    variant: Variant,
    seed: int,
) -> list[RootRequest]:
    """Run all teams, some multiplied."""
    simulation = create_site(site, seed)
    clients = create_clients(variant, simulation)
    rate_per_s = capacity_per_s(simulation, chain) * LOAD
    for flow in create_flows(chain, rate_per_s, factors):
        clients.send_flow(flow, 0, END_S)
    simulation.clock.run_until(END_S + 2)
    return clients.requests


def served_by_team(requests: list[RootRequest]) -> dict[str, float]:
    """Share served of each team but the greedy one."""
    return {
        team: share_served(
            [request for request in requests if request.flow.team == team],
            WARM_S,
            END_S,
            _any_request,
        )
        for team in TEAM_SHARES
        if team != GREEDY_TEAM
    }


def _any_request(request: RootRequest) -> bool:
    return True


def _is_inside_rate(request: RootRequest) -> bool:
    return request.flow.team != GREEDY_TEAM


def measure_fairness(variant: Variant, seed: int) -> list[Figure]:
    """Measure the first chain of each site."""
    figures = []
    for site, chains in CHAINS.items():
        figures.extend(measure_chain(site, chains[0], variant, seed))
    return figures


def measure_chain(
    site: str,
    chain: tuple[str, ...],
    variant: Variant,
    seed: int,
) -> list[Figure]:
    """Compare the other teams with a calm run of the same seed."""
    is_layer = variant is Variant.LAYER
    calm = served_by_team(run_mix(site, chain, {}, variant, seed))
    factors = {GREEDY_TEAM: GREEDY_FACTOR}
    requests = run_mix(site, chain, factors, variant, seed)
    greedy = served_by_team(requests)
    worst = min(greedy[team] / max(0.01, calm[team]) for team in calm)
    served = share_served(requests, WARM_S, END_S, _is_inside_rate)
    title = f'{site} one team 10x'
    return [
        Figure(
            title,
            variant.value,
            'worst other team / its calm goodput',
            worst,
            at_least=WORST_TEAM_SHARE if is_layer else None,
        ),
        Figure(
            title,
            variant.value,
            'wrongful refusals, share',
            1 - served,
            at_most=WRONGFUL_SHARE if is_layer else None,
        ),
    ]
