"""One websocket link to a peer node.

A link knows which calls it carries, so that a closed link resolves exactly
these calls: those that had left are unknown, the others surely did not run.
"""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator, Callable, Collection
from typing import Any, TypeAlias

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ebonycleat.internal.connection.codec import MessageCodec
from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.connection.peer_messages import (
    Ping,
    Pong,
    resolved_id,
    pending_id,
)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024

MessageHandler: TypeAlias = Callable[['PeerLink', Any], None]


class PeerLink:
    """Sends and receives messages over one open websocket."""

    def __init__(
        self,
        connection: Connection,
        codec: MessageCodec,
        node: str,
        number: int,
    ) -> None:
        """Wrap a websocket whose handshake with ``node`` is complete.

        ``number`` tells apart the links of one transport.
        """
        self.connection = connection
        self.codec = codec
        self.node = node
        self.number = number
        self.send_queue: collections.deque[Any] = collections.deque()
        self.send_queue_filled = asyncio.Event()
        self.unanswered_call_ids: set[str] = set()
        self.pings_sent = 0

    def send(self, message: Any) -> None:
        """Queue one message; it leaves in order, or is lost on closing."""
        self.send_queue.append(message)
        self.send_queue_filled.set()

    def ping(self) -> None:
        """Ask the other side for a sign of life."""
        self.pings_sent += 1
        self.send(Ping(self.pings_sent))

    def abort(self) -> None:
        """Close without a handshake; a silent peer would let it hang."""
        self.connection.transport.abort()

    async def run(self, on_message: MessageHandler) -> None:
        """Exchange messages until the link closes."""
        async with self.close_at_end():
            tasks = [
                asyncio.create_task(self.write_queued_messages()),
                asyncio.create_task(self.read_messages(on_message)),
            ]
            async with cancel_on_exit(tasks):
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)

    @contextlib.asynccontextmanager
    async def close_at_end(self) -> AsyncIterator[None]:
        """Abort the connection when it is no longer used."""
        try:
            yield
        finally:
            self.abort()

    async def write_queued_messages(self) -> None:
        """Send what is queued, in order."""
        with contextlib.suppress(ConnectionClosed):
            while True:
                await self.send_queue_filled.wait()
                await self.write_next_message()

    async def write_next_message(self) -> None:
        """Send the first queued message."""
        if not self.send_queue:
            self.send_queue_filled.clear()
            return
        message = self.send_queue.popleft()
        call_id = pending_id(message)
        if call_id:
            self.unanswered_call_ids.add(call_id)
        await self.connection.send(self.codec.encode(message))

    async def read_messages(self, on_message: MessageHandler) -> None:
        """Hand each message to ``on_message`` until the link closes."""
        async for message in decode_messages(self.connection, self.codec):
            if isinstance(message, Ping):
                self.send(Pong(message.number))
            self.unanswered_call_ids.discard(resolved_id(message))
            on_message(self, message)


async def decode_messages(
    connection: Connection,
    codec: MessageCodec,
) -> AsyncIterator[Any]:
    """Decode messages until the websocket closes or sends garbage.

    A peer that sends bytes that are no message is broken or of another
    version; closing the link is safer than guessing.
    """
    with contextlib.suppress(ConnectionClosed, MalformedMessage):
        async for frame in connection:
            if isinstance(frame, str):
                return
            yield codec.decode(frame)


@contextlib.asynccontextmanager
async def cancel_on_exit(
    tasks: Collection[asyncio.Task[None]],
) -> AsyncIterator[None]:
    """Cancel the tasks at the end and wait until they ended."""
    try:
        yield
    finally:
        await cancel_tasks(tuple(tasks))


async def cancel_tasks(tasks: Collection[asyncio.Task[None]]) -> None:
    """Cancel the tasks and wait until they ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
