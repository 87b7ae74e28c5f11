"""HTTP client on the node's loop: one request at a time per connection.

Every send ends in exactly one result, which says whether the other side can
have begun to run the request. Bytes that belong to no request of ours close
the connection, so that they can never be taken for a later answer.
"""

import asyncio
import dataclasses
import enum
import re
from collections.abc import Callable
from typing import Self, TypeAlias

import httptools

from ebonycleat.internal.connection.http_messages import (
    FIRST_FINAL_STATUS,
    HttpAnswer,
    drop_hop_headers,
    find_header,
)
from ebonycleat.internal.request.call import HeaderPairs

CONNECT_TIMEOUT_S = 1.0
"""A process on the same VM accepts in about 1 ms; a full accept queue does
not get better by waiting."""

DEFAULT_IDLE_S = 4.0
"""For servers that name no keep-alive time; common servers allow 5 s."""

IDLE_MARGIN_S = 1.0
"""Servers name whole seconds; one less is surely within their time."""

ANY_FRESHNESS_S = 60.0
"""Longer than any connection is kept."""

MAX_ANSWER_BYTES = 67_108_864
"""Answers are held whole; a larger one would endanger the process."""

_KEEP_ALIVE_S = re.compile(r'timeout=(\d+)')


class SendFailureKind(enum.Enum):
    """Why a send ended without a whole answer."""

    NOT_CONNECTED = 'not-connected'
    CLOSED = 'closed'
    TRUNCATED = 'truncated'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too-large'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailure:
    """No whole answer; ``was_sent`` tells if a byte may have left."""

    kind: SendFailureKind
    was_sent: bool
    detail: str = ''


SendResult: TypeAlias = HttpAnswer | SendFailure


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Bytes to send once, and how to know the answer to them.

    ``is_own_answer`` looks at the headers of an answer: servers may send a
    late extra answer of an earlier request first. ``freshness_s`` bounds how
    long a kept connection may have rested; zero asks for a new one.
    """

    encoded: bytes
    is_own_answer: Callable[[HeaderPairs], bool]
    is_head: bool = False
    freshness_s: float = ANY_FRESHNESS_S


class Send:
    """One request on its way; ``cancel`` closes its connection."""

    __slots__ = ('connection', 'is_over', 'on_result', 'request', 'was_sent')

    def __init__(
        self,
        request: OutgoingRequest,
        on_result: Callable[[SendResult], None],
    ) -> None:
        """Promise one result to ``on_result``."""
        self.request = request
        self.on_result = on_result
        self.connection: ClientConnection | None = None
        self.is_over = False
        self.was_sent = False

    def finish(self, result: SendResult) -> None:
        """Report the result once."""
        if not self.is_over:
            self.is_over = True
            self.connection = None
            self.on_result(result)

    def cancel(self) -> None:
        """Give up; the server sees its connection close."""
        connection = self.connection
        self.finish(
            SendFailure(SendFailureKind.CANCELLED, self.was_sent),
        )
        if connection is not None and connection.transport is not None:
            connection.transport.abort()


class ClientConnection(asyncio.Protocol):
    """One connection of a pool."""

    def __init__(self, pool: 'ConnectionPool') -> None:
        """Belong to a pool."""
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.send: Send | None = None
        self.idle_since: float = 0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.writes_paused = False
        self.has_ended = False
        self.start_answer()

    def start_answer(self) -> None:
        """Expect a new answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.body_size = 0
        self.has_head = False
        self.is_delimited = False
        self.is_whole = False
        self.problem: SendFailureKind | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = transport  # type: ignore[assignment]

    def pause_writing(self) -> None:
        """Note that a long body has not left yet."""
        self.writes_paused = True

    def resume_writing(self) -> None:
        """Note that the body has left."""
        self.writes_paused = False

    def begin(self, send: Send) -> None:
        """Write a request on this idle connection."""
        self.send = send
        send.connection = self
        send.was_sent = True
        self.start_answer()
        if self.transport is not None:
            self.transport.write(send.request.encoded)

    def data_received(self, received: bytes) -> None:
        """Feed the parser; bytes without a request close the connection."""
        if self.send is None:
            self.close()
            return
        try:
            self.parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.problem = self.problem or SendFailureKind.MALFORMED
        if self.problem is not None and not self.is_whole:
            self.fail(self.problem)
        elif self.is_whole:
            self.complete()

    def on_message_begin(self) -> None:
        """Begin an answer, or notice one too many (parser callback)."""
        if self.is_whole:
            self.problem = SendFailureKind.MALFORMED
            return
        self.headers = []
        self.body = []
        self.body_size = 0
        self.has_head = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (parser callback)."""
        if not self.is_whole:
            self.headers.append((
                name.decode('latin-1').lower(),
                text.decode('latin-1'),
            ))

    def on_headers_complete(self) -> None:
        """Find out how the body ends (parser callback)."""
        if self.is_whole:
            return
        self.has_head = True
        self.status = self.parser.get_status_code()
        self.is_delimited = any(
            name in {'content-length', 'transfer-encoding'}
            for name, _ in self.headers
        )
        if self.send and self.send.request.is_head:
            self.is_whole = True

    def on_body(self, part: bytes) -> None:
        """Add to the body (parser callback)."""
        if self.is_whole:
            return
        self.body_size += len(part)
        if self.body_size > MAX_ANSWER_BYTES:
            self.problem = SendFailureKind.TOO_LARGE
            return
        self.body.append(part)

    def on_message_complete(self) -> None:
        """Accept the answer if it is ours (parser callback)."""
        if self.is_whole or self.send is None:
            return
        is_interim = self.status < FIRST_FINAL_STATUS
        if is_interim:
            return
        if not self.send.request.is_own_answer(tuple(self.headers)):
            # Belongs to an earlier request; the next one may be ours.
            self.problem = None
            self.pool.note_foreign_answer()
            self.has_ended = True
            return
        self.is_whole = True

    def complete(self) -> None:
        """Report the whole answer and keep the connection if that is safe."""
        send = self.send
        headers = tuple(self.headers)
        answer = HttpAnswer(
            self.status,
            drop_hop_headers(headers),
            b''.join(self.body),
        )
        self.send = None
        self.body = []
        if self.may_be_kept(headers, send):
            self.idle_limit_s = _idle_limit_s(headers)
            self.pool.keep(self)
        else:
            self.close()
        if send is not None:
            send.finish(answer)

    def may_be_kept(self, headers: HeaderPairs, send: Send | None) -> bool:
        """Whether the next request may use this connection."""
        is_unclean = self.has_ended or self.problem is not None
        if is_unclean or self.writes_paused or not self.is_delimited:
            return False
        if send is None or send.request.is_head:
            return False
        if 'close' in find_header(headers, 'connection').lower():
            return False
        return self.transport is not None and not self.transport.is_closing()

    def eof_received(self) -> bool:
        """End an answer that has no declared length."""
        if self.send is None or self.problem is not None or self.is_whole:
            return False
        if self.has_head and not self.is_delimited:
            self.has_ended = True
            headers = tuple(self.headers)
            self.is_whole = self.send.request.is_own_answer(headers)
            if self.is_whole:
                self.complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the send that waited here."""
        self.transport = None
        self.pool.forget(self)
        kind = SendFailureKind.CLOSED
        if self.has_head:
            kind = SendFailureKind.TRUNCATED
        self.fail(kind, '' if error is None else str(error))

    def fail(self, kind: SendFailureKind, detail: str = '') -> None:
        """Report a failure and close."""
        send = self.send
        self.send = None
        self.close()
        if send is not None:
            send.finish(SendFailure(kind, was_sent=True, detail=detail))

    def close(self) -> None:
        """Close and never use this connection again."""
        self.pool.forget(self)
        if self.transport is not None:
            self.transport.abort()


class ConnectionPool:
    """Connections to one server; the caller bounds how many are in use."""

    def __init__(self, host: str, port: int) -> None:
        """Know the server's address; connect when needed."""
        self.host = host
        self.port = port
        self.idle: list[ClientConnection] = []
        self.connections: set[ClientConnection] = set()
        self.connects: set[asyncio.Task[None]] = set()
        self.foreign_answers = 0
        self.opened = 0

    def __enter__(self) -> Self:
        """Use the pool until the block ends."""
        return self

    def __exit__(self, *details: object) -> None:
        """Close all connections."""
        self.close()

    def close(self) -> None:
        """Close all connections; running sends fail."""
        for connecting in tuple(self.connects):
            connecting.cancel()
        for connection in tuple(self.connections):
            connection.close()

    def send(
        self,
        request: OutgoingRequest,
        on_result: Callable[[SendResult], None],
    ) -> Send:
        """Send once, on a kept connection or a new one."""
        send = Send(request, on_result)
        connection = self.take_idle(request.freshness_s)
        if connection is None:
            loop = asyncio.get_running_loop()
            connecting = loop.create_task(self.connect_and_begin(send))
            self.connects.add(connecting)
            connecting.add_done_callback(self.connects.discard)
        else:
            connection.begin(send)
        return send

    def take_idle(self, freshness_s: float) -> ClientConnection | None:
        """Return the connection used last, if it has not rested too long."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle[-1]
            rested_s = now - connection.idle_since
            if rested_s > connection.idle_limit_s:
                self.idle.pop()
                connection.close()
            elif rested_s > freshness_s:
                return None
            else:
                return self.idle.pop()
        return None

    async def connect_and_begin(self, send: Send) -> None:
        """Open a connection for one send."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self),
                    self.host,
                    self.port,
                )
        except OSError as error:
            send.finish(
                SendFailure(
                    SendFailureKind.NOT_CONNECTED,
                    was_sent=False,
                    detail=str(error) or 'timed out',
                ),
            )
            return
        self.opened += 1
        self.connections.add(connection)
        if send.is_over:
            self.keep(connection)
        else:
            connection.begin(send)

    def keep(self, connection: ClientConnection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """Drop a connection that closes."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def note_foreign_answer(self) -> None:
        """Count an answer that belonged to no request of its connection."""
        self.foreign_answers += 1


def _idle_limit_s(headers: HeaderPairs) -> float:
    named = _KEEP_ALIVE_S.search(find_header(headers, 'keep-alive'))
    if named is None:
        return DEFAULT_IDLE_S
    return max(0, int(named.group(1)) - IDLE_MARGIN_S)
