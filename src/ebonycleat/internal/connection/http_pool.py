"""Connections to one server, kept for the next request."""

import asyncio
from collections.abc import Callable
from typing import Self

from ebonycleat.internal.connection.http_requester import (
    ClientConnection,
    ConnectionOwner,
)
from ebonycleat.internal.connection.http_sends import (
    OutgoingRequest,
    Send,
    SendFailure,
    SendFailureKind,
    SendResult,
)

CONNECT_TIMEOUT_S = 1.0
"""A process on the same VM accepts in about 1 ms; a full accept queue does
not get better by waiting."""


class ConnectionPool(ConnectionOwner):
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
