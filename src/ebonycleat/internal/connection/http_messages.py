"""HTTP/1.1 messages of the server and the client on the event loop."""

import http
import types
from collections.abc import Sequence

import msgspec

from ebonycleat.internal.request.call import HeaderPairs

# Headers that concern only one connection and must not be forwarded.
HOP_BY_HOP_HEADERS = frozenset((
    'connection',
    'content-length',
    'expect',
    'keep-alive',
    'proxy-authenticate',
    'proxy-authorization',
    'proxy-connection',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
))

MAX_CACHED_NAMES = 1024
"""Limit of the cache of decoded header names; about 100 are in common use."""

MAX_JOINED_BYTES = 65_536
"""Larger bodies are not copied behind their head."""

STATUSES_WITHOUT_BODY = frozenset((204, 304))
FIRST_STATUS = 100
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599

# A server that answers with one of these may not have run the request.
REFUSAL_STATUSES = frozenset((
    http.HTTPStatus.REQUEST_TIMEOUT,
    http.HTTPStatus.MISDIRECTED_REQUEST,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
))

_PHRASES = types.MappingProxyType({
    status.value: status.phrase for status in http.HTTPStatus
})


class HttpRequest(msgspec.Struct, frozen=True):
    """One complete request; header names are in lower case.

    ``request_target`` is the path with the query string. A request whose
    ``is_body_dropped`` had no room for its body and must be refused.
    ``held_bytes`` is what it counts for in the account of held bytes.
    """

    method: str
    request_target: str
    headers: HeaderPairs
    body: bytes
    keep_alive: bool = True
    is_body_dropped: bool = False
    held_bytes: int = 0


class HttpResponse(msgspec.Struct, frozen=True):
    """One complete response without hop-by-hop headers."""

    status: int
    headers: HeaderPairs = ()
    body: bytes = b''


def is_valid_status(status: int) -> bool:
    """Tell whether a response may have a status; parsers accept any digits.

    No request asks for another protocol, so 101 answers none.
    """
    in_range = FIRST_STATUS <= status <= LAST_STATUS
    return in_range and status != SWITCHING_PROTOCOLS


_cached_names: dict[bytes, str] = {}


def decode_header_name(name: bytes) -> str:
    """Decode the name of a header to lower case.

    The same few names recur in all messages, so results are cached.
    """
    decoded = _cached_names.get(name)
    if decoded is None:
        decoded = name.decode('latin-1').lower()
        if len(_cached_names) < MAX_CACHED_NAMES:
            _cached_names[name] = decoded
    return decoded


def find_header(headers: HeaderPairs, name: str) -> str:
    """Return the value of the first header with a name, or an empty string.

    ``name`` must be in lower case.
    """
    for found, text in headers:
        if found == name:
            return text
    return ''


def drop_hop_by_hop_headers(headers: Sequence[tuple[str, str]]) -> HeaderPairs:
    """Return the headers that may be forwarded to the next hop.

    Headers that ``Connection`` names are dropped too.
    """
    kept = [pair for pair in headers if pair[0] not in HOP_BY_HOP_HEADERS]
    for name, text in headers:
        if name == 'connection':
            named_by_connection = {
                word.strip().lower() for word in text.split(',')
            }
            kept = [pair for pair in kept if pair[0] not in named_by_connection]
    return tuple(kept)


def encode_request(
    method: str,
    request_target: str,
    headers: HeaderPairs,
    body: bytes,
) -> bytes:
    """Encode one request with its body; see ``encode_request_head``."""
    head = encode_request_head(method, request_target, headers, len(body))
    return head + body


def encode_request_head(
    method: str,
    request_target: str,
    headers: HeaderPairs,
    body_size: int,
) -> bytes:
    """Encode a request up to its body of ``body_size`` bytes.

    It has a ``content-length`` if it can have a body.

    Raises ``ValueError`` if a part of the head has a line break or a null
    character, or one that is not in Latin-1.
    """
    lines = [f'{method} {request_target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    if body_size or method in {'POST', 'PUT', 'PATCH'}:
        lines.append(f'content-length: {body_size}')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    line_breaks = (head.count(b'\r'), head.count(b'\n'))
    if line_breaks != (len(lines), len(lines)) or b'\0' in head:
        raise ValueError('a header has a line break or a null character')
    return head


def encode_response(
    response: HttpResponse, *, close: bool, is_head: bool
) -> bytes:
    """Encode one response; see ``encode_response_parts``."""
    return b''.join(
        encode_response_parts(response, close=close, is_head=is_head)
    )


def encode_response_parts(
    response: HttpResponse, *, close: bool, is_head: bool
) -> tuple[bytes | memoryview, ...]:
    """Encode one response with a declared length; a large body is not copied.

    ``close`` announces that the connection closes; ``is_head`` leaves out the
    body and its length, for the response to a HEAD request. They are left out
    too where the status allows none, because the receiver would take the body
    for the next response.
    """
    has_body = not is_head and response.status not in STATUSES_WITHOUT_BODY
    phrase = _PHRASES.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {phrase}']
    lines += [f'{name}: {text}' for name, text in response.headers]
    if has_body:
        lines.append(f'content-length: {len(response.body)}')
    if close:
        lines.append('connection: close')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    if not has_body:
        return (head,)
    if len(response.body) > MAX_JOINED_BYTES:
        # A transport copies what it cannot send at once, except of a view.
        return head, memoryview(response.body)
    return (head + response.body,)
