"""Turns a caller's request into a call, or says what is wrong with it.

This is the only place that decides for which team a request runs: the team
of the key that came with it, the team of the context that a target passed
on, or none on a route open to all.
"""

import math

from ebonycleat.internal.request.call import Call, Priority
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)
from ebonycleat.internal.version.view import ConfigurationView, RouteInForce

MAX_IDEMPOTENCY_KEY_LENGTH = 200
MILLISECONDS_PER_S = 1000


def build_call(
    request: IncomingRequest,
    view: ConfigurationView,
    now: float,
) -> Call | Refusal:
    """Build the call of a request that came without a context."""
    route = view.match_route(request.method, request.path)
    if isinstance(route, Refusal):
        return route
    team = _team_of(request, route, view)
    if isinstance(team, Refusal):
        return team
    time_left_s = _time_left_s(request, route)
    if isinstance(time_left_s, Refusal):
        return time_left_s
    mistake = _idempotency_mistake(request, route)
    if mistake is not None:
        return mistake
    return Call(
        call_id=request.request_id,
        root_id=request.request_id,
        team=team,
        route=route.route,
        service=route.service,
        priority=route.priority,
        idempotent=route.idempotent,
        deadline=now + time_left_s,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        idempotency_key='' if route.idempotent else request.idempotency_key,
        key_digest=request.key_digest if team else '',
        retry_allowance=route.retry_limit,
    )


def is_internal(call: Call) -> bool:
    """Tell whether the call came from a target without its context."""
    return call.priority is Priority.LOWEST


def _team_of(
    request: IncomingRequest,
    route: RouteInForce,
    view: ConfigurationView,
) -> str | Refusal:
    if request.key_digest:
        return view.team_of_key(request.key_digest)
    if route.open_to_all:
        return ''
    return refuse_not_run(
        Reason.MISSING_KEY,
        'send the team\'s key as "Authorization: Bearer KEY"',
    )


def _time_left_s(
    request: IncomingRequest,
    route: RouteInForce,
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


def _idempotency_mistake(
    request: IncomingRequest,
    route: RouteInForce,
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
