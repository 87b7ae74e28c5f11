"""Random schedules of leases over many nodes, on one paused clock.

Leaders change at random for some of the nodes, and messages to them are late
by up to the time after which a silent link is closed. The checker only counts
what was spent; seeded faults show that it would see a part used twice.
"""

import bisect
import heapq
import itertools
import random

import pytest

from ebonycleat.internal.process.node_quotas import QuotaPart, NodeQuotas
from ebonycleat.internal.process.token_store import TokenRequest
from ebonycleat.internal.version.mesh_configuration import MeshTeam

TEAM = MeshTeam('shop', ('key',), 60, 60)
NODES = 12
SECONDS = 20
STEP_S = 0.05
EXCHANGE_STEPS = 4
REQUESTS_PER_STEP = 30
CHANGE_SHARE = 0.05
DELAYS_S = (0.001, 0.05, 0.3, 1.1)
NEAR_S = 0.02

WINDOW_S = 5
# The platform's rule: a tenth and 20 requests over rate and burst.
ALLOWED = (TEAM.rate_per_s * WINDOW_S + TEAM.burst) * 1.1 + 20


class Schedule:
    """Nodes that lend to leaders which they cannot always agree on."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.quotas = [NodeQuotas() for _ in range(NODES)]
        for quota in self.quotas:
            quota.set_teams((TEAM,), 0)
            quota.change_node_count(NODES, 0)
        self.leaders = [0 for _ in range(NODES)]
        self.delays = [DELAYS_S[0] for _ in range(NODES)]
        self.messages = []
        self.numbers = itertools.count()
        self.spent = []

    def play(self):
        for step in range(int(SECONDS / STEP_S)):
            now = step * STEP_S
            self.disturb()
            self.deliver(now)
            if step % EXCHANGE_STEPS == 0:
                self.lend(now)
            for _ in range(REQUESTS_PER_STEP):
                self.ask(self.rng.randrange(NODES), now)
        return self

    def some_nodes(self):
        return self.rng.sample(range(NODES), self.rng.randrange(1, NODES + 1))

    def disturb(self):
        if self.rng.random() < CHANGE_SHARE:
            leader = self.rng.randrange(NODES)
            for node in self.some_nodes():
                self.leaders[node] = leader
        if self.rng.random() < CHANGE_SHARE:
            delay_s = self.rng.choice(DELAYS_S)
            for node in self.some_nodes():
                self.delays[node] = delay_s

    def lend(self, now):
        for node, quota in enumerate(self.quotas):
            leader = self.leaders[node]
            delay_s = 0 if leader == node else self.delays[node]
            heapq.heappush(
                self.messages,
                (
                    now + delay_s,
                    next(self.numbers),
                    leader,
                    node,
                    quota.lend_all(now),
                ),
            )

    def deliver(self, now):
        while self.messages and self.messages[0][0] <= now:
            at, _, leader, node, lent = heapq.heappop(self.messages)
            for team, level in lent.items():
                self.quotas[leader].pool.hold_part(team, str(node), level, at)

    def ask(self, node, now):
        quota = self.quotas[node]
        quota.record_demand(TEAM.name)
        if not quota.spend_token(TEAM.name, now):
            leader = self.leaders[node]
            if leader == node or self.delays[node] < NEAR_S:
                want = TokenRequest(TEAM.name, 1, 0)
                given = self.quotas[leader].pool.draw(want, now)
                quota.add_tokens(TEAM.name, given, now)
            if not quota.spend_token(TEAM.name, now):
                return
        self.spent.append(now)

    def most_in_window(self):
        return max(
            bisect.bisect_left(self.spent, start + WINDOW_S)
            - bisect.bisect_left(self.spent, start)
            for start in set(self.spent)
        )


@pytest.mark.parametrize('seed', range(20))
def test_no_schedule_spends_more_than_the_rate_allows(seed):
    """Guards against parts that two leaders use at the same time."""
    assert Schedule(seed).play().most_in_window() <= ALLOWED


def lend_and_keep(part, now):
    """A part whose owner keeps the level that it lends."""
    part.refill(now)
    part.lent_until = now
    return part.level


def lend_anew_each_time(part, now):
    """A part that fills for its owner while another node has it."""
    elapsed_s = now - part.refilled_at
    part.refilled_at = now
    part.lent_until = now
    return min(part.burst, elapsed_s * part.rate_per_s * 2)


@pytest.mark.parametrize('mutant', [lend_and_keep, lend_anew_each_time])
def test_the_checker_sees_a_part_that_is_used_twice(mutant, monkeypatch):
    """Guards against a checker that passes whatever is spent."""
    monkeypatch.setattr(QuotaPart, 'lend', mutant)
    worst = max(Schedule(seed).play().most_in_window() for seed in range(3))
    assert worst > ALLOWED
