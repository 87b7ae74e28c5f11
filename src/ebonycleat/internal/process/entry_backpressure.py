"""Admission at the entry by what the deepest full service can take.

An entry learns from answers which full services the requests to a service
lead to, and admits the most important of them up to the published share. It
keeps what it learned for a while: when all requests are refused no answer
comes, and forgetting at once would let everything in again.
"""

import collections
import dataclasses
from collections.abc import Iterable

from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.backpressure import (
    UNLIMITED_SHARE,
    AdmissibleShares,
)
from ebonycleat.internal.process.route_costs import RouteCosts
from ebonycleat.internal.request.call import Call, Priority

REPORTED_SHARE_VALID_S = 1.0
"""A share that no answer has confirmed for so long begins to rise."""

STALE_SHARE_RISE_PER_S = 2.0
"""Factor by which an unconfirmed share rises each second: from the smallest
share to all requests in 4.3 s."""

ROUTE_SERVICE_VALID_S = 30.0
"""How long an entry remembers that a service's requests lead to another."""

SHARE_SMOOTHING_FACTOR = 0.3
"""Several gates of a service tell different shares; this averages them."""

CLASS_GUARANTEED_FRACTION = 0.25
"""Part of its equal share that each class keeps however urgent the others
are: the users call a kind of request starved that is served less than a
quarter as often as all."""

CLASS_DECAY_TIME_S = 2.0
"""Over how long an entry remembers which classes its requests have."""


@dataclasses.dataclass(slots=True)
class ReportedShares:
    """The shares of a service as they came with answers."""

    direct: float
    called: float
    received_at: float
    calls_by_route: dict[str, float] = dataclasses.field(default_factory=dict)

    def average_in(
        self, heard: AdmissibleShares, route: str, now: float
    ) -> None:
        """Take in one more answer to a request on ``route``."""
        calls = self.calls_by_route.get(route, heard.calls)
        calls += (heard.calls - calls) * SHARE_SMOOTHING_FACTOR
        self.calls_by_route[route] = calls
        self.direct += (heard.direct - self.direct) * SHARE_SMOOTHING_FACTOR
        self.called += (heard.called - self.called) * SHARE_SMOOTHING_FACTOR
        self.received_at = now

    def current(self, service: str, now: float) -> AdmissibleShares:
        """The shares as they count now."""
        stale_s = max(0, now - self.received_at - REPORTED_SHARE_VALID_S)
        rise = STALE_SHARE_RISE_PER_S**stale_s
        return AdmissibleShares(
            service,
            min(1, self.direct * rise),
            min(1, self.called * rise),
        )


class ClassDemand:
    """What this entry's requests cost one full service, by class."""

    def __init__(self, now: float) -> None:
        """Start with nothing counted."""
        self.cost_by_class: dict[Priority, float] = collections.defaultdict(
            float
        )
        self.admission_credit: dict[Priority, float] = collections.defaultdict(
            float
        )
        self.decayed_at = now

    def count(self, priority: Priority, calls: float, now: float) -> None:
        """Count one request with what it costs; old ones fade."""
        keep = max(0, 1 - (now - self.decayed_at) / CLASS_DECAY_TIME_S)
        self.decayed_at = now
        for known in self.cost_by_class:
            self.cost_by_class[known] *= keep
        self.cost_by_class[priority] += calls

    def admitted_fraction(self, priority: Priority, share: float) -> float:
        """Part of a class that fits when the more important go first."""
        own = self.cost_by_class[priority]
        if own <= 0:
            return 1
        kept = share * CLASS_GUARANTEED_FRACTION
        total = sum(self.cost_by_class.values())
        before = sum(
            count
            for known, count in self.cost_by_class.items()
            if known < priority
        )
        # What is left when each class has its kept part.
        room = (share - kept) * total - (1 - kept) * before
        return min(1, kept + max(0, room / own))

    def admit(self, priority: Priority, part: float) -> bool:
        """Admit this part of a class, evenly spread."""
        self.admission_credit[priority] = (
            min(1, self.admission_credit[priority]) + part
        )
        if self.admission_credit[priority] < 1:
            return False
        self.admission_credit[priority] -= 1
        return True


class EntryBackpressure:
    """What an entry knows of full services, and whom it admits."""

    def __init__(self, costs: RouteCosts) -> None:
        """Start with nothing heard; ``costs`` are those of the own target."""
        self.costs = costs
        self.reported: dict[str, ReportedShares] = {}
        self.services_on_route: dict[str, dict[str, float]] = {}
        self.services_behind_target: dict[str, dict[str, float]] = {}
        self.demand: dict[tuple[str, bool], ClassDemand] = {}

    def record_shares(
        self,
        admitted: AdmittedRequest,
        shares: Iterable[AdmissibleShares],
        now: float,
    ) -> None:
        """Note the shares on an answer.

        If the own target made the request, the shares also hold for those
        that come to the target on the route that it was made for.
        """
        route = admitted.call.route
        for one in shares:
            known = self.reported.setdefault(
                one.service,
                ReportedShares(one.direct, one.called, now),
            )
            known.average_in(one, route, now)
            self.services_on_route.setdefault(route, {})[one.service] = now
            if admitted.call.depth:
                behind = self.services_behind_target.setdefault(
                    admitted.parent_route, {}
                )
                behind[one.service] = now

    def overloaded_behind_target(
        self,
        route: str,
        now: float,
    ) -> list[AdmissibleShares]:
        """Full services that the own target calls for a route's requests.

        Calls whose parent is not known count for all routes.
        """
        known = _not_older(
            self.services_behind_target.get(route), REPORTED_SHARE_VALID_S, now
        )
        known |= _not_older(
            self.services_behind_target.get(''), REPORTED_SHARE_VALID_S, now
        )
        return [
            dataclasses.replace(
                self.reported[name].current(name, now),
                calls=self.calls_per_request(route, name),
            )
            for name in sorted(known)
        ]

    def calls_per_request(self, parent_route: str, service: str) -> float:
        """Calls at a service that one request at the own target causes."""
        heard = self.reported[service].calls_by_route
        parents = (parent_route, '') if parent_route else ('',)
        caused = sum(
            self.costs.calls_per_run(parent, route) * heard[route]
            for parent in parents
            for route in self.costs.calls.get(parent, ())
            if route in heard
        )
        return caused or 1

    def record_call(self, admitted: AdmittedRequest, now: float) -> None:
        """Count a call that the own target makes."""
        if admitted.call.depth:
            route = admitted.call.route
            self.costs.record_call(admitted.parent_route, route, now)

    def overloaded_on_route(
        self, route: str, now: float
    ) -> list[AdmissibleShares]:
        """Full services that requests on a route lead to."""
        path = _not_older(
            self.services_on_route.get(route), ROUTE_SERVICE_VALID_S, now
        )
        return [
            dataclasses.replace(
                self.reported[name].current(name, now),
                calls=self.reported[name].calls_by_route.get(route, 1),
            )
            for name in sorted(path)
        ]

    def admitted_fraction(self, call: Call, now: float) -> float:
        """Part of the requests like this one that the way can take.

        Calls that targets make were admitted with the request that caused
        them.
        """
        if call.depth:
            return 1
        part: float = 1
        for full in self.overloaded_on_route(call.route, now):
            is_direct = full.service == call.service
            share = full.direct if is_direct else full.called
            classes = self.demand.setdefault(
                (full.service, is_direct),
                ClassDemand(now),
            )
            classes.count(call.priority, full.calls, now)
            if share < UNLIMITED_SHARE:
                part = min(
                    part, classes.admitted_fraction(call.priority, share)
                )
        return part

    def admit(self, call: Call, part: float) -> bool:
        """Whether this request is among the part admitted."""
        if part >= 1:
            return True
        shares = self.demand.setdefault((call.route, True), ClassDemand(0))
        return shares.admit(call.priority, part)


def _not_older(
    heard: dict[str, float] | None,
    valid_s: float,
    now: float,
) -> set[str]:
    """Names that were heard within a time."""
    if not heard:
        return set()
    return {
        name for name, heard_at in heard.items() if now - heard_at < valid_s
    }
