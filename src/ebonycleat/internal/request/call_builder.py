"""Turns a caller's request into a call, or says what is wrong with it.

This is the only place that decides for which team a request runs: the team
of the key that came with it, the team of the context that a target passed
on, or none on a route open to all.
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
    ConfigurationView,
    ActiveRoute,
)

MAX_IDEMPOTENCY_KEY_LENGTH = 200
MILLISECONDS_PER_S = 1000

ContextLookup: TypeAlias = RequestContext | NoContext


@dataclasses.dataclass(frozen=True, slots=True)
class Principal:
    """For whom a request runs, and how important that makes it.

    ``deadline`` is in seconds on the node's clock, infinite for a root
    request. ``spends_token`` is false for calls inside a call tree: the root
    has paid for them.
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
    """A call that is ready to be admitted."""

    call: Call
    spends_token: bool


def build_call(
    request: IncomingRequest,
    view: ConfigurationView,
    context: ContextLookup,
    now: float,
) -> BuiltCall | Refusal:
    """Build the call of a request, or refuse it with the true reason."""
    route = view.find_route(request.method, request.path)
    if isinstance(route, Refusal):
        return route
    principal = _find_principal(request, route, view, context)
    if isinstance(principal, Refusal):
        return principal
    time_left_s = _time_left_s(request, route)
    if isinstance(time_left_s, Refusal):
        return time_left_s
    mistake = _check_idempotency_key(request, route)
    if mistake is not None:
        return mistake
    deadline = min(now + time_left_s, principal.deadline)
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
        return _principal_of_context(context)
    team = view.find_team_of_key(request.key_digest)
    if isinstance(team, str):
        return Principal(
            team,
            request.key_digest,
            route.priority,
            route.retry_limit,
        )
    if route.open_to_all:
        # Nobody pays for such calls, so they never displace paying callers.
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
        'send the team\'s key as "Authorization: Bearer KEY"',
    )


def _principal_of_context(context: RequestContext) -> Principal:
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


def _time_left_s(
    request: IncomingRequest,
    route: ActiveRoute,
) -> float | Refusal:
    route_s = route.timeout_ms / MILLISECONDS_PER_S
    if not request.timeout_ms:
        return route_s
    try:
        wanted_s = float(request.timeout_ms) / MILLISECONDS_PER_S
    except ValueError:
        wanted_s = math.nan
    if math.isfinite(wanted_s) and wanted_s > 0:
        return min(route_s, wanted_s)
    return refuse_not_run(
        Reason.BAD_REQUEST,
        'Ebonycleat-Timeout-Ms must be a number of milliseconds above 0',
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
            f'send an Idempotency-Key header; route {route.route} runs each '
            'key of a team at most once',
        )
    if len(request.idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        return refuse_not_run(
            Reason.BAD_REQUEST,
            'the Idempotency-Key is longer than '
            f'{MAX_IDEMPOTENCY_KEY_LENGTH} characters',
        )
    return None
