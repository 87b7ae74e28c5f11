"""Receives the requests of one connection, within limits of size and memory."""

import abc
import collections
import io

import httptools

from ebonycleat.internal.connection.byte_account import (
    SMALL_BYTES,
    HeldKind,
    MemoryAccount,
)
from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    decode_header_name,
)
from ebonycleat.internal.connection.listener_limits import ListenerLimits
from ebonycleat.internal.connection.slow_clients import (
    PROGRESS_BYTES,
    SlowClient,
    SlowClients,
)

MAX_PIPELINED_REQUESTS = 16
"""Number of queued requests of one connection at which parsing pauses.

This limits the memory that one connection can use.
"""

FRAMING_SLACK_BYTES = 16_384
FRAMING_BYTES_PER_BODY_BYTE = 8
"""Sizes of chunks and trailers may take ``FRAMING_SLACK_BYTES``, and this many
bytes more for each byte of the body; a chunk with one byte needs five."""

BYTES_PER_HEADER = 3
"""A colon and a line break, which are in no name and no text."""

MEMORY_PER_HEADER = 128
"""Memory of a header beside its text: a tuple, and what two strings take."""

MEMORY_PER_REQUEST = 512
"""Memory of a queued request beside its headers and its body."""

FREE_HEADERS = 64
FREE_HEAD_BYTES = 8192
"""A head up to this many headers and bytes is not counted, unless it waits
behind other requests of its connection. Most heads have less than 1 KB."""

PARSED_AT_ONCE_BYTES = 2048
"""Bytes of heads that are parsed without a look at the queue. A read brings up
to 262,144 bytes, which may be more than 14,000 requests."""

BODY_PARSED_AT_ONCE_BYTES = 65_536

BAD_REQUEST = 400
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
UNAVAILABLE = 503


class ReceiverOwner(abc.ABC):
    """The connection that a receiver belongs to."""

    @abc.abstractmethod
    def find_limits(self) -> ListenerLimits:
        """Return the limits that are in force."""

    @abc.abstractmethod
    def expect_continue(self) -> None:
        """Tell a client that waits for it that its body may come."""

    @abc.abstractmethod
    def is_answering(self) -> bool:
        """Tell whether an earlier request has no response yet."""

    @abc.abstractmethod
    def start_soon(self) -> None:
        """Start or refuse requests in the next iteration of the event loop."""


class ReceivedRequest:
    """The request of which a connection receives the parts.

    ``held_bytes`` counts its head, if that is large, and its body.
    A body ``is_tracked`` once a part of it was received; it had
    ``progress_size`` bytes when it last made progress.
    """

    def __init__(self) -> None:
        """Start without any part."""
        self.request_target = b''
        self.method = ''
        self.headers: list[tuple[str, str]] = []
        self.header_size = 0
        self.body: io.BytesIO | None = None
        self.body_size = 0
        self.held_bytes = 0
        self.is_tracked = False
        self.progress_size = 0
        self.is_body_dropped = False
        self.framing_size = 0
        self.has_headers = False

    def take_body(self) -> bytes:
        """Return the body, without a copy of it."""
        body = self.body
        self.body = None
        return b'' if body is None else body.getvalue()

    def drop_body(self, account: MemoryAccount) -> None:
        """Free what was received so far."""
        account.release(HeldKind.REQUESTS, self.held_bytes)
        self.held_bytes = 0
        self.body = None

    def count_framing(self, count: int, limits: ListenerLimits) -> int:
        """Count bytes that are not of the body.

        Returns the status of a refusal if they do not end, else zero: the
        parser reports a header or a chunk only when it is complete.
        """
        self.framing_size += count
        if not self.has_headers:
            is_endless = self.framing_size > limits.header_bytes
            return HEADERS_TOO_LARGE if is_endless else 0
        allowed = self.body_size * FRAMING_BYTES_PER_BODY_BYTE
        allowed += limits.header_bytes + FRAMING_SLACK_BYTES
        return BAD_REQUEST if self.framing_size > allowed else 0


class RequestReceiver(SlowClient):
    """Parses what one connection reads, and queues complete requests.

    ``refusal_status`` is zero, or the status of the response to a request that
    is malformed, too large or too late, or for which there is no memory; then
    nothing more is parsed. ``limits`` are those of the request being received. ``unparsed`` is what was read but waits until fewer
    requests are queued, and ``blank_size`` the size of empty lines before a
    request.
    """

    def __init__(self, owner: ReceiverOwner, slow_clients: SlowClients) -> None:
        """Count bytes in the account of ``slow_clients``."""
        self.owner = owner
        self.slow_clients = slow_clients
        self.account = slow_clients.account
        self.clock = slow_clients.clock
        self.progress_at = 0
        self.parser = httptools.HttpRequestParser(self)
        self.queued_requests: collections.deque[HttpRequest] = (
            collections.deque()
        )
        self.receiving_since: float | None = None
        self.refusal_status = 0
        self.received = ReceivedRequest()
        self.unparsed = memoryview(b'')
        self.blank_size = 0
        self.limits = owner.find_limits()

    def feed(self, received: bytes) -> bool:
        """Parse data; return False for empty lines before a request.

        Those are no activity: a client could send them for ever.
        """
        request = self.received
        if len(received) <= PARSED_AT_ONCE_BYTES and not self.unparsed:
            self.parse(received)
        else:
            self.parse_in_parts(memoryview(self.unparsed.tobytes() + received))
        if self.receiving_since is not None:
            self.track_receiving()
        elif request is self.received:
            self.count_blank(len(received))
            return False
        return True

    def parse(self, received: bytes | memoryview) -> None:
        """Parse data; an error of the client sets the refusal."""
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
            body_size = request.body_size - body_size_before
            status = request.count_framing(
                len(received) - body_size, self.limits
            )
            self.refusal_status = status or self.refusal_status

    def parse_in_parts(self, rest: memoryview) -> None:
        """Parse data up to the allowed number of queued requests."""
        self.keep_unparsed(memoryview(b''))
        while rest and not self.refusal_status:
            if self.must_queue_shrink():
                break
            count = PARSED_AT_ONCE_BYTES
            if self.received.has_headers:
                count = BODY_PARSED_AT_ONCE_BYTES
            self.parse(rest[:count])
            rest = rest[count:]
        self.keep_unparsed(memoryview(b'') if self.refusal_status else rest)

    def must_wait(self) -> bool:
        """Tell whether nothing more should be read for now."""
        is_full = len(self.queued_requests) >= MAX_PIPELINED_REQUESTS
        return is_full or bool(self.unparsed)

    def must_queue_shrink(self) -> bool:
        """Tell whether too many requests are queued to parse more."""
        return len(self.queued_requests) >= MAX_PIPELINED_REQUESTS

    def keep_unparsed(self, rest: memoryview) -> None:
        """Keep and count what cannot be parsed yet."""
        self.account.release(HeldKind.REQUESTS, len(self.unparsed))
        self.account.hold_anyway(HeldKind.REQUESTS, len(rest))
        self.unparsed = rest

    def count_blank(self, count: int) -> None:
        """Refuse empty lines without end, of which the parser tells nothing."""
        self.blank_size += count
        if self.blank_size > self.owner.find_limits().header_bytes:
            self.refusal_status = HEADERS_TOO_LARGE

    def track_receiving(self) -> None:
        """Count a large head that is incomplete, and progress of a body."""
        received = self.received
        if not received.has_headers:
            self.hold_head()
        elif self.check_progress() or not received.is_tracked:
            received.is_tracked = True
            self.slow_clients.put_last(self.slow_clients.bodies, self)

    def check_progress(self) -> bool:
        """Tell whether the body has made progress since the last time."""
        received = self.received
        if received.body_size < received.progress_size + PROGRESS_BYTES:
            return False
        received.progress_size = received.body_size
        return True

    def count_held(self) -> int:
        """Return how many bytes are held for the request being received."""
        return self.received.held_bytes

    def give_way(self) -> None:
        """Refuse the request whose body has stalled, as not run."""
        self.give_up(UNAVAILABLE)
        self.owner.start_soon()

    def hold_head(self) -> None:
        """Count a head that takes much memory; refuse it without room."""
        received = self.received
        count = len(received.headers)
        is_free = received.header_size <= FREE_HEAD_BYTES
        if is_free and count <= FREE_HEADERS and not self.queued_requests:
            if not self.owner.is_answering():
                return
        memory = received.header_size + count * MEMORY_PER_HEADER
        memory += MEMORY_PER_REQUEST - received.held_bytes
        if self.account.hold(HeldKind.REQUESTS, memory):
            received.held_bytes += memory
        else:
            self.refusal_status = self.refusal_status or UNAVAILABLE

    def give_up(self, status: int) -> None:
        """Refuse the request that is being received, and free its body."""
        self.received.drop_body(self.account)
        self.refusal_status = self.refusal_status or status

    def close(self) -> int:
        """Free everything; return the number of requests that were queued."""
        self.slow_clients.bodies.pop(self, None)
        self.received.drop_body(self.account)
        self.keep_unparsed(memoryview(b''))
        count = len(self.queued_requests)
        for request in self.queued_requests:
            self.account.release(HeldKind.REQUESTS, request.held_bytes)
        self.queued_requests.clear()
        return count

    def on_message_begin(self) -> None:
        """Start a new request (parser callback)."""
        self.receiving_since = self.clock()
        self.blank_size = 0
        self.limits = self.owner.find_limits()
        self.received = ReceivedRequest()

    def on_url(self, part: bytes) -> None:
        """Add a part of the request target (parser callback)."""
        received = self.received
        received.request_target += part
        received.header_size += len(part)
        if received.header_size > self.limits.header_bytes:
            self.refusal_status = self.refusal_status or HEADERS_TOO_LARGE

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (parser callback)."""
        received = self.received
        received.header_size += len(name) + len(text) + BYTES_PER_HEADER
        if received.header_size > self.limits.header_bytes:
            self.refusal_status = self.refusal_status or HEADERS_TOO_LARGE
        else:
            received.headers.append((
                decode_header_name(name),
                text.decode('latin-1'),
            ))

    def on_headers_complete(self) -> None:
        """Store the method and answer ``Expect`` (parser callback)."""
        received = self.received
        received.has_headers = True
        # Read now: the parser may continue with the next request in the same
        # data, and then returns the method of that one.
        received.method = self.parser.get_method().decode('latin-1')
        self.hold_head()
        is_refused = bool(self.refusal_status)
        if not is_refused and ('expect', '100-continue') in received.headers:
            self.owner.expect_continue()

    def on_body(self, part: bytes) -> None:
        """Add a part of the body (parser callback)."""
        received = self.received
        count = len(part)
        received.body_size += count
        if received.body_size > self.limits.body_bytes:
            self.give_up(BODY_TOO_LARGE)
        if received.is_body_dropped or self.refusal_status:
            return
        is_small = received.body_size <= SMALL_BYTES
        is_held = self.account.hold(HeldKind.REQUESTS, count, is_small=is_small)
        if is_held and self.refusal_status:
            # Room was made by giving up this very request.
            self.account.release(HeldKind.REQUESTS, count)
        elif is_held:
            if received.body is None:
                received.body = io.BytesIO()
            received.body.write(part)
            received.held_bytes += count
        else:
            received.is_body_dropped = True
            received.drop_body(self.account)

    def on_message_complete(self) -> None:
        """Queue the complete request (parser callback)."""
        self.receiving_since = None
        received = self.received
        if received.is_tracked:
            self.slow_clients.bodies.pop(self, None)
        if self.refusal_status:
            received.drop_body(self.account)
            return
        self.queued_requests.append(
            HttpRequest(
                received.method,
                received.request_target.decode('latin-1'),
                tuple(received.headers),
                received.take_body(),
                self.parser.should_keep_alive(),
                received.is_body_dropped,
                received.held_bytes,
            ),
        )
        self.received = ReceivedRequest()
