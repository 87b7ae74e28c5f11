"""Three ways to divide a team's budget, fed with the same arrivals."""

import dataclasses
import functools
import random
from collections.abc import Callable

from bench.budget_traffic import ZONES, Arrival, Budgets, Site
from bench.fleet import Fleet
from bench.fleet_node import FleetNode
from bench.fleet_shape import FleetShape
from bench.history import FleetBucket, BudgetChange
from ebonycleat.internal.process.rendezvous import SLOTS_PER_SCOPE
from ebonycleat.internal.process.team_tokens import Token
from ebonycleat.internal.request.refusal import Refusal

WITHIN_ZONE_S = 0.0003
BETWEEN_ZONES_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class CallDecision:
    """What happened to one arrival; ``at`` is the time of the decision."""

    at: float
    arrival: Arrival
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """From ``at`` on, a node is gone or a zone is cut off."""

    name: str
    at: float
    node: str = ''
    zone: str = ''


def link_delay(site: Site, sender: str, receiver: str) -> float:
    """Return the one-way delay between two nodes."""
    same = site.zone_of[sender] == site.zone_of[receiver]
    return WITHIN_ZONE_S if same else BETWEEN_ZONES_S


class TeamBuckets:
    """One exact bucket per team and place."""

    def __init__(self, budgets: Budgets, share: float = 1) -> None:
        """Start with full buckets of at least one token of burst."""
        self.buckets = {
            team: FleetBucket(
                BudgetChange(
                    0, team, rate_per_s * share, max(burst * share, 1)
                ),
            )
            for team, (rate_per_s, burst) in budgets.items()
        }

    def take(self, team: str, now: float) -> str:
        """Take a token and return an empty reason, or a reason not to."""
        bucket = self.buckets[team]
        bucket.advance(max(now, bucket.at))
        if bucket.level < 1:
            return 'over-rate'
        bucket.level -= 1
        return ''


class GrantSimulation:
    """Zone owners and grant holders, as the nodes run them."""

    def __init__(self, site: Site, trouble: Failure, seed: int) -> None:
        """Build the fleet and plan the trouble."""
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
        self.fleet.clock.call_at(trouble.at, self._begin, trouble)

    def run(
        self, arrivals: list[Arrival], warm_up_s: float
    ) -> list[CallDecision]:
        """Run all arrivals; messages count after the warm-up."""
        clock = self.fleet.clock
        for arrival in arrivals:
            clock.call_at(arrival.at, self._arrive, arrival)
        clock.run_until(warm_up_s)
        self.fleet.sent = []
        clock.run_until(arrivals[-1].at + 1)
        return self.outcomes

    def _begin(self, trouble: Failure) -> None:
        fleet = self.fleet
        if trouble.node:
            fleet.nodes[trouble.node].crash()
        if trouble.zone:
            names = {
                name
                for name, node in fleet.nodes.items()
                if node.zone == trouble.zone
            }
            fleet.network.cuts.append(frozenset(names))
            fleet.cut_from_log.update(names)

    def _arrive(self, arrival: Arrival) -> None:
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
    """Give each node an equal, fixed part of each budget.

    A part is at least one token, since less would admit nothing.
    """
    share = 1 / len(site.zone_of)
    places = {node: TeamBuckets(site.budgets, share) for node in site.zone_of}
    return [
        CallDecision(
            arrival.at,
            arrival,
            places[arrival.node].take(arrival.team, arrival.at),
        )
        for arrival in arrivals
    ]


class CentralOwners:
    """One owner per team answers each call; no zones, no grants."""

    def __init__(
        self,
        site: Site,
        reachable: Callable[[str, str, float], bool],
    ) -> None:
        """Spread teams over nodes.

        ``reachable(node, owner, at)`` says whether an ask is answered.
        """
        nodes = sorted(site.zone_of)
        self.site = site
        self.reachable = reachable
        self.buckets = TeamBuckets(site.budgets)
        self.owners = {
            team: nodes[place % len(nodes)]
            for place, team in enumerate(site.budgets)
        }

    def decide(self, arrival: Arrival) -> CallDecision:
        """Decide one call after a round trip."""
        owner = self.owners[arrival.team]
        delay_s = link_delay(self.site, arrival.node, owner)
        reason = 'budget-unavailable'
        if self.reachable(arrival.node, owner, arrival.at):
            reason = self.buckets.take(arrival.team, arrival.at + delay_s)
        return CallDecision(arrival.at + 2 * delay_s, arrival, reason)


class FixedZoneShares:
    """Zone parts shared without delay or loss: what fixed parts cost alone."""

    def __init__(self, site: Site, trouble: Failure) -> None:
        """Start with full buckets in every zone."""
        self.site = site
        self.trouble = trouble
        self.buckets = {
            (zone, team): FleetBucket(BudgetChange(0, team, *part))
            for zone, parts in site.zone_shares().items()
            for team, part in parts.items()
        }

    def decide(self, arrival: Arrival) -> CallDecision:
        """Take from the own zone, else from any zone within reach."""
        for zone in self._zones_within_reach(arrival):
            bucket = self.buckets.get((zone, arrival.team))
            if bucket is None:
                continue
            bucket.advance(arrival.at)
            if bucket.level >= 1:
                bucket.level -= 1
                return CallDecision(arrival.at, arrival)
        return CallDecision(arrival.at, arrival, 'over-rate')

    def _zones_within_reach(self, arrival: Arrival) -> list[str]:
        own = self.site.zone_of[arrival.node]
        cut = self.trouble.zone if arrival.at >= self.trouble.at else ''
        others = [zone for zone in ZONES if cut not in {zone, own}]
        return [own, *(zone for zone in others if zone != own)]
