"""Site and arrivals of the budget benchmark, equal for every division."""

import dataclasses
import random

from bench.fleet_shape import ZoneShares
from ebonycleat.internal.process.token_bucket import divide_over_zones

# Number of nodes per service: 14 VMs in three zones, one target on each.
SERVICE_SIZES = (
    ('readiness', 3),
    ('payment', 3),
    ('catalogue', 5),
    ('workbench', 3),
)
ZONES = ('a', 'b', 'c')
# Calls per second of the eight teams; a few of them are large.
TEAM_RATES = (600, 400, 250, 60, 40, 20, 10, 5)
BURST_S = 0.5
SMALLEST_BURST = 6
LOAD = 0.9
# Shares of a team's calls in its three zones. Within a zone the n-th node gets
# a weight of 1/n.
ZONE_SKEW = (0.6, 0.3, 0.1)
# Budgets with a smaller burst are assigned to one zone as a whole.
SMALLEST_DIVIDED_BURST = 20

Budgets = dict[str, tuple[float, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrives at the node to which its caller is connected."""

    at: float
    team: str
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Nodes, zones and team budgets of one site."""

    zone_of: dict[str, str]
    service_of: dict[str, str]
    budgets: Budgets

    def zone_shares(self) -> ZoneShares:
        """Divide each budget over the zones by their number of nodes."""
        shares: ZoneShares = {zone: {} for zone in ZONES}
        for index, (team, budget) in enumerate(self.budgets.items()):
            weights = self._zone_weights(budget[1], ZONES[index % len(ZONES)])
            divided = divide_over_zones(*budget, weights)
            for zone, zone_share in divided.items():
                shares[zone][team] = zone_share
        return shares

    def _zone_weights(self, burst: int, home_zone: str) -> dict[str, float]:
        # Each zone can hold a fraction of a token that it cannot grant. These
        # fractions are a large share of a small burst.
        if burst < SMALLEST_DIVIDED_BURST:
            return {home_zone: 1}
        zones = list(self.zone_of.values())
        return {zone: zones.count(zone) for zone in ZONES}


def create_site() -> Site:
    """Create the 14 nodes of the Corda Viva site, spread over three zones."""
    names = [
        f'{service}-{number}'
        for service, size in SERVICE_SIZES
        for number in range(size)
    ]
    return Site(
        {name: ZONES[index % 3] for index, name in enumerate(names)},
        {name: name.partition('-')[0] for name in names},
        {
            f'team-{index}': (
                rate_per_s,
                max(SMALLEST_BURST, int(rate_per_s * BURST_S)),
            )
            for index, rate_per_s in enumerate(TEAM_RATES)
        },
    )


def draw_arrivals(
    site: Site,
    duration_s: float,
    rng: random.Random,
) -> list[Arrival]:
    """Draw random arrivals at 90% of each team's rate, unevenly over nodes."""
    arrivals: list[Arrival] = []
    for team, (rate_per_s, _) in site.budgets.items():
        nodes, weights = _draw_node_weights(site, rng)
        at = rng.expovariate(rate_per_s * LOAD)
        while at < duration_s:
            node = rng.choices(nodes, weights)[0]
            arrivals.append(Arrival(at, team, node))
            at += rng.expovariate(rate_per_s * LOAD)
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


def _draw_node_weights(
    site: Site,
    rng: random.Random,
) -> tuple[list[str], list[float]]:
    zones = rng.sample(ZONES, len(ZONES))
    weights: dict[str, float] = {}
    for zone, share in zip(zones, ZONE_SKEW, strict=True):
        nodes = [name for name in site.zone_of if site.zone_of[name] == zone]
        rng.shuffle(nodes)
        for index, node in enumerate(nodes, 1):
            weights[node] = share / index
    return list(weights), list(weights.values())
