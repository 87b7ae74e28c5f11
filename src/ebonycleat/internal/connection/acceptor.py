"""Accepts the connections of a listening socket on the event loop.

The servers of the event loop are not used: uvloop's accept a single connection
in each iteration of the loop, and none any more after an error in the protocol
factory.
"""

import asyncio
import contextlib
import logging
import socket
from collections.abc import AsyncIterator, Callable

ACCEPT_BACKLOG = 1024
"""Connections that may wait to be accepted while the event loop is busy.

When the queue is full, SYN packets are dropped, and connecting takes seconds.
"""

MAX_ACCEPTS_AT_ONCE = 64
"""Connections accepted in one iteration of the loop, so that many new ones do
not hold up those that are open."""

ACCEPT_PAUSE_S = 0.1
"""Pause after a failed accept. Accepting fails until descriptors or memory are
released, and the waiting connections would wake the loop all the time."""

logger = logging.getLogger('ebonycleat.acceptor')


def has_always_room(opening: int) -> bool:
    """Allow any number of connections."""
    return True


class ConnectionAcceptor:
    """Opens a protocol for each connection to a listening socket.

    ``is_accepting`` is false from a failed accept until accepting works again.
    Both changes are logged. A connection that cannot be opened is closed and
    does not affect others.
    """

    def __init__(
        self,
        listening_socket: socket.socket,
        create_protocol: Callable[[], asyncio.BaseProtocol],
        has_room: Callable[[int], bool] = has_always_room,
    ) -> None:
        """Accept from a bound, listening, non-blocking socket.

        ``has_room`` is asked with the number of connections being opened. If
        it says no, they are opened first: its user then closes what is too
        much, and few descriptors are open at a time.
        """
        self.has_room = has_room
        self.listening_socket = listening_socket
        self.create_protocol = create_protocol
        self.loop = asyncio.get_running_loop()
        self.is_accepting = True
        self.opening_tasks: set[asyncio.Task[None]] = set()
        self.resume_timer: asyncio.TimerHandle | None = None

    @property
    def port(self) -> int:
        """The port that the socket is bound to."""
        port: int = self.listening_socket.getsockname()[1]
        return port

    def start(self) -> None:
        """Accept connections whenever some are waiting."""
        self.loop.add_reader(self.listening_socket, self.accept_waiting)

    def resume(self) -> None:
        """Try to accept again after a pause, also if nobody waits."""
        self.resume_timer = None
        self.start()
        self.accept_waiting()

    def close(self) -> None:
        """Stop listening; connections that are not open yet are closed."""
        if self.resume_timer is not None:
            self.resume_timer.cancel()
        self.loop.remove_reader(self.listening_socket)
        self.listening_socket.close()
        for task in tuple(self.opening_tasks):
            task.cancel()

    def accept_waiting(self) -> None:
        """Accept the connections that are waiting."""
        for _ in range(MAX_ACCEPTS_AT_ONCE):
            opening = len(self.opening_tasks)
            if opening and not self.has_room(opening):
                return
            try:
                connection, _ = self.listening_socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self.record_accepted()
                return
            except OSError as error:
                self.pause(error)
                return
            self.record_accepted()
            connection.setblocking(False)
            task = self.loop.create_task(self.open_connection(connection))
            self.opening_tasks.add(task)
            task.add_done_callback(self.opening_tasks.discard)

    async def open_connection(self, connection: socket.socket) -> None:
        """Open the protocol of an accepted connection."""
        with contextlib.ExitStack() as stack:
            stack.callback(connection.close)
            try:
                await self.loop.connect_accepted_socket(
                    self.create_protocol, connection
                )
            except Exception:
                logger.exception('accepted connection could not be opened')
                return
            # The transport owns the connection from here on.
            stack.pop_all()

    def pause(self, error: OSError) -> None:
        """Accept nothing for a moment after a failure."""
        if self.is_accepting:
            logger.error(
                'connections cannot be accepted',
                extra={'detail': str(error)},
            )
        self.is_accepting = False
        self.loop.remove_reader(self.listening_socket)
        self.resume_timer = self.loop.call_later(ACCEPT_PAUSE_S, self.resume)

    def record_accepted(self) -> None:
        """Note that accepting works, and log it after a failure.

        It also works if no connection is waiting.
        """
        if not self.is_accepting:
            logger.info('connections are accepted again')
        self.is_accepting = True


@contextlib.asynccontextmanager
async def open_acceptor(
    create_protocol: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    has_room: Callable[[int], bool] = has_always_room,
) -> AsyncIterator[ConnectionAcceptor]:
    """Listen while the context is open; see ``ConnectionAcceptor``.

    Raises ``OSError`` if the address is in use.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listening_socket = socket.create_server(
        (host, port), family=family, backlog=ACCEPT_BACKLOG
    )
    listening_socket.setblocking(False)
    acceptor = ConnectionAcceptor(listening_socket, create_protocol, has_room)
    acceptor.start()
    try:
        yield acceptor
    finally:
        acceptor.close()
