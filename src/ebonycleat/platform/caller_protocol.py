"""Requests of callers and the responses to them, in the platform's format."""

import math

from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
    drop_hop_by_hop_headers,
    find_header,
)
from ebonycleat.internal.connection.platform_interfaces import (
    CallerProtocol,
    CallerRequest,
)
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
)
from ebonycleat.platform import header_names as names

MILLISECONDS_PER_S = 1000
MAX_TIMEOUT_S = 3600
"""A longer time-out in the deadline header is ignored; only the time-out of the
route then applies."""

# Statuses by which callers know that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((400, 401, 404, 408, 413, 421, 429, 431, 503))
UNAVAILABLE = 503
BAD_GATEWAY = 502

ID_SEPARATOR = '.'
MAX_ID_PARTS = 32
"""Limits the work for one id; calls are nested up to 13 deep."""


class PlatformCallerProtocol(CallerProtocol):
    """Reads requests that carry their id, deadline and key in headers."""

    def parse_request(self, request: HttpRequest) -> CallerRequest | Refusal:
        """Decode a request; one without an id or a host is refused."""
        request_id = find_header(request.headers, names.REQUEST_ID)
        host = find_header(request.headers, names.HOST)
        if not request_id or not host:
            return refuse_not_run(
                Reason.BAD_REQUEST,
                'the headers X-Request-Id and Host are required; send both',
            )
        return CallerRequest(
            request_id=request_id,
            host=host.partition(':')[0].lower(),
            path=request.request_target.partition('?')[0],
            timeout_s=_read_timeout(request),
            key=_read_key(request),
            headers=tuple(
                pair
                for pair in drop_hop_by_hop_headers(request.headers)
                if pair[0] not in names.SET_BY_NODE
            ),
            ancestor_ids=_find_ancestors(request_id),
        )

    def render_refusal(self, request_id: str, refusal: Refusal) -> HttpResponse:
        """Encode a refusal with a status that fits its outcome.

        A status of ``NOT_RUN_STATUSES`` is sent if and only if the request
        has not run.
        """
        status = refusal.http_status.value
        has_not_run = refusal.outcome is Outcome.NOT_RUN
        if has_not_run and status not in NOT_RUN_STATUSES:
            status = UNAVAILABLE
        elif status in NOT_RUN_STATUSES and not has_not_run:
            status = BAD_GATEWAY
        headers = [(names.REQUEST_ID, request_id)] if request_id else []
        if has_not_run and refusal.retry_after_s > 0:
            headers.append((names.RETRY_AFTER, f'{refusal.retry_after_s:.3f}'))
        return HttpResponse(status, tuple(headers))


def _read_timeout(request: HttpRequest) -> float | None:
    try:
        timeout_s = (
            float(find_header(request.headers, names.DEADLINE_MS))
            / MILLISECONDS_PER_S
        )
    except ValueError:
        return None
    if not math.isfinite(timeout_s):
        return None
    return timeout_s if 0 <= timeout_s <= MAX_TIMEOUT_S else None


def _find_ancestors(request_id: str) -> tuple[str, ...]:
    """Return the ids that a hierarchical id extends, the nearest first.

    ``a.b.c`` extends ``a.b`` and ``a``. The platform does not guarantee that
    ids have this form; an id without separators extends none.
    """
    parts = request_id.split(ID_SEPARATOR)[:MAX_ID_PARTS]
    return tuple(
        ID_SEPARATOR.join(parts[:count])
        for count in range(len(parts) - 1, 0, -1)
    )


def _read_key(request: HttpRequest) -> str:
    text = find_header(request.headers, names.AUTHORIZATION)
    prefix_length = len(names.BEARER_PREFIX)
    if text[:prefix_length].lower() != names.BEARER_PREFIX:
        return ''
    return text[prefix_length:].strip()
