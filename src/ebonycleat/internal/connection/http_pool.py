"""A pool of HTTP connections to one server."""

import asyncio
import collections
from collections.abc import Callable
from typing import Self

from ebonycleat.internal.connection.client_requests import (
    InFlightRequest,
    OutgoingRequest,
    SendFailure,
    SendFailureKind,
    SendResult,
)
from ebonycleat.internal.connection.http_client import (
    MAX_HELD_BYTES,
    ClientConnection,
    ConnectionOwner,
)

CONNECT_TIMEOUT_S = 1.0
"""Time-out for opening a connection.

A process on the same VM accepts in about 1 ms. If its accept queue is full,
waiting longer does not help.
"""


class ConnectionPool(ConnectionOwner):
    """Connections to one server, reused for later requests.

    The pool does not limit its size: the user of the pool limits the number
    of requests in flight, and counts failures by kind in ``failure_counts``.
    """

    def __init__(self, host: str, port: int) -> None:
        """Create an empty pool; connections are opened when needed."""
        self.host = host
        self.port = port
        self.idle: list[ClientConnection] = []
        self.connections: set[ClientConnection] = set()
        self.connecting_tasks: set[asyncio.Task[None]] = set()
        self.unmatched_responses = 0
        self.connections_opened = 0
        self.held_bytes = 0
        self.failure_counts: collections.Counter[str] = collections.Counter()

    def __enter__(self) -> Self:
        """Return the pool."""
        return self

    def __exit__(self, *details: object) -> None:
        """Close all connections."""
        self.close()

    def close(self) -> None:
        """Close all connections; requests in flight on them fail."""
        for connect_task in tuple(self.connecting_tasks):
            connect_task.cancel()
        for connection in tuple(self.connections):
            connection.close()

    def send(
        self,
        request: OutgoingRequest,
        on_result: Callable[[SendResult], None],
    ) -> InFlightRequest:
        """Send a request once, on an idle connection or a new one.

        ``on_result`` is called exactly once with the response or the failure.
        """
        in_flight = InFlightRequest(request, on_result)
        connection = None
        if not request.is_single:
            connection = self.take_idle(request.max_idle_s)
        if connection is None:
            loop = asyncio.get_running_loop()
            connect_task = loop.create_task(self.connect_and_start(in_flight))
            self.connecting_tasks.add(connect_task)
            connect_task.add_done_callback(self.connecting_tasks.discard)
        else:
            connection.start(in_flight)
        return in_flight

    def take_idle(self, max_idle_s: float) -> ClientConnection | None:
        """Take the most recently used idle connection out of the pool.

        Returns None if there is none, or if it has been idle for longer than
        ``max_idle_s``. Connections past their idle limit are closed.
        """
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle[-1]
            idle_s = now - connection.idle_since
            if idle_s > connection.idle_limit_s:
                self.idle.pop()
                connection.close()
            elif idle_s > max_idle_s:
                return None
            else:
                return self.idle.pop()
        return None

    async def connect_and_start(self, in_flight: InFlightRequest) -> None:
        """Open a connection and send a request on it.

        If the request was cancelled meanwhile, the connection goes into the
        pool.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self),
                    self.host,
                    self.port,
                )
        except OSError as error:
            in_flight.finish(
                SendFailure(
                    SendFailureKind.NOT_CONNECTED,
                    was_sent=False,
                    detail=str(error) or 'timed out',
                ),
            )
            return
        self.connections_opened += 1
        self.connections.add(connection)
        if in_flight.is_finished:
            self.release(connection)
        elif in_flight.request.may_send():
            connection.start(in_flight)
        else:
            self.release(connection)
            in_flight.finish(
                SendFailure(
                    SendFailureKind.EXPIRED,
                    was_sent=False,
                    detail='the permission ended while connecting',
                ),
            )

    def release(self, connection: ClientConnection) -> None:
        """Put a connection back into the pool."""
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def hold_bytes(self, count: int) -> bool:
        """Account for bytes of bodies that the connections hold."""
        self.held_bytes += count
        return self.held_bytes <= MAX_HELD_BYTES

    def count_unmatched_response(self) -> None:
        """Count a response that belongs to no request in flight."""
        self.unmatched_responses += 1
