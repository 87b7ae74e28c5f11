"""All links of a node to its peers: opens them on demand and accepts them.

A message may use any open link to its node, whichever side opened it. If only
one of two nodes can connect to the other, both can still send messages.
"""

import abc
import asyncio
import collections
import contextlib
import dataclasses
import itertools
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import WebSocketException

from ebonycleat.internal.connection.codec import MessageCodec
from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.connection.handshake import (
    create_challenge,
    sign_hello,
    verify_hello,
)
from ebonycleat.internal.connection.link_monitor import (
    CloseLink,
    LinkAction,
    LinkMonitor,
    OpenLink,
    SendPing,
)
from ebonycleat.internal.connection.peer_link import (
    MAX_MESSAGE_BYTES,
    PeerLink,
    cancel_on_exit,
)
from ebonycleat.internal.connection.peer_messages import (
    Challenge,
    Hello,
    Ping,
    Pong,
    pending_id,
)

OPEN_TIMEOUT_S = 1.0
MONITOR_INTERVAL_S = 0.05

# Errors that can occur while a link is opened. A KeyError means that the
# address of the node is not known, a ValueError that it cannot exist.
OPEN_ERRORS = (
    KeyError,
    OSError,
    TimeoutError,
    ValueError,
    WebSocketException,
    MalformedMessage,
)


class PeerEventHandler(abc.ABC):
    """Receives the events of all links, on the event loop."""

    @abc.abstractmethod
    def message_received(self, node: str, message: Any) -> None:
        """Handle one message from a peer."""

    @abc.abstractmethod
    def calls_lost(
        self,
        node: str,
        call_ids: Iterable[str],
        *,
        sent: bool,
    ) -> None:
        """Resolve calls whose link closed before their answer.

        ``sent`` is True if they may have reached the peer.
        """

    @abc.abstractmethod
    def link_changed(self, node: str, *, reachable: bool) -> None:
        """Handle that a link opened, or that the last one closed.

        A failed attempt to open a link counts as not reachable too.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """What this node sends to a peer to authenticate itself.

    ``incarnation`` identifies this run of the node: a later run has a higher
    one. ``secret`` is shared by all nodes of the fleet.
    """

    node: str
    incarnation: int
    secret: bytes


class PeerTransport:
    """Sends messages to nodes by their id.

    ``links_by_node`` and ``links_by_number`` have the same open links.
    ``unsent_messages`` has, by node, the messages that wait for a link that is
    being opened.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        codec: MessageCodec,
        handler: PeerEventHandler,
    ) -> None:
        """Create a transport without links.

        Must be called on the event loop. ``addresses`` has to be filled with
        the host and port of each node before messages are sent to it.
        """
        self.identity = identity
        self.codec = codec
        self.handler = handler
        self.addresses: dict[str, tuple[str, int]] = {}
        self.links_by_node: dict[str, list[PeerLink]] = collections.defaultdict(
            list
        )
        self.links_by_number: dict[int, PeerLink] = {}
        self.link_numbers = itertools.count(1)
        self.monitor = LinkMonitor()
        self.is_closing = False
        self.loop = asyncio.get_running_loop()
        self.unsent_messages: dict[str, list[Any]] = {}
        self.background_tasks: set[asyncio.Task[None]] = set()

    def send(self, node: str, message: Any) -> None:
        """Send a message over the newest usable link to a node.

        Without one, a link is opened first. If that fails, the message is
        lost and its call is reported to the handler.
        """
        for link in reversed(self.links_by_node[node]):
            if self.monitor.is_usable(link.number):
                link.send(message)
                return
        self.ensure_link(node)
        queued_messages = self.unsent_messages.get(node)
        if queued_messages is not None:
            queued_messages.append(message)

    def ensure_link(self, node: str) -> None:
        """Start opening a link, unless one is being opened already."""
        if node not in self.unsent_messages and not self.is_closing:
            self.unsent_messages[node] = []
            self.start_background_task(self.dial(node))

    @contextlib.asynccontextmanager
    async def listen(self, host: str, port: int) -> AsyncIterator[int]:
        """Accept links while the context is open; yield the bound port."""
        async with serve(
            self.accept,
            host,
            port,
            compression=None,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
        ) as server:
            self.start_background_task(self.monitor_links())
            async with cancel_on_exit(self.background_tasks):
                yield next(iter(server.sockets)).getsockname()[1]
                self.is_closing = True

    async def accept(self, connection: ServerConnection) -> None:
        """Authenticate the connecting node and use its link until it closes."""
        challenge = create_challenge()
        try:
            await connection.send(self.codec.encode(challenge))
            hello = await self.receive_one(connection)
        except OPEN_ERRORS:
            return
        if not isinstance(hello, Hello):
            return
        if verify_hello(challenge, self.identity.secret, hello):
            await self.run_link(self.create_link(connection, hello.node))

    async def dial(self, node: str) -> None:
        """Open a link, send the messages that wait for it, and use it.

        If it cannot be opened, the calls among these messages are reported
        as not sent.
        """
        try:
            link = await self.open_link(node)
        except OPEN_ERRORS:
            self.handler.link_changed(node, reachable=False)
            self.report_unsent(node, self.unsent_messages.pop(node))
            return
        for message in self.unsent_messages.pop(node):
            link.send(message)
        await self.run_link(link)

    async def open_link(self, node: str) -> PeerLink:
        """Connect to a peer and authenticate this node.

        Raises one of ``OPEN_ERRORS``.
        """
        host, port = self.addresses[node]
        connection = await connect(
            f'ws://{host}:{port}',
            compression=None,
            ping_interval=None,
            open_timeout=OPEN_TIMEOUT_S,
            max_size=MAX_MESSAGE_BYTES,
            proxy=None,
        )
        challenge = await self.receive_one(connection)
        if not isinstance(challenge, Challenge):
            raise MalformedMessage(
                'the first message of the peer is not a Challenge',
            )
        hello = sign_hello(
            challenge,
            self.identity.secret,
            self.identity.node,
            self.identity.incarnation,
        )
        await connection.send(self.codec.encode(hello))
        return self.create_link(connection, node)

    def create_link(self, connection: Connection, node: str) -> PeerLink:
        """Create a link with the next free number."""
        return PeerLink(connection, self.codec, node, next(self.link_numbers))

    async def monitor_links(self) -> None:
        """Apply the decisions of the link monitor until cancelled."""
        while True:
            for action in self.monitor.tick(self.loop.time()):
                self.apply_action(action)
            await asyncio.sleep(MONITOR_INTERVAL_S)

    def apply_action(self, action: LinkAction) -> None:
        """Carry out one action of the link monitor."""
        match action:
            case OpenLink(node=node):
                if self.links_by_node[node]:
                    self.ensure_link(node)
            case SendPing(link=number):
                self.links_by_number[number].ping()
            case CloseLink(link=number):
                self.links_by_number[number].abort()

    async def receive_one(self, connection: Connection) -> Any:
        """Receive one message while a link is opened.

        Raises ``TimeoutError`` after ``OPEN_TIMEOUT_S`` and
        ``MalformedMessage`` for a text frame or undecodable bytes.
        """
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            frame = await connection.recv()
        if isinstance(frame, str):
            raise MalformedMessage(
                'the peer sent a text frame; messages are binary frames',
            )
        return self.codec.decode(frame)

    async def run_link(self, link: PeerLink) -> None:
        """Exchange messages on a link until it closes."""
        with self.register_link(link):
            await link.run(self.deliver)

    @contextlib.contextmanager
    def register_link(self, link: PeerLink) -> Iterator[None]:
        """Make the link available for sending until the context ends."""
        self.links_by_node[link.node].append(link)
        self.links_by_number[link.number] = link
        self.monitor.link_opened(link.number, link.node, self.loop.time())
        self.handler.link_changed(link.node, reachable=True)
        try:
            yield
        finally:
            self.remove_link(link)

    def remove_link(self, link: PeerLink) -> None:
        """Remove a closed link and report the calls that were on it as lost."""
        self.links_by_node[link.node].remove(link)
        self.links_by_number.pop(link.number)
        for action in self.monitor.link_failed(link.number, self.loop.time()):
            self.apply_action(action)
        if not self.links_by_node[link.node]:
            self.handler.link_changed(link.node, reachable=False)
        self.report_unsent(link.node, link.send_queue)
        if link.unanswered_call_ids:
            self.handler.calls_lost(
                link.node, link.unanswered_call_ids, sent=True
            )

    def deliver(self, link: PeerLink, message: Any) -> None:
        """Pass one message to the handler.

        Pings and pongs only show the link monitor that the peer is alive.
        """
        self.monitor.data_received(link.number, self.loop.time())
        if isinstance(message, (Ping, Pong)):
            return
        self.handler.message_received(link.node, message)

    def report_unsent(self, node: str, unsent: Iterable[Any]) -> None:
        """Report the calls among the unsent messages as lost."""
        call_ids = {pending_id(message) for message in unsent} - {''}
        if call_ids:
            self.handler.calls_lost(node, call_ids, sent=False)

    def start_background_task(self, coroutine: Any) -> None:
        """Run a coroutine as a task that ``listen`` cancels at its end."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
