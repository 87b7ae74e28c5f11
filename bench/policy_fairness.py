"""Scenario: a team sends 10 times its rate and no token budget limits it."""

from collections.abc import Mapping

from bench.policy_clients import RootRequest, share_served
from bench.policy_figures import Figure
from bench.policy_sites import (
    CHAINS,
    TEAM_SHARES,
    Variant,
    capacity_per_s,
    create_clients,
    create_flows,
    create_site,
)

EXCESSIVE_TEAM = 't6'
EXCESS_FACTOR = 10
LOAD = 0.85
MEASURED_FROM_S = 5
END_S = 15
MIN_TEAM_SHARE = 0.97
MAX_WRONGFUL_SHARE = 0.005


def run_mix(
    site: str,
    chain: tuple[str, ...],
    factors: Mapping[str, float],
    variant: Variant,
    seed: int,
) -> list[RootRequest]:
    """Run all teams; ``factors`` multiply the rates of some."""
    simulation = create_site(site, seed)
    clients = create_clients(variant, simulation)
    rate_per_s = capacity_per_s(simulation, chain) * LOAD
    for flow in create_flows(chain, rate_per_s, factors):
        clients.send_flow(flow, 0, END_S)
    simulation.clock.run_until(END_S + 2)
    return clients.requests


def served_by_team(requests: list[RootRequest]) -> dict[str, float]:
    """Share of requests served, for each team except the excessive one."""
    return {
        team: share_served(
            [request for request in requests if request.flow.team == team],
            MEASURED_FROM_S,
            END_S,
            _any_request,
        )
        for team in TEAM_SHARES
        if team != EXCESSIVE_TEAM
    }


def _any_request(request: RootRequest) -> bool:
    return True


def _is_within_rate(request: RootRequest) -> bool:
    return request.flow.team != EXCESSIVE_TEAM


def measure_fairness(variant: Variant, seed: int) -> list[Figure]:
    """Measure fairness on the first chain of each site."""
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
    """Compare the other teams with a run of the same seed without the excess."""
    has_bounds = variant is Variant.LAYER
    served_normally = served_by_team(run_mix(site, chain, {}, variant, seed))
    factors = {EXCESSIVE_TEAM: EXCESS_FACTOR}
    requests = run_mix(site, chain, factors, variant, seed)
    served_in_excess = served_by_team(requests)
    worst = min(
        served_in_excess[team] / max(0.01, served_normally[team])
        for team in served_normally
    )
    served = share_served(requests, MEASURED_FROM_S, END_S, _is_within_rate)
    scenario = f'{site} one team 10x'
    return [
        Figure(
            scenario,
            variant.value,
            'worst other team / its calm goodput',
            worst,
            at_least=MIN_TEAM_SHARE if has_bounds else None,
        ),
        Figure(
            scenario,
            variant.value,
            'wrongful refusals, share',
            1 - served,
            at_most=MAX_WRONGFUL_SHARE if has_bounds else None,
        ),
    ]
