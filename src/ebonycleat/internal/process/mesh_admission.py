"""Decides at the entry whether a request may go on, and to which service.

The order is: configuration, route, key; the tokens of the team come next.
Each refusal made here is NOT_RUN, because nothing has been sent.
"""

import itertools

import msgspec

from ebonycleat.internal.connection.http_messages import HttpRequest
from ebonycleat.internal.connection.platform_interfaces import CallerRequest
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.request.call import LOWEST_PRIORITY, Call, Priority
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)
from ebonycleat.internal.version.mesh_configuration import (
    ConfigurationIndex,
    MeshRoute,
    MeshTeam,
    fingerprint_key,
)

NO_CONFIGURATION_RETRY_AFTER_S = 0.3
"""A node that starts reads its configuration within a few milliseconds of
the store's first answer."""

STALE_RETRY_AFTER_S = 1.0
"""Reads of the store are repeated about this often while it is away."""

UNKNOWN_PARENT_DEPTH = 1
"""Depth of requests that targets make; earlier hops have paid for them."""


class AdmittedRequest(msgspec.Struct, frozen=True):
    """A request that may be sent to a target.

    ``host`` and ``request_id`` are the caller's; ``key_mark`` is empty on
    routes open to all. ``answer_by`` is in seconds on the loop's clock.
    ``parent_route`` is that of the request for which the own target makes
    this one, empty if that is not known.
    """

    call: Call
    request_id: str
    host: str
    key_fingerprint: bytes
    attempts: int
    answer_deadline: float
    parent_route: str = ''


class WeightedServices:
    """Divides a route's requests over services by exact weights."""

    def __init__(self) -> None:
        """Start with nothing divided."""
        self.credits: dict[str, dict[str, float]] = {}

    def choose_service(self, route: MeshRoute) -> str:
        """Return the service whose turn it is (smooth round robin)."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        known = self.credits.get(route.name, {})
        earned = {
            part.service: known.get(part.service, 0) + part.weight
            for part in route.weighted_services
        }
        chosen = max(sorted(earned), key=earned.__getitem__)
        earned[chosen] -= sum(part.weight for part in route.weighted_services)
        self.credits[route.name] = earned
        return chosen

    def forget_routes(self, index: ConfigurationIndex) -> None:
        """Drop routes and services that are no longer configured."""
        for name in tuple(self.credits):
            route = index.routes.get(name)
            if route is None or route.services != set(self.credits[name]):
                self.credits.pop(name)


class MeshAdmission:
    """The decisions of one node at its entry."""

    def __init__(
        self,
        node: str,
        holder: ConfigurationHolder,
    ) -> None:
        """Decide by the holder's configuration."""
        self.node = node
        self.holder = holder
        self.weighted_services = WeightedServices()
        self.call_numbers = itertools.count(1)
        holder.listeners.append(self.weighted_services.forget_routes)

    def admit(
        self,
        http: HttpRequest,
        caller: CallerRequest,
        parent: Call | None,
        now: float,
    ) -> AdmittedRequest | Refusal:
        """Admit a request or refuse it.

        ``parent`` is the request at the own target for which this one is
        made, as far as that is known.
        """
        index = self.holder.index
        if index is None:
            return _NO_CONFIGURATION
        route = index.find_route(caller.host, caller.path)
        if route is None:
            return _NO_ROUTE
        team = self.find_team(index, route, caller, now)
        if isinstance(team, Refusal):
            return team
        return self.build_admitted(
            http, caller, index, route, team, parent, now
        )

    def find_team(
        self,
        index: ConfigurationIndex,
        route: MeshRoute,
        caller: CallerRequest,
        now: float,
    ) -> MeshTeam | Refusal | None:
        """Team whose key came; None where no key is needed."""
        if route.is_open_to_all or not index.teams:
            return None
        if not self.holder.may_trust_keys(now):
            return _STALE
        if not caller.key:
            return _MISSING_KEY
        return index.team_by_key.get(caller.key) or _UNKNOWN_KEY

    def build_admitted(
        self,
        http: HttpRequest,
        caller: CallerRequest,
        index: ConfigurationIndex,
        route: MeshRoute,
        team: MeshTeam | None,
        parent: Call | None,
        now: float,
    ) -> AdmittedRequest:
        """Describe an admitted request."""
        priority = priority_of(index, route, team)
        depth = 0
        parent_route = ''
        if team is None:
            depth = UNKNOWN_PARENT_DEPTH
            if parent is not None:
                # A call is as important as what it is for.
                priority = parent.priority
                depth = parent.depth + 1
                parent_route = parent.route
        wait_s = route.timeout_s
        if caller.timeout_s is not None:
            wait_s = min(wait_s, caller.timeout_s)
        number = next(self.call_numbers)
        mark = b'' if team is None else fingerprint_key(caller.key)
        call = Call(
            call_id=f'{self.node}/{number}',
            root_id=caller.request_id,
            team='' if team is None else team.name,
            route=route.name,
            service=self.weighted_services.choose_service(route),
            priority=priority,
            idempotent=route.is_idempotent,
            deadline=now + wait_s,
            method=http.method,
            path=http.request_target,
            headers=caller.headers,
            body=http.body,
            key_digest=mark.hex(),
            depth=depth,
        )
        return AdmittedRequest(
            call,
            caller.request_id,
            caller.host,
            mark,
            max(1, route.attempts),
            now + wait_s,
            parent_route,
        )


def priority_of(
    index: ConfigurationIndex,
    route: MeshRoute,
    team: MeshTeam | None,
) -> Priority:
    """Class of a request: by its team's priority, then by its route's.

    Teams of equal priority leave the route's to decide.
    """
    rank = route.priority
    if team is not None:
        rank += index.priority_offset_by_team[team.name]
    return Priority(min(max(rank, 0), LOWEST_PRIORITY))


_NO_CONFIGURATION = refuse_not_run(
    Reason.NO_CONFIGURATION,
    'this node has not read a configuration yet',
    retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
)
_STALE = refuse_not_run(
    Reason.STALE_CONFIGURATION,
    'this node cannot tell whether the key was withdrawn',
    retry_after_s=STALE_RETRY_AFTER_S,
)
_NO_ROUTE = refuse_not_run(Reason.NO_ROUTE, 'no route matches')
_MISSING_KEY = refuse_not_run(Reason.MISSING_KEY, 'send the key of your team')
_UNKNOWN_KEY = refuse_not_run(Reason.UNKNOWN_KEY, 'the key is not known')
