"""The large frames of one link, in the account of held bytes."""

import collections
from collections.abc import Callable

from ebonycleat.internal.connection.byte_account import (
    HeldKind,
    MemoryAccount,
)

STALL_S = 3.0
"""A link whose other side has read no end of a large frame for this long is
closed when memory is short. The other side has given up its calls by then."""


class LinkMemory:
    """The large frames that a link receives or has not sent yet.

    ``receiving_bytes`` is the size of frames that have not been taken whole.
    ``unsent_frames`` are large responses: the number of ``written_bytes`` up
    to their end, and their size. ``sent_at`` is when one of them was sent last.
    """

    def __init__(
        self, account: MemoryAccount, clock: Callable[[], float]
    ) -> None:
        """Count bytes in ``account``; ``clock`` returns seconds."""
        self.account = account
        self.clock = clock
        self.receiving_bytes = 0
        self.unsent_frames: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self.written_bytes = 0
        self.sent_at: float = 0

    def receive(self, length: int, is_call: bool) -> bool:
        """Count a large frame that begins; return False if it must be skipped.

        Only calls and their responses are: the node needs the others.
        """
        if is_call:
            if not self.account.hold(HeldKind.LINKS, length):
                return False
        else:
            self.account.hold_anyway(HeldKind.LINKS, length)
        self.receiving_bytes += length
        return True

    def release_received(self, kept_bytes: int) -> None:
        """Release received frames except one that is partly received."""
        self.account.release(HeldKind.LINKS, self.receiving_bytes - kept_bytes)
        self.receiving_bytes = kept_bytes

    def hold_unsent(self, size: int) -> None:
        """Count a large response that was just written."""
        if not self.unsent_frames:
            self.sent_at = self.clock()
        self.unsent_frames.append((self.written_bytes, size))
        self.account.hold_anyway(HeldKind.LINKS, size)

    def release_sent(self, left_bytes: int) -> None:
        """Release large responses except those among the last bytes."""
        sent_bytes = self.written_bytes - left_bytes
        while self.unsent_frames and self.unsent_frames[0][0] <= sent_bytes:
            _, size = self.unsent_frames.popleft()
            self.sent_at = self.clock()
            self.account.release(HeldKind.LINKS, size)

    def is_stalled(self) -> bool:
        """Tell whether the other side does not read a large response."""
        if not self.unsent_frames:
            return False
        return self.clock() - self.sent_at > STALL_S

    def close(self) -> None:
        """Release everything."""
        self.release_received(0)
        self.release_sent(0)
