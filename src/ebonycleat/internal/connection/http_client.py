"""HTTP client on the node's loop: one request at a time per connection.

Every send ends in exactly one result, which says whether the other side can
have begun to run the request. Bytes that belong to no request of ours close
the connection, so that they can never be taken for a later answer.
"""

import abc
import asyncio
import re

import httptools

from ebonycleat.internal.connection.http_messages import (
    FIRST_FINAL_STATUS,
    HttpResponse,
    drop_hop_by_hop_headers,
    find_header,
    decode_header_name,
)
from ebonycleat.internal.connection.client_requests import (
    InFlightRequest,
    AbortableConnection,
    SendFailure,
    SendFailureKind,
)
from ebonycleat.internal.request.call import HeaderPairs

DEFAULT_IDLE_LIMIT_S = 4.0
"""For servers that name no keep-alive time; common servers allow 5 s."""

IDLE_MARGIN_S = 1.0
"""Servers name whole seconds; one less is surely within their time."""

MAX_RESPONSE_BYTES = 67_108_864
"""Answers are held whole; a larger one would endanger the process."""

LENGTH_HEADERS = frozenset(('content-length', 'transfer-encoding'))
"""Either tells where a body ends; else it ends with its connection."""

_KEEP_ALIVE_S = re.compile(r'timeout=(\d+)')


class ConnectionOwner(abc.ABC):
    """Keeps connections between their requests."""

    @abc.abstractmethod
    def release(self, connection: 'ClientConnection') -> None:
        """Keep a connection for the next request."""

    @abc.abstractmethod
    def remove(self, connection: 'ClientConnection') -> None:
        """Drop a connection that closes."""

    @abc.abstractmethod
    def count_unmatched_response(self) -> None:
        """Count an answer that belonged to no request of its connection."""


class ClientConnection(AbortableConnection, asyncio.Protocol):
    """One connection of a pool."""

    def __init__(self, pool: ConnectionOwner) -> None:
        """Belong to a pool."""
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.in_flight: InFlightRequest | None = None
        self.idle_since: float = 0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.writes_paused = False
        self.must_close = False
        self.parser = httptools.HttpResponseParser(self)
        self.reset_response()

    def reset_response(self) -> None:
        """Expect a new answer; a kept connection goes on with its parser."""
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.body_size = 0
        self.has_headers = False
        self.is_delimited = False
        self.is_complete = False
        self.failure_kind: SendFailureKind | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = transport  # type: ignore[assignment]

    def pause_writing(self) -> None:
        """Note that a long body has not left yet."""
        self.writes_paused = True

    def resume_writing(self) -> None:
        """Note that the body has left."""
        self.writes_paused = False

    def start(self, send: InFlightRequest) -> None:
        """Write a request on this idle connection."""
        self.in_flight = send
        send.connection = self
        send.was_sent = True
        self.reset_response()
        if self.transport is not None:
            self.transport.write(send.request.encoded)

    def data_received(self, received: bytes) -> None:
        """Feed the parser; bytes without a request close the connection."""
        if self.in_flight is None:
            self.close()
            return
        try:
            self.parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.failure_kind = self.failure_kind or SendFailureKind.MALFORMED
        if self.failure_kind is not None and not self.is_complete:
            self.fail(self.failure_kind)
        elif self.is_complete:
            self.complete()

    def on_message_begin(self) -> None:
        """Begin an answer, or notice one too many (parser callback)."""
        if self.is_complete:
            self.failure_kind = SendFailureKind.MALFORMED
            return
        self.headers = []
        self.body = []
        self.body_size = 0
        self.has_headers = False
        self.is_delimited = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (parser callback)."""
        if self.is_complete:
            return
        known = decode_header_name(name)
        self.headers.append((known, text.decode('latin-1')))
        if known in LENGTH_HEADERS:
            self.is_delimited = True

    def on_headers_complete(self) -> None:
        """Find out how the body ends (parser callback)."""
        if self.is_complete:
            return
        self.has_headers = True
        self.status = self.parser.get_status_code()
        if self.in_flight and self.in_flight.request.is_head:
            self.is_complete = True

    def on_body(self, part: bytes) -> None:
        """Add to the body (parser callback)."""
        if self.is_complete:
            return
        self.body_size += len(part)
        if self.body_size > MAX_RESPONSE_BYTES:
            self.failure_kind = SendFailureKind.TOO_LARGE
            return
        self.body.append(part)

    def on_message_complete(self) -> None:
        """Accept the answer if it is ours (parser callback)."""
        if self.is_complete or self.in_flight is None:
            return
        is_interim = self.status < FIRST_FINAL_STATUS
        if is_interim:
            return
        if not self.in_flight.request.is_own_response(tuple(self.headers)):
            # Belongs to an earlier request; the next one may be ours.
            self.failure_kind = None
            self.pool.count_unmatched_response()
            self.must_close = True
            return
        self.is_complete = True

    def complete(self) -> None:
        """Report the whole answer and keep the connection if that is safe."""
        send = self.in_flight
        headers = tuple(self.headers)
        answer = HttpResponse(
            self.status,
            drop_hop_by_hop_headers(headers),
            b''.join(self.body),
        )
        self.in_flight = None
        self.body = []
        if self.is_reusable(headers, send):
            self.idle_limit_s = _idle_limit_s(headers)
            self.pool.release(self)
        else:
            self.close()
        if send is not None:
            send.finish(answer)

    def is_reusable(
        self, headers: HeaderPairs, send: InFlightRequest | None
    ) -> bool:
        """Whether the next request may use this connection."""
        is_unclean = self.must_close or self.failure_kind is not None
        if is_unclean or self.writes_paused or not self.is_delimited:
            return False
        if send is None or send.request.is_head:
            return False
        if 'close' in find_header(headers, 'connection').lower():
            return False
        return self.transport is not None and not self.transport.is_closing()

    def eof_received(self) -> bool:
        """End an answer that has no declared length."""
        if (
            self.in_flight is None
            or self.failure_kind is not None
            or self.is_complete
        ):
            return False
        if self.has_headers and not self.is_delimited:
            self.must_close = True
            headers = tuple(self.headers)
            self.is_complete = self.in_flight.request.is_own_response(headers)
            if self.is_complete:
                self.complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the send that waited here."""
        self.transport = None
        self.pool.remove(self)
        kind = SendFailureKind.CLOSED
        if self.has_headers:
            kind = SendFailureKind.TRUNCATED
        self.fail(kind, '' if error is None else str(error))

    def fail(self, kind: SendFailureKind, detail: str = '') -> None:
        """Report a failure and close."""
        send = self.in_flight
        self.in_flight = None
        self.close()
        if send is not None:
            send.finish(SendFailure(kind, was_sent=True, detail=detail))

    def close(self) -> None:
        """Close and never use this connection again."""
        self.pool.remove(self)
        self.abort()

    def abort(self) -> None:
        """Close at once, whatever is under way."""
        if self.transport is not None:
            self.transport.abort()


def _idle_limit_s(headers: HeaderPairs) -> float:
    named = _KEEP_ALIVE_S.search(find_header(headers, 'keep-alive'))
    if named is None:
        return DEFAULT_IDLE_LIMIT_S
    return max(0, int(named.group(1)) - IDLE_MARGIN_S)
