"""HTTP/1.1 messages as the loop's server and client exchange them."""

import http
import types
from collections.abc import Sequence

import msgspec

from ebonycleat.internal.request.call import HeaderPairs

# Headers that describe one connection; the sender of each hop sets its own.
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
"""Header names kept decoded; common software uses about 100."""

STATUSES_WITHOUT_BODY = frozenset((204, 304))
FIRST_FINAL_STATUS = 200

_PHRASES = types.MappingProxyType({
    status.value: status.phrase for status in http.HTTPStatus
})


class HttpRequest(msgspec.Struct, frozen=True):
    """One whole request; header names are in lower case."""

    method: str
    target: str
    headers: HeaderPairs
    body: bytes
    keep_alive: bool = True


class HttpResponse(msgspec.Struct, frozen=True):
    """One whole answer without the headers of its connection."""

    status: int
    headers: HeaderPairs = ()
    body: bytes = b''


_cached_names: dict[bytes, str] = {}


def decode_header_name(name: bytes) -> str:
    """Name of a header in lower case.

    Names recur with each message, so they are decoded once.
    """
    known = _cached_names.get(name)
    if known is None:
        known = name.decode('latin-1').lower()
        if len(_cached_names) < MAX_CACHED_NAMES:
            _cached_names[name] = known
    return known


def find_header(headers: HeaderPairs, name: str) -> str:
    """Text of the first header with this lower-case name, or nothing."""
    for found, text in headers:
        if found == name:
            return text
    return ''


def drop_hop_by_hop_headers(headers: Sequence[tuple[str, str]]) -> HeaderPairs:
    """Headers that may travel on, without those named by ``Connection``."""
    kept = [pair for pair in headers if pair[0] not in HOP_BY_HOP_HEADERS]
    for name, text in headers:
        if name == 'connection':
            named = {word.strip().lower() for word in text.split(',')}
            kept = [pair for pair in kept if pair[0] not in named]
    return tuple(kept)


def encode_request(
    method: str,
    target: str,
    headers: HeaderPairs,
    body: bytes,
) -> bytes:
    """Bytes of one request; a body is always sent with its length."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    if body or method in {'POST', 'PUT', 'PATCH'}:
        lines.append(f'content-length: {len(body)}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1') + body


def encode_response(
    response: HttpResponse, *, close: bool, is_head: bool
) -> bytes:
    """Bytes of one answer; its length is always declared."""
    phrase = _PHRASES.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {phrase}']
    lines += [f'{name}: {text}' for name, text in response.headers]
    if response.status not in STATUSES_WITHOUT_BODY and not is_head:
        lines.append(f'content-length: {len(response.body)}')
    if close:
        lines.append('connection: close')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    return head if is_head else head + response.body
