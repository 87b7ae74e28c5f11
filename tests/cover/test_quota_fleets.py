"""Refusals inside the rate of a team, in fleets of different sizes.

Each simulation plays Poisson arrivals of one team at the nodes of a fleet. All
nodes lend to one holder, and messages take no time.
"""

import random

import pytest

from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.team_groups import group_of_team
from ebonycleat.internal.process.token_exchange import EXCHANGE_INTERVAL_S
from ebonycleat.internal.process.token_pool import PART_LEASE_S
from ebonycleat.internal.version.mesh_configuration import MeshTeam

TEAM_NAME = 'shop'
GROUP = group_of_team(TEAM_NAME)
HEADROOM = 1.6
"""Rate of a team as a multiple of its mean demand."""

STEP_S = 0.025
SECONDS = 60
MAX_REFUSED_SHARE = 0.005


class Fleet:
    """Nodes that lend their parts to the first of them."""

    def __init__(self, node_count, rate_per_s, burst):
        team = MeshTeam(TEAM_NAME, (), rate_per_s, burst)
        self.quotas = [NodeQuotas() for _ in range(node_count)]
        self.pool = self.quotas[0].pool
        for quota in self.quotas:
            quota.set_teams((team,), 0)
            quota.change_node_count(node_count, 0)
        self.spent = []
        self.refused = 0

    def exchange(self, number, now):
        quota = self.quotas[number]
        quota.update_demands(now)
        levels = quota.lend(GROUP, 'holder', now)
        self.pool.hold(GROUP, str(number), levels, now + PART_LEASE_S, now)
        for request in quota.create_prefetch_requests(now):
            quota.add_tokens(request.team, self.pool.draw(request, now), now)

    def handle_request(self, number, now):
        quota = self.quotas[number]
        quota.record_demand(TEAM_NAME)
        if not quota.spend_token(TEAM_NAME, now):
            request = quota.create_request(TEAM_NAME, 1, now)
            quota.add_tokens(TEAM_NAME, self.pool.draw(request, now), now)
            if not quota.spend_token(TEAM_NAME, now):
                self.refused += 1
                return
        self.spent.append(now)


def play(node_count, demand_per_s, rate_per_s, skew):
    """Play a fleet; ``skew`` is how many times the busiest node exceeds others.

    The first ten seconds fill the pools and are not counted.
    """
    rng = random.Random(node_count * 1000 + int(rate_per_s))
    fleet = Fleet(node_count, rate_per_s, max(1, rate_per_s))
    weights = [1 for _ in range(node_count)]
    weights[0] = skew
    exchange_steps = round(EXCHANGE_INTERVAL_S / STEP_S)
    next_arrival = 10.0
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        for number in range(step % exchange_steps, node_count, exchange_steps):
            fleet.exchange(number, now)
        while next_arrival <= now:
            node = rng.choices(range(node_count), weights)[0]
            fleet.handle_request(node, now)
            next_arrival += rng.expovariate(demand_per_s)
    return fleet


@pytest.mark.parametrize('skew', [1, 10])
@pytest.mark.parametrize(
    ('node_count', 'demand_per_s'),
    [(16, 8), (16, 35), (89, 14), (195, 8), (195, 60)],
)
def test_a_team_inside_its_rate_is_hardly_ever_refused(
    node_count, demand_per_s, skew
):
    """Guards against tokens that expire at nodes which drew them ahead."""
    fleet = play(node_count, demand_per_s, demand_per_s * HEADROOM, skew)
    total = len(fleet.spent) + fleet.refused
    assert fleet.refused <= total * MAX_REFUSED_SHARE


@pytest.mark.parametrize('node_count', [16, 195])
def test_a_team_far_above_its_rate_gets_no_more_than_rate_and_burst(node_count):
    """Guards against tokens that are returned and spent as well."""
    rate_per_s = 20
    fleet = play(node_count, rate_per_s * 5, rate_per_s, 1)
    for start in range(10, SECONDS - 5):
        count = sum(start <= at < start + 5 for at in fleet.spent)
        assert count <= rate_per_s * 5 + rate_per_s
    assert len(fleet.spent) >= rate_per_s * (SECONDS - 10) * 0.95
