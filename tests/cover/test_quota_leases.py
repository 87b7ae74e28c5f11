"""Tokens of teams on several nodes: none is spent twice, and few are lost.

Each node owns a part of the rate and burst of a team. It lends this part to the
leader of its zone, which thereby holds it.
"""

import random

import pytest

from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.token_pool import (
    MAX_CLOCK_DRIFT,
    PART_LEASE_S,
    TOKEN_LIFETIME_S,
)
from ebonycleat.internal.process.token_store import TokenRequest
from ebonycleat.internal.version.mesh_configuration import MeshTeam

TEAM = MeshTeam('shop', ('key',), 60, 60)
STEP_S = 0.05
EXCHANGE_STEPS = 4


def create_quota(node_count, now=0):
    quota = NodeQuotas()
    quota.set_teams((TEAM,), now)
    quota.change_node_count(node_count, now)
    return quota


class Zone:
    """Nodes that exchange tokens with the leaders they can reach."""

    def __init__(self, count):
        self.quotas = [create_quota(count) for _ in range(count)]
        self.leaders = [0 for _ in range(count)]
        self.spent = []

    def exchange(self, now):
        for node, quota in enumerate(self.quotas):
            pool = self.quotas[self.leaders[node]].pool
            for team, level in quota.lend_all(now).items():
                pool.hold_part(team, str(node), level, now)

    def request_token(self, node, now):
        quota = self.quotas[node]
        quota.record_demand(TEAM.name)
        if not quota.spend_token(TEAM.name, now):
            pool = self.quotas[self.leaders[node]].pool
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


def simulate(zone, seconds, requests_per_step, change_leaders=None):
    rng = random.Random(7)
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        if change_leaders:
            change_leaders(zone, now)
        if step % EXCHANGE_STEPS == 0:
            zone.exchange(now)
        for _ in range(requests_per_step):
            zone.request_token(rng.randrange(len(zone.quotas)), now)


def split_leaders_periodically(zone, now):
    """Let half of the nodes follow another leader for 2 s of every 4 s."""
    count = len(zone.quotas)
    half = count // 2
    is_split = int(now) % 4 >= 2
    zone.leaders = [
        half if is_split and node >= half else 0 for node in range(count)
    ]


def test_one_busy_node_gets_the_rate_of_all_nodes():
    """Guards against tokens left unused at nodes without callers."""
    zone = Zone(13)
    for step in range(200):
        now = step * STEP_S
        if step % EXCHANGE_STEPS == 0:
            zone.exchange(now)
        for _ in range(2):
            zone.request_token(5, now)
    # The demand of 40 tokens/s is below the rate of 60; few are refused.
    assert len(zone.spent) >= 400 * 0.97


def test_a_team_that_far_exceeds_its_rate_gets_only_rate_and_burst():
    """Guards against tokens that are spent twice."""
    zone = Zone(13)
    simulate(zone, 20, 30)
    allowed = TEAM.rate_per_s * (5 + TOKEN_LIFETIME_S) + TEAM.burst
    assert zone.max_in_window(5) <= allowed
    assert len(zone.spent) >= 20 * TEAM.rate_per_s * 0.9


def test_a_change_of_leaders_creates_no_additional_tokens():
    """Guards against an old and a new leader that both use the same part."""

    zone = Zone(12)
    simulate(zone, 20, 30, split_leaders_periodically)
    allowed = TEAM.rate_per_s * (5 + TOKEN_LIFETIME_S) + TEAM.burst
    assert zone.max_in_window(5) <= allowed


def test_an_owner_uses_its_own_part_only_after_the_lease_has_ended():
    """Guards against a part that is used by its owner and its holder."""
    quota = create_quota(1)
    quota.lend_all(10)
    lease_end = 10 + PART_LEASE_S * (1 + MAX_CLOCK_DRIFT)
    assert not quota.spend_token(TEAM.name, lease_end - 0.001)
    assert quota.spend_token(TEAM.name, lease_end + 1)


def test_a_restarted_node_starts_without_tokens():
    """Guards against a burst that is spent once more after each restart."""
    assert not create_quota(1, now=5).spend_token(TEAM.name, 5)


def test_drawn_tokens_expire():
    """Guards against a burst that grows by the tokens stored at nodes."""
    quota = create_quota(2)
    quota.lend_all(0)
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
