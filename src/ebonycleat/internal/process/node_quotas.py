"""Limits the rates of teams over all nodes without an owner for each team.

Used by ``ebonycleat-mesh-node``; ``ebonycleat-node`` uses ``budget_owner``
instead, for which nodes must agree on the owner of each team's tokens.

Each team's rate and burst are divided into as many parts as there are nodes,
and each node owns one part of each. It lends its parts, by leases of a second,
to a holder: one node for each group of teams in the whole region, or the first
that it can reach. The holder pools them and gives single tokens to the nodes
that have callers. A part is used either by its owner or by the one node that
holds the lease. Therefore a network partition, a crash or a second holder can
lose tokens but never use them twice.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from ebonycleat.internal.process.team_groups import (
    GROUP_COUNT,
    group_of_team,
)
from ebonycleat.internal.process.token_pool import (
    MAX_CLOCK_DRIFT,
    PART_LEASE_S,
    TOKEN_LIFETIME_S,
    TokenPool,
)
from ebonycleat.internal.process.token_store import (
    DemandMean,
    TokenRequest,
    TokenStore,
)
from ebonycleat.internal.version.mesh_configuration import MeshTeam

NODE_COUNT_DECREASE_DELAY_S = 8.0
"""A node that left the member list may still serve callers while it stops. Its
part passes to the others only after the longest planned stop."""

PREFETCH_S = 0.3
"""Duration of the expected demand for which a node draws tokens ahead of need.
It is a little less than the lifetime of a token. A team within its rate then
needs one message for many requests."""

RETURN_BEFORE_EXPIRY_S = 0.25
"""Drawn tokens with less time left go back to the holder: they would expire
before the next exchange."""

MIN_PREFETCH_DEMAND_PER_S = 0.3
"""Tokens drawn ahead for a team with less demand would mostly expire."""


class QuotaPart:
    """This node's part of one team's rate and burst."""

    def __init__(self, now: float) -> None:
        """Start empty, as an earlier process may have spent the part just now."""
        self.rate_per_s: float = 0
        self.burst: float = 0
        self.level: float = 0
        self.refilled_at = now
        self.lent_until: float | None = None

    def configure(self, rate_per_s: float, burst: float, now: float) -> None:
        """Adopt a changed part; tokens beyond its burst are dropped."""
        self.refill(now)
        self.rate_per_s = rate_per_s / (1 + MAX_CLOCK_DRIFT)
        self.burst = burst
        self.level = min(self.level, burst)

    def refill(self, now: float) -> None:
        """Add tokens for the elapsed time, except while the part is lent."""
        if self.lent_until is not None:
            if now < self.lent_until:
                return
            self.refilled_at = self.lent_until
            self.lent_until = None
        elapsed_s = max(0, now - self.refilled_at)
        self.refilled_at = now
        self.level = min(self.burst, self.level + elapsed_s * self.rate_per_s)

    def is_lent(self, now: float) -> bool:
        """Tell whether another node may use the part."""
        return self.lent_until is not None and now < self.lent_until

    def lend(self, now: float) -> float:
        """Lend the part or renew its lease; return the tokens in it."""
        self.refill(now)
        level = self.level
        self.level = 0
        lent_until = now + PART_LEASE_S * (1 + MAX_CLOCK_DRIFT)
        self.lent_until = max(lent_until, self.lent_until or 0)
        return level

    def take_back(self, level: float, now: float) -> None:
        """End the lease early; ``level`` are the tokens that the holder had.

        Only a holder that has given up the part may be taken back from.
        """
        self.lent_until = None
        self.refilled_at = now
        self.level = min(self.burst, self.level + level)

    def spend(self, tokens: float, now: float) -> float:
        """Take tokens of a part that is not lent, and return how many."""
        self.refill(now)
        if self.is_lent(now):
            return 0
        taken = min(tokens, self.level)
        self.level -= taken
        return taken


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """The parts of one group are lent to a node until a time."""

    holder: str
    ends_at: float


class NodeQuotas:
    """The parts and the tokens of all teams at one node.

    ``loans`` has the latest loan of each group of teams.
    """

    def __init__(self) -> None:
        """Start without teams."""
        self.limits: dict[str, MeshTeam] = {}
        self.own_parts: dict[str, QuotaPart] = {}
        self.drawn_tokens: dict[str, TokenStore] = {}
        self.demands: dict[str, DemandMean] = {}
        self.loans: dict[int, Loan] = {}
        self.pool = TokenPool()
        self.node_count = 0
        self.lower_count_since: float | None = None

    def set_teams(self, teams: Iterable[MeshTeam], now: float) -> None:
        """Adopt the limits of a configuration."""
        self.limits = {team.name: team for team in teams if team.rate_per_s > 0}
        for team_name in tuple(self.own_parts):
            if team_name not in self.limits:
                self.own_parts.pop(team_name)
                self.drawn_tokens.pop(team_name)
                self.demands.pop(team_name)
        self.configure_parts(now)

    def change_node_count(self, count: int, now: float) -> None:
        """Adopt the number of nodes among which rates are divided.

        An increase takes effect at once, a decrease only after a delay.
        """
        if count >= self.node_count:
            self.lower_count_since = None
            if count > self.node_count:
                self.node_count = count
                self.configure_parts(now)
            return
        if self.lower_count_since is None:
            self.lower_count_since = now
        elif now - self.lower_count_since > NODE_COUNT_DECREASE_DELAY_S:
            self.lower_count_since = None
            self.node_count = count
            self.configure_parts(now)

    def configure_parts(self, now: float) -> None:
        """Compute this node's part of each team."""
        if not self.node_count:
            return
        parts = {
            team: (
                limit.rate_per_s / self.node_count,
                limit.burst / self.node_count,
            )
            for team, limit in self.limits.items()
        }
        for team, part in parts.items():
            if team not in self.own_parts:
                self.own_parts[team] = QuotaPart(now)
                # The holder has the parts of all teams of a group.
                loan = self.find_loan(group_of_team(team), now)
                if loan is not None:
                    self.own_parts[team].lent_until = loan.ends_at
                self.drawn_tokens[team] = TokenStore()
                self.demands[team] = DemandMean(now)
            self.own_parts[team].configure(*part, now)
        self.pool.configure(parts, self.node_count, now)

    def is_limited(self, team: str) -> bool:
        """Tell whether the requests of a team need tokens."""
        return team in self.limits

    def spend_token(self, team: str, now: float) -> bool:
        """Spend one token that is at this node; return False if there is none."""
        own_part = self.own_parts.get(team)
        if own_part is None:
            return False
        drawn_tokens = self.drawn_tokens[team]
        own_part.refill(now)
        usable_level = 0 if own_part.is_lent(now) else own_part.level
        if drawn_tokens.count(now) + usable_level < 1:
            return False
        own_part.spend(1 - drawn_tokens.take(1, now), now)
        return True

    def record_demand(self, team: str) -> None:
        """Count one request of a team."""
        demand = self.demands.get(team)
        if demand is not None:
            demand.record()

    def update_demands(self, now: float) -> None:
        """Update the measured demand of all teams."""
        for demand in self.demands.values():
            demand.update(now)

    def find_loan(self, group: int, now: float) -> Loan | None:
        """Return the loan of a group, None if its parts are not lent."""
        loan = self.loans.get(group)
        return None if loan is None or loan.ends_at <= now else loan

    def lend(
        self, group: int, holder: str, now: float
    ) -> dict[str, float] | None:
        """Lend the own parts of a group, or renew the lease of the holder.

        Returns the tokens that go to the holder by team, without teams that
        have none: those in the parts, and those drawn ahead that would expire
        before the next renewal. Without that, teams with callers at many nodes
        lost a third of their rate. Returns None, and lends nothing, while
        another node may hold the parts.
        """
        loan = self.find_loan(group, now)
        if loan is not None and loan.holder != holder:
            return None
        levels = {
            team: own_part.lend(now) + self.take_unused(team, now)
            for team, own_part in self.own_parts.items()
            if group_of_team(team) == group
        }
        lent_for_s = PART_LEASE_S * (1 + MAX_CLOCK_DRIFT)
        self.loans[group] = Loan(holder, now + lent_for_s)
        return {team: level for team, level in levels.items() if level > 0}

    def take_unused(self, team: str, now: float) -> float:
        """Take the drawn tokens of a team that are about to expire."""
        drawn_tokens = self.drawn_tokens[team]
        drawn_tokens.count(now)
        return drawn_tokens.take_expiring(now + RETURN_BEFORE_EXPIRY_S)

    def take_back(
        self, group: int, levels: Mapping[str, float], now: float
    ) -> None:
        """End the loan of a group whose holder has given it up."""
        self.loans.pop(group, None)
        for team, own_part in self.own_parts.items():
            if group_of_team(team) == group:
                own_part.take_back(levels.get(team, 0), now)

    def take_back_from(self, holder: str, now: float) -> None:
        """End all loans of a holder that has given them up without tokens."""
        for group in range(GROUP_COUNT):
            loan = self.loans.get(group)
            if loan is not None and loan.holder == holder:
                self.take_back(group, {}, now)

    def create_request(
        self, team: str, waiting: int, now: float
    ) -> TokenRequest:
        """Return the tokens to request for waiting and for expected requests."""
        demand = self.demands.get(team)
        if demand is None:
            # Rates are not divided before the number of nodes is known.
            return TokenRequest(team, waiting, 0)
        needed = demand.rate_per_s * PREFETCH_S + 1
        prefetch = max(0, needed - self.drawn_tokens[team].count(now))
        return TokenRequest(team, waiting, prefetch)

    def create_prefetch_requests(self, now: float) -> list[TokenRequest]:
        """Return the tokens to request ahead for all teams with callers here."""
        requests = [
            self.create_request(team, 0, now)
            for team, demand in self.demands.items()
            if demand.rate_per_s > MIN_PREFETCH_DEMAND_PER_S
        ]
        return [request for request in requests if request.prefetch >= 1]

    def add_tokens(self, team: str, tokens: float, requested_at: float) -> None:
        """Add tokens from the pool; they expire counted from the request."""
        drawn_tokens = self.drawn_tokens.get(team)
        if drawn_tokens is not None and tokens > 0:
            drawn_tokens.add(tokens, requested_at + TOKEN_LIFETIME_S)
