"""HTTP/1.1 server on the event loop, for callers and for the node's own target.

A client may send further requests before the first has been answered. Those
that the handler allows run side by side, the others one at a time; all are
answered in their order. Requests behind an answer that closes the connection
have not been read: clients send them again whatever their kind, so a request
that must not run twice starts only when nothing before it can close the
connection any more. A request is passed on only when it is complete, so that a
client that disconnects midway never leaves a partial request at a target.
"""

import abc
import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

import httptools

from ebonycleat.internal.connection.acceptor import (
    ConnectionAcceptor,
    open_acceptor,
)
from ebonycleat.internal.connection.byte_account import ByteAccount
from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
    decode_header_name,
    encode_response,
)
from ebonycleat.internal.connection.unsent_data import has_unsent

MAX_PIPELINED_REQUESTS = 16
"""Number of queued requests of one connection at which reading pauses.

This limits the memory that one connection can use.
"""

MAX_CONCURRENT_REQUESTS = 8
"""Requests of one connection that may run side by side."""

HELD_SLACK_BYTES = 16_777_216
"""Bodies of other requests that fit beside the largest one allowed."""

REFUSED_BODY_RETRY_AFTER_S = 1
"""A body that found no room comes back when the others have been passed on."""

FRAMING_SLACK_BYTES = 16_384
FRAMING_BYTES_PER_BODY_BYTE = 8
"""Sizes of chunks and trailers may take ``FRAMING_SLACK_BYTES``, and this many
bytes more for each byte of the body; a chunk with one byte needs five."""

TIMEOUT_CHECK_INTERVAL_S = 0.5
"""Interval between checks of time-outs; short compared with the time-outs."""

CROWDED_SHARE = 0.75
"""Above this share of the allowed connections, each answer closes its
connection, so that few idle ones have to be closed without one."""

MIN_EVICTION_IDLE_S = 0.5
"""Connections that were idle for less are not closed for new ones: their next
request may be on its way."""

SURPLUS_SHARE = 0.125
"""Connections beyond the allowed ones, as a share of these, whose request is
still read and refused. Those beyond are closed at once."""

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
UNAVAILABLE = 503
HEADERS_TOO_LARGE = 431
CONTINUE_LINE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits on the size of requests and on the time of connections.

    ``header_timeout_s`` limits the time in which the headers of a request
    arrive, ``idle_timeout_s`` the time without received data while its body
    arrives and between requests. There is no limit while a request is being
    handled. ``connections`` limits the open connections: for a new one beyond
    it the longest idle one is closed, or the new one is refused.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15
    connections: int = 10_000

    @property
    def held_bytes(self) -> int:
        """Limit of the bodies of all requests that are received or open."""
        return self.body_bytes + HELD_SLACK_BYTES


class Exchange:
    """One request and its response.

    ``on_abandoned`` is called if the connection closes before the response.
    ``response`` is kept until the responses to all earlier requests of the
    connection have been written.
    """

    __slots__ = (
        'connection',
        'is_finished',
        'on_abandoned',
        'request',
        'response',
    )

    def __init__(
        self,
        connection: 'ServerConnection',
        request: HttpRequest,
    ) -> None:
        """Start the exchange of a complete request."""
        self.connection = connection
        self.request = request
        self.is_finished = False
        self.response: HttpResponse | None = None
        self.on_abandoned: Callable[[], None] | None = None

    def respond(self, response: HttpResponse) -> None:
        """Send the response; does nothing if the exchange has finished."""
        if self.is_finished:
            return
        self.is_finished = True
        self.on_abandoned = None
        self.connection.listener.bodies.release(len(self.request.body))
        self.response = response
        self.connection.write_responses()

    def abandon(self) -> None:
        """Finish the exchange because its connection closed first."""
        if self.is_finished:
            return
        self.is_finished = True
        self.connection.listener.bodies.release(len(self.request.body))
        if self.on_abandoned is not None:
            self.on_abandoned()
            self.on_abandoned = None


class ExchangeHandler(abc.ABC):
    """Handles the requests of a listener."""

    @abc.abstractmethod
    def handle_exchange(self, exchange: Exchange) -> None:
        """Handle one exchange; ``exchange.respond`` may be called later."""

    def refuse_dropped_body(self, exchange: Exchange) -> None:
        """Refuse a request whose body found no room, as not run."""
        retry_after = ('retry-after', str(REFUSED_BODY_RETRY_AFTER_S))
        exchange.respond(HttpResponse(UNAVAILABLE, (retry_after,)))

    def may_run_beside(self, request: HttpRequest) -> bool:
        """Tell whether a request may run before earlier ones are answered.

        The client sends it again if an earlier answer closes the connection,
        so it must be a request that may run more than once.
        """
        return False


class HttpListener:
    """All connections to one listening address."""

    def __init__(
        self,
        handler: ExchangeHandler,
        limits: ListenerLimits,
        clock: Callable[[], float],
    ) -> None:
        """Pass requests to ``handler``; ``clock`` returns seconds."""
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.connections: set[ServerConnection] = set()
        self.idle_connections: dict[ServerConnection, None] = {}
        self.is_closing = False
        self.unread_requests = 0
        self.accepted_connections = 0
        self.last_accepted_at: float | None = None
        self.acceptor: ConnectionAcceptor | None = None
        self.evicted_connections = 0
        self.dropped_connections = 0
        self.bodies = ByteAccount()

    def create_connection(self) -> 'ServerConnection':
        """Create the protocol object of an accepted connection."""
        return ServerConnection(self)

    def add_connection(self, connection: 'ServerConnection') -> None:
        """Add a connection that was accepted, and make room for it.

        Without an idle connection to close, it is kept only to refuse its
        request, or closed at once if there are many such connections.
        """
        self.accepted_connections += 1
        self.last_accepted_at = self.clock()
        self.connections.add(connection)
        excess = len(self.connections) - self.limits.connections
        if excess > 0 and not self.evict_idle():
            connection.is_surplus = True
            if excess > self.limits.connections * SURPLUS_SHARE:
                self.dropped_connections += 1
                connection.close()
                return
        self.idle_connections[connection] = None

    def remove_connection(self, connection: 'ServerConnection') -> None:
        """Remove a connection that has closed."""
        self.connections.discard(connection)
        self.idle_connections.pop(connection, None)

    def evict_idle(self) -> bool:
        """Close the connection that is idle for longest, if for long enough."""
        connection = next(iter(self.idle_connections), None)
        if connection is None:
            return False
        if self.clock() - connection.last_activity_at < MIN_EVICTION_IDLE_S:
            return False
        self.evicted_connections += 1
        # It counts until its written answer has been sent and it is closed.
        self.idle_connections.pop(connection)
        connection.close()
        return True

    def is_full(self) -> bool:
        """Tell whether there are more connections than allowed."""
        return len(self.connections) > self.limits.connections

    def is_unwanted(self, connection: 'ServerConnection') -> bool:
        """Tell whether a connection should close with its next answer."""
        if self.is_closing or connection.is_surplus:
            return True
        return len(self.connections) > self.limits.connections * CROWDED_SHARE

    def accept_age_s(self) -> float:
        """Return the time since a connection was accepted; -1 if none was."""
        if self.last_accepted_at is None:
            return -1
        return self.clock() - self.last_accepted_at

    def is_accepting(self) -> bool:
        """Tell whether new connections are accepted."""
        return self.acceptor is not None and self.acceptor.is_accepting

    def count_open_exchanges(self) -> int:
        """Return the number of requests that are received or unanswered."""
        return sum(
            connection.count_open_exchanges() for connection in self.connections
        )

    def count_unsent(self) -> int:
        """Return the number of connections with data that is still to be sent.

        Closed ones count until their last answer has been sent.
        """
        return sum(has_unsent(one.transport) for one in self.connections)

    def close_idle(self) -> None:
        """Close idle connections now, and the others after their response."""
        self.is_closing = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def close_all(self) -> None:
        """Close all connections after their written responses are sent."""
        for connection in tuple(self.connections):
            connection.close()

    def close_timed_out(self) -> None:
        """Close connections that exceeded one of their time-outs."""
        now = self.clock()
        for connection in tuple(self.connections):
            connection.close_if_timed_out(now)


class ReceivedRequest:
    """The request of which a connection receives the parts."""

    def __init__(self) -> None:
        """Start without any part."""
        self.request_target = b''
        self.method = ''
        self.headers: list[tuple[str, str]] = []
        self.header_size = 0
        self.body = bytearray()
        self.body_size = 0
        self.is_body_dropped = False
        self.framing_size = 0
        self.has_headers = False

    def drop_body(self, account: ByteAccount) -> None:
        """Free the part of the body that was received so far."""
        account.release(len(self.body))
        self.body = bytearray()


class ServerConnection(asyncio.Protocol):
    """Parses the requests of one connection and writes the responses.

    ``refusal_status`` is zero, or the status of the response to a request
    that is malformed, too large or too late; the connection then closes. A
    connection that ``is_surplus`` came beyond the limit and closes with its
    first answer.
    """

    def __init__(self, listener: HttpListener) -> None:
        """Create the state of a connection of ``listener``."""
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queued_requests: collections.deque[HttpRequest] = (
            collections.deque()
        )
        self.exchanges: collections.deque[Exchange] = collections.deque()
        self.last_activity_at = listener.clock()
        self.receiving_since: float | None = None
        self.is_paused = False
        self.is_surplus = False
        self.refusal_status = 0
        self.received = ReceivedRequest()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio callback)."""
        self.transport = transport  # type: ignore[assignment]
        self.listener.add_connection(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Abandon the exchanges in progress (asyncio callback)."""
        self.listener.remove_connection(self)
        self.transport = None
        self.received.drop_body(self.listener.bodies)
        self.drop_unread_requests()
        while self.exchanges:
            self.exchanges.popleft().abandon()

    def eof_received(self) -> bool:
        """Close when the client ends its sending side (asyncio callback).

        Such a client counts as disconnected, even if it could still read.
        """
        return False

    def data_received(self, received: bytes) -> None:
        """Parse data and start complete requests (asyncio callback)."""
        if self.refusal_status:
            return
        self.last_activity_at = self.listener.clock()
        self.listener.idle_connections.pop(self, None)
        request = self.received
        body_size_before = request.body_size
        was_receiving = self.receiving_since is not None
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self.refusal_status = BAD_REQUEST
        except httptools.HttpParserError:
            self.refusal_status = self.refusal_status or BAD_REQUEST
        # Bytes that end one request and begin the next are not counted.
        if was_receiving and self.received is request:
            self.count_framing(
                len(received) - request.body_size + body_size_before
            )
        self.start_exchanges()

    def count_framing(self, count: int) -> None:
        """Refuse a request with a head or with framing that does not end.

        The parser reports a header or a chunk only when it is complete.
        """
        self.received.framing_size += count
        limits = self.listener.limits
        if not self.received.has_headers:
            if self.received.framing_size > limits.header_bytes:
                self.refusal_status = HEADERS_TOO_LARGE
            return
        allowed = self.received.body_size * FRAMING_BYTES_PER_BODY_BYTE
        allowed += limits.header_bytes + FRAMING_SLACK_BYTES
        if self.received.framing_size > allowed:
            self.refusal_status = BAD_REQUEST

    def on_message_begin(self) -> None:
        """Start a new request (parser callback)."""
        self.receiving_since = self.listener.clock()
        self.received = ReceivedRequest()

    def on_url(self, part: bytes) -> None:
        """Add a part of the request target (parser callback)."""
        self.received.request_target += part
        self.count_header_bytes(len(part))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (parser callback)."""
        self.received.headers.append((
            decode_header_name(name),
            text.decode('latin-1'),
        ))
        self.count_header_bytes(len(name) + len(text))

    def on_headers_complete(self) -> None:
        """Store the method and answer ``Expect`` (parser callback)."""
        self.received.has_headers = True
        # Read now: the parser may continue with the next request in the same
        # data, and then returns the method of that one.
        self.received.method = self.parser.get_method().decode('latin-1')
        if (
            self.transport
            and ('expect', '100-continue') in self.received.headers
        ):
            self.transport.write(CONTINUE_LINE)

    def on_body(self, part: bytes) -> None:
        """Add a part of the body (parser callback)."""
        self.received.body_size += len(part)
        if self.received.body_size > self.listener.limits.body_bytes:
            self.refusal_status = BODY_TOO_LARGE
            self.received.drop_body(self.listener.bodies)
        elif self.received.is_body_dropped:
            return
        elif self.listener.bodies.hold(
            len(part), self.listener.limits.held_bytes
        ):
            self.received.body += part
        else:
            self.received.is_body_dropped = True
            self.received.drop_body(self.listener.bodies)

    def on_message_complete(self) -> None:
        """Queue the complete request (parser callback)."""
        self.receiving_since = None
        if self.refusal_status:
            self.received.drop_body(self.listener.bodies)
            return
        self.queued_requests.append(
            HttpRequest(
                self.received.method,
                self.received.request_target.decode('latin-1'),
                tuple(self.received.headers),
                bytes(self.received.body),
                self.parser.should_keep_alive(),
                self.received.is_body_dropped,
            ),
        )
        self.received = ReceivedRequest()

    def count_header_bytes(self, count: int) -> None:
        """Refuse a request whose target and headers exceed the limit."""
        self.received.header_size += count
        if self.received.header_size > self.listener.limits.header_bytes:
            self.refusal_status = HEADERS_TOO_LARGE

    def start_exchanges(self) -> None:
        """Start the queued requests that may run now.

        A pending refusal is sent when all requests before it are answered.
        """
        while self.queued_requests and self.may_start(self.queued_requests[0]):
            exchange = Exchange(self, self.queued_requests.popleft())
            self.exchanges.append(exchange)
            if exchange.request.is_body_dropped:
                self.listener.handler.refuse_dropped_body(exchange)
            else:
                self.listener.handler.handle_exchange(exchange)
        self.update_reading()
        if self.transport is None or self.transport.is_closing():
            return
        if self.refusal_status and not self.is_busy():
            response = HttpResponse(self.refusal_status)
            self.transport.write(
                encode_response(response, close=True, is_head=False),
            )
            self.transport.close()

    def may_start(self, request: HttpRequest) -> bool:
        """Tell whether the first queued request may run now.

        Behind other requests only those run that may run twice, and none
        behind the last one that the connection will answer.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if not self.exchanges:
            return True
        if len(self.exchanges) >= MAX_CONCURRENT_REQUESTS:
            return False
        if not self.exchanges[-1].request.keep_alive:
            return False
        return self.listener.handler.may_run_beside(request)

    def update_reading(self) -> None:
        """Pause or resume reading by the number of queued requests."""
        if self.transport is None or self.transport.is_closing():
            return
        must_pause = len(self.queued_requests) >= MAX_PIPELINED_REQUESTS
        if must_pause == self.is_paused:
            return
        self.is_paused = must_pause
        if must_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def write_responses(self) -> None:
        """Write the responses that are next in order, and start requests."""
        while self.exchanges and self.exchanges[0].response is not None:
            exchange = self.exchanges.popleft()
            if exchange.response is not None:
                self.write_response(exchange.request, exchange.response)
        if self.queued_requests or self.refusal_status:
            # Deferred, because a handler that responds at once would recurse.
            asyncio.get_running_loop().call_soon(self.start_exchanges)

    def write_response(
        self, request: HttpRequest, response: HttpResponse
    ) -> None:
        """Write one response; close after the last one of the connection.

        Where the listener wants to close the connection, requests that were
        read already are answered first.
        """
        if self.transport is None or self.transport.is_closing():
            return
        must_close = not request.keep_alive
        if not self.is_busy():
            must_close = must_close or self.listener.is_unwanted(self)
        self.transport.write(
            encode_response(
                response,
                close=must_close,
                is_head=request.method == 'HEAD',
            ),
        )
        self.last_activity_at = self.listener.clock()
        if must_close:
            self.transport.close()
            self.drop_unread_requests()
        elif not self.count_open_exchanges():
            self.listener.idle_connections[self] = None

    def close(self) -> None:
        """Close the connection after its written responses are sent."""
        if self.transport is not None:
            self.transport.close()

    def drop_unread_requests(self) -> None:
        """Drop requests that were received but will not be answered."""
        self.listener.unread_requests += len(self.queued_requests)
        for request in self.queued_requests:
            self.listener.bodies.release(len(request.body))
        self.queued_requests.clear()

    def is_busy(self) -> bool:
        """Return whether a complete request has no response yet."""
        return bool(self.exchanges or self.queued_requests)

    def count_open_exchanges(self) -> int:
        """Return how many requests are being received or are unanswered."""
        is_receiving = self.receiving_since is not None
        return len(self.exchanges) + len(self.queued_requests) + is_receiving

    def close_if_idle(self) -> None:
        """Close unless a request is in progress or partly received."""
        if self.transport and not self.count_open_exchanges():
            self.transport.close()

    def close_if_timed_out(self, now: float) -> None:
        """Close if idle for too long; refuse headers that do not end."""
        if self.transport is None or self.is_busy():
            return
        limits = self.listener.limits
        since = self.receiving_since
        if since is not None and not self.received.has_headers:
            if now - since > limits.header_timeout_s:
                self.refusal_status = REQUEST_TIMEOUT
                self.start_exchanges()
        elif now - self.last_activity_at > limits.idle_timeout_s:
            self.transport.close()


@contextlib.asynccontextmanager
async def open_listener(
    listener: HttpListener,
    host: str,
    port: int,
) -> AsyncIterator[int]:
    """Listen while the context is open; yield the bound port.

    All connections are closed at the end. Raises ``OSError`` if the address is
    in use.
    """
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(listener.close_all)
        acceptor = await stack.enter_async_context(
            open_acceptor(listener.create_connection, host, port),
        )
        listener.acceptor = acceptor
        timeout_task = asyncio.get_running_loop().create_task(
            _close_timed_out(listener),
        )
        stack.callback(timeout_task.cancel)
        yield acceptor.port


async def _close_timed_out(listener: HttpListener) -> None:
    while True:
        await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
        listener.close_timed_out()
