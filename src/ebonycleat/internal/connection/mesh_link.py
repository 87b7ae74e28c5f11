"""Links between the nodes of a mesh: one connection carries many calls.

If nothing arrives on a link although a reply is due, new calls soon use another
one. Later the calls that can be sent elsewhere are resolved as lost, while there
is still time to do so. The other node may only be paused, so the calls that
must not be repeated go on waiting for their reply; the link closes after the
last of them.
"""

import abc
import asyncio
import itertools
import logging
import math
from collections.abc import Callable
from typing import TypeAlias

from ebonycleat.internal.connection.addresses import split_host_port
from ebonycleat.internal.connection.byte_account import (
    MemoryAccount,
    held_bytes_limit,
)
from ebonycleat.internal.connection.contained_errors import call_contained
from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.connection.link_memory import LinkMemory
from ebonycleat.internal.connection.mesh_frames import (
    MAX_JOINED_BYTES,
    DroppedMessage,
    FrameDecoder,
    encode_frame_parts,
)
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    CallRefusal,
    CallResponse,
    Hello,
    LoadReport,
    Ping,
    Pong,
)
from ebonycleat.internal.connection.unsent_data import has_unsent

CONNECT_TIMEOUT_S = 0.5
"""Time-out for opening a connection.

Round trips between availability zones take a few milliseconds. A lost SYN
packet is repeated only after a second, and it is better to use another node
by then.
"""

PING_AFTER_S = 0.3
"""Time without received data, while a reply is awaited, until a ping is sent.

Round trips take a few milliseconds.
"""

SET_ASIDE_AFTER_S = 0.5
"""Time without received data until new calls use another connection.

Opening one costs a round trip; a call on a dead one costs its time.
"""

SILENCE_TIMEOUT_S = 1.2
"""Time without received data until awaited replies are given up.

It is reached after three lost packets in a row or when the network is
interrupted.
"""

VERIFY_INTERVAL_S = 1.0
"""Time between two verifications of all links. Silent links are noticed one by
one, and each notice would ping all others."""

IDLE_CLOSE_S = 60.0
"""Links without traffic for this long are closed to free file descriptors."""

PAUSE_THRESHOLD_S = 0.6
"""A longer gap between two checks means that this process was paused.

Links on which nothing was received may then still be alive. Checks are made
every 0.1 s.
"""

NO_ROOM_REASON = 'node-saturated'
"""Reason in the refusal of a call whose response found no room."""

UNKNOWN_LOAD = LoadReport(0, 0, 0, 0, 0, is_draining=False)
"""In the place of a load that was dropped with its message."""

RECONNECT_BACKOFF_S = 0.25
"""Time after a failed connect in which no new attempt is made.

It limits the number of attempts to reach a dead node.
"""

MESSAGE_PLACE = 'message of a node'
REPLY_PLACE = 'reply of a node'
LINK_PLACE = 'opened link'
CHECK_PLACE = 'check of a link'
"""Places of contained errors."""

logger = logging.getLogger('ebonycleat.links')


class LinkHandler(abc.ABC):
    """Receives the messages of links, and is told when a link closes."""

    @abc.abstractmethod
    def message_received(
        self,
        link: 'MeshLink',
        message: AnyMeshMessage | DroppedMessage,
    ) -> None:
        """Handle a message; ``MeshLink`` itself handles pings and hellos.

        A ``DroppedMessage`` is a request that must be refused.
        """

    @abc.abstractmethod
    def link_closed(self, link: 'MeshLink') -> None:
        """Handle that a link closed.

        Its awaited replies have been resolved as lost before this call.
        """

    def link_silent(self, link: 'MeshLink') -> None:
        """Handle that a link fell silent but still has awaited replies.

        It must not be used for new messages that need a reply.
        """


ReplyHandler: TypeAlias = Callable[[AnyMeshMessage | None], None]


class MeshLink(asyncio.Protocol):
    """One connection to another node, opened by either side.

    ``node`` is the address of the other node; on accepted links it is empty
    until the ``Hello`` of the other side arrives. ``reply_handlers`` has the
    handler of each awaited reply by request number. ``silent_since`` is the
    time from which silence is measured: no data was received although a reply
    was awaited. It is None after data has arrived, until the next silence is
    noticed. ``patient_numbers`` are the awaited replies that silence does not
    end. A link that ``is_set_aside`` was silent and takes no new calls; what it still
    awaits is given up after ``SILENCE_TIMEOUT_S``, except patient replies.
    """

    def __init__(
        self,
        handler: LinkHandler,
        clock: Callable[[], float],
        account: MemoryAccount | None = None,
    ) -> None:
        """Pass messages to ``handler``; ``clock`` returns seconds.

        Large frames are counted in ``account``, which others may share.
        """
        self.handler = handler
        self.clock = clock
        self.node = ''
        self.service = ''
        self.transport: asyncio.Transport | None = None
        self.memory = LinkMemory(
            account or MemoryAccount(held_bytes_limit(None)), clock
        )
        self.decoder = FrameDecoder(self.memory.receive)
        self.reply_handlers: dict[int, ReplyHandler] = {}
        self.patient_numbers: set[int] = set()
        self.is_set_aside = False
        self.request_numbers = itertools.count(1)
        self.last_received_at = clock()
        self.last_sent_at = self.last_received_at
        self.silent_since: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio callback)."""
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """Resolve all awaited replies as lost (asyncio callback)."""
        self.transport = None
        self.memory.close()
        reply_handlers = self.reply_handlers
        self.reply_handlers = {}
        for on_reply in reply_handlers.values():
            call_contained(REPLY_PLACE, on_reply, None)
        self.handler.link_closed(self)

    def data_received(self, received: bytes) -> None:
        """Handle complete messages (asyncio callback).

        Malformed data closes the link. An error in handling one message does
        not end the others.
        """
        self.last_received_at = self.clock()
        self.silent_since = None
        try:
            messages = self.decoder.feed(received)
        except MalformedMessage:
            self.close()
            return
        for message in messages:
            call_contained(MESSAGE_PLACE, self.deliver, message)
        if self.memory.receiving_bytes:
            # The room has gone over to whoever has taken the message.
            self.memory.release_received(self.decoder.large_length)

    def resume_writing(self) -> None:
        """Release the frames that have been sent (asyncio callback)."""
        self.check_unsent()

    def check_unsent(self) -> None:
        """Release the large responses that have been sent."""
        if self.transport is not None:
            self.memory.release_sent(self.transport.get_write_buffer_size())

    def deliver(self, message: AnyMeshMessage | DroppedMessage) -> None:
        """Answer a ping, record a hello, and pass on other messages.

        A call whose response was dropped may have run.
        """
        if isinstance(message, DroppedMessage) and not message.is_request:
            refusal = CallRefusal(
                message.number,
                NO_ROOM_REASON,
                has_not_run=False,
                retry_after_ms=0,
                load=UNKNOWN_LOAD,
            )
            self.resolve_reply(message.number, refusal)
        elif isinstance(message, Ping):
            self.send(Pong())
        elif isinstance(message, Hello):
            self.node = message.node
            self.service = message.service
        elif not isinstance(message, Pong):
            self.handler.message_received(self, message)

    def send(self, message: AnyMeshMessage) -> bool:
        """Send a message; return False if nothing of it was written.

        The link is closed, or the message cannot be encoded.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            parts = encode_frame_parts(message)
        except (ValueError, OverflowError):
            # Half of a surrogate pair, or a number of more than 64 bits.
            logger.exception('message cannot be encoded')
            return False
        self.last_sent_at = self.clock()
        size = 0
        for part in parts:
            self.transport.write(part)
            size += len(part)
        self.memory.written_bytes += size
        if size > MAX_JOINED_BYTES and isinstance(message, CallResponse):
            self.memory.hold_unsent(size)
            self.check_unsent()
        return True

    def expect_reply(
        self,
        number: int,
        on_reply: ReplyHandler,
        *,
        waits_in_silence: bool = False,
    ) -> None:
        """Register a handler for the reply with this number.

        It is called with None if the link closes before the reply arrives, and
        unless it ``waits_in_silence`` also if the link falls silent.
        """
        if self.silent_since is None and not self.reply_handlers:
            self.silent_since = self.clock()
        self.reply_handlers[number] = on_reply
        if waits_in_silence:
            self.patient_numbers.add(number)

    def forget_reply(self, number: int) -> None:
        """Await a reply no longer; its handler is not called."""
        self.reply_handlers.pop(number, None)
        self.patient_numbers.discard(number)

    def resolve_reply(self, number: int, message: AnyMeshMessage) -> None:
        """Pass a reply to its handler; unknown numbers are ignored."""
        on_reply = self.reply_handlers.pop(number, None)
        self.patient_numbers.discard(number)
        if on_reply is not None:
            call_contained(REPLY_PLACE, on_reply, message)

    def give_up_replies(self) -> None:
        """Resolve as lost the replies that silence ends; close if none is left."""
        given_up = self.reply_handlers.keys() - self.patient_numbers
        if given_up:
            logger.info(
                'replies of a silent link are given up',
                extra={'peer': self.node, 'given_up': len(given_up)},
            )
        for number in given_up:
            on_reply = self.reply_handlers.pop(number, None)
            if on_reply is not None:
                call_contained(REPLY_PLACE, on_reply, None)
        if not self.reply_handlers:
            self.close()

    def set_aside(self) -> None:
        """Use the link only for the replies that are awaited already."""
        if self.is_set_aside:
            return
        self.is_set_aside = True
        logger.info(
            'link is silent; new calls use another one',
            extra={'peer': self.node, 'awaited': len(self.reply_handlers)},
        )
        self.handler.link_silent(self)

    def check_silence(self) -> None:
        """Ping if nothing arrives although an answer is due, or give it up.

        An unused link is closed after ``IDLE_CLOSE_S``.
        """
        now = self.clock()
        if self.memory.unsent_frames:
            self.check_unsent()
        silence_s = self.measure_silence(now)
        if silence_s > SET_ASIDE_AFTER_S:
            self.set_aside()
        if silence_s > SILENCE_TIMEOUT_S:
            self.give_up_replies()
        elif not self.reply_handlers and self.is_unused(now):
            self.close()
        elif silence_s > PING_AFTER_S:
            self.send(Ping())

    def is_unused(self, now: float) -> bool:
        """Tell whether a link without awaited replies is not needed."""
        used_at = max(self.last_sent_at, self.last_received_at)
        return self.is_set_aside or now - used_at > IDLE_CLOSE_S

    def measure_silence(self, now: float) -> float:
        """Return the seconds for which an answer is overdue, 0 if none is.

        It stays overdue if its reply is no longer awaited: callers may give up
        sooner than ``SILENCE_TIMEOUT_S``, each one of them.
        """
        if self.silent_since is None and self.reply_handlers:
            if now - self.last_received_at > PING_AFTER_S:
                self.silent_since = self.last_received_at
        return 0 if self.silent_since is None else now - self.silent_since

    def verify(self) -> None:
        """Ping an unused link, so that its silence is noticed before a call."""
        if self.silent_since is None:
            self.silent_since = self.clock()
            self.send(Ping())

    def restart_silence_timer(self) -> None:
        """Measure silence from now on, as if data had just arrived."""
        self.last_received_at = self.clock()
        self.silent_since = None

    def close(self) -> None:
        """Close the connection at once, without sending buffered data."""
        if self.transport is not None:
            self.transport.abort()


LinkReceiver: TypeAlias = Callable[[MeshLink | None], None]


class LinkPool:
    """All links of a node: opened ones by their address, and accepted ones.

    ``link_receivers`` are the callbacks that wait for a link being opened, by
    address. ``failed_at`` has the time of the last failed connect.
    """

    def __init__(
        self,
        handler: LinkHandler,
        hello: Hello,
        clock: Callable[[], float],
        account: MemoryAccount | None = None,
    ) -> None:
        """Create a pool without links.

        ``hello`` is the first message on each link that this node opens.
        Large frames are counted in ``account``, which others may share.
        """
        self.account = account or MemoryAccount(held_bytes_limit(None))
        self.account.reclaimers.append(self.drop_stalled)
        self.handler = handler
        self.hello = hello
        self.clock = clock
        self.links: dict[str, MeshLink] = {}
        self.link_receivers: dict[str, list[LinkReceiver]] = {}
        self.failed_at: dict[str, float] = {}
        self.accepted: set[MeshLink] = set()
        self.silent_links: set[MeshLink] = set()
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.last_checked_at = clock()
        self.verified_at = -math.inf

    def accept(self) -> MeshLink:
        """Create the protocol object of a link that another node opens."""
        link = MeshLink(self.handler, self.clock, self.account)
        self.accepted.add(link)
        return link

    def find_open_link(self, address: str) -> MeshLink | None:
        """Return the open link to an address, or None."""
        link = self.links.get(address)
        if link is None or link.transport is None:
            return None
        return None if link.transport.is_closing() else link

    def has_failed_recently(self, address: str) -> bool:
        """Return whether a connect failed less than the backoff time ago."""
        failed_at = self.failed_at.get(address)
        if failed_at is None:
            return False
        return self.clock() - failed_at < RECONNECT_BACKOFF_S

    def request_link(
        self,
        address: str,
        on_link: LinkReceiver,
    ) -> None:
        """Call ``on_link`` with the link to an address, connecting if needed.

        ``on_link`` gets None if no connection can be opened, or if an attempt
        failed less than ``RECONNECT_BACKOFF_S`` ago.
        """
        link = self.find_open_link(address)
        if link is not None:
            on_link(link)
            return
        receivers = self.link_receivers.get(address)
        if receivers:
            receivers.append(on_link)
        elif self.has_failed_recently(address):
            on_link(None)
        else:
            self.link_receivers[address] = [on_link]
            task = asyncio.get_running_loop().create_task(
                self.connect(address),
            )
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)

    async def connect(self, address: str) -> None:
        """Open a link and pass it to all callbacks that wait for it."""
        link: MeshLink | None = None
        try:
            link = await self.try_to_connect(address)
        except Exception:
            # Nobody may wait for ever because of an unexpected error.
            logger.exception('link could not be opened')
        if link is None:
            self.failed_at[address] = self.clock()
        else:
            self.register(address, link)
        for on_link in self.link_receivers.pop(address, ()):
            call_contained(LINK_PLACE, on_link, link)

    def register(self, address: str, link: MeshLink) -> None:
        """Add a link that this node opened, and send its hello."""
        self.failed_at.pop(address, None)
        self.links[address] = link
        link.send(self.hello)

    async def try_to_connect(self, address: str) -> MeshLink | None:
        """Open a connection; return None on an error or a time-out.

        ``ValueError`` comes from an address or host name that cannot exist.
        """
        loop = asyncio.get_running_loop()
        try:
            host, port = split_host_port(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: MeshLink(self.handler, self.clock, self.account),
                    host,
                    port,
                )
        except (OSError, ValueError):
            return None
        link.node = address
        return link

    def remove(self, link: MeshLink) -> None:
        """Remove a closed link."""
        self.accepted.discard(link)
        self.silent_links.discard(link)
        if self.links.get(link.node) is link:
            self.links.pop(link.node)

    def set_aside(self, link: MeshLink) -> None:
        """Keep a silent link only for the replies that it still awaits.

        What silenced it may have silenced others, so those are verified.
        """
        self.remove(link)
        self.silent_links.add(link)
        now = self.clock()
        if now - self.verified_at > VERIFY_INTERVAL_S:
            self.verified_at = now
            for other in tuple(self.links.values()):
                other.verify()

    def drop_stalled(self, is_any: bool) -> bool:
        """Close a link whose other side does not read a large response."""
        for link in self.list_links():
            if link.memory.is_stalled():
                link.memory.close()
                link.close()
                return True
        return False

    def list_links(self) -> list[MeshLink]:
        """Return all links that are not closed."""
        return [*self.links.values(), *self.accepted, *self.silent_links]

    def count_unsent(self) -> int:
        """Return the number of links with data that is still to be sent."""
        return sum(has_unsent(link.transport) for link in self.list_links())

    def check_silence(self) -> None:
        """Check all links for silence; call it about every 0.1 s."""
        now = self.clock()
        was_paused = now - self.last_checked_at > PAUSE_THRESHOLD_S
        self.last_checked_at = now
        for link in self.list_links():
            if was_paused:
                link.restart_silence_timer()
            call_contained(CHECK_PLACE, link.check_silence)

    def close(self) -> None:
        """Cancel running connects and close all links."""
        for task in tuple(self.connect_tasks):
            task.cancel()
        for link in self.list_links():
            link.close()
