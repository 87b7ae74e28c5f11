"""Rates of teams over the whole fleet, without an owner to agree on.

Each node owns a fixed part of every team's rate and burst, one of as many as
there are nodes. It lends its parts, by leases of under a second, to the leader
of its zone, which pools them and gives single tokens to the nodes that have
callers. A part is used either by its owner or by the one node that holds the
lease, so a cut, a crash or a second leader can lose tokens and never double
them.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ebonycleat.internal.version.mesh_configuration import MeshTeam

TOKEN_LIFE_S = 0.4
"""How long a single token may wait at the node that drew it. Tokens kept
longer would add to the burst of their team in a sliding window."""

LEASE_S = 0.8
"""How long a part stays lent; leases are renewed each 0.2 s."""

CLOCK_DRIFT = 0.01
"""Clocks of two nodes may differ in speed by this share; an owner waits
longer by it, and fills more slowly."""

FEWER_NODES_AFTER_S = 8.0
"""A node that left the list may still serve callers while it stops; its part
passes to the others only after the longest planned stop."""

KEPT_S = 0.25
"""Demand of the own zone for which a leader keeps tokens before it gives any
to another zone; zones exchange each 0.2 s."""

AHEAD_S = 0.3
"""Demand for which a node draws tokens ahead of need, a little less than their
life: a team within its rate then costs one question for many requests."""

LEAST_DEMAND_PER_S = 0.3
"""Below this a team's tokens drawn ahead would mostly expire."""

ROUNDING = 1e-9
"""Sums of fractions miss a whole token by errors of this size."""

DEMAND_MEMORY_S = 1.0
"""Over how long demand is averaged; shorter follows noise, longer strands
tokens when callers move."""


@dataclasses.dataclass(slots=True)
class Parcel:
    """Single tokens that expire."""

    tokens: float
    expires_at: float


class ParcelStore:
    """Tokens that were drawn from a pool, the oldest first."""

    def __init__(self) -> None:
        """Start without tokens."""
        self.parcels: collections.deque[Parcel] = collections.deque()

    def add(self, tokens: float, expires_at: float) -> None:
        """Add tokens until they expire."""
        self.parcels.append(Parcel(tokens, expires_at))

    def total(self, now: float) -> float:
        """Tokens that have not expired."""
        while self.parcels and self.parcels[0].expires_at <= now:
            self.parcels.popleft()
        return sum(parcel.tokens for parcel in self.parcels)

    def draw(self, wanted: float, now: float) -> float:
        """Take up to ``wanted`` tokens and return how many."""
        drawn = min(wanted, self.total(now))
        rest = drawn
        while rest > 0 and self.parcels:
            parcel = self.parcels[0]
            part = min(parcel.tokens, rest)
            parcel.tokens -= part
            rest -= part
            if parcel.tokens <= 0:
                self.parcels.popleft()
        return drawn


class TokenWant(NamedTuple):
    """Tokens that a node needs now, and those it could use soon."""

    team: str
    wanted: float
    ahead: float


class Demand:
    """Moving mean of what is asked for, in tokens a second."""

    def __init__(self, now: float) -> None:
        """Start with nothing asked."""
        self.per_s: float = 0
        self.asked: float = 0
        self.measured_at = now

    def note(self, tokens: float = 1) -> None:
        """Count what is asked for."""
        self.asked += tokens

    def measure(self, now: float) -> None:
        """Update the mean from what was asked since the last time."""
        elapsed_s = now - self.measured_at
        if elapsed_s <= 0:
            return
        share = min(1.0, elapsed_s / DEMAND_MEMORY_S)
        self.per_s += (self.asked / elapsed_s - self.per_s) * share
        self.asked = 0
        self.measured_at = now


class OwnPart:
    """This node's part of one team's rate and burst."""

    def __init__(self, now: float) -> None:
        """Start empty: the process may have spent its part before."""
        self.rate_per_s: float = 0
        self.burst: float = 0
        self.level: float = 0
        self.filled_at = now
        self.lent_until: float | None = None

    def configure(self, rate_per_s: float, burst: float, now: float) -> None:
        """Adopt a changed part; what was filled beyond it is dropped."""
        self.fill(now)
        self.rate_per_s = rate_per_s / (1 + CLOCK_DRIFT)
        self.burst = burst
        self.level = min(self.level, burst)

    def fill(self, now: float) -> None:
        """Bring the level up to date; a part that is lent does not fill."""
        if self.lent_until is not None:
            if now < self.lent_until:
                return
            self.filled_at = self.lent_until
            self.lent_until = None
        elapsed_s = max(0, now - self.filled_at)
        self.filled_at = now
        self.level = min(self.burst, self.level + elapsed_s * self.rate_per_s)

    def is_lent(self, now: float) -> bool:
        """Whether another node may use the part."""
        return self.lent_until is not None and now < self.lent_until

    def lend(self, now: float) -> float:
        """Lend the part or renew the lease; returns the level lent."""
        self.fill(now)
        level = self.level
        self.level = 0
        until = now + LEASE_S * (1 + CLOCK_DRIFT)
        self.lent_until = max(until, self.lent_until or 0)
        return level

    def take(self, tokens: float, now: float) -> float:
        """Use tokens of a part that is not lent; returns how many."""
        self.fill(now)
        if self.is_lent(now):
            return 0
        taken = min(tokens, self.level)
        self.level -= taken
        return taken


class PooledTeam:
    """One team's parts that nodes lent to this one."""

    def __init__(self, now: float) -> None:
        """Start without parts."""
        self.lent_until: dict[str, float] = {}
        self.part_rate_per_s: float = 0
        self.part_burst: float = 0
        self.level: float = 0
        self.filled_at = now
        self.drawn_elsewhere = ParcelStore()
        self.own_demand = Demand(now)

    @property
    def burst(self) -> float:
        """Largest level: the bursts of all parts that are lent."""
        return self.part_burst * len(self.lent_until)

    def fill(self, now: float) -> None:
        """Bring the level up to date, and let leases expire."""
        elapsed_s = max(0, now - self.filled_at)
        self.filled_at = now
        ended = [
            node for node, until in self.lent_until.items() if until <= now
        ]
        for node in ended:
            self.level -= self.level / len(self.lent_until)
            self.lent_until.pop(node)
        rate_per_s = self.part_rate_per_s * len(self.lent_until)
        self.level = min(self.burst, self.level + elapsed_s * rate_per_s)

    def configure(self, rate_per_s: float, burst: float, now: float) -> None:
        """Adopt a changed part, the same for each lender."""
        self.fill(now)
        self.part_rate_per_s = rate_per_s / (1 + CLOCK_DRIFT)
        self.part_burst = burst
        self.level = min(self.level, self.burst)

    def lend(self, node: str, level: float, now: float) -> None:
        """Hold a node's part until its lease ends."""
        self.fill(now)
        self.lent_until[node] = now + LEASE_S
        self.level = min(self.burst, self.level + max(0, level))

    def draw(self, wanted: float, ahead: float, now: float) -> float:
        """Give up to ``wanted`` tokens to a node of the zone.

        Those ``ahead`` of need are given only while the pool is over half
        full: then none is missing if they expire. Only whole tokens leave: a
        fraction would expire at a node that cannot spend it.
        """
        self.fill(now)
        here = self.level + self.drawn_elsewhere.total(now)
        asked = wanted
        if self.level > self.burst / 2:
            asked += ahead
        given = min(math.ceil(asked), math.floor(here + ROUNDING))
        self.own_demand.note(max(wanted, given))
        if given <= 0:
            return 0
        self.level -= given - self.drawn_elsewhere.draw(given, now)
        return given

    def spare(self, wanted: float, now: float) -> float:
        """Give another zone what the own zone will not need soon."""
        self.fill(now)
        kept = min(self.own_demand.per_s * KEPT_S, self.burst)
        given = max(0, min(math.ceil(wanted), math.floor(self.level - kept)))
        self.level -= given
        return given

    def missing(self, now: float) -> float:
        """Tokens that the own zone will need beyond what is here."""
        self.fill(now)
        here = self.level + self.drawn_elsewhere.total(now)
        return max(0, self.own_demand.per_s * TOKEN_LIFE_S - here)


class TokenPool:
    """The parts that nodes of a zone lent to their leader."""

    def __init__(self) -> None:
        """Start empty."""
        self.teams: dict[str, PooledTeam] = {}
        self.parts: Mapping[str, tuple[float, float]] = {}

    def configure(
        self,
        parts: Mapping[str, tuple[float, float]],
        now: float,
    ) -> None:
        """Adopt the rate and the burst of one part of each team."""
        self.parts = parts
        for name in tuple(self.teams):
            part = parts.get(name)
            if part is None:
                self.teams.pop(name)
            else:
                self.teams[name].configure(*part, now)

    def team(self, name: str, now: float) -> PooledTeam | None:
        """Return the pool of a limited team."""
        part = self.parts.get(name)
        if part is None:
            return None
        pooled = self.teams.get(name)
        if pooled is None:
            pooled = PooledTeam(now)
            pooled.configure(*part, now)
            self.teams[name] = pooled
        return pooled

    def lend(self, name: str, node: str, level: float, now: float) -> None:
        """Hold a node's part of a team."""
        pooled = self.team(name, now)
        if pooled is not None:
            pooled.lend(node, level, now)

    def draw(self, want: TokenWant, now: float) -> float:
        """Give tokens to a node of the zone."""
        pooled = self.team(want.team, now)
        if pooled is None:
            return 0
        return pooled.draw(max(0, want.wanted), max(0, want.ahead), now)

    def spare(self, want: TokenWant, now: float) -> float:
        """Give tokens to another zone."""
        pooled = self.teams.get(want.team)
        return 0 if pooled is None else pooled.spare(max(0, want.wanted), now)

    def missing(self, now: float) -> list[TokenWant]:
        """Tokens wanted from other zones."""
        wants = []
        for name, pooled in self.teams.items():
            pooled.own_demand.measure(now)
            tokens = pooled.missing(now)
            if tokens > 0:
                wants.append(TokenWant(name, tokens, 0))
        return wants

    def receive(self, name: str, tokens: float, asked_at: float) -> None:
        """Hold tokens from another zone; they expire from the ask on."""
        pooled = self.teams.get(name)
        if pooled is not None:
            pooled.drawn_elsewhere.add(tokens, asked_at + TOKEN_LIFE_S)


class QuotaTokens:
    """All teams' tokens at one node."""

    def __init__(self) -> None:
        """Start without teams."""
        self.limits: dict[str, MeshTeam] = {}
        self.own: dict[str, OwnPart] = {}
        self.drawn: dict[str, ParcelStore] = {}
        self.demands: dict[str, Demand] = {}
        self.pool = TokenPool()
        self.node_count = 0
        self.fewer_since: float | None = None

    def adopt_teams(self, teams: Iterable[MeshTeam], now: float) -> None:
        """Adopt the limits of a configuration."""
        self.limits = {team.name: team for team in teams if team.rate_per_s > 0}
        for name in tuple(self.own):
            if name not in self.limits:
                self.own.pop(name)
                self.drawn.pop(name)
                self.demands.pop(name)
        self.configure_parts(now)

    def adopt_node_count(self, count: int, now: float) -> None:
        """Adopt the number of nodes among which rates are divided.

        More nodes count at once, fewer only after a while.
        """
        if count >= self.node_count:
            self.fewer_since = None
            if count > self.node_count:
                self.node_count = count
                self.configure_parts(now)
            return
        if self.fewer_since is None:
            self.fewer_since = now
        elif now - self.fewer_since > FEWER_NODES_AFTER_S:
            self.fewer_since = None
            self.node_count = count
            self.configure_parts(now)

    def configure_parts(self, now: float) -> None:
        """Give each team this node's part."""
        if not self.node_count:
            return
        parts = {
            name: (
                team.rate_per_s / self.node_count,
                team.burst / self.node_count,
            )
            for name, team in self.limits.items()
        }
        for name, part in parts.items():
            if name not in self.own:
                self.own[name] = OwnPart(now)
                self.drawn[name] = ParcelStore()
                self.demands[name] = Demand(now)
            self.own[name].configure(*part, now)
        self.pool.configure(parts, now)

    def is_limited(self, team: str) -> bool:
        """Whether a team's requests need tokens."""
        return team in self.limits

    def take(self, team: str, now: float) -> bool:
        """Spend one token that is at this node."""
        own = self.own.get(team)
        if own is None:
            return False
        drawn = self.drawn[team]
        own.fill(now)
        usable = 0 if own.is_lent(now) else own.level
        if drawn.total(now) + usable < 1:
            return False
        own.take(1 - drawn.draw(1, now), now)
        return True

    def note_demand(self, team: str) -> None:
        """Count one request of a team."""
        demand = self.demands.get(team)
        if demand is not None:
            demand.note()

    def lend_all(self, now: float) -> dict[str, float]:
        """Lend all own parts for one lease; returns the levels."""
        for demand in self.demands.values():
            demand.measure(now)
        return {name: own.lend(now) for name, own in self.own.items()}

    def want(self, team: str, waiting: int, now: float) -> TokenWant:
        """Tokens for requests that wait, and ahead of those to come."""
        needed = self.demands[team].per_s * AHEAD_S + 1
        ahead = max(0, needed - self.drawn[team].total(now))
        return TokenWant(team, waiting, ahead)

    def wants_ahead(self, now: float) -> list[TokenWant]:
        """Tokens ahead of need for all teams that have callers here."""
        wants = [
            self.want(name, 0, now)
            for name, demand in self.demands.items()
            if demand.per_s > LEAST_DEMAND_PER_S
        ]
        return [one for one in wants if one.ahead >= 1]

    def receive(self, team: str, tokens: float, asked_at: float) -> None:
        """Hold tokens from the pool; they expire counted from the ask."""
        drawn = self.drawn.get(team)
        if drawn is not None and tokens > 0:
            drawn.add(tokens, asked_at + TOKEN_LIFE_S)
