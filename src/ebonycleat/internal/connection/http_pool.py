"""Connections to one server, kept for the next request."""

import asyncio
from collections.abc import Callable
from typing import Self

from ebonycleat.internal.connection.http_client import (
    ClientConnection,
    ConnectionOwner,
)
from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
    InFlightRequest,
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
        self.connecting_tasks: set[asyncio.Task[None]] = set()
        self.unmatched_responses = 0
        self.connections_opened = 0

    def __enter__(self) -> Self:
        """Use the pool until the block ends."""
        return self

    def __exit__(self, *details: object) -> None:
        """Close all connections."""
        self.close()

    def close(self) -> None:
        """Close all connections; running sends fail."""
        for connecting in tuple(self.connecting_tasks):
            connecting.cancel()
        for connection in tuple(self.connections):
            connection.close()

    def send(
        self,
        request: OutgoingRequest,
        on_result: Callable[[SendResult], None],
    ) -> InFlightRequest:
        """Send once, on a kept connection or a new one."""
        send = InFlightRequest(request, on_result)
        connection = self.take_idle(request.max_idle_s)
        if connection is None:
            loop = asyncio.get_running_loop()
            connecting = loop.create_task(self.connect_and_start(send))
            self.connecting_tasks.add(connecting)
            connecting.add_done_callback(self.connecting_tasks.discard)
        else:
            connection.start(send)
        return send

    def take_idle(self, max_idle_s: float) -> ClientConnection | None:
        """Return the connection used last, if it has not rested too long."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle[-1]
            rested_s = now - connection.idle_since
            if rested_s > connection.idle_limit_s:
                self.idle.pop()
                connection.close()
            elif rested_s > max_idle_s:
                return None
            else:
                return self.idle.pop()
        return None

    async def connect_and_start(self, send: InFlightRequest) -> None:
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
        self.connections_opened += 1
        self.connections.add(connection)
        if send.is_finished:
            self.release(connection)
        else:
            connection.start(send)

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Drop a connection that closes."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def count_unmatched_response(self) -> None:
        """Count an answer that belonged to no request of its connection."""
        self.unmatched_responses += 1
