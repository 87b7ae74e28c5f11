"""Builds the call of a caller's request, or refuses an invalid request.

Only this module decides for which team a request runs: the team of the
context that a target passed on, the team of the API key, or no team on a
route that is open to all.
"""

import dataclasses
import math
from typing import TypeAlias

from ebonycleat.internal.request.call import Call, Priority
from ebonycleat.internal.request.context import NoContext, RequestContext
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)
from ebonycleat.internal.version.configuration_view import (
    ActiveRoute,
    ConfigurationView,
)

MAX_IDEMPOTENCY_KEY_LENGTH = 200
MILLISECONDS_PER_S = 1000

ContextLookup: TypeAlias = RequestContext | NoContext


@dataclasses.dataclass(frozen=True, slots=True)
class Principal:
    """The team that a request runs for, and what follows from it.

    ``deadline`` is the one inherited from the parent call, in seconds on the
    node's monotonic clock; it is infinite for a root request.
    ``spends_token`` tells whether the request counts against the rate of its
    team. Calls below the root of a call tree do not, because the root has been
    counted.
    """

    team: str
    key_digest: str
    priority: Priority
    retry_limit: int
    deadline: float = math.inf
    root_id: str = ''
    depth: int = 0
    spends_token: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class BuiltCall:
    """The call of a valid request, which has not been admitted yet."""

    call: Call
    spends_token: bool


def build_call(
    request: IncomingRequest,
    view: ConfigurationView,
    context: ContextLookup,
    now: float,
) -> BuiltCall | Refusal:
    """Build the call of a request, or refuse the request.

    ``now`` is in seconds on the clock of the call's deadline.
    """
    route = view.find_route(request.method, request.path)
    if isinstance(route, Refusal):
        return route
    principal = _find_principal(request, route, view, context)
    if isinstance(principal, Refusal):
        return principal
    timeout_s = _choose_timeout_s(request, route)
    if isinstance(timeout_s, Refusal):
        return timeout_s
    key_refusal = _check_idempotency_key(request, route)
    if key_refusal is not None:
        return key_refusal
    deadline = min(now + timeout_s, principal.deadline)
    call = _create_call(request, route, principal, deadline)
    return BuiltCall(call, principal.spends_token)


def _create_call(
    request: IncomingRequest,
    route: ActiveRoute,
    principal: Principal,
    deadline: float,
) -> Call:
    return Call(
        call_id=request.request_id,
        root_id=principal.root_id or request.request_id,
        team=principal.team,
        route=route.route,
        service=route.service,
        priority=principal.priority,
        idempotent=route.idempotent,
        deadline=deadline,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        idempotency_key='' if route.idempotent else request.idempotency_key,
        key_digest=principal.key_digest,
        depth=principal.depth,
        retry_allowance=principal.retry_limit,
    )


def _find_principal(
    request: IncomingRequest,
    route: ActiveRoute,
    view: ConfigurationView,
    context: ContextLookup,
) -> Principal | Refusal:
    if isinstance(context, RequestContext):
        return _inherit_principal(context)
    team = view.find_team_of_key(request.key_digest)
    if isinstance(team, str):
        return Principal(
            team,
            request.key_digest,
            route.priority,
            route.retry_limit,
        )
    if route.open_to_all:
        # Such calls count against no team's rate. With the lowest priority
        # they cannot displace the calls of teams.
        return Principal(
            '',
            '',
            context.priority,
            context.retry_allowance,
            spends_token=False,
        )
    if request.key_digest:
        return team
    return refuse_not_run(
        Reason.MISSING_KEY,
        'the request has no key; send the key of the team as '
        '"Authorization: Bearer KEY"',
    )


def _inherit_principal(context: RequestContext) -> Principal:
    parent = context.call
    return Principal(
        parent.team,
        parent.key_digest,
        parent.priority,
        0,
        deadline=parent.deadline,
        root_id=parent.root_id,
        depth=context.child_depth,
        spends_token=False,
    )


def _choose_timeout_s(
    request: IncomingRequest,
    route: ActiveRoute,
) -> float | Refusal:
    route_timeout_s = route.timeout_ms / MILLISECONDS_PER_S
    if not request.timeout_ms:
        return route_timeout_s
    try:
        requested_s = float(request.timeout_ms) / MILLISECONDS_PER_S
    except ValueError:
        requested_s = math.nan
    if math.isfinite(requested_s) and requested_s > 0:
        return min(route_timeout_s, requested_s)
    return refuse_not_run(
        Reason.BAD_REQUEST,
        'the header Ebonycleat-Timeout-Ms must be a number of milliseconds '
        'above 0',
    )


def _check_idempotency_key(
    request: IncomingRequest,
    route: ActiveRoute,
) -> Refusal | None:
    if route.idempotent:
        return None
    if not request.idempotency_key:
        return refuse_not_run(
            Reason.MISSING_IDEMPOTENCY_KEY,
            f'send an Idempotency-Key header: route {route.route} is not '
            'idempotent and runs each key of a team at most once',
        )
    if len(request.idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        return refuse_not_run(
            Reason.BAD_REQUEST,
            'the Idempotency-Key must have at most '
            f'{MAX_IDEMPOTENCY_KEY_LENGTH} characters; send a shorter one',
        )
    return None
