"""Tokens of teams on several nodes: none is spent twice, and few are lost.

Each node owns a part of the rate and burst of a team. It lends this part to
one node that it can reach, which thereby holds it.
"""

import random

import pytest

from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.team_groups import group_of_team
from ebonycleat.internal.process.token_pool import (
    MAX_CLOCK_DRIFT,
    PART_LEASE_S,
    TOKEN_LIFETIME_S,
)
from ebonycleat.internal.process.token_store import TokenRequest
from ebonycleat.internal.version.mesh_configuration import MeshTeam

TEAM = MeshTeam('shop', ('key',), 60, 60)
GROUP = group_of_team(TEAM.name)
STEP_S = 0.05
EXCHANGE_STEPS = 4


def create_quota(node_count, now=0):
    quota = NodeQuotas()
    quota.set_teams((TEAM,), now)
    quota.change_node_count(node_count, now)
    return quota


class Fleet:
    """Nodes that exchange tokens with the holders they can reach."""

    def __init__(self, count):
        self.quotas = [create_quota(count) for _ in range(count)]
        self.holders = [0 for _ in range(count)]
        self.spent = []

    def exchange(self, now):
        for node, quota in enumerate(self.quotas):
            quota.update_demands(now)
            holder = self.holders[node]
            levels = quota.lend(GROUP, str(holder), now)
            if levels is not None:
                self.quotas[holder].pool.hold(
                    GROUP, str(node), levels, now + PART_LEASE_S, now
                )

    def request_token(self, node, now):
        quota = self.quotas[node]
        quota.record_demand(TEAM.name)
        if not quota.spend_token(TEAM.name, now):
            pool = self.quotas[self.holders[node]].pool
            given = pool.draw(TokenRequest(TEAM.name, 1, 0), now)
            quota.add_tokens(TEAM.name, given, now)
            if not quota.spend_token(TEAM.name, now):
                return
        self.spent.append(now)

    def max_in_window(self, window_s):
        return max(
            (
                sum(
                    start <= spent_at < start + window_s
                    for spent_at in self.spent
                )
                for start in self.spent
            ),
            default=0,
        )


def simulate(fleet, seconds, requests_per_step, change_holders=None):
    rng = random.Random(7)
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        if change_holders:
            change_holders(fleet, now)
        if step % EXCHANGE_STEPS == 0:
            fleet.exchange(now)
        for _ in range(requests_per_step):
            fleet.request_token(rng.randrange(len(fleet.quotas)), now)


def split_holders_periodically(fleet, now):
    """Let half of the nodes use another holder for 2 s of every 4 s."""
    count = len(fleet.quotas)
    half = count // 2
    is_split = int(now) % 4 >= 2
    fleet.holders = [
        half if is_split and node >= half else 0 for node in range(count)
    ]


def test_one_busy_node_gets_the_rate_of_all_nodes():
    """Guards against tokens left unused at nodes without callers."""
    fleet = Fleet(13)
    for step in range(200):
        now = step * STEP_S
        if step % EXCHANGE_STEPS == 0:
            fleet.exchange(now)
        for _ in range(2):
            fleet.request_token(5, now)
    # The demand of 40 tokens/s is below the rate of 60; few are refused.
    assert len(fleet.spent) >= 400 * 0.97


def test_a_team_that_far_exceeds_its_rate_gets_only_rate_and_burst():
    """Guards against tokens that are spent twice."""
    fleet = Fleet(13)
    simulate(fleet, 20, 30)
    allowed = TEAM.rate_per_s * (5 + TOKEN_LIFETIME_S) + TEAM.burst
    assert fleet.max_in_window(5) <= allowed
    assert len(fleet.spent) >= 20 * TEAM.rate_per_s * 0.9


def test_a_change_of_holders_creates_no_additional_tokens():
    """Guards against an old and a new holder that both use the same part."""
    fleet = Fleet(12)
    simulate(fleet, 20, 30, split_holders_periodically)
    allowed = TEAM.rate_per_s * (5 + TOKEN_LIFETIME_S) + TEAM.burst
    assert fleet.max_in_window(5) <= allowed


def test_an_owner_uses_its_own_part_only_after_the_lease_has_ended():
    """Guards against a part that is used by its owner and its holder."""
    quota = create_quota(1)
    quota.lend(GROUP, 'holder', 10)
    lease_end = 10 + PART_LEASE_S * (1 + MAX_CLOCK_DRIFT)
    assert not quota.spend_token(TEAM.name, lease_end - 0.001)
    assert quota.spend_token(TEAM.name, lease_end + 1)


def test_a_restarted_node_starts_without_tokens():
    """Guards against a burst that is spent once more after each restart."""
    assert not create_quota(1, now=5).spend_token(TEAM.name, 5)


def test_drawn_tokens_expire():
    """Guards against a burst that grows by the tokens stored at nodes."""
    quota = create_quota(2)
    quota.lend(GROUP, 'holder', 0)
    quota.add_tokens(TEAM.name, 3, 0)
    assert quota.spend_token(TEAM.name, TOKEN_LIFETIME_S / 2)
    assert not quota.spend_token(TEAM.name, TOKEN_LIFETIME_S)


def test_a_lowered_limit_applies_at_once():
    """Guards against spending a balance that was filled under the old limit."""
    quota = create_quota(1)
    for now in range(10):
        quota.own_parts[TEAM.name].refill(now)
    lowered_team = MeshTeam(TEAM.name, TEAM.keys, 1, 1)
    quota.set_teams((lowered_team,), 10)
    spent = sum(quota.spend_token(TEAM.name, 10) for _ in range(60))
    assert spent <= 1


@pytest.mark.parametrize(('wait_s', 'count'), [(1, 4), (9, 2)])
def test_a_lower_node_count_applies_only_after_the_longest_shutdown(
    wait_s, count
):
    """Guards against using the part of a node that is still stopping."""
    quota = create_quota(4)
    quota.change_node_count(2, 0)
    quota.change_node_count(2, wait_s)
    assert quota.node_count == count


SLOW_TEAM = MeshTeam('slow', ('key',), 0.5, 1)
SLOW_GROUP = group_of_team(SLOW_TEAM.name)


def create_slow_pool(node_count, lender_count, now=0):
    """Return a pool with the parts of some of the nodes of a slow team."""
    quota = NodeQuotas()
    quota.set_teams((SLOW_TEAM,), now)
    quota.change_node_count(node_count, now)
    for node in range(lender_count):
        quota.pool.hold(SLOW_GROUP, str(node), {}, now + 1000, now)
    return quota.pool


def draw_one(pool, now):
    return pool.draw(TokenRequest(SLOW_TEAM.name, 1, 0), now)


@pytest.mark.parametrize('node_count', [16, 195, 1000])
def test_a_team_slower_than_one_request_a_second_gets_its_tokens(node_count):
    """Guards against pools that stay below one token for good.

    The fleet has lost a node, whose part is missing in the pool.
    """
    pool = create_slow_pool(node_count, node_count - 1)
    assert not draw_one(pool, 0)
    granted = [draw_one(pool, step / 10) for step in range(1000)]
    assert 44 <= sum(granted) <= 50


def test_two_halves_of_a_fleet_never_grant_more_than_the_burst():
    """Guards against two holders that each round up to a whole token."""
    for lender_count in range(11):
        pools = [
            create_slow_pool(10, lender_count),
            create_slow_pool(10, 10 - lender_count),
        ]
        assert sum(draw_one(pool, 1000) for pool in pools) <= SLOW_TEAM.burst


def test_a_holder_uses_parts_only_until_the_lease_ends():
    """Guards against a holder that was paused and goes on giving tokens."""
    quota = create_quota(1)
    levels = quota.lend(GROUP, 'self', 0)
    quota.pool.hold(GROUP, 'self', levels, PART_LEASE_S, 0)
    request = TokenRequest(TEAM.name, 1, 0)
    assert quota.pool.draw(request, PART_LEASE_S - 0.1)
    assert not quota.pool.draw(request, PART_LEASE_S)


def test_a_lease_that_ended_on_its_way_is_not_held():
    """Guards against a delayed message that lends what is in use again."""
    quota = create_quota(1)
    quota.pool.hold(GROUP, 'late', {TEAM.name: 1}, 5, 6)
    assert not quota.pool.draw(TokenRequest(TEAM.name, 1, 0), 6)


def test_parts_are_not_lent_to_a_second_holder_before_the_lease_ends():
    """Guards against two holders of one part around a hand-over."""
    quota = create_quota(2)
    assert quota.lend(GROUP, 'first', 0) is not None
    assert quota.lend(GROUP, 'second', 0.9) is None
    lease_end = PART_LEASE_S * (1 + MAX_CLOCK_DRIFT)
    assert quota.lend(GROUP, 'second', lease_end) is not None


def test_a_holder_that_has_given_up_is_followed_by_another_at_once():
    """Guards against seconds without tokens at each planned stop."""
    quota = create_quota(2)
    quota.lend(GROUP, 'first', 0)
    quota.take_back_from('first', 0.1)
    assert quota.lend(GROUP, 'second', 0.1) is not None


def test_a_new_team_of_a_lent_group_is_lent_too():
    """Guards against a part that owner and holder both fill."""
    quota = create_quota(1)
    quota.lend(GROUP, 'holder', 0)
    teams = [MeshTeam(f'team-{number}', (), 100, 100) for number in range(50)]
    quota.set_teams(teams, 0.1)
    lent = [one.name for one in teams if group_of_team(one.name) == GROUP]
    assert lent
    assert not any(quota.spend_token(team, 0.9) for team in lent)
