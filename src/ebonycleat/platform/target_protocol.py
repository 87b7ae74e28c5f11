"""How targets speak on the platform."""

from ebonycleat.internal.connection.http_messages import (
    HttpAnswer,
    find_header,
)
from ebonycleat.internal.connection.mesh_ports import (
    TargetDialect,
    TargetReport,
    TargetRequest,
)
from ebonycleat.internal.request.call import HeaderPairs
from ebonycleat.platform import header_names as names

MILLISECONDS_PER_S = 1000
MISDIRECTED = 421


class PlatformTargetProtocol(TargetDialect):
    """Targets that know their id and say what they have not run."""

    def render_headers(self, request: TargetRequest) -> HeaderPairs:
        """Headers of a request as the target gets it."""
        left_ms = max(1, int(request.left_s * MILLISECONDS_PER_S))
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

    def is_answer_to(self, request_id: str, headers: HeaderPairs) -> bool:
        """Whether the answer names the request, or names none."""
        named = find_header(headers, names.REQUEST_ID)
        return not named or named == request_id

    def read_answer(self, answer: HttpAnswer) -> TargetReport:
        """Split an answer into the caller's part and the node's."""
        is_misdirected = answer.status == MISDIRECTED
        has_not_run = is_misdirected or bool(
            find_header(answer.headers, names.NOT_EXECUTED),
        )
        passed_on = tuple(
            pair
            for pair in answer.headers
            if pair[0] not in names.INTERNAL_ANSWER_HEADERS
        )
        return TargetReport(
            HttpAnswer(answer.status, passed_on, answer.body),
            has_not_run=has_not_run,
            is_other_instance=is_misdirected,
        )
