"""Clients that send bodies or read responses slowly, the slowest ones first."""

import abc
import itertools
from collections.abc import Callable

from ebonycleat.internal.connection.byte_account import MemoryAccount

STALL_S = 1.0
"""A body or a reader without progress for this long gives way to others when
memory is short. It is below the time for which others wait for room."""

PROGRESS_BYTES = 65_536
"""Bytes that count as progress of a body or of a reader."""

MAX_CANDIDATES = 64
"""Partly received bodies that are looked at to find one that holds bytes."""


class SlowClient(abc.ABC):
    """A client that is served and may have to give way.

    ``progress_at`` is when it last made progress.
    """

    progress_at: float

    @abc.abstractmethod
    def count_held(self) -> int:
        """Return how many bytes are held for it."""

    @abc.abstractmethod
    def check_progress(self) -> bool:
        """Tell whether it has made progress since the last time."""

    @abc.abstractmethod
    def give_way(self) -> None:
        """Give up its request or its response."""


class SlowClients:
    """The clients of a listener that may have to give way.

    ``bodies`` are those of which a part of a body has been received, the one
    without progress for longest first, and ``readers``, in the same order,
    those that leave responses unread.
    """

    def __init__(
        self, account: MemoryAccount, clock: Callable[[], float]
    ) -> None:
        """Drop clients when ``account`` needs room; ``clock`` is in seconds."""
        self.clock = clock
        self.bodies: dict[SlowClient, None] = {}
        self.readers: dict[SlowClient, None] = {}
        self.dropped_bodies = 0
        self.dropped_readers = 0
        self.account = account
        account.reclaimers += (self.drop_reader, self.drop_body)

    def put_last(
        self, clients: dict[SlowClient, None], client: SlowClient
    ) -> None:
        """Add a client that made progress, or put it behind the others."""
        client.progress_at = self.clock()
        clients.pop(client, None)
        clients[client] = None

    def check(self) -> None:
        """Note who has read on, and drop readers if memory is short."""
        for reader in tuple(self.readers):
            if reader.check_progress():
                self.put_last(self.readers, reader)
        while self.account.is_short() and self.drop_reader():
            """Drop the readers that have stalled."""

    def drop_stalled(self, stall_s: float) -> bool:
        """Drop a client that has stalled; False if there is none."""
        return self.drop_reader(stall_s=stall_s) or self.drop_body(
            stall_s=stall_s
        )

    def drop_reader(
        self, is_any: bool = False, stall_s: float = STALL_S
    ) -> bool:
        """Drop the slowest reader, if it has stalled.

        With ``is_any`` it need not have stalled. Returns whether there was
        one.
        """
        reader = next(iter(self.readers), None)
        if reader is None:
            return False
        if not is_any and self.clock() - reader.progress_at < stall_s:
            return False
        self.dropped_readers += 1
        self.readers.pop(reader)
        reader.give_way()
        return True

    def drop_body(self, is_any: bool = False, stall_s: float = STALL_S) -> bool:
        """Drop the slowest body, if it has stalled.

        With ``is_any`` it need not have stalled, but must hold bytes. Returns
        whether there was one.
        """
        stalled_since = self.clock() - stall_s
        for body in itertools.islice(self.bodies, MAX_CANDIDATES):
            is_stalled = body.progress_at <= stalled_since
            if is_stalled or (is_any and body.count_held()):
                self.dropped_bodies += 1
                self.bodies.pop(body)
                body.give_way()
                return True
            if not is_any:
                break
        return False
