"""Decodes requests of operators and encodes the answers as JSON over HTTP."""

import types
from collections.abc import Mapping
from http import HTTPStatus

import msgspec

from ebonycleat.internal.connection.operator_messages import (
    AnswerStatus,
    OperatorAnswer,
    OperatorRequest,
)
from ebonycleat.internal.request.incoming import OutgoingResponse

STATUS_BY_ANSWER: Mapping[AnswerStatus, HTTPStatus] = types.MappingProxyType({
    AnswerStatus.DONE: HTTPStatus.OK,
    AnswerStatus.ACCEPTED: HTTPStatus.OK,
    AnswerStatus.REJECTED: HTTPStatus.CONFLICT,
    AnswerStatus.UNKNOWN: HTTPStatus.ACCEPTED,
    AnswerStatus.INVALID: HTTPStatus.BAD_REQUEST,
    AnswerStatus.UNAUTHORISED: HTTPStatus.UNAUTHORIZED,
    AnswerStatus.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
})


def read_operator_request(body: bytes) -> OperatorRequest | OperatorAnswer:
    """Decode a request body.

    A body that is not a valid request gives an answer with the status
    ``INVALID`` that describes the error.
    """
    try:
        return msgspec.json.decode(body, type=OperatorRequest)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        return OperatorAnswer(
            AnswerStatus.INVALID, f'the request body is not valid: {error}'
        )


def render_operator_answer(answer: OperatorAnswer) -> OutgoingResponse:
    """Encode an answer as an HTTP response."""
    return OutgoingResponse(
        STATUS_BY_ANSWER[answer.status],
        (('Content-Type', 'application/json'),),
        msgspec.json.encode(answer),
    )
