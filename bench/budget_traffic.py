"""Callers of Corda Viva's shape, the same for every way of dividing budgets."""

import dataclasses
import random

from bench.fleet_shape import ZoneShares
from ebonycleat.internal.process.token_bucket import divide_over_zones

# 14 VMs, one target each, in three zones.
SERVICE_SIZES = (
    ('readiness', 3),
    ('payment', 3),
    ('catalogue', 5),
    ('workbench', 3),
)
ZONES = ('a', 'b', 'c')
# Calls/s of eight teams, a few of them large.
TEAM_RATES = (600, 400, 250, 60, 40, 20, 10, 5)
BURST_S = 0.5
SMALLEST_BURST = 6
LOAD = 0.9
# Shares of a team's calls by zone and, within a zone, by node.
ZONE_SKEW = (0.6, 0.3, 0.1)
# Teams with less have their whole budget in one zone.
SMALLEST_DIVIDED_BURST = 20

Budgets = dict[str, tuple[float, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A caller's request at the node that it is connected to."""

    at: float
    team: str
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Nodes, zones and budgets of one site."""

    zone_of: dict[str, str]
    service_of: dict[str, str]
    budgets: Budgets

    def zone_shares(self) -> ZoneShares:
        """Divide all budgets over zones by their number of nodes."""
        parts: ZoneShares = {zone: {} for zone in ZONES}
        for place, (team, part) in enumerate(self.budgets.items()):
            weights = self._weights(part[1], ZONES[place % len(ZONES)])
            divided = divide_over_zones(*part, weights)
            for zone, zone_part in divided.items():
                parts[zone][team] = zone_part
        return parts

    def _weights(self, burst: int, home: str) -> dict[str, float]:
        # What zones hold of a token adds up to a token that nobody can give,
        # which is a large share of a small burst.
        if burst < SMALLEST_DIVIDED_BURST:
            return {home: 1}
        zones = list(self.zone_of.values())
        return {zone: zones.count(zone) for zone in ZONES}


def create_site() -> Site:
    """Lay out Corda Viva's 14 nodes over three zones."""
    names = [
        f'{service}-{number}'
        for service, size in SERVICE_SIZES
        for number in range(size)
    ]
    return Site(
        {name: ZONES[place % 3] for place, name in enumerate(names)},
        {name: name.partition('-')[0] for name in names},
        {
            f'team-{place}': (
                rate_per_s,
                max(SMALLEST_BURST, int(rate_per_s * BURST_S)),
            )
            for place, rate_per_s in enumerate(TEAM_RATES)
        },
    )


def draw_arrivals(
    site: Site,
    duration_s: float,
    rng: random.Random,
) -> list[Arrival]:
    """Draw random arrivals at 90% of each team's rate, skewed over nodes."""
    arrivals: list[Arrival] = []
    for team, (rate_per_s, _) in site.budgets.items():
        nodes, weights = _draw_skew(site, rng)
        at = rng.expovariate(rate_per_s * LOAD)
        while at < duration_s:
            node = rng.choices(nodes, weights)[0]
            arrivals.append(Arrival(at, team, node))
            at += rng.expovariate(rate_per_s * LOAD)
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


def _draw_skew(
    site: Site,
    rng: random.Random,
) -> tuple[list[str], list[float]]:
    zones = rng.sample(ZONES, len(ZONES))
    weights: dict[str, float] = {}
    for zone, share in zip(zones, ZONE_SKEW, strict=True):
        nodes = [name for name in site.zone_of if site.zone_of[name] == zone]
        rng.shuffle(nodes)
        for place, node in enumerate(nodes, 1):
            weights[node] = share / place
    return list(weights), list(weights.values())
