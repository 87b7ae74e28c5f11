"""Counts the bytes that the connections of a process hold together.

All of them share one limit, because a process ends when its memory is used up,
whoever used it. A holder of a few bytes has a reserve, so that ordinary small
requests find room beside large ones.
"""

import collections
import contextlib
import enum
from collections.abc import Callable

SMALL_BYTES = 65_536
"""A body up to this size may use the reserve."""

SMALL_RESERVE_BYTES = 8_388_608
"""Room for small bodies beyond the limit."""

BYTES_PER_MB = 1_000_000

PROCESS_BYTES = 64 * BYTES_PER_MB
"""Memory for all that is not counted: program, state, connections, the reserve,
and what the allocator has not given back. A node without load has about 30 MB."""

MIN_HELD_BYTES = 136 * BYTES_PER_MB
"""Room for one body and one response of 67,108,864 bytes at a time."""

READ_BYTES = 262_144
"""At most this much is read from a socket at a time."""

SHORT_SHARE = 0.75
"""Memory is short from this share of the limit on: slow readers are dropped
before others need the room."""

HELD_SHARE = 0.5
"""Share of the memory that may be held where this is more than the minimum."""

DEFAULT_MEMORY_MB = 300
"""Memory of a machine whose settings do not name it."""


class HeldKind(enum.IntEnum):
    """What bytes are held for.

    ``REQUESTS`` are requests that are received, wait or run. ``RESPONSES``
    have not been written yet, ``UNREAD`` ones wait in the transport for a
    caller that reads slowly. ``LINKS`` are frames of links that are partly
    received or not sent yet. The values are indexes: a lookup by the hash of
    a member takes longer than all else that an account does for a request.
    """

    REQUESTS = 0
    RESPONSES = 1
    UNREAD = 2
    LINKS = 3


class MemoryAccount:
    """The bytes that are held, by kind, and what frees some of them.

    ``reclaimers`` are asked in their order for room when the limit is
    reached: each drops the slowest holder of its kind and returns whether
    there was one. They are told whether the room is for a small holder.
    ``closing_bytes`` are those among the held ones whose connections were
    closed. The event loop frees them a moment later, and it may read some MB
    from each other connection until then.
    ``waiters`` are called in their order when bytes are released: each
    returns whether it has ended.
    """

    def __init__(self, limit: int, reserve: int = SMALL_RESERVE_BYTES) -> None:
        """Hold up to ``limit`` bytes, and ``reserve`` more for small ones."""
        self.limit = limit
        self.reserve = reserve
        self.held_bytes = 0
        self.held_by_kind = [0 for _ in HeldKind]
        self.reclaimers: list[Callable[[bool], bool]] = []
        self.waiters: collections.deque[Callable[[], bool]] = (
            collections.deque()
        )
        self.is_serving = False
        self.closing_bytes = 0

    def hold(
        self, kind: HeldKind, count: int, *, is_small: bool = False
    ) -> bool:
        """Hold more bytes; return False if there is no room for them.

        Holders that are too slow are dropped first. What closing connections
        hold is room for single reads, but not for whole bodies.
        """
        limit = self.limit + self.reserve if is_small else self.limit
        while self.held_bytes - self.closing_bytes + count > limit:
            if not self.reclaim(is_small):
                return False
        if count > READ_BYTES and self.held_bytes + count > limit:
            return False
        self.held_bytes += count
        self.held_by_kind[kind] += count
        return True

    def hold_anyway(self, kind: HeldKind, count: int) -> None:
        """Count bytes that are in memory already or cannot be refused."""
        self.held_bytes += count
        self.held_by_kind[kind] += count

    def release(self, kind: HeldKind, count: int) -> None:
        """Note that bytes are held no longer."""
        if count:
            self.held_bytes -= count
            self.held_by_kind[kind] -= count
            if self.waiters:
                self.serve_waiters()

    def describe(self) -> dict[str, int]:
        """Return what is held by the names of the kinds."""
        return {kind.name.lower(): self.held_by_kind[kind] for kind in HeldKind}

    def is_short(self) -> bool:
        """Tell whether the limit is near."""
        held_bytes = self.held_bytes - self.closing_bytes
        return held_bytes > self.limit * SHORT_SHARE

    def reclaim(self, is_small: bool) -> bool:
        """Drop the slowest holder; return False if none is slow enough."""
        return any(reclaim(is_small) for reclaim in self.reclaimers)

    def serve_waiters(self) -> None:
        """Let those that wait for room try again, the first one first.

        Bytes that are released meanwhile do not let a later one go first.
        """
        if self.is_serving:
            return
        with contextlib.ExitStack() as stack:
            self.is_serving = True
            stack.callback(self.stop_serving)
            while self.waiters and self.waiters[0]():
                self.waiters.popleft()

    def stop_serving(self) -> None:
        """Let waiters be served again, also after one has failed."""
        self.is_serving = False


def held_bytes_limit(memory_mb: float | None) -> int:
    """Return how many bytes a process may hold on a machine."""
    memory = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    wanted = max(MIN_HELD_BYTES, memory * HELD_SHARE)
    return int(max(0, min(wanted, memory - PROCESS_BYTES)))
