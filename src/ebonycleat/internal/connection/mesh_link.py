"""Links between the nodes of a mesh: one connection carries many calls.

A link that falls silent is closed, so that what waits on it is resolved
while its callers still have time.
"""

import abc
import asyncio
import itertools
from collections.abc import Callable
from typing import TypeAlias

from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    FrameDecoder,
    Hello,
    Ping,
    Pong,
    encode_frame,
)

CONNECT_TIMEOUT_S = 0.5
"""Zones are a few milliseconds apart; a lost opening packet is repeated
after a second, by which time another node is the better choice."""

PING_AFTER_S = 0.3
"""Silence after which an awaited answer is asked for; round trips take a few
milliseconds."""

SILENCE_TIMEOUT_S = 1.2
"""Silence that closes a link: three lost packets in a row, or a cut."""

IDLE_CLOSE_S = 60.0
"""Links that carried nothing for this long are closed to free descriptors."""

OWN_PAUSE_S = 0.6
"""A gap between two checks from which on this process itself stood still, and
silence says nothing about the other side; checks come every 0.1 s."""

RECONNECT_BACKOFF_S = 0.25
"""Pause after a failed connect, so that a dead node costs few attempts."""


class LinkHandler(abc.ABC):
    """Receives what comes in on links."""

    @abc.abstractmethod
    def message_received(
        self,
        link: 'MeshLink',
        message: AnyMeshMessage,
    ) -> None:
        """Handle a message other than the link's own."""

    @abc.abstractmethod
    def link_closed(self, link: 'MeshLink') -> None:
        """Resolve what waited on the link."""


ReplyHandler: TypeAlias = Callable[[AnyMeshMessage | None], None]


class MeshLink(asyncio.Protocol):
    """One connection to another node, opened by either side."""

    def __init__(
        self, handler: LinkHandler, clock: Callable[[], float]
    ) -> None:
        """Deliver messages to ``handler``; ``clock`` is in seconds."""
        self.handler = handler
        self.clock = clock
        self.node = ''
        self.service = ''
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder()
        self.reply_handlers: dict[int, ReplyHandler] = {}
        self.request_numbers = itertools.count(1)
        self.last_received_at = clock()
        self.last_sent_at = self.last_received_at
        self.silent_since: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """Resolve all calls that wait for a reply as lost."""
        self.transport = None
        waiting = self.reply_handlers
        self.reply_handlers = {}
        for on_reply in waiting.values():
            on_reply(None)
        self.handler.link_closed(self)

    def data_received(self, received: bytes) -> None:
        """Deliver whole messages; malformed bytes close the link."""
        self.last_received_at = self.clock()
        self.silent_since = None
        try:
            messages = self.decoder.feed(received)
        except MalformedMessage:
            self.close()
            return
        for message in messages:
            self.deliver(message)

    def deliver(self, message: AnyMeshMessage) -> None:
        """Handle one message."""
        if isinstance(message, Ping):
            self.send(Pong())
        elif isinstance(message, Hello):
            self.node = message.node
            self.service = message.service
        elif not isinstance(message, Pong):
            self.handler.message_received(self, message)

    def send(self, message: AnyMeshMessage) -> bool:
        """Send a message; false when the link is closed."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.last_sent_at = self.clock()
        self.transport.write(encode_frame(message))
        return True

    def expect_reply(self, number: int, on_reply: ReplyHandler) -> None:
        """Wait for the reply with this number; None says that it is lost."""
        if not self.reply_handlers:
            self.silent_since = self.clock()
        self.reply_handlers[number] = on_reply

    def resolve_reply(self, number: int, message: AnyMeshMessage) -> None:
        """Hand a reply to whoever waits; unknown numbers are ignored."""
        on_reply = self.reply_handlers.pop(number, None)
        if on_reply is not None:
            on_reply(message)

    def check_silence(self) -> None:
        """Ping when a reply is awaited in silence; close after too long."""
        now = self.clock()
        if not self.reply_handlers:
            self.silent_since = None
            if (
                now - max(self.last_sent_at, self.last_received_at)
                > IDLE_CLOSE_S
            ):
                self.close()
            return
        since = self.silent_since
        if since is None:
            if now - self.last_received_at > PING_AFTER_S:
                self.silent_since = self.last_received_at
                self.send(Ping())
        elif now - since > SILENCE_TIMEOUT_S:
            self.close()
        elif now - since > PING_AFTER_S:
            self.send(Ping())

    def restart_silence_timer(self) -> None:
        """Start the wait for a sign of life anew."""
        self.last_received_at = self.clock()
        self.silent_since = None

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


LinkReceiver: TypeAlias = Callable[[MeshLink | None], None]


class LinkPool:
    """Links that this node opened, by the address of the other node."""

    def __init__(
        self,
        handler: LinkHandler,
        hello: Hello,
        clock: Callable[[], float],
    ) -> None:
        """Open links with ``hello`` as their first message."""
        self.handler = handler
        self.hello = hello
        self.clock = clock
        self.links: dict[str, MeshLink] = {}
        self.link_receivers: dict[str, list[LinkReceiver]] = {}
        self.failed_at: dict[str, float] = {}
        self.accepted: set[MeshLink] = set()
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.last_checked_at = clock()

    def accept(self) -> MeshLink:
        """Serve a link that another node opens."""
        link = MeshLink(self.handler, self.clock)
        self.accepted.add(link)
        return link

    def find_open_link(self, address: str) -> MeshLink | None:
        """Return the open link to a node, if there is one."""
        link = self.links.get(address)
        if link is None or link.transport is None:
            return None
        return link

    def has_failed_recently(self, address: str) -> bool:
        """Whether a connect failed within the pause."""
        failed_at = self.failed_at.get(address)
        if failed_at is None:
            return False
        return self.clock() - failed_at < RECONNECT_BACKOFF_S

    def request_link(
        self,
        address: str,
        on_link: LinkReceiver,
    ) -> None:
        """Call back with the link, connecting first if needed."""
        link = self.find_open_link(address)
        if link is not None:
            on_link(link)
            return
        waiting = self.link_receivers.get(address)
        if waiting:
            waiting.append(on_link)
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
        """Open a link and tell all that wait for it."""
        link = await self.try_to_connect(address)
        if link is None:
            self.failed_at[address] = self.clock()
        else:
            self.register(address, link)
        for on_link in self.link_receivers.pop(address, ()):
            on_link(link)

    def register(self, address: str, link: MeshLink) -> None:
        """Use a link that was opened."""
        self.failed_at.pop(address, None)
        self.links[address] = link
        link.send(self.hello)

    async def try_to_connect(self, address: str) -> MeshLink | None:
        """Open a connection, or give up after the time-out."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: MeshLink(self.handler, self.clock),
                    host,
                    int(port),
                )
        except OSError:
            return None
        link.node = address
        return link

    def remove(self, link: MeshLink) -> None:
        """Drop a closed link."""
        self.accepted.discard(link)
        if self.links.get(link.node) is link:
            self.links.pop(link.node)

    def check_silence(self) -> None:
        """Check all links; call it every 0.1 s or so."""
        now = self.clock()
        was_paused = now - self.last_checked_at > OWN_PAUSE_S
        self.last_checked_at = now
        for link in (*self.links.values(), *self.accepted):
            if was_paused:
                link.restart_silence_timer()
            link.check_silence()

    def close(self) -> None:
        """Close all links."""
        for task in tuple(self.connect_tasks):
            task.cancel()
        for link in (*self.links.values(), *self.accepted):
            link.close()
