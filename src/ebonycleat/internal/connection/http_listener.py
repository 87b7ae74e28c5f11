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
from collections.abc import AsyncIterator, Callable

from ebonycleat.internal.connection.acceptor import (
    ConnectionAcceptor,
    open_acceptor,
)
from ebonycleat.internal.connection.byte_account import (
    HeldKind,
    MemoryAccount,
)
from ebonycleat.internal.connection.contained_errors import call_contained
from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
    encode_response,
    encode_response_parts,
)
from ebonycleat.internal.connection.listener_limits import ListenerLimits
from ebonycleat.internal.connection.request_receiver import (
    UNAVAILABLE,
    ReceiverOwner,
    RequestReceiver,
)
from ebonycleat.internal.connection.slow_clients import SlowClients
from ebonycleat.internal.connection.unsent_data import UnreadData, has_unsent

BAD_GATEWAY = 502

MAX_CONCURRENT_REQUESTS = 8
"""Requests of one connection that may run side by side."""

REFUSED_BODY_RETRY_AFTER_S = 1
"""A body that found no room comes back when the others have been passed on."""

UNREAD_LIMIT_BYTES = 16_384
"""Bytes that a caller leaves unread from which they are counted, and none of
its further requests start."""

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

MIN_CLOSING = 8
"""Connections beyond the allowed ones may be this many or the share above while
others are closing: they count until their last answer has been sent."""

REQUEST_TIMEOUT = 408
CONTINUE_LINE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Exchange:
    """One request and its response.

    ``on_abandoned`` is called if the connection closes before the response.
    ``response`` is kept until the responses to all earlier requests of the
    connection have been written; ``waiting_bytes`` is its size meanwhile.
    """

    __slots__ = (
        'connection',
        'is_finished',
        'on_abandoned',
        'request',
        'response',
        'waiting_bytes',
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
        self.waiting_bytes = 0
        self.on_abandoned: Callable[[], None] | None = None

    def respond(self, response: HttpResponse) -> None:
        """Send the response; does nothing if the exchange has finished."""
        if self.is_finished:
            return
        self.is_finished = True
        self.on_abandoned = None
        connection = self.connection
        account = connection.listener.account
        if self.request.held_bytes:
            account.release(HeldKind.REQUESTS, self.request.held_bytes)
        self.response = response
        if connection.exchanges and connection.exchanges[0] is not self:
            self.waiting_bytes = len(response.body)
            account.hold_anyway(HeldKind.RESPONSES, self.waiting_bytes)
            return
        connection.write_responses()

    def abandon(self) -> None:
        """Finish the exchange because its connection closed first."""
        self.release_response()
        if self.is_finished:
            return
        self.is_finished = True
        self.connection.listener.account.release(
            HeldKind.REQUESTS, self.request.held_bytes
        )
        if self.on_abandoned is not None:
            self.on_abandoned()
            self.on_abandoned = None

    def release_response(self) -> None:
        """Note that the response does not wait for its turn any longer."""
        self.connection.listener.account.release(
            HeldKind.RESPONSES, self.waiting_bytes
        )
        self.waiting_bytes = 0


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
        account: MemoryAccount | None = None,
    ) -> None:
        """Pass requests to ``handler``; ``clock`` returns seconds.

        Bytes are counted in ``account``, which others may share; without one,
        the listener has an account of its own.
        """
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
        self.account = account or MemoryAccount(limits.held_bytes)
        self.slow_clients = SlowClients(self.account, self.read_clock)

    def read_clock(self) -> float:
        """Return the time in seconds."""
        return self.clock()

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
        if excess > 0 and not self.make_room(excess):
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

    def make_room(self, excess: int) -> bool:
        """Close another connection for a new one; False if none can be.

        A body or reader must have stalled for as long as a head may take.
        """
        if excess <= self.max_excess() and self.evict_idle():
            return True
        return self.slow_clients.drop_stalled(self.limits.header_timeout_s)

    def max_excess(self) -> float:
        """Return how many connections beyond the allowed ones may be open."""
        return max(MIN_CLOSING, self.limits.connections * SURPLUS_SHARE)

    def has_room(self, opening: int) -> bool:
        """Tell whether connections besides those being opened may follow."""
        count = len(self.connections) + opening
        return count < self.limits.connections + self.max_excess()

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
        self.slow_clients.check()
        for connection in tuple(self.connections):
            connection.close_if_timed_out(now)
        self.account.serve_waiters()


class ServerConnection(ReceiverOwner, asyncio.Protocol):
    """Answers the requests of one connection.

    ``receiver`` parses what is read and decides about refusals of what is
    malformed, too large or too late; the connection then closes. A connection
    that ``is_surplus`` came beyond the limit and closes with its first answer.
    ``unread`` is what its client has not read of the responses. The handler of
    requests sets ``has_carried_key`` once one of them had a key.
    """

    def __init__(self, listener: HttpListener) -> None:
        """Create the state of a connection of ``listener``."""
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.receiver = RequestReceiver(self, listener.slow_clients)
        self.exchanges: collections.deque[Exchange] = collections.deque()
        self.last_activity_at = listener.clock()
        self.is_paused = False
        self.is_surplus = False
        self.has_carried_key = False
        self.is_start_due = False
        self.unread = UnreadData(listener.slow_clients)
        self.writing_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio callback)."""
        self.transport = transport  # type: ignore[assignment]
        if self.transport is not None:
            self.transport.set_write_buffer_limits(UNREAD_LIMIT_BYTES, 0)
        self.listener.add_connection(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Abandon the exchanges in progress (asyncio callback)."""
        self.listener.remove_connection(self)
        self.transport = None
        self.unread.end_after_close()
        self.drop_unread_requests()
        while self.exchanges:
            call_contained('disconnect', self.exchanges.popleft().abandon)

    def eof_received(self) -> bool:
        """Close when the client ends its sending side (asyncio callback).

        Such a client counts as disconnected, even if it could still read.
        """
        return False

    def data_received(self, received: bytes) -> None:
        """Parse data and start complete requests (asyncio callback)."""
        if self.receiver.refusal_status:
            return
        if self.receiver.feed(received):
            self.last_activity_at = self.listener.clock()
            self.listener.idle_connections.pop(self, None)
        self.start_exchanges()

    def find_limits(self) -> ListenerLimits:
        """Return the limits that are in force."""
        return self.listener.limits

    def expect_continue(self) -> None:
        """Tell a client that waits for it that its body may come."""
        if self.transport:
            self.transport.write(CONTINUE_LINE)

    def is_answering(self) -> bool:
        """Tell whether an earlier request has no response yet."""
        return bool(self.exchanges)

    def pause_writing(self) -> None:
        """Count what the client leaves unread (asyncio callback)."""
        if self.transport is not None:
            self.unread.begin(self.transport, self.writing_bytes)

    def resume_writing(self) -> None:
        """Go on after the client has read everything (asyncio callback)."""
        self.unread.end()
        self.start_soon()

    def start_exchanges(self) -> None:
        """Start the queued requests that may run now.

        A pending refusal is sent when all requests before it are answered.
        """
        receiver = self.receiver
        self.is_start_due = False
        queued_requests = receiver.queued_requests
        while queued_requests and self.may_start(queued_requests[0]):
            exchange = Exchange(self, queued_requests.popleft())
            self.exchanges.append(exchange)
            self.handle_contained(exchange)
        if receiver.unparsed and not receiver.must_queue_shrink():
            # One client's many requests must not hold up those of others.
            receiver.parse_in_parts(receiver.unparsed)
            self.start_soon()
        self.update_reading()
        if self.transport is None or self.transport.is_closing():
            return
        if receiver.refusal_status and not self.is_busy():
            self.write_refusal(receiver.refusal_status)
            self.transport.close()

    def handle_contained(self, exchange: Exchange) -> None:
        """Handle a request; one that fails may have been passed on."""
        handler = self.listener.handler
        on_request = handler.handle_exchange
        if exchange.request.is_body_dropped:
            on_request = handler.refuse_dropped_body
        if not call_contained('request', on_request, exchange):
            exchange.respond(HttpResponse(BAD_GATEWAY))

    def start_soon(self) -> None:
        """Start requests in the next iteration of the event loop, once."""
        if not self.is_start_due:
            self.is_start_due = True
            asyncio.get_running_loop().call_soon(self.start_exchanges)

    def write_refusal(self, status: int) -> None:
        """Write the response to a request that was not read to its end."""
        headers: tuple[tuple[str, str], ...] = ()
        if status == UNAVAILABLE:
            headers = (('retry-after', str(REFUSED_BODY_RETRY_AFTER_S)),)
        if self.transport is not None:
            response = HttpResponse(status, headers)
            self.transport.write(
                encode_response(response, close=True, is_head=False),
            )

    def may_start(self, request: HttpRequest) -> bool:
        """Tell whether the first queued request may run now.

        Behind other requests only those run that may run twice, and none
        behind the last one that the connection will answer.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if self.unread.held_bytes:
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
        must_pause = self.receiver.must_wait()
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
                if not call_contained(
                    'response',
                    self.write_response,
                    exchange.request,
                    exchange.response,
                ):
                    self.close()
                # Whoever still knows the exchange must not keep the body.
                exchange.response = None
                if exchange.waiting_bytes:
                    exchange.release_response()
        receiver = self.receiver
        if receiver.queued_requests or receiver.refusal_status:
            # Deferred, because a handler that responds at once would recurse.
            self.start_soon()

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
        parts = encode_response_parts(
            response, close=must_close, is_head=request.method == 'HEAD'
        )
        if len(parts) > 1 or self.unread.held_bytes:
            self.writing_bytes = len(parts[-1])
            if self.unread.held_bytes:
                self.unread.add(self.writing_bytes)
        for part in parts:
            self.transport.write(part)
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
        self.listener.unread_requests += self.receiver.close()

    def is_busy(self) -> bool:
        """Return whether a complete request has no response yet."""
        return bool(self.exchanges or self.receiver.queued_requests)

    def count_open_exchanges(self) -> int:
        """Return how many requests are being received or are unanswered."""
        receiver = self.receiver
        is_receiving = receiver.receiving_since is not None
        queued = len(receiver.queued_requests)
        return len(self.exchanges) + queued + is_receiving

    def close_if_idle(self) -> None:
        """Close unless a request is in progress or partly received."""
        if self.transport and not self.count_open_exchanges():
            self.transport.close()

    def close_if_timed_out(self, now: float) -> None:
        """Close if idle for too long; refuse headers that do not end."""
        if self.transport is None or self.is_busy():
            return
        limits = self.listener.limits
        since = self.receiver.receiving_since
        if since is not None and not self.receiver.received.has_headers:
            if now - since > limits.header_timeout_s:
                self.receiver.give_up(REQUEST_TIMEOUT)
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
            open_acceptor(
                listener.create_connection, host, port, listener.has_room
            ),
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
