"""A pool of HTTP connections to one server."""

import asyncio
import collections
from collections.abc import Callable
from typing import Self

from ebonycleat.internal.connection.byte_account import (
    HeldKind,
    MemoryAccount,
)
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

MAX_REFUSED_IDS = 256
"""Limit of refusals on one connection, which is closed after the last one."""


class ConnectionPool(ConnectionOwner):
    """Connections to one server, reused for later requests.

    The pool does not limit its size: the user of the pool limits the number
    of requests in flight, and counts failures by kind in ``failure_counts``.
    ``refused_ids`` has the ids of the requests that the server refused, by
    connection: it may repeat a refusal there. ``on_idle_lost`` is called when
    an idle connection is lost before the server's keep-alive time is over.
    """

    def __init__(
        self, host: str, port: int, account: MemoryAccount | None = None
    ) -> None:
        """Create an empty pool; connections are opened when needed.

        Bytes are counted in ``account``, which others may share; without one,
        the pool has an account of its own.
        """
        self.account = account or MemoryAccount(MAX_HELD_BYTES, reserve=0)
        self.host = host
        self.port = port
        self.idle: list[ClientConnection] = []
        self.refused_ids: dict[ClientConnection, set[str]] = {}
        self.connections: set[ClientConnection] = set()
        self.connecting_tasks: set[asyncio.Task[None]] = set()
        self.unmatched_responses = 0
        self.connections_opened = 0
        self.held_bytes = 0
        self.failure_counts: collections.Counter[str] = collections.Counter()
        self.on_idle_lost: Callable[[], None] = _do_nothing

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
            connection = self.take_idle(request)
        if connection is None:
            loop = asyncio.get_running_loop()
            connect_task = loop.create_task(self.connect_and_start(in_flight))
            self.connecting_tasks.add(connect_task)
            connect_task.add_done_callback(self.connecting_tasks.discard)
        else:
            connection.start(in_flight)
        return in_flight

    def take_idle(self, request: OutgoingRequest) -> ClientConnection | None:
        """Take the most recently used connection that may carry a request.

        Returns None if there is none that has been idle for a short enough
        time and has not refused the request before. Connections past their
        idle limit are closed.
        """
        now = asyncio.get_running_loop().time()
        for index in reversed(range(len(self.idle))):
            connection = self.idle[index]
            idle_s = now - connection.idle_since
            if idle_s > connection.idle_limit_s:
                connection.close()
            elif idle_s > request.max_idle_s:
                return None
            elif request.request_id not in self.refused_ids.get(connection, ()):
                return self.idle.pop(index)
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
        """Put a connection back into the pool, or close it if it is used up."""
        if len(self.refused_ids.get(connection, ())) >= MAX_REFUSED_IDS:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        self.connections.discard(connection)
        self.refused_ids.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
            if connection.is_lost_early():
                self.on_idle_lost()

    def record_refusal(
        self, connection: ClientConnection, request_id: str
    ) -> None:
        """Keep a request off a connection on which the server refused it."""
        if request_id:
            self.refused_ids.setdefault(connection, set()).add(request_id)

    def hold_bytes(self, count: int, is_small: bool) -> bool:
        """Account for ``count`` more bytes of bodies; False without room."""
        if not self.account.hold(HeldKind.RESPONSES, count, is_small=is_small):
            return False
        self.held_bytes += count
        return True

    def hold_anyway(self, count: int) -> None:
        """Account for bytes that have been received already."""
        self.held_bytes += count
        self.account.hold_anyway(HeldKind.RESPONSES, count)

    def free_bytes(self, count: int) -> None:
        """Account for bytes of bodies that are held no longer."""
        self.held_bytes -= count
        self.account.release(HeldKind.RESPONSES, count)

    def await_room(self, resume: Callable[[], bool]) -> None:
        """Call ``resume`` whenever there may be room, until it is True."""
        self.account.waiters.append(resume)

    def count_unmatched_response(self) -> None:
        """Count a response that belongs to no request in flight."""
        self.unmatched_responses += 1


def _do_nothing() -> None:
    """Do nothing: the default of ``on_idle_lost``."""
