"""HTTP/1.1 client on the event loop: one request at a time per connection.

Every request has exactly one result, which tells whether the server may have
started to run it. Data that arrives while no request is in flight closes the
connection, so that it can never be taken for a later response.
"""

import abc
import asyncio
import dataclasses
import re

import httptools

from ebonycleat.internal.connection.byte_account import SMALL_BYTES
from ebonycleat.internal.connection.client_requests import (
    AbortableConnection,
    InFlightRequest,
    SendFailure,
    SendFailureKind,
)
from ebonycleat.internal.connection.http_messages import (
    FIRST_FINAL_STATUS,
    REFUSAL_STATUSES,
    HttpResponse,
    decode_header_name,
    drop_hop_by_hop_headers,
    find_header,
    is_valid_status,
)
from ebonycleat.internal.connection.response_body import (
    BodyRoom,
    ResponseBody,
)
from ebonycleat.internal.request.call import HeaderPairs

DEFAULT_IDLE_LIMIT_S = 4.0
"""Idle limit for servers without a ``Keep-Alive`` header; most allow 5 s."""

IDLE_MARGIN_S = 1.0
"""Subtracted from the server's keep-alive time.

Servers state whole seconds; with one second less, a connection is not reused
at the moment when the server closes it.
"""

MAX_HELD_BYTES = 67_108_864
"""Limit of the bodies that all connections of a pool hold at a time, where it
has an account of its own. Servers in trouble may send bodies without end on
many connections at once."""

MAX_HEAD_BYTES = 65_536
"""Limit of all that is not body: headers, interim responses, sizes of chunks
and trailers. The parser itself knows no limit."""

FRAMING_BYTES_PER_BODY_BYTE = 8
"""Framing that is allowed besides ``MAX_HEAD_BYTES`` for each byte of the body:
a chunk with a single byte needs five more."""

MAX_HEADERS = 1024
"""Limit of the headers of a response. Each takes many times its few bytes."""

MIN_RESERVED_DIGITS = 5
"""Lengths of bodies with fewer digits are small and need no reservation."""

LENGTH_HEADERS = frozenset(('content-length', 'transfer-encoding'))
"""Headers that tell where a body ends.

Without them, the body ends when the server closes the connection.
"""

_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)')


class ConnectionOwner(BodyRoom):
    """The pool that a connection belongs to."""

    @abc.abstractmethod
    def release(self, connection: 'ClientConnection') -> None:
        """Put a connection back for the next request."""

    @abc.abstractmethod
    def remove(self, connection: 'ClientConnection') -> None:
        """Remove a connection that closes."""

    @abc.abstractmethod
    def record_refusal(
        self, connection: 'ClientConnection', request_id: str
    ) -> None:
        """Keep a request off a connection on which the server refused it."""

    @abc.abstractmethod
    def count_unmatched_response(self) -> None:
        """Count a response that belongs to no request in flight."""


@dataclasses.dataclass(slots=True)
class ResponseSizes:
    """Bytes since a request was sent.

    ``body`` counts the bodies of all responses among those ``received``.
    """

    received: int = 0
    body: int = 0

    def is_endless(self) -> bool:
        """Tell whether far more was received than the bodies account for."""
        allowed = self.body * FRAMING_BYTES_PER_BODY_BYTE + MAX_HEAD_BYTES
        return self.received - self.body > allowed


class ClientConnection(AbortableConnection, asyncio.Protocol):
    """One connection of a pool: writes requests and parses responses.

    ``is_delimited`` is True if the response declares where its body ends,
    ``must_close`` if the connection cannot be reused after the response.
    ``idle_since`` is zero until the first request has its response.
    """

    def __init__(self, pool: ConnectionOwner) -> None:
        """Create the state of a connection of ``pool``."""
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.in_flight: InFlightRequest | None = None
        self.idle_since: float = 0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.writes_paused = False
        self.must_close = False
        self.body = ResponseBody(pool, self.fail_without_room)
        self.parser = httptools.HttpResponseParser(self)
        self.reset_response()

    def reset_response(self) -> None:
        """Reset the fields that hold the response being received.

        The parser is kept: it continues with the next response.
        """
        self.headers: list[tuple[str, str]] = []
        self.sizes = ResponseSizes()
        self.has_headers = False
        self.is_delimited = False
        self.is_complete = False
        self.failure_kind: SendFailureKind | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio callback)."""
        self.transport = transport  # type: ignore[assignment]
        self.body.transport = self.transport

    def pause_writing(self) -> None:
        """Record that the send buffer is full (asyncio callback)."""
        self.writes_paused = True

    def resume_writing(self) -> None:
        """Record that the send buffer has drained (asyncio callback)."""
        self.writes_paused = False

    def start(self, in_flight: InFlightRequest) -> None:
        """Write a request; the connection must be idle."""
        self.in_flight = in_flight
        in_flight.connection = self
        in_flight.was_sent = True
        self.reset_response()
        if self.transport is not None:
            self.transport.write(in_flight.request.encoded)
            if in_flight.request.body:
                # What cannot be sent at once is copied, except of a view.
                body = in_flight.request.body
                is_large = len(body) > SMALL_BYTES
                self.transport.write(memoryview(body) if is_large else body)

    def data_received(self, received: bytes) -> None:
        """Parse received data (asyncio callback).

        Data that arrives without a request in flight closes the connection.
        """
        if self.in_flight is None:
            self.close()
            return
        self.sizes.received += len(received)
        try:
            self.parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.failure_kind = self.failure_kind or SendFailureKind.MALFORMED
        if self.sizes.is_endless():
            self.failure_kind = self.failure_kind or SendFailureKind.ENDLESS
        if self.failure_kind is not None and not self.is_complete:
            self.fail(self.failure_kind)
        elif self.is_complete:
            self.complete()

    def on_message_begin(self) -> None:
        """Start a response (parser callback).

        A second response after a complete one makes the connection unusable.
        """
        if self.is_complete:
            self.failure_kind = SendFailureKind.MALFORMED
            return
        self.headers = []
        if self.body.size or self.body.held:
            self.body.drop()
        self.has_headers = False
        self.is_delimited = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (parser callback)."""
        if self.is_complete:
            return
        if len(self.headers) >= MAX_HEADERS:
            self.failure_kind = SendFailureKind.ENDLESS
            return
        decoded_name = decode_header_name(name)
        self.headers.append((decoded_name, text.decode('latin-1')))
        if decoded_name in LENGTH_HEADERS:
            self.is_delimited = True
            if len(text) >= MIN_RESERVED_DIGITS and text.isdigit():
                self.body.announced_size = int(text)

    def on_headers_complete(self) -> None:
        """Store the status; complete a response to HEAD (parser callback).

        A status that no response may have makes it malformed: it is neither
        an answer nor skipped as interim. The parser would take what follows a foreign response for its body, so
        such a response ends the connection.
        """
        if self.is_complete:
            return
        self.has_headers = True
        self.status = self.parser.get_status_code()
        if not is_valid_status(self.status):
            self.failure_kind = SendFailureKind.MALFORMED
            return
        is_head = self.in_flight and self.in_flight.request.is_head
        if not is_head or self.status < FIRST_FINAL_STATUS:
            if self.body.announced_size:
                self.body.reserve()
            return
        if self.is_own_response():
            self.is_complete = self.failure_kind is None
        else:
            self.failure_kind = SendFailureKind.MALFORMED
            self.pool.count_unmatched_response()

    def on_body(self, part: bytes) -> None:
        """Add a part of the body (parser callback)."""
        if self.is_complete:
            return
        self.sizes.body += len(part)
        if self.failure_kind is None and not self.body.add(part):
            self.failure_kind = SendFailureKind.TOO_LARGE
            self.body.drop()

    def fail_without_room(self) -> None:
        """Fail because the process has no room for the body."""
        self.fail(SendFailureKind.NO_ROOM)

    def on_message_complete(self) -> None:
        """Accept the response if it belongs to the request (parser callback).

        Interim responses (1xx) are skipped. One that was not kept whole is no
        response, although it is complete on the wire.
        """
        if self.is_complete or self.in_flight is None:
            return
        if self.failure_kind is SendFailureKind.MALFORMED:
            # The connection closes, whatever follows.
            return
        if self.status < FIRST_FINAL_STATUS:
            self.has_headers = False
            return
        if self.in_flight.request.is_head:
            return
        if self.is_own_response():
            self.is_complete = self.failure_kind is None
            return
        # It belongs to an earlier request; the response to this one may
        # follow.
        self.failure_kind = None
        self.has_headers = False
        self.must_close = True
        self.pool.count_unmatched_response()

    def is_own_response(self) -> bool:
        """Tell whether the response belongs to the request in flight."""
        if self.in_flight is None:
            return False
        request = self.in_flight.request
        headers = tuple(self.headers)
        if not request.is_own_response(headers):
            return False
        # A response that names no request may be a copy of an earlier one.
        was_answered = self.must_close or self.idle_since > 0
        return not was_answered or request.is_identified_response(headers)

    def complete(self) -> None:
        """Report the complete response and reuse the connection if possible."""
        in_flight = self.in_flight
        headers = tuple(self.headers)
        # The room goes over to whoever takes the response.
        body, held_bytes = self.body.take()
        response = HttpResponse(
            self.status, drop_hop_by_hop_headers(headers), body
        )
        self.in_flight = None
        if in_flight is not None and self.status in REFUSAL_STATUSES:
            self.pool.record_refusal(self, in_flight.request.request_id)
        if self.is_reusable(headers, in_flight):
            self.idle_limit_s = _parse_idle_limit_s(headers)
            self.pool.release(self)
        else:
            self.close()
        if in_flight is not None:
            in_flight.finish(response)
        if held_bytes:
            self.pool.free_bytes(held_bytes)

    def is_reusable(
        self, headers: HeaderPairs, in_flight: InFlightRequest | None
    ) -> bool:
        """Return whether the next request may use this connection."""
        is_unclean = self.must_close or self.failure_kind is not None
        if is_unclean or self.writes_paused or not self.is_delimited:
            return False
        if in_flight is None or in_flight.request.is_head:
            return False
        if in_flight.request.is_single:
            return False
        if 'close' in find_header(headers, 'connection').lower():
            return False
        return self.transport is not None and not self.transport.is_closing()

    def eof_received(self) -> bool:
        """Complete a response without a declared length (asyncio callback)."""
        if (
            self.in_flight is None
            or self.failure_kind is not None
            or self.is_complete
        ):
            return False
        if self.has_headers and not self.is_delimited:
            self.must_close = True
            self.is_complete = self.is_own_response()
            if self.is_complete:
                self.complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in flight (asyncio callback)."""
        self.transport = None
        self.body.transport = None
        self.body.drop()
        self.pool.remove(self)
        kind = SendFailureKind.CLOSED
        if self.has_headers:
            kind = SendFailureKind.TRUNCATED
        self.fail(kind, '' if error is None else str(error))

    def is_lost_early(self) -> bool:
        """Tell whether an idle connection was lost, and not by keep-alive."""
        if self.transport is not None:
            return False
        idle_s = asyncio.get_running_loop().time() - self.idle_since
        return idle_s < self.idle_limit_s

    def fail(self, kind: SendFailureKind, detail: str = '') -> None:
        """Close the connection and report the failure of the request."""
        in_flight = self.in_flight
        self.in_flight = None
        self.body.drop()
        self.close()
        if in_flight is not None:
            in_flight.finish(SendFailure(kind, was_sent=True, detail=detail))

    def close(self) -> None:
        """Remove the connection from the pool and close it."""
        self.pool.remove(self)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once, without sending buffered data."""
        if self.transport is not None:
            self.transport.abort()


def _parse_idle_limit_s(headers: HeaderPairs) -> float:
    keep_alive = _KEEP_ALIVE_TIMEOUT.search(find_header(headers, 'keep-alive'))
    if keep_alive is None:
        return DEFAULT_IDLE_LIMIT_S
    return max(0, int(keep_alive.group(1)) - IDLE_MARGIN_S)
