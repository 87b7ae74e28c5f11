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
    HttpAnswer,
    drop_hop_headers,
    find_header,
    read_header_name,
)
from ebonycleat.internal.connection.http_sends import (
    Send,
    SendCarrier,
    SendFailure,
    SendFailureKind,
)
from ebonycleat.internal.request.call import HeaderPairs

DEFAULT_IDLE_S = 4.0
"""For servers that name no keep-alive time; common servers allow 5 s."""

IDLE_MARGIN_S = 1.0
"""Servers name whole seconds; one less is surely within their time."""

MAX_ANSWER_BYTES = 67_108_864
"""Answers are held whole; a larger one would endanger the process."""

LENGTH_HEADERS = frozenset(('content-length', 'transfer-encoding'))
"""Either tells where a body ends; else it ends with its connection."""

_KEEP_ALIVE_S = re.compile(r'timeout=(\d+)')


class ConnectionOwner(abc.ABC):
    """Keeps connections between their requests."""

    @abc.abstractmethod
    def keep(self, connection: 'ClientConnection') -> None:
        """Keep a connection for the next request."""

    @abc.abstractmethod
    def forget(self, connection: 'ClientConnection') -> None:
        """Drop a connection that closes."""

    @abc.abstractmethod
    def note_foreign_answer(self) -> None:
        """Count an answer that belonged to no request of its connection."""


class ClientConnection(SendCarrier, asyncio.Protocol):
    """One connection of a pool."""

    def __init__(self, pool: ConnectionOwner) -> None:
        """Belong to a pool."""
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.send: Send | None = None
        self.idle_since: float = 0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.writes_paused = False
        self.has_ended = False
        self.parser = httptools.HttpResponseParser(self)
        self.start_answer()

    def start_answer(self) -> None:
        """Expect a new answer; a kept connection goes on with its parser."""
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
        self.is_delimited = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (parser callback)."""
        if self.is_whole:
            return
        known = read_header_name(name)
        self.headers.append((known, text.decode('latin-1')))
        if known in LENGTH_HEADERS:
            self.is_delimited = True

    def on_headers_complete(self) -> None:
        """Find out how the body ends (parser callback)."""
        if self.is_whole:
            return
        self.has_head = True
        self.status = self.parser.get_status_code()
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
        self.abort()

    def abort(self) -> None:
        """Close at once, whatever is under way."""
        if self.transport is not None:
            self.transport.abort()


def _idle_limit_s(headers: HeaderPairs) -> float:
    named = _KEEP_ALIVE_S.search(find_header(headers, 'keep-alive'))
    if named is None:
        return DEFAULT_IDLE_S
    return max(0, int(named.group(1)) - IDLE_MARGIN_S)
