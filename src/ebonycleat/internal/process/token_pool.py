"""Pools the parts of team rates that nodes lend to one holder.

The holder gives single tokens to the nodes that have callers. All parts of a
group of teams are lent together, so a renewal is one entry for each lender,
however many teams there are.
"""

import math
from collections.abc import Mapping

from ebonycleat.internal.process.team_groups import (
    GROUP_COUNT,
    group_of_team,
)
from ebonycleat.internal.process.token_store import TokenRequest

TOKEN_LIFETIME_S = 0.4
"""How long a token may wait at the node that drew it. Tokens kept longer would
add to the burst that a team gets in a sliding window."""

PART_LEASE_S = 1.0
"""How long parts stay lent; the leases are renewed every 0.25 s."""

MAX_CLOCK_DRIFT = 0.01
"""The clocks of two nodes may differ in speed by this fraction. The owner of a
part therefore waits longer for the end of a lease, and refills more slowly."""

ROUNDING_ERROR = 1e-9
"""Sums of fractions can fall short of a whole token by rounding errors of this
size."""


class GroupLenders:
    """The nodes that lend the parts of one group, and until when."""

    def __init__(self) -> None:
        """Start without lenders."""
        self.lent_until: dict[str, float] = {}
        self.earliest_end = math.inf

    def find_ended(self, now: float) -> list[tuple[float, str]]:
        """Return the ends of the leases that are over, with their nodes."""
        if now < self.earliest_end:
            return []
        self.earliest_end = min(
            (until for until in self.lent_until.values() if until > now),
            default=math.inf,
        )
        return sorted(
            (until, node)
            for node, until in self.lent_until.items()
            if until <= now
        )


class TeamPool:
    """The pooled tokens of one team.

    ``part`` has the rate and the burst of the part of one node.
    """

    def __init__(self, part: tuple[float, float], now: float) -> None:
        """Start without tokens."""
        self.part = part
        self.level: float = 0
        self.refilled_at = now

    def refill(self, lender_count: int, is_majority: bool, now: float) -> None:
        """Add the tokens that the lent parts earned in the elapsed time.

        Tokens are given whole, so a pool below one token would give none for
        good. The pool of more than half of all nodes may therefore fill up to
        one token: no other pool can then have one, so the sum stays within
        the burst.
        """
        rate_per_s, burst = self.part
        elapsed_s = max(0, now - self.refilled_at)
        self.refilled_at = now
        capacity = burst * lender_count
        if is_majority:
            capacity = max(1, capacity)
        earned = elapsed_s * rate_per_s * lender_count / (1 + MAX_CLOCK_DRIFT)
        self.level = min(capacity, self.level + earned)

    def give(self, wanted: float, prefetch: float, burst: float) -> float:
        """Give up to ``wanted`` tokens.

        Up to ``prefetch`` more are given only while the pool is more than half
        full, because then enough tokens remain if these expire unused. Only
        whole tokens are given: a node cannot spend a fraction, which would
        expire there.
        """
        if self.level > burst / 2:
            wanted += prefetch
        given = min(math.ceil(wanted), math.floor(self.level + ROUNDING_ERROR))
        self.level -= max(0, given)
        return max(0, given)


class TokenPool:
    """The pools of all teams at one holder.

    ``node_count`` is the number of parts that a rate is divided into. The pools
    of all limited teams exist from the start, so that they fill before their
    first request.
    """

    def __init__(self) -> None:
        """Start without teams and lenders."""
        self.node_count = 0
        self.lenders = [GroupLenders() for _ in range(GROUP_COUNT)]
        self.teams: list[dict[str, TeamPool]] = [{} for _ in range(GROUP_COUNT)]

    def configure(
        self,
        parts: Mapping[str, tuple[float, float]],
        node_count: int,
        now: float,
    ) -> None:
        """Adopt changed parts; tokens beyond a lower burst are dropped."""
        for group in range(GROUP_COUNT):
            self.advance(group, now)
            self.refill_group(group, now)
        self.node_count = node_count
        known_pools = {
            team: pool for teams in self.teams for team, pool in teams.items()
        }
        self.teams = [{} for _ in range(GROUP_COUNT)]
        for team, part in parts.items():
            pool = known_pools.get(team) or TeamPool(part, now)
            pool.part = part
            self.teams[group_of_team(team)][team] = pool
        for group in range(GROUP_COUNT):
            self.refill_group(group, now)

    def hold(
        self,
        group: int,
        node: str,
        levels: Mapping[str, float],
        lent_until: float,
        now: float,
    ) -> None:
        """Hold a node's parts of a group, with the tokens that are in them.

        Nothing is held if the lease is over already.
        """
        if lent_until <= now:
            return
        self.advance(group, now)
        lenders = self.lenders[group]
        if node not in lenders.lent_until:
            self.refill_group(group, now)
        lenders.lent_until[node] = max(
            lent_until, lenders.lent_until.get(node, 0)
        )
        lenders.earliest_end = min(lenders.earliest_end, lent_until)
        for team, level in levels.items():
            pool = self.teams[group].get(team)
            if pool is not None:
                pool.level += max(0, level)
                self.refill(group, pool, now)

    def release(self, group: int, node: str, now: float) -> dict[str, float]:
        """Give a node's parts back; return the share of tokens in them."""
        self.advance(group, now)
        lenders = self.lenders[group].lent_until
        if node not in lenders:
            return {}
        self.refill_group(group, now)
        returned = {}
        for team, pool in self.teams[group].items():
            returned[team] = pool.level / len(lenders)
            pool.level -= returned[team]
        lenders.pop(node)
        return returned

    def release_all(self) -> None:
        """Drop all parts, because this node stops."""
        self.lenders = [GroupLenders() for _ in range(GROUP_COUNT)]
        for teams in self.teams:
            for pool in teams.values():
                pool.level = 0

    def draw(self, request: TokenRequest, now: float) -> float:
        """Give tokens to a node, and return how many."""
        group = group_of_team(request.team)
        self.advance(group, now)
        pool = self.teams[group].get(request.team)
        if pool is None:
            return 0
        self.refill(group, pool, now)
        burst = pool.part[1] * len(self.lenders[group].lent_until)
        return pool.give(
            max(0, request.wanted), max(0, request.prefetch), burst
        )

    def advance(self, group: int, now: float) -> None:
        """Drop the parts whose lease is over, as of the end of each lease."""
        lenders = self.lenders[group]
        for ended_at, node in lenders.find_ended(now):
            self.refill_group(group, ended_at)
            for pool in self.teams[group].values():
                pool.level -= pool.level / len(lenders.lent_until)
            lenders.lent_until.pop(node)

    def refill_group(self, group: int, now: float) -> None:
        """Refill the pools of all teams of a group."""
        for pool in self.teams[group].values():
            self.refill(group, pool, now)

    def refill(self, group: int, pool: TeamPool, now: float) -> None:
        """Refill one pool by the parts that are lent at present.

        Nodes that are not counted yet may lend too; they do not add to the
        rate of all nodes that are.
        """
        lender_count = min(len(self.lenders[group].lent_until), self.node_count)
        is_majority = 2 * lender_count > self.node_count
        pool.refill(lender_count, is_majority, now)
