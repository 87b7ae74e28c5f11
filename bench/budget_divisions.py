"""Ways to divide a team's budget over nodes, compared on equal arrivals."""

import dataclasses
import functools
import random
from collections.abc import Callable

from bench.budget_traffic import ZONES, Arrival, Budgets, Site
from bench.fleet import Fleet
from bench.fleet_node import FleetNode
from bench.fleet_shape import FleetShape
from bench.history import BudgetChange, FleetBucket
from ebonycleat.internal.process.rendezvous import SLOTS_PER_SCOPE
from ebonycleat.internal.process.team_tokens import Token
from ebonycleat.internal.request.refusal import Refusal

SAME_ZONE_DELAY_S = 0.0003
OTHER_ZONE_DELAY_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class CallDecision:
    """The decision about one arrival.

    ``at`` is the time of the decision, and ``reason`` is empty if the call
    was admitted.
    """

    at: float
    arrival: Arrival
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A node that crashes or a zone that is isolated from time ``at`` on."""

    name: str
    at: float
    node: str = ''
    zone: str = ''


def link_delay(site: Site, sender: str, receiver: str) -> float:
    """Return the one-way delay between two nodes."""
    same = site.zone_of[sender] == site.zone_of[receiver]
    return SAME_ZONE_DELAY_S if same else OTHER_ZONE_DELAY_S


class TeamBuckets:
    """One exact token bucket per team."""

    def __init__(self, budgets: Budgets, share: float = 1) -> None:
        """Start with full buckets whose burst is at least one token."""
        self.buckets = {
            team: FleetBucket(
                BudgetChange(
                    0, team, rate_per_s * share, max(burst * share, 1)
                ),
            )
            for team, (rate_per_s, burst) in budgets.items()
        }

    def take(self, team: str, now: float) -> str:
        """Take a token; return the reason of a refusal, or an empty string."""
        bucket = self.buckets[team]
        bucket.advance(max(now, bucket.at))
        if bucket.level < 1:
            return 'over-rate'
        bucket.level -= 1
        return ''


class GrantSimulation:
    """Simulates budget owners per zone that grant tokens to the nodes."""

    def __init__(self, site: Site, failure: Failure, seed: int) -> None:
        """Build the fleet and schedule the failure."""
        shape = FleetShape(
            site.zone_of,
            SLOTS_PER_SCOPE,
            service_of=site.service_of,
        )
        self.outcomes: list[CallDecision] = []
        self.fleet = Fleet(
            shape,
            site.zone_shares(),
            random.Random(seed),
            functools.partial(link_delay, site),
        )
        self.fleet.start()
        self.fleet.clock.call_at(failure.at, self._begin_failure, failure)

    def run(
        self, arrivals: list[Arrival], warm_up_s: float
    ) -> list[CallDecision]:
        """Process all arrivals; count messages only after the warm-up."""
        clock = self.fleet.clock
        for arrival in arrivals:
            clock.call_at(arrival.at, self._handle_arrival, arrival)
        clock.run_until(warm_up_s)
        self.fleet.sent = []
        clock.run_until(arrivals[-1].at + 1)
        return self.outcomes

    def _begin_failure(self, failure: Failure) -> None:
        fleet = self.fleet
        if failure.node:
            fleet.nodes[failure.node].crash()
        if failure.zone:
            names = {
                name
                for name, node in fleet.nodes.items()
                if node.zone == failure.zone
            }
            fleet.network.cuts.append(frozenset(names))
            fleet.cut_from_log.update(names)

    def _handle_arrival(self, arrival: Arrival) -> None:
        node = self.fleet.nodes[arrival.node]
        node.admit(
            arrival.team,
            functools.partial(self._admit, node, arrival),
            functools.partial(self._refuse, arrival),
        )

    def _admit(self, node: FleetNode, arrival: Arrival, token: Token) -> None:
        reason = '' if self.fleet.spend_token(node, token) else 'expired'
        self.outcomes.append(
            CallDecision(self.fleet.clock.now, arrival, reason)
        )

    def _refuse(self, arrival: Arrival, refusal: Refusal) -> None:
        now = self.fleet.clock.now
        self.outcomes.append(CallDecision(now, arrival, refusal.reason.value))


def divide_per_node(site: Site, arrivals: list[Arrival]) -> list[CallDecision]:
    """Give each node an equal, fixed share of each budget.

    The burst of a share is at least one token, since less would admit nothing.
    """
    share = 1 / len(site.zone_of)
    node_buckets = {
        node: TeamBuckets(site.budgets, share) for node in site.zone_of
    }
    return [
        CallDecision(
            arrival.at,
            arrival,
            node_buckets[arrival.node].take(arrival.team, arrival.at),
        )
        for arrival in arrivals
    ]


class CentralOwners:
    """One owner per team decides each call, without zones and grants."""

    def __init__(
        self,
        site: Site,
        reachable: Callable[[str, str, float], bool],
    ) -> None:
        """Assign the teams to the nodes in turn.

        ``reachable(node, owner, at)`` tells whether the owner answers.
        """
        nodes = sorted(site.zone_of)
        self.site = site
        self.reachable = reachable
        self.buckets = TeamBuckets(site.budgets)
        self.owners = {
            team: nodes[index % len(nodes)]
            for index, team in enumerate(site.budgets)
        }

    def decide(self, arrival: Arrival) -> CallDecision:
        """Decide one call after a round trip to its owner."""
        owner = self.owners[arrival.team]
        delay_s = link_delay(self.site, arrival.node, owner)
        reason = 'budget-unavailable'
        if self.reachable(arrival.node, owner, arrival.at):
            reason = self.buckets.take(arrival.team, arrival.at + delay_s)
        return CallDecision(arrival.at + 2 * delay_s, arrival, reason)


class FixedZoneShares:
    """Fixed zone shares of which a node uses any within reach, without delay.

    The refusals that remain are those of the fixed division over zones alone.
    """

    def __init__(self, site: Site, failure: Failure) -> None:
        """Start with full buckets in every zone."""
        self.site = site
        self.failure = failure
        self.buckets = {
            (zone, team): FleetBucket(BudgetChange(0, team, *share))
            for zone, shares in site.zone_shares().items()
            for team, share in shares.items()
        }

    def decide(self, arrival: Arrival) -> CallDecision:
        """Take a token from the own zone, else from any reachable zone."""
        for zone in self._reachable_zones(arrival):
            bucket = self.buckets.get((zone, arrival.team))
            if bucket is None:
                continue
            bucket.advance(arrival.at)
            if bucket.level >= 1:
                bucket.level -= 1
                return CallDecision(arrival.at, arrival)
        return CallDecision(arrival.at, arrival, 'over-rate')

    def _reachable_zones(self, arrival: Arrival) -> list[str]:
        own = self.site.zone_of[arrival.node]
        cut_zone = self.failure.zone if arrival.at >= self.failure.at else ''
        others = [zone for zone in ZONES if cut_zone not in {zone, own}]
        return [own, *(zone for zone in others if zone != own)]
