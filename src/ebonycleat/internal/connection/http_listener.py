"""HTTP/1.1 server on the event loop, for callers and for the node's own target.

The requests of one connection are handled one at a time, in their order. A
request is passed on only when it is complete, so that a client that
disconnects midway never leaves a partial request at a target.
"""

import abc
import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

import httptools

from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
    decode_header_name,
    encode_response,
)

MAX_PIPELINED_REQUESTS = 16
"""Number of queued requests of one connection at which reading pauses.

This limits the memory that one connection can use.
"""

TIMEOUT_CHECK_INTERVAL_S = 0.5
"""Interval between checks of time-outs; short compared with the time-outs."""

ACCEPT_BACKLOG = 1024
"""Connections that may wait to be accepted while the event loop is busy.

When the queue is full, SYN packets are dropped, and connecting takes seconds.
"""

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
CONTINUE_LINE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits on the size of requests and on the time of connections.

    Both time-outs limit the time without received data: ``header_timeout_s``
    while the headers of a request arrive, ``idle_timeout_s`` while its body
    arrives and between requests. There is no limit while a request is being
    handled.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


class Exchange:
    """One request and its response.

    ``on_abandoned`` is called if the connection closes before the response.
    """

    __slots__ = ('connection', 'is_finished', 'on_abandoned', 'request')

    def __init__(
        self,
        connection: 'ServerConnection',
        request: HttpRequest,
    ) -> None:
        """Start the exchange of a complete request."""
        self.connection = connection
        self.request = request
        self.is_finished = False
        self.on_abandoned: Callable[[], None] | None = None

    def respond(self, response: HttpResponse) -> None:
        """Send the response; does nothing if the exchange has finished."""
        if self.is_finished:
            return
        self.is_finished = True
        self.on_abandoned = None
        self.connection.finish_exchange(self, response)

    def abandon(self) -> None:
        """Finish the exchange because its connection closed first."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.on_abandoned is not None:
            self.on_abandoned()
            self.on_abandoned = None


class ExchangeHandler(abc.ABC):
    """Handles the requests of a listener."""

    @abc.abstractmethod
    def handle_exchange(self, exchange: Exchange) -> None:
        """Handle one exchange; ``exchange.respond`` may be called later."""


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
        self.is_closing = False

    def create_connection(self) -> 'ServerConnection':
        """Create the protocol object of an accepted connection."""
        return ServerConnection(self)

    def count_open_exchanges(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(1 for connection in self.connections if connection.is_busy())

    def close_idle(self) -> None:
        """Close idle connections now, and the others after their response."""
        self.is_closing = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def close_all(self) -> None:
        """Close all connections after their written responses are sent."""
        for connection in tuple(self.connections):
            if connection.transport:
                connection.transport.close()

    def close_timed_out(self) -> None:
        """Close connections that exceeded one of their time-outs."""
        now = self.clock()
        for connection in tuple(self.connections):
            connection.close_if_timed_out(now)


class ServerConnection(asyncio.Protocol):
    """Parses the requests of one connection and writes the responses.

    ``refusal_status`` is zero, or the status of the response to a request
    that is malformed, too large or too late; the connection then closes.
    """

    def __init__(self, listener: HttpListener) -> None:
        """Create the state of a connection of ``listener``."""
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queued_requests: collections.deque[HttpRequest] = (
            collections.deque()
        )
        self.current_exchange: Exchange | None = None
        self.last_activity_at = listener.clock()
        self.is_receiving = False
        self.is_paused = False
        self.refusal_status = 0
        self.reset_request()

    def reset_request(self) -> None:
        """Reset the fields that hold the request being received."""
        self.request_target = b''
        self.method = ''
        self.headers: list[tuple[str, str]] = []
        self.header_size = 0
        self.body: list[bytes] = []
        self.body_size = 0
        self.has_headers = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio callback)."""
        self.transport = transport  # type: ignore[assignment]
        self.listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Abandon the exchange in progress (asyncio callback)."""
        self.listener.connections.discard(self)
        self.transport = None
        self.queued_requests.clear()
        if self.current_exchange is not None:
            self.current_exchange.abandon()
            self.current_exchange = None

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
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self.refusal_status = BAD_REQUEST
        except httptools.HttpParserError:
            self.refusal_status = self.refusal_status or BAD_REQUEST
        self.start_next_exchange()

    def on_message_begin(self) -> None:
        """Start a new request (parser callback)."""
        self.is_receiving = True
        self.reset_request()

    def on_url(self, part: bytes) -> None:
        """Add a part of the request target (parser callback)."""
        self.request_target += part
        self.count_header_bytes(len(part))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (parser callback)."""
        self.headers.append((decode_header_name(name), text.decode('latin-1')))
        self.count_header_bytes(len(name) + len(text))

    def on_headers_complete(self) -> None:
        """Store the method and answer ``Expect`` (parser callback)."""
        self.has_headers = True
        # Read now: the parser may continue with the next request in the same
        # data, and then returns the method of that one.
        self.method = self.parser.get_method().decode('latin-1')
        if self.transport and ('expect', '100-continue') in self.headers:
            self.transport.write(CONTINUE_LINE)

    def on_body(self, part: bytes) -> None:
        """Add a part of the body (parser callback)."""
        self.body_size += len(part)
        if self.body_size > self.listener.limits.body_bytes:
            self.refusal_status = BODY_TOO_LARGE
            self.body.clear()
            return
        self.body.append(part)

    def on_message_complete(self) -> None:
        """Queue the complete request (parser callback)."""
        self.is_receiving = False
        if self.refusal_status:
            return
        self.queued_requests.append(
            HttpRequest(
                self.method,
                self.request_target.decode('latin-1'),
                tuple(self.headers),
                b''.join(self.body),
                self.parser.should_keep_alive(),
            ),
        )
        self.reset_request()

    def count_header_bytes(self, count: int) -> None:
        """Refuse a request whose target and headers exceed the limit."""
        self.header_size += count
        if self.header_size > self.listener.limits.header_bytes:
            self.refusal_status = HEADERS_TOO_LARGE

    def start_next_exchange(self) -> None:
        """Start the next queued request, or send a pending refusal.

        Does nothing while another exchange of the connection is in progress.
        """
        if self.transport is None or self.current_exchange is not None:
            self.update_reading()
            return
        if self.queued_requests:
            self.current_exchange = Exchange(
                self, self.queued_requests.popleft()
            )
            self.update_reading()
            self.listener.handler.handle_exchange(self.current_exchange)
        elif self.refusal_status:
            response = HttpResponse(self.refusal_status)
            self.transport.write(
                encode_response(response, close=True, is_head=False),
            )
            self.transport.close()

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

    def finish_exchange(
        self, exchange: Exchange, response: HttpResponse
    ) -> None:
        """Write a response and continue with the next request."""
        self.current_exchange = None
        if self.transport is None or self.transport.is_closing():
            return
        request = exchange.request
        must_close = not request.keep_alive or self.listener.is_closing
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
        elif self.queued_requests or self.refusal_status:
            # Deferred, because a handler that responds at once would recurse.
            asyncio.get_running_loop().call_soon(self.start_next_exchange)

    def is_busy(self) -> bool:
        """Return whether a complete request has no response yet."""
        return self.current_exchange is not None or bool(self.queued_requests)

    def close_if_idle(self) -> None:
        """Close unless a request is in progress or partly received."""
        if self.transport and not self.is_busy() and not self.is_receiving:
            self.transport.close()

    def close_if_timed_out(self, now: float) -> None:
        """Close if idle for too long; refuse headers that stop arriving."""
        if self.transport is None or self.is_busy():
            return
        limits = self.listener.limits
        idle_s = now - self.last_activity_at
        if self.is_receiving and not self.has_headers:
            if idle_s > limits.header_timeout_s:
                self.refusal_status = REQUEST_TIMEOUT
                self.start_next_exchange()
        elif idle_s > limits.idle_timeout_s:
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
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        listener.create_connection,
        host,
        port,
        backlog=ACCEPT_BACKLOG,
        reuse_address=True,
    )
    timeout_task = loop.create_task(_close_timed_out(listener))
    with contextlib.ExitStack() as stack:
        stack.callback(listener.close_all)
        stack.callback(server.close)
        stack.callback(timeout_task.cancel)
        yield server.sockets[0].getsockname()[1]


async def _close_timed_out(listener: HttpListener) -> None:
    while True:
        await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
        listener.close_timed_out()
