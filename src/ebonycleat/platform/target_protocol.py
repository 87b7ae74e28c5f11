"""Requests to targets and their answers, in the platform's format."""

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
    """Handles targets that know their instance id.

    Such a target refuses requests that are meant for another instance, and
    says when it has not run a request.
    """

    def render_headers(self, request: TargetRequest) -> HeaderPairs:
        """Return the headers of a request to the target."""
        time_left_ms = max(1, int(request.left_s * MILLISECONDS_PER_S))
        headers = [
            (names.HOST, request.host),
            (names.REQUEST_ID, request.request_id),
            (names.DEADLINE_MS, str(time_left_ms)),
            (names.EXPECTED_INSTANCE, request.instance),
            (names.ORIGIN_SERVICE, request.origin_service),
        ]
        if request.team:
            headers.append((names.TEAM_ID, request.team))
        return (*headers, *request.headers)

    def is_answer_to(self, request_id: str, headers: HeaderPairs) -> bool:
        """Return whether the answer names this request or no request."""
        answered_id = find_header(headers, names.REQUEST_ID)
        return not answered_id or answered_id == request_id

    def read_answer(self, answer: HttpAnswer) -> TargetReport:
        """Separate what the answer tells the node from the caller's answer.

        Status 421 means that another instance now has this address.
        """
        is_misdirected = answer.status == MISDIRECTED
        has_not_run = is_misdirected or bool(
            find_header(answer.headers, names.NOT_EXECUTED),
        )
        caller_headers = tuple(
            pair
            for pair in answer.headers
            if pair[0] not in names.INTERNAL_ANSWER_HEADERS
        )
        return TargetReport(
            HttpAnswer(answer.status, caller_headers, answer.body),
            has_not_run=has_not_run,
            is_other_instance=is_misdirected,
        )
