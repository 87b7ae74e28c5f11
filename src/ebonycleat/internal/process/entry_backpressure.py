"""Admission at the entry by the capacity of overloaded services behind it.

The entry is the part of a node that takes the requests of its callers and of
its target. Answers tell an entry which overloaded services the requests on a
route lead to, and which share of the offered load each of them can take. The
entry admits the most important requests up to that share. It remembers the
shares for a while: if it refuses all requests, no answer comes, and forgetting
the shares at once would admit everything again.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

from ebonycleat.internal.process.admission.fair_shares import (
    TeamShare,
    TeamShares,
)
from ebonycleat.internal.process.backpressure import (
    MAX_CALLS_PER_REQUEST,
    UNLIMITED_SHARE,
    AdmissibleShares,
)
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.route_call_counts import RouteCallCounts
from ebonycleat.internal.process.team_weights import TeamWeights
from ebonycleat.internal.request.call import Call, Priority

REPORTED_SHARE_VALID_S = 1.0
"""A share that no answer has confirmed for this long begins to rise."""

STALE_SHARE_RISE_PER_S = 2.0
"""Factor by which an unconfirmed share grows each second. It grows from the
smallest share to all requests in 4.3 s."""

ROUTE_SERVICE_VALID_S = 30.0
"""How long an entry remembers that a route's requests lead to a service."""

SHARE_SMOOTHING_FACTOR = 0.3
"""Weight of a new share in the moving average, because the gates of one
service report different shares."""

CLASS_GUARANTEED_FRACTION = 0.25
"""Fraction of its equal share that each priority class keeps, however
important the others are. A class counts as starved if it is served less than a
quarter as often as all requests."""

CLASS_DECAY_TIME_S = 2.0
"""Time over which the counts of requests per class decay."""

MAX_CREDITS = 8192
"""Limit of routes, classes and teams whose credits are kept."""

GOLDEN_RATIO = 0.618034
"""Multiples of it, modulo 1, are spread evenly over 0 to 1."""


@dataclasses.dataclass(slots=True)
class ReportedShares:
    """Moving average of the shares that answers reported for one service.

    ``calls_by_route`` has, for each route, the calls at the service that one
    request on the route causes.
    """

    direct: float
    called: float
    received_at: float
    calls_by_route: dict[str, float] = dataclasses.field(default_factory=dict)

    def add_sample(
        self,
        reported: AdmissibleShares,
        route: str,
        now: float,
    ) -> None:
        """Add the shares that came with an answer on ``route``."""
        calls = self.calls_by_route.get(route, reported.calls)
        calls += (reported.calls - calls) * SHARE_SMOOTHING_FACTOR
        self.calls_by_route[route] = calls
        self.direct += (reported.direct - self.direct) * SHARE_SMOOTHING_FACTOR
        self.called += (reported.called - self.called) * SHARE_SMOOTHING_FACTOR
        self.received_at = now

    def add_unlimited_sample(self) -> None:
        """Add the answer of a gate that can take all, and so reports nothing.

        Without these, one overloaded gate among many would stand for all.
        """
        self.direct += (1 - self.direct) * SHARE_SMOOTHING_FACTOR
        self.called += (1 - self.called) * SHARE_SMOOTHING_FACTOR

    def current(
        self, service: str, calls: float, now: float
    ) -> AdmissibleShares:
        """Return the shares of ``service``, raised while unconfirmed.

        ``calls`` is how many calls there one request on a route causes.
        """
        stale_s = now - self.received_at - REPORTED_SHARE_VALID_S
        if stale_s <= 0:
            return AdmissibleShares(
                service,
                self.direct,
                self.called,
                calls,
            )
        rise = STALE_SHARE_RISE_PER_S**stale_s
        return AdmissibleShares(
            service,
            min(1, self.direct * rise),
            min(1, self.called * rise),
            calls,
        )


class ClassDemand:
    """Calls that an entry's requests cause at one service, by priority class.

    The counts decay within ``CLASS_DECAY_TIME_S``.
    """

    def __init__(self, now: float, weights: TeamWeights) -> None:
        """Start without counts; teams share each class by ``weights``."""
        self.calls_by_class: dict[Priority, float] = collections.defaultdict(
            float
        )
        self.teams: dict[Priority, TeamShares] = {}
        self.weights = weights
        self.decayed_at = now

    def count(self, priority: Priority, calls: float, now: float) -> None:
        """Count one request with the calls that it causes at the service."""
        decay = max(0, 1 - (now - self.decayed_at) / CLASS_DECAY_TIME_S)
        self.decayed_at = now
        for counted in self.calls_by_class:
            self.calls_by_class[counted] *= decay
        self.calls_by_class[priority] += calls

    def admitted_fraction(self, priority: Priority, share: float) -> float:
        """Return the fraction of a class that fits into the share.

        More important classes go first, but each class keeps
        ``CLASS_GUARANTEED_FRACTION`` of its equal share.
        """
        own = self.calls_by_class[priority]
        if own <= 0:
            return 1
        guaranteed = share * CLASS_GUARANTEED_FRACTION
        total = sum(self.calls_by_class.values())
        more_important = sum(
            calls
            for other, calls in self.calls_by_class.items()
            if other < priority
        )
        # What is left for this class once every class has its guaranteed
        # fraction and the more important ones have all of theirs.
        available = (share - guaranteed) * total - (
            (1 - guaranteed) * more_important
        )
        return min(1, guaranteed + max(0, available / own))

    def count_team(self, call: Call, calls: float, now: float) -> None:
        """Count one request for its team, if teams share the class."""
        if not self.is_shared_by_teams(call):
            return
        if call.priority not in self.teams:
            self.teams[call.priority] = TeamShares(self.weights)
        self.teams[call.priority].count(call.team, calls, now)

    def is_shared_by_teams(self, call: Call) -> bool:
        """Tell whether the class of a call is divided among teams.

        Where all teams have a rate, each entry sees too few requests of a
        team for a better division than by class.
        """
        return bool(call.team) and self.weights.has_unlimited

    def team_fraction(self, call: Call, share: float, now: float) -> float:
        """Return the fraction of a team's requests that fits into the share.

        What the class of the call may use is divided among its teams if one
        of them has no rate.
        Requests of open routes have no team and get the fraction of the class.
        """
        class_fraction = self.admitted_fraction(call.priority, share)
        if class_fraction >= 1 or not self.is_shared_by_teams(call):
            return class_fraction
        shares = self.teams[call.priority]
        return shares.fraction(call.team, class_fraction, now)


class AdmissionCredits:
    """Spreads the admitted requests of each route, class and team evenly.

    Each request adds the fraction to admit to a credit, and an admitted one
    takes 1 from it.
    """

    def __init__(self) -> None:
        """Start without credits."""
        self.credits: dict[tuple[str, Priority, str], float] = {}
        self.first_credit: float = 0

    def admit(self, call: Call, team: str, fraction: float) -> bool:
        """Tell whether to admit one request, given the fraction to admit.

        ``team`` is empty where teams do not share the class.
        """
        key = (call.route, call.priority, team)
        credit = self.credits.get(key)
        if credit is None:
            credit = self.choose_first_credit()
        credit = min(1, credit) + fraction
        is_admitted = credit >= 1
        self.credits[key] = credit - is_admitted
        return is_admitted

    def choose_first_credit(self) -> float:
        """Return the credit of a team that is not known yet.

        The credits are spread evenly over 0 to 1. If all began alike, the
        first requests of all teams that send few would be refused together.
        """
        if len(self.credits) >= MAX_CREDITS:
            self.credits.clear()
        self.first_credit = math.fmod(self.first_credit + GOLDEN_RATIO, 1)
        return self.first_credit


class EntryBackpressure:
    """Decides which requests an entry admits, by the shares in answers.

    ``services_on_route`` and ``services_behind_target`` have, by route and
    service, when an answer last reported the service as overloaded.
    """

    def __init__(self, call_counts: RouteCallCounts) -> None:
        """Start without reports; ``call_counts`` counts the local target's calls."""
        self.call_counts = call_counts
        self.reported: dict[str, ReportedShares] = {}
        self.services_on_route: dict[str, dict[str, float]] = {}
        self.services_behind_target: dict[str, dict[str, float]] = {}
        self.demand: dict[tuple[str, bool], ClassDemand] = {}
        self.weights = TeamWeights()
        self.credits = AdmissionCredits()

    def record_shares(
        self,
        admitted: AdmittedRequest,
        shares: Iterable[AdmissibleShares],
        now: float,
    ) -> None:
        """Record the shares that came with the answer to a request.

        If the local target made the request, the shares also hold for the
        requests that the target gets on the parent request's route.
        """
        route = admitted.call.route
        service = admitted.call.service
        if service in self.reported and all(
            reported.service != service for reported in shares
        ):
            self.reported[service].add_unlimited_sample()
        for reported in shares:
            averaged = self.reported.setdefault(
                reported.service,
                ReportedShares(reported.direct, reported.called, now),
            )
            averaged.add_sample(reported, route, now)
            self.services_on_route.setdefault(route, {})[reported.service] = now
            if admitted.call.depth:
                behind = self.services_behind_target.setdefault(
                    admitted.parent_route, {}
                )
                behind[reported.service] = now

    def overloaded_behind_target(
        self,
        route: str,
        now: float,
    ) -> list[AdmissibleShares]:
        """Return overloaded services that requests on a route reach later.

        These are the ones behind the local target. A call of the target
        whose parent is not known counts for all routes.
        """
        names = _reported_within(
            self.services_behind_target.get(route), REPORTED_SHARE_VALID_S, now
        )
        names |= _reported_within(
            self.services_behind_target.get(''), REPORTED_SHARE_VALID_S, now
        )
        return [
            self.reported[name].current(
                name, self.calls_per_request(route, name), now
            )
            for name in sorted(names)
        ]

    def calls_per_request(self, parent_route: str, service: str) -> float:
        """Return the calls at a service per request at the local target.

        ``parent_route`` is the route of that request. The result is 1 if
        no calls are counted.
        """
        calls_by_route = self.reported[service].calls_by_route
        parents = (parent_route, '') if parent_route else ('',)
        caused = sum(
            self.call_counts.calls_per_run(parent, route)
            * calls_by_route[route]
            for parent in parents
            for route in self.call_counts.calls.get(parent, ())
            if route in calls_by_route
        )
        return min(caused, MAX_CALLS_PER_REQUEST) or 1

    def record_call(self, admitted: AdmittedRequest, now: float) -> None:
        """Count a call that the local target makes; ignore other requests."""
        if admitted.call.depth:
            route = admitted.call.route
            self.call_counts.record_call(admitted.parent_route, route, now)

    def overloaded_on_route(
        self, route: str, now: float
    ) -> list[AdmissibleShares]:
        """Return the overloaded services that requests on a route lead to."""
        names = _reported_within(
            self.services_on_route.get(route), ROUTE_SERVICE_VALID_S, now
        )
        return [
            self.reported[name].current(
                name, self.reported[name].calls_by_route.get(route, 1), now
            )
            for name in sorted(names)
        ]

    def admitted_fraction(self, call: Call, now: float) -> float:
        """Return the fraction of requests like this one to be admitted.

        It follows from the overloaded service with the least spare capacity.
        Calls that targets make are always admitted here, because they were
        admitted with the request that caused them.
        """
        if call.depth:
            return 1
        fraction: float = 1
        for overloaded in self.overloaded_on_route(call.route, now):
            is_direct = overloaded.service == call.service
            share = overloaded.direct if is_direct else overloaded.called
            demand = self.demand.setdefault(
                (overloaded.service, is_direct),
                ClassDemand(now, self.weights),
            )
            demand.count(call.priority, overloaded.calls, now)
            if share < UNLIMITED_SHARE:
                demand.count_team(call, overloaded.calls, now)
                fraction = min(fraction, demand.team_fraction(call, share, now))
        return fraction

    def admit(self, call: Call, fraction: float) -> bool:
        """Tell whether to admit this request, given the fraction to admit."""
        if fraction >= 1:
            return True
        team = call.team if self.weights.has_unlimited else ''
        return self.credits.admit(call, team, fraction)

    def find_limiting_share(self, call: Call, now: float) -> TeamShare | None:
        """Return the share that limits the team of a call more than others.

        None is returned if its whole class is limited as much.
        """
        shares = (
            self.describe_share(call, overloaded, now)
            for overloaded in self.overloaded_on_route(call.route, now)
        )
        return min(
            (share for share in shares if share is not None),
            key=lambda share: share.team_fraction,
            default=None,
        )

    def describe_share(
        self, call: Call, overloaded: AdmissibleShares, now: float
    ) -> TeamShare | None:
        """Return the share of a call's team at one service if it is limited."""
        is_direct = overloaded.service == call.service
        demand = self.demand.get((overloaded.service, is_direct))
        if demand is None or call.priority not in demand.teams:
            return None
        class_fraction = demand.admitted_fraction(
            call.priority, overloaded.direct if is_direct else overloaded.called
        )
        return demand.teams[call.priority].describe(
            overloaded.service, call.team, class_fraction, now
        )


def _reported_within(
    reported_at: dict[str, float] | None,
    valid_s: float,
    now: float,
) -> set[str]:
    """Return the names that were reported within ``valid_s`` seconds."""
    if not reported_at:
        return set()
    return {name for name, at in reported_at.items() if now - at < valid_s}
