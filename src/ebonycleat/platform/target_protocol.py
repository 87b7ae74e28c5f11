"""Requests to targets and their responses, in the platform's format."""

import re

from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    find_header,
)
from ebonycleat.internal.connection.platform_interfaces import (
    HealthReport,
    ParsedResponse,
    TargetLoad,
    TargetProtocol,
    TargetRequest,
)
from ebonycleat.internal.request.call import HeaderPairs
from ebonycleat.platform import header_names as names

MILLISECONDS_PER_S = 1000
MISDIRECTED = 421
HEALTH_STATUSES = frozenset((200, 503))
IS_LEAVING = '1'
USUAL_PACE = 100
"""The fourth figure of a load where work takes as long as usual."""

_COUNTS_IN_LOAD = 3
_LOAD = re.compile(r'[0-9]{1,9}(,[0-9]{1,9}){2,3}')

_DECIMAL = re.compile(r'[0-9]{1,15}(\.[0-9]{1,15})?')


class PlatformTargetProtocol(TargetProtocol):
    """Handles targets that know their instance id.

    Such a target refuses requests that are meant for another instance, and
    says when it has not run a request.
    """

    def render_headers(self, request: TargetRequest) -> HeaderPairs:
        """Return the headers of a request to the target."""
        time_left_ms = max(1, int(request.time_left_s * MILLISECONDS_PER_S))
        headers = [
            (names.HOST, request.host),
            (names.REQUEST_ID, request.request_id),
            (names.DEADLINE_MS, str(time_left_ms)),
            (names.EXPECTED_INSTANCE, request.instance),
            (names.ORIGIN_SERVICE, _encode_name(request.origin_service)),
        ]
        if request.team:
            headers.append((names.TEAM_ID, _encode_name(request.team)))
        return (*headers, *request.headers)

    def is_response_to(self, request_id: str, headers: HeaderPairs) -> bool:
        """Return whether the response names this request or no request."""
        named_request_id = find_header(headers, names.REQUEST_ID)
        return not named_request_id or named_request_id == request_id

    def names_request(self, request_id: str, headers: HeaderPairs) -> bool:
        """Return whether the response names this request."""
        return find_header(headers, names.REQUEST_ID) == request_id

    def parse_response(self, response: HttpResponse) -> ParsedResponse:
        """Split a response into what the node needs and what the caller gets.

        Status 421 means that another instance now has this address.
        """
        is_misdirected = response.status == MISDIRECTED
        has_not_run = is_misdirected or bool(
            find_header(response.headers, names.NOT_EXECUTED),
        )
        caller_headers = tuple(
            pair
            for pair in response.headers
            if pair[0] not in names.INTERNAL_RESPONSE_HEADERS
        )
        return ParsedResponse(
            HttpResponse(response.status, caller_headers, response.body),
            has_not_run=has_not_run,
            is_wrong_instance=is_misdirected,
            max_requests_per_s=_parse_decimal(
                find_header(response.headers, names.TARGET_RATE_LIMIT)
            ),
            is_leaving=(
                find_header(response.headers, names.TARGET_LEAVING)
                == IS_LEAVING
            ),
            load=_parse_load(find_header(response.headers, names.TARGET_LOAD)),
        )

    def render_health_check(
        self, host: str, instance: str, time_left_s: float
    ) -> HeaderPairs:
        """Return the headers of a health check."""
        return (
            (names.HOST, host),
            (names.DEADLINE_MS, str(int(time_left_s * MILLISECONDS_PER_S))),
            (names.EXPECTED_INSTANCE, instance),
        )

    def parse_health(self, response: HttpResponse) -> HealthReport | None:
        """Read the response to a health check.

        A refusal that was not run, or a time that is no number, tells nothing.
        """
        headers = response.headers
        instance = find_header(headers, names.ANSWERING_INSTANCE)
        has_run = not find_header(headers, names.NOT_EXECUTED)
        left_ms = _parse_decimal(dict(headers).get(names.WARM_UP_LEFT_MS, '0'))
        is_answer = response.status in HEALTH_STATUSES and has_run
        if not instance or left_ms is None or not is_answer:
            return None
        return HealthReport(instance, left_ms / MILLISECONDS_PER_S)


def _parse_load(text: str) -> TargetLoad | None:
    """Return the load in a header, None if it is absent or malformed."""
    if not _LOAD.fullmatch(text):
        return None
    figures = [int(figure) for figure in text.split(',')]
    pace = None
    if len(figures) > _COUNTS_IN_LOAD:
        pace = max(1, figures.pop()) / USUAL_PACE
    running, waiting, slots = figures
    return TargetLoad(running, waiting, slots, pace)


def _encode_name(name: str) -> str:
    """Return the UTF-8 bytes of a name as characters of Latin-1.

    Requests are encoded in Latin-1, which keeps the headers of callers
    unchanged byte by byte.
    """
    return name.encode().decode('latin-1')


def _parse_decimal(text: str) -> float | None:
    """Return a decimal number that is not negative, None for other texts."""
    if not _DECIMAL.fullmatch(text):
        return None
    return float(text)
