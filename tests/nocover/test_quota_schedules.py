"""Random schedules of quota leases between many nodes, in simulated time.

Holders change at random for some of the nodes, and messages to them are delayed
by up to the time after which a silent link is closed. The checker only counts
the tokens spent. Mutation tests show that it detects a part that is used twice.
"""

import bisect
import heapq
import itertools
import random

import pytest

from ebonycleat.internal.process.node_quotas import NodeQuotas, QuotaPart
from ebonycleat.internal.process.team_groups import group_of_team
from ebonycleat.internal.process.token_pool import PART_LEASE_S
from ebonycleat.internal.process.token_store import TokenRequest
from ebonycleat.internal.version.mesh_configuration import MeshTeam

TEAM = MeshTeam('shop', ('key',), 60, 60)
GROUP = group_of_team(TEAM.name)
NODES = 12
SECONDS = 20
STEP_S = 0.05
EXCHANGE_STEPS = 4
REQUESTS_PER_STEP = 30
CHANGE_PROBABILITY = 0.05
DELAYS_S = (0.001, 0.05, 0.3, 1.1)
MAX_DRAW_DELAY_S = 0.02

WINDOW_S = 5
# The platform allows 10% and 20 requests more than rate and burst.
MAX_ALLOWED = (TEAM.rate_per_s * WINDOW_S + TEAM.burst) * 1.1 + 20


class Schedule:
    """Nodes that lend their parts to holders; they may disagree on the holder.

    ``replied_at`` has the time of the latest reply of each holder that each
    node has received.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.quotas = [NodeQuotas() for _ in range(NODES)]
        for quota in self.quotas:
            quota.set_teams((TEAM,), 0)
            quota.change_node_count(NODES, 0)
        self.holders = [0 for _ in range(NODES)]
        self.delays = [DELAYS_S[0] for _ in range(NODES)]
        self.replied_at = [{} for _ in range(NODES)]
        self.messages = []
        self.message_numbers = itertools.count()
        self.spent_at = []

    def run(self):
        for step in range(int(SECONDS / STEP_S)):
            now = step * STEP_S
            self.change_holders_and_delays()
            self.deliver(now)
            if step % EXCHANGE_STEPS == 0:
                self.lend_parts(now)
            for _ in range(REQUESTS_PER_STEP):
                self.handle_request(self.rng.randrange(NODES), now)
        return self

    def choose_nodes(self):
        return self.rng.sample(range(NODES), self.rng.randrange(1, NODES + 1))

    def change_holders_and_delays(self):
        if self.rng.random() < CHANGE_PROBABILITY:
            holder = self.rng.randrange(NODES)
            for node in self.choose_nodes():
                self.holders[node] = holder
        if self.rng.random() < CHANGE_PROBABILITY:
            delay_s = self.rng.choice(DELAYS_S)
            for node in self.choose_nodes():
                self.delays[node] = delay_s

    def lend_parts(self, now):
        for node, quota in enumerate(self.quotas):
            quota.update_demands(now)
            holder = self.holders[node]
            levels = None
            replied_at = self.replied_at[node].get(holder)
            if replied_at is not None:
                levels = quota.lend(GROUP, str(holder), now)
            self.push(node, now, (holder, node, levels, replied_at))

    def push(self, node, now, message):
        delay_s = 0 if message[0] == node else self.delays[node]
        number = next(self.message_numbers)
        heapq.heappush(self.messages, (now + delay_s, number, message))

    def deliver(self, now):
        while self.messages and self.messages[0][0] <= now:
            at, _, message = heapq.heappop(self.messages)
            if len(message) == 2:
                node, reply = message
                self.replied_at[node].update(reply)
                continue
            holder, node, levels, replied_at = message
            if levels is not None:
                self.quotas[holder].pool.hold(
                    GROUP, str(node), levels, replied_at + PART_LEASE_S, at
                )
            self.push(node, at, (node, {holder: at}))

    def handle_request(self, node, now):
        quota = self.quotas[node]
        quota.record_demand(TEAM.name)
        if not quota.spend_token(TEAM.name, now):
            holder = self.holders[node]
            if holder == node or self.delays[node] < MAX_DRAW_DELAY_S:
                token_request = TokenRequest(TEAM.name, 1, 0)
                tokens = self.quotas[holder].pool.draw(token_request, now)
                quota.add_tokens(TEAM.name, tokens, now)
            if not quota.spend_token(TEAM.name, now):
                return
        self.spent_at.append(now)

    def max_spent_in_window(self):
        return max(
            bisect.bisect_left(self.spent_at, start + WINDOW_S)
            - bisect.bisect_left(self.spent_at, start)
            for start in set(self.spent_at)
        )


@pytest.mark.parametrize('seed', range(20))
def test_no_schedule_spends_more_than_the_rate_allows(seed):
    """Guards against quota parts that two holders use at the same time."""
    assert Schedule(seed).run().max_spent_in_window() <= MAX_ALLOWED


def lend_without_deduction(part, now):
    """Lend a part, but keep the level that is lent, so that it is used twice."""
    part.refill(now)
    part.lent_until = now
    return part.level


def lend_while_refilling(part, now):
    """Lend a part that is refilled at its owner even while it is lent."""
    elapsed_s = now - part.refilled_at
    part.refilled_at = now
    part.lent_until = now
    return min(part.burst, elapsed_s * part.rate_per_s * 2)


@pytest.mark.parametrize(
    'mutant', [lend_without_deduction, lend_while_refilling]
)
def test_the_checker_detects_a_part_that_is_used_twice(mutant, monkeypatch):
    """Guards against a checker that passes however much is spent."""
    monkeypatch.setattr(QuotaPart, 'lend', mutant)
    max_spent = max(
        Schedule(seed).run().max_spent_in_window() for seed in range(3)
    )
    assert max_spent > MAX_ALLOWED
