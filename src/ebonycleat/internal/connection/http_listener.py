"""HTTP server on the node's loop, for callers and for its own target.

Requests of one connection are answered in their order, one at a time. A
request is handed on only when it is whole, so that a caller that breaks off
midway never leaves half a request at a target.
"""

import abc
import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

import httptools

from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    HttpRequest,
    encode_response,
    decode_header_name,
)

MAX_PIPELINED_REQUESTS = 16
"""Requests that may wait behind the one being answered; reading pauses then,
which bounds the memory of one connection."""

TIMEOUT_CHECK_INTERVAL_S = 0.5
"""How late an idle connection is noticed; small against idle time-outs."""

ACCEPT_BACKLOG = 1024
"""Connections that may wait to be accepted while the loop is busy; a full
queue costs callers seconds, because the opening packet is dropped."""

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
CONTINUE_LINE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What callers may send, and how long they may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


class Exchange:
    """One request and the connection that waits for its answer."""

    __slots__ = ('connection', 'is_finished', 'on_abandoned', 'request')

    def __init__(
        self,
        connection: 'ServerConnection',
        request: HttpRequest,
    ) -> None:
        """Open the exchange; it ends with an answer or with the caller."""
        self.connection = connection
        self.request = request
        self.is_finished = False
        self.on_abandoned: Callable[[], None] | None = None

    def respond(self, response: HttpResponse) -> None:
        """Send the answer, unless the caller has left."""
        if self.is_finished:
            return
        self.is_finished = True
        self.on_abandoned = None
        self.connection.finish_exchange(self, response)

    def abandon(self) -> None:
        """Note that the caller left before its answer."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.on_abandoned is not None:
            self.on_abandoned()
            self.on_abandoned = None


class ExchangeHandler(abc.ABC):
    """Answers the requests of a listener."""

    @abc.abstractmethod
    def handle_exchange(self, exchange: Exchange) -> None:
        """Begin one exchange; the answer may come now or later."""


class HttpListener:
    """The connections of one listening address."""

    def __init__(
        self,
        handler: ExchangeHandler,
        limits: ListenerLimits,
        clock: Callable[[], float],
    ) -> None:
        """Serve ``handler``; ``clock`` is in seconds."""
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.connections: set[ServerConnection] = set()
        self.is_closing = False

    def create_connection(self) -> 'ServerConnection':
        """Serve one more connection."""
        return ServerConnection(self)

    def count_open_exchanges(self) -> int:
        """Exchanges without an answer so far."""
        return sum(1 for one in self.connections if one.is_busy())

    def close_idle(self) -> None:
        """Close what waits for no answer, and the rest with its answer."""
        self.is_closing = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def close_all(self) -> None:
        """Close all connections, once written answers have left."""
        for connection in tuple(self.connections):
            if connection.transport:
                connection.transport.close()

    def close_timed_out(self) -> None:
        """Close connections that exceeded their time."""
        now = self.clock()
        for connection in tuple(self.connections):
            connection.close_if_timed_out(now)


class ServerConnection(asyncio.Protocol):
    """Parses the requests of one connection and writes the answers."""

    def __init__(self, listener: HttpListener) -> None:
        """Belong to a listener."""
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queued_requests: collections.deque[HttpRequest] = (
            collections.deque()
        )
        self.current_exchange: Exchange | None = None
        self.last_activity = listener.clock()
        self.is_receiving = False
        self.is_paused = False
        self.refusal_status = 0
        self.start_message()

    def start_message(self) -> None:
        """Forget the message received before."""
        self.target = b''
        self.method = ''
        self.headers: list[tuple[str, str]] = []
        self.header_size = 0
        self.body: list[bytes] = []
        self.body_size = 0
        self.has_headers = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = transport  # type: ignore[assignment]
        self.listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the exchange that its caller left."""
        self.listener.connections.discard(self)
        self.transport = None
        self.queued_requests.clear()
        if self.current_exchange is not None:
            self.current_exchange.abandon()
            self.current_exchange = None

    def eof_received(self) -> bool:
        """Take the end of the caller's bytes for its leaving."""
        return False

    def data_received(self, received: bytes) -> None:
        """Feed the parser and start what became whole."""
        if self.refusal_status:
            return
        self.last_activity = self.listener.clock()
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self.refusal_status = BAD_REQUEST
        except httptools.HttpParserError:
            self.refusal_status = self.refusal_status or BAD_REQUEST
        self.start_next_exchange()

    def on_message_begin(self) -> None:
        """Begin a message (parser callback)."""
        self.is_receiving = True
        self.start_message()

    def on_url(self, part: bytes) -> None:
        """Add to the request target (parser callback)."""
        self.target += part
        self.count_header_bytes(len(part))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (parser callback)."""
        self.headers.append((decode_header_name(name), text.decode('latin-1')))
        self.count_header_bytes(len(name) + len(text))

    def on_headers_complete(self) -> None:
        """Take the method while it is this message's (parser callback)."""
        self.has_headers = True
        # The parser may go on to the next message of the same packet.
        self.method = self.parser.get_method().decode('latin-1')
        if self.transport and ('expect', '100-continue') in self.headers:
            self.transport.write(CONTINUE_LINE)

    def on_body(self, part: bytes) -> None:
        """Add to the body (parser callback)."""
        self.body_size += len(part)
        if self.body_size > self.listener.limits.body_bytes:
            self.refusal_status = BODY_TOO_LARGE
            self.body.clear()
            return
        self.body.append(part)

    def on_message_complete(self) -> None:
        """Queue the whole request (parser callback)."""
        self.is_receiving = False
        if self.refusal_status:
            return
        self.queued_requests.append(
            HttpRequest(
                self.method,
                self.target.decode('latin-1'),
                tuple(self.headers),
                b''.join(self.body),
                self.parser.should_keep_alive(),
            ),
        )
        self.start_message()

    def count_header_bytes(self, count: int) -> None:
        """Refuse a request whose head grows too large."""
        self.header_size += count
        if self.header_size > self.listener.limits.header_bytes:
            self.refusal_status = HEADERS_TOO_LARGE

    def start_next_exchange(self) -> None:
        """Hand over the next whole request, or refuse what is malformed."""
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
            refused = HttpResponse(self.refusal_status)
            self.transport.write(
                encode_response(refused, close=True, is_head=False),
            )
            self.transport.close()

    def update_reading(self) -> None:
        """Stop reading while many requests wait."""
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

    def finish_exchange(self, exchange: Exchange, answer: HttpResponse) -> None:
        """Write an answer and go on with the next request."""
        self.current_exchange = None
        if self.transport is None or self.transport.is_closing():
            return
        request = exchange.request
        must_close = not request.keep_alive or self.listener.is_closing
        self.transport.write(
            encode_response(
                answer,
                close=must_close,
                is_head=request.method == 'HEAD',
            ),
        )
        self.last_activity = self.listener.clock()
        if must_close:
            self.transport.close()
        elif self.queued_requests or self.refusal_status:
            # Not at once: a handler that answers immediately would recurse.
            asyncio.get_running_loop().call_soon(self.start_next_exchange)

    def is_busy(self) -> bool:
        """Whether a request waits for its answer."""
        return self.current_exchange is not None or bool(self.queued_requests)

    def close_if_idle(self) -> None:
        """Close unless a request was received, even in part."""
        if self.transport and not self.is_busy() and not self.is_receiving:
            self.transport.close()

    def close_if_timed_out(self, now: float) -> None:
        """Close what is idle for too long or sends its head too slowly."""
        if self.transport is None or self.is_busy():
            return
        limits = self.listener.limits
        quiet_s = now - self.last_activity
        if self.is_receiving and not self.has_headers:
            if quiet_s > limits.header_timeout_s:
                self.refusal_status = REQUEST_TIMEOUT
                self.start_next_exchange()
        elif quiet_s > limits.idle_timeout_s:
            self.transport.close()


@contextlib.asynccontextmanager
async def open_listener(
    listener: HttpListener,
    host: str,
    port: int,
) -> AsyncIterator[int]:
    """Listen while the context is open; yields the bound port.

    Raises ``OSError`` when the address is taken.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        listener.create_connection,
        host,
        port,
        backlog=ACCEPT_BACKLOG,
        reuse_address=True,
    )
    sweeping = loop.create_task(_sweep(listener))
    with contextlib.ExitStack() as stack:
        stack.callback(listener.close_all)
        stack.callback(server.close)
        stack.callback(sweeping.cancel)
        yield server.sockets[0].getsockname()[1]


async def _sweep(listener: HttpListener) -> None:
    while True:
        await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
        listener.close_timed_out()
