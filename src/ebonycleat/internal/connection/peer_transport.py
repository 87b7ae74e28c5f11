"""All links of a node: dials peers on demand, accepts links from them.

Either side may have opened the link that a message takes; a node that can
be reached in one direction only still gets its answers.
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
from ebonycleat.internal.connection.heartbeat import (
    CloseLink,
    LinkAction,
    LinkWatch,
    OpenLink,
    SendPing,
)
from ebonycleat.internal.connection.link import (
    MAX_MESSAGE_BYTES,
    Link,
    cancelling,
)
from ebonycleat.internal.connection.messages import (
    Challenge,
    Hello,
    Ping,
    Pong,
    tracked_id,
)

OPEN_TIMEOUT_S = 1.0
WATCH_INTERVAL_S = 0.05

# What can go wrong while a link opens; a KeyError is a node whose address is
# not known.
OPEN_ERRORS = (
    KeyError,
    OSError,
    TimeoutError,
    WebSocketException,
    MalformedMessage,
)


class PeerListener(abc.ABC):
    """Receives what happens on the links; all calls are on the loop."""

    @abc.abstractmethod
    def message_received(self, node: str, message: Any) -> None:
        """Take one message from a peer."""

    @abc.abstractmethod
    def calls_lost(
        self,
        node: str,
        call_ids: Iterable[str],
        *,
        sent: bool,
    ) -> None:
        """Resolve calls whose link closed; ``sent`` if they had left."""

    @abc.abstractmethod
    def link_changed(self, node: str, *, reachable: bool) -> None:
        """Note that a link opened, or that there is none any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who this node is towards its peers."""

    node: str
    incarnation: int
    secret: bytes


class PeerTransport:
    """Sends messages to nodes by their id."""

    def __init__(
        self,
        identity: PeerIdentity,
        codec: MessageCodec,
        listener: PeerListener,
    ) -> None:
        """Create a transport that has no links yet."""
        self.identity = identity
        self.codec = codec
        self.listener = listener
        self.addresses: dict[str, tuple[str, int]] = {}
        self.links: dict[str, list[Link]] = collections.defaultdict(list)
        self.open_links: dict[int, Link] = {}
        self.link_numbers = itertools.count(1)
        self.watch = LinkWatch()
        self.closing = False
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[str, list[Any]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, node: str, message: Any) -> None:
        """Send a message over the newest link that is not in doubt."""
        for link in reversed(self.links[node]):
            if self.watch.may_use(link.number):
                link.send(message)
                return
        self.open_if_needed(node)
        waiting = self.waiting.get(node)
        if waiting is not None:
            waiting.append(message)

    def open_if_needed(self, node: str) -> None:
        """Open a link unless one is being opened."""
        if node not in self.waiting and not self.closing:
            self.waiting[node] = []
            self.start_task(self.dial(node))

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
            self.start_task(self.watch_links())
            async with cancelling(self.tasks):
                yield next(iter(server.sockets)).getsockname()[1]
                self.closing = True

    async def accept(self, connection: ServerConnection) -> None:
        """Check the dialler's proof, then exchange messages with it."""
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
        """Open a link and send what waits for it; report what failed."""
        try:
            link = await self.open_link(node)
        except OPEN_ERRORS:
            self.listener.link_changed(node, reachable=False)
            self.report_lost(node, self.waiting.pop(node))
            return
        for message in self.waiting.pop(node):
            link.send(message)
        await self.run_link(link)

    async def open_link(self, node: str) -> Link:
        """Connect to the peer and prove that this node is of the fleet."""
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
            raise MalformedMessage('the peer sent no challenge')
        hello = sign_hello(
            challenge,
            self.identity.secret,
            self.identity.node,
            self.identity.incarnation,
        )
        await connection.send(self.codec.encode(hello))
        return self.create_link(connection, node)

    def create_link(self, connection: Connection, node: str) -> Link:
        """Number a new link."""
        return Link(connection, self.codec, node, next(self.link_numbers))

    async def watch_links(self) -> None:
        """Ping the links and close those that fall silent."""
        while True:
            for action in self.watch.tick(self.loop.time()):
                self.take_action(action)
            await asyncio.sleep(WATCH_INTERVAL_S)

    def take_action(self, action: LinkAction) -> None:
        """Carry out what the watch decided on one link."""
        match action:
            case OpenLink(address=node):
                if self.links[node]:
                    self.open_if_needed(node)
            case SendPing(link=number):
                self.open_links[number].ping()
            case CloseLink(link=number):
                self.open_links[number].abort()

    async def receive_one(self, connection: Connection) -> Any:
        """Receive one message within the time for opening a link."""
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            frame = await connection.recv()
        if isinstance(frame, str):
            raise MalformedMessage('peers exchange binary frames only')
        return self.codec.decode(frame)

    async def run_link(self, link: Link) -> None:
        """Use the link until it closes, then resolve the calls on it."""
        with self.registered(link):
            await link.run(self.deliver)

    @contextlib.contextmanager
    def registered(self, link: Link) -> Iterator[None]:
        """Offer the link for sending; at the end resolve its calls."""
        self.links[link.node].append(link)
        self.open_links[link.number] = link
        self.watch.opened(link.number, link.node, self.loop.time())
        self.listener.link_changed(link.node, reachable=True)
        try:
            yield
        finally:
            self.remove_link(link)

    def remove_link(self, link: Link) -> None:
        """Stop using a closed link and resolve the calls on it."""
        self.links[link.node].remove(link)
        self.open_links.pop(link.number)
        for action in self.watch.failed(link.number, self.loop.time()):
            self.take_action(action)
        if not self.links[link.node]:
            self.listener.link_changed(link.node, reachable=False)
        self.report_lost(link.node, link.outbox)
        if link.sent_calls:
            self.listener.calls_lost(link.node, link.sent_calls, sent=True)

    def deliver(self, link: Link, message: Any) -> None:
        """Hand one message to the listener; pings only show life."""
        self.watch.heard(link.number, self.loop.time())
        if isinstance(message, (Ping, Pong)):
            return
        self.listener.message_received(link.node, message)

    def report_lost(self, node: str, unsent: Iterable[Any]) -> None:
        """Tell the listener which calls among unsent messages are lost."""
        call_ids = {tracked_id(message) for message in unsent} - {''}
        if call_ids:
            self.listener.calls_lost(node, call_ids, sent=False)

    def start_task(self, coroutine: Any) -> None:
        """Run a coroutine until it ends or the transport closes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
