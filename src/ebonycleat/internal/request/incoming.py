"""A caller's HTTP request and its response, as the node works with them.

The API key has been replaced by its digest here, so that no later step can
forward or log the key by accident.
"""

import dataclasses
import hashlib
from collections.abc import Mapping

from ebonycleat.internal.request.call import HeaderPairs

KEY_HEADER = 'authorization'
KEY_SCHEME = 'Bearer '
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
ATTEMPT_HEADER = 'ebonycleat-attempt'
TIMEOUT_MS_HEADER = 'ebonycleat-timeout-ms'
CONTEXT_HEADER = 'ebonycleat-context'

# Headers of callers that are forwarded to targets. All others, above all the
# API key, stay at the node that received the request.
FORWARDED_HEADERS = frozenset((
    'accept',
    'accept-encoding',
    'accept-language',
    'content-encoding',
    'content-language',
    'content-type',
    'if-match',
    'if-modified-since',
    'if-none-match',
    'range',
    'traceparent',
    'tracestate',
    'user-agent',
))


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """One HTTP request of a caller.

    ``path`` includes the query string. ``key_digest`` is the SHA-256 of the
    API key in hexadecimal. ``caller_attempt`` is the caller's own number, from
    1, of its attempts with one Idempotency-Key. ``context_id`` is the id that
    a target repeats in its child calls. Fields from headers are empty if the
    header is missing, and have not been validated otherwise.
    """

    request_id: str
    method: str
    path: str
    headers: HeaderPairs = ()
    body: bytes = b''
    key_digest: str = ''
    idempotency_key: str = ''
    caller_attempt: str = ''
    timeout_ms: str = ''
    context_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingResponse:
    """The HTTP response to a caller."""

    status: int
    headers: HeaderPairs
    body: bytes


def digest_key(key: str) -> str:
    """Return the SHA-256 of an API key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def create_incoming_request(
    request_id: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
) -> IncomingRequest:
    """Create a request from headers whose names are in lower case.

    ``headers`` of the result has only those that are forwarded to targets;
    the headers that the node itself reads become fields.
    """
    forwarded = tuple(
        (name, text)
        for name, text in sorted(headers.items())
        if name in FORWARDED_HEADERS
    )
    return IncomingRequest(
        request_id=request_id,
        method=method,
        path=path,
        headers=forwarded,
        body=body,
        key_digest=_digest_bearer_key(headers.get(KEY_HEADER, '')),
        idempotency_key=headers.get(IDEMPOTENCY_KEY_HEADER, ''),
        caller_attempt=headers.get(ATTEMPT_HEADER, ''),
        timeout_ms=headers.get(TIMEOUT_MS_HEADER, ''),
        context_id=headers.get(CONTEXT_HEADER, ''),
    )


def _digest_bearer_key(authorization: str) -> str:
    if not authorization.startswith(KEY_SCHEME):
        return ''
    return digest_key(authorization[len(KEY_SCHEME) :].strip())
