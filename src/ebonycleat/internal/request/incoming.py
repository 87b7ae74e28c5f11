"""A caller's request as the HTTP front hands it to the decisions.

The caller's key is already replaced by its digest here, so that no later
code can pass the key on by accident.
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

# Headers of the caller that targets may see. Everything else, above all the
# key, stays at the ingress.
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

    ``path`` includes the query string. ``attempt`` is the caller's own count
    of its sends of one Idempotency-Key, from 1. ``key_digest`` is empty when the
    request came without a key; ``context`` is what a target passed on.
    """

    request_id: str
    method: str
    path: str
    headers: HeaderPairs = ()
    body: bytes = b''
    key_digest: str = ''
    idempotency_key: str = ''
    attempt: str = ''
    timeout_ms: str = ''
    context: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingResponse:
    """What the HTTP front sends back to the caller."""

    status: int
    headers: HeaderPairs
    body: bytes


def digest_key(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def create_incoming_request(
    request_id: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
) -> IncomingRequest:
    """Build a request from headers with lower-case names.

    Only headers that targets may see are kept beside the ones that the
    decisions use themselves.
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
        attempt=headers.get(ATTEMPT_HEADER, ''),
        timeout_ms=headers.get(TIMEOUT_MS_HEADER, ''),
        context=headers.get(CONTEXT_HEADER, ''),
    )


def _digest_bearer_key(authorization: str) -> str:
    if not authorization.startswith(KEY_SCHEME):
        return ''
    return digest_key(authorization[len(KEY_SCHEME) :].strip())
