"""How targets speak on the platform."""

from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    find_header,
)
from ebonycleat.internal.connection.platform_interfaces import (
    TargetProtocol,
    ParsedResponse,
    TargetRequest,
)
from ebonycleat.internal.request.call import HeaderPairs
from ebonycleat.platform import header_names as names

MILLISECONDS_PER_S = 1000
MISDIRECTED = 421


class PlatformTargetProtocol(TargetProtocol):
    """Targets that know their id and say what they have not run."""

    def render_headers(self, request: TargetRequest) -> HeaderPairs:
        """Headers of a request as the target gets it."""
        left_ms = max(1, int(request.time_left_s * MILLISECONDS_PER_S))
        own = [
            (names.HOST, request.host),
            (names.REQUEST_ID, request.request_id),
            (names.DEADLINE_MS, str(left_ms)),
            (names.EXPECTED_INSTANCE, request.instance),
            (names.ORIGIN_SERVICE, request.origin_service),
        ]
        if request.team:
            own.append((names.TEAM_ID, request.team))
        return (*own, *request.headers)

    def is_response_to(self, request_id: str, headers: HeaderPairs) -> bool:
        """Whether the answer names the request, or names none."""
        named = find_header(headers, names.REQUEST_ID)
        return not named or named == request_id

    def parse_response(self, response: HttpResponse) -> ParsedResponse:
        """Split an answer into the caller's part and the node's."""
        is_misdirected = response.status == MISDIRECTED
        has_not_run = is_misdirected or bool(
            find_header(response.headers, names.NOT_EXECUTED),
        )
        passed_on = tuple(
            pair
            for pair in response.headers
            if pair[0] not in names.INTERNAL_ANSWER_HEADERS
        )
        return ParsedResponse(
            HttpResponse(response.status, passed_on, response.body),
            has_not_run=has_not_run,
            is_wrong_instance=is_misdirected,
        )
