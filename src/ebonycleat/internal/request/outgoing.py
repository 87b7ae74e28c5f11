"""Encodes results and refusals as HTTP responses to callers."""

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

FIRST_ATTEMPT_NUMBER = '1'

# Headers of targets that are not forwarded: they concern only one connection,
# or the HTTP server of the node sets them itself.
DROPPED_HEADERS = frozenset((
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
    """Encode the result of a call."""
    if isinstance(call_result, Answer):
        return render_answer(request_id, call_result)
    return render_refusal(request_id, call_result.refusal)


def render_answer(request_id: str, answer: Answer) -> OutgoingResponse:
    """Encode the response of a target, without ``DROPPED_HEADERS``."""
    headers = [
        (name, text)
        for name, text in answer.headers
        if name.lower() not in DROPPED_HEADERS
    ]
    headers.append((REQUEST_ID_HEADER, request_id))
    return OutgoingResponse(answer.status, tuple(headers), answer.body)


def refuse_request(
    request: IncomingRequest,
    refusal: Refusal,
) -> OutgoingResponse:
    """Encode the refusal of a request that was not admitted.

    With an Idempotency-Key the outcome also covers earlier attempts, and one
    of them may have run. The outcome is therefore ``UNKNOWN`` unless the
    caller declares this attempt as its first.
    """
    may_be_repeat = request.caller_attempt != FIRST_ATTEMPT_NUMBER
    if request.idempotency_key and may_be_repeat:
        refusal = dataclasses.replace(refusal, outcome=Outcome.UNKNOWN)
    return render_refusal(request.request_id, refusal)


def render_refusal(request_id: str, refusal: Refusal) -> OutgoingResponse:
    """Encode a refusal, with its reason and outcome in headers and body."""
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
    # The header has whole seconds; the body has the exact value.
    whole_seconds = str(math.ceil(refusal.retry_after_s))
    return (*headers, (RETRY_AFTER_HEADER, whole_seconds))
