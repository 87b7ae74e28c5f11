"""One websocket connection to a peer node.

A link records which calls were sent on it and which are still queued. When it
closes, the calls that were sent may have run, and the queued ones did not.
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
    pending_id,
    resolved_id,
)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024

MessageHandler: TypeAlias = Callable[['PeerLink', Any], None]


class PeerLink:
    """Sends and receives messages over one open websocket.

    ``unanswered_call_ids`` are the ids of calls, and of copies of
    non-idempotent calls, that were sent and not yet answered.
    """

    def __init__(
        self,
        connection: Connection,
        codec: MessageCodec,
        node: str,
        number: int,
    ) -> None:
        """Wrap a websocket on which ``node`` has been authenticated.

        ``number`` identifies the link within its transport.
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
        """Queue one message; messages are sent in order.

        Messages still queued when the link closes are not sent.
        """
        self.send_queue.append(message)
        self.send_queue_filled.set()

    def ping(self) -> None:
        """Queue a ping, which the other side answers at once."""
        self.pings_sent += 1
        self.send(Ping(self.pings_sent))

    def abort(self) -> None:
        """Close the connection without the websocket closing handshake.

        A peer that no longer answers would let that handshake hang.
        """
        self.connection.transport.abort()

    async def run(self, on_message: MessageHandler) -> None:
        """Send and receive messages until the link closes."""
        async with self.abort_on_exit():
            tasks = [
                asyncio.create_task(self.write_queued_messages()),
                asyncio.create_task(self.read_messages(on_message)),
            ]
            async with cancel_on_exit(tasks):
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)

    @contextlib.asynccontextmanager
    async def abort_on_exit(self) -> AsyncIterator[None]:
        """Abort the connection at the end of the context."""
        try:
            yield
        finally:
            self.abort()

    async def write_queued_messages(self) -> None:
        """Send queued messages until the connection closes."""
        with contextlib.suppress(ConnectionClosed):
            while True:
                await self.send_queue_filled.wait()
                await self.write_next_message()

    async def write_next_message(self) -> None:
        """Send the first queued message, if there is one."""
        if not self.send_queue:
            self.send_queue_filled.clear()
            return
        message = self.send_queue.popleft()
        call_id = pending_id(message)
        if call_id:
            self.unanswered_call_ids.add(call_id)
        await self.connection.send(self.codec.encode(message))

    async def read_messages(self, on_message: MessageHandler) -> None:
        """Pass received messages to ``on_message`` until the link closes."""
        async for message in decode_messages(self.connection, self.codec):
            if isinstance(message, Ping):
                self.send(Pong(message.number))
            self.unanswered_call_ids.discard(resolved_id(message))
            on_message(self, message)


async def decode_messages(
    connection: Connection,
    codec: MessageCodec,
) -> AsyncIterator[Any]:
    """Decode messages until the websocket closes or a frame is malformed.

    A peer that sends a malformed frame has a fault or an incompatible
    version; ending here makes the caller close the link.
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
    """Cancel the tasks at the end of the context, and wait for their end."""
    try:
        yield
    finally:
        await cancel_tasks(tuple(tasks))


async def cancel_tasks(tasks: Collection[asyncio.Task[None]]) -> None:
    """Cancel the tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
