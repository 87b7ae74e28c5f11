"""Answers in the form that callers see them."""

import dataclasses
import json
import math

from ebonycleat.internal.request.call import (
    Answer,
    CallResult,
    HeaderPairs,
)
from ebonycleat.internal.request.incoming import (
    IncomingRequest,
    OutgoingResponse,
)
from ebonycleat.internal.request.refusal import Outcome, Refusal

REQUEST_ID_HEADER = 'Ebonycleat-Request-Id'
REASON_HEADER = 'Ebonycleat-Reason'
OUTCOME_HEADER = 'Ebonycleat-Outcome'
RETRY_AFTER_HEADER = 'Retry-After'

FIRST_ATTEMPT_TEXT = '1'

# Headers that describe one connection or that the front sets itself.
HOP_BY_HOP_HEADERS = frozenset((
    'connection',
    'content-length',
    'date',
    'keep-alive',
    'proxy-authenticate',
    'server',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
))


def render_result(request_id: str, call_result: CallResult) -> OutgoingResponse:
    """Render the result of a call for its caller."""
    if isinstance(call_result, Answer):
        return render_answer(request_id, call_result)
    return render_refusal(request_id, call_result.refusal)


def render_answer(request_id: str, answer: Answer) -> OutgoingResponse:
    """Render a target's whole answer, without hop-by-hop headers."""
    headers = [
        (name, text)
        for name, text in answer.headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]
    headers.append((REQUEST_ID_HEADER, request_id))
    return OutgoingResponse(answer.status, tuple(headers), answer.body)


def refuse_request(
    request: IncomingRequest,
    refusal: Refusal,
) -> OutgoingResponse:
    """Refuse a request before anything was done for it.

    An earlier send of the same Idempotency-Key may have run, unless the
    caller says that this is its first; then "not run" would be a guess.
    """
    is_repeat = request.attempt != FIRST_ATTEMPT_TEXT
    if request.idempotency_key and is_repeat:
        refusal = dataclasses.replace(refusal, outcome=Outcome.UNKNOWN)
    return render_refusal(request.request_id, refusal)


def render_refusal(request_id: str, refusal: Refusal) -> OutgoingResponse:
    """Render a refusal with its reason and outcome in headers and body."""
    body = {
        'request_id': request_id,
        'reason': refusal.reason.value,
        'outcome': refusal.outcome.value,
        'detail': refusal.detail,
        'retry_after_s': refusal.retry_after_s,
    }
    return OutgoingResponse(
        refusal.http_status.value,
        _refusal_headers(request_id, refusal),
        json.dumps(body).encode(),
    )


def _refusal_headers(request_id: str, refusal: Refusal) -> HeaderPairs:
    headers = (
        ('Content-Type', 'application/json'),
        (REQUEST_ID_HEADER, request_id),
        (REASON_HEADER, refusal.reason.value),
        (OUTCOME_HEADER, refusal.outcome.value),
    )
    if not refusal.retry_after_s:
        return headers
    # The header holds whole seconds; the body holds the exact advice.
    whole_seconds = str(math.ceil(refusal.retry_after_s))
    return (*headers, (RETRY_AFTER_HEADER, whole_seconds))
