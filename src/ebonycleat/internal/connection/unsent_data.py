"""Data that waits in a transport because the receiver reads slowly."""

import asyncio

from ebonycleat.internal.connection.byte_account import HeldKind
from ebonycleat.internal.connection.slow_clients import (
    PROGRESS_BYTES,
    SlowClient,
    SlowClients,
)


def has_unsent(transport: asyncio.WriteTransport | None) -> bool:
    """Tell whether a transport has data that it has not passed on yet."""
    return transport is not None and transport.get_write_buffer_size() > 0


class UnreadData(SlowClient):
    """What is held for a client that leaves its responses unread.

    ``held_bytes`` is zero while it reads everything at once; a response counts
    until the last byte has been passed on, as it is in memory as a whole.
    ``left_bytes`` were unread when the client last made progress.
    """

    def __init__(self, slow_clients: SlowClients) -> None:
        """Count bytes in the account of ``slow_clients``."""
        self.slow_clients = slow_clients
        self.account = slow_clients.account
        self.transport: asyncio.Transport | None = None
        self.held_bytes = 0
        self.is_closing = False
        self.left_bytes = 0
        self.progress_at = 0

    def begin(self, transport: asyncio.Transport, written_bytes: int) -> None:
        """Note that the client has not read all that was just written."""
        self.transport = transport
        self.left_bytes = transport.get_write_buffer_size()
        self.slow_clients.put_last(self.slow_clients.readers, self)
        self.add(max(self.left_bytes, written_bytes))

    def add(self, count: int) -> None:
        """Count more bytes that were written."""
        self.held_bytes += count
        self.account.hold_anyway(HeldKind.UNREAD, count)

    def end(self) -> None:
        """Note that nothing is left to read, or that it was freed."""
        self.slow_clients.readers.pop(self, None)
        self.transport = None
        if self.is_closing:
            self.is_closing = False
            self.account.closing_bytes -= self.held_bytes
        self.account.release(HeldKind.UNREAD, self.held_bytes)
        self.held_bytes = 0

    def end_after_close(self) -> None:
        """Note that the connection has closed.

        The event loop frees the data at the end of its present iteration, and
        reads from other connections before that.
        """
        self.slow_clients.readers.pop(self, None)
        if self.held_bytes:
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, self.end)

    def count_held(self) -> int:
        """Return how many bytes are held for the client."""
        return self.held_bytes

    def check_progress(self) -> bool:
        """Tell whether the client has read on since the last time."""
        if self.transport is None:
            return False
        left_bytes = self.transport.get_write_buffer_size()
        if left_bytes > self.left_bytes - PROGRESS_BYTES:
            return False
        self.left_bytes = left_bytes
        return True

    def give_way(self) -> None:
        """Close the connection at once."""
        self.is_closing = True
        self.account.closing_bytes += self.held_bytes
        if self.transport is not None:
            self.transport.abort()
