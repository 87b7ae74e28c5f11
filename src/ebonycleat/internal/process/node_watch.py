"""Log lines for changes of a node's readiness and of its free descriptors."""

import resource

from ebonycleat.internal.connection.byte_account import MemoryAccount
from ebonycleat.internal.connection.http_listener import (
    MIN_CLOSING,
    SURPLUS_SHARE,
)
from ebonycleat.internal.connection.slow_clients import SlowClients
from ebonycleat.internal.process.event_log import EventLog

SCARCE_SHARE = 0.9
"""Descriptors are scarce above this share of the limit in use."""

PLENTY_SHARE = 0.8
"""They are no longer scarce below this share; the gap keeps a load near the
threshold from writing a line every second."""

USED_SHARE = 0.5
"""Share of the descriptors that may be in use, whatever callers do. Links, the
target, the store, probes and files come first: without one of these a connection
of a caller is of no use."""

OTHER_DESCRIPTORS = 32
"""Descriptors for listening sockets, the event loop, the store, probes and
files; a node without load has about 20, and probes open some more."""

MIN_CALLER_SHARE = 0.125
"""Share of the descriptors that callers may have in any case."""

READY = 'ready'


class NodeWatch:
    """Remembers what was logged last, so that only changes are logged.

    ``max_descriptors`` is the limit of the settings; the limit of the process
    counts where it is lower, or where the settings name none.
    """

    def __init__(self, log: EventLog, max_descriptors: int | None) -> None:
        """Start as not ready and with free descriptors."""
        self.log = log
        self.max_descriptors = effective_descriptor_limit(max_descriptors)
        self.is_scarce = False
        self.readiness = ''
        self.dropped_bodies = 0
        self.dropped_readers = 0

    def caller_connection_limit(self, other_sockets: int) -> int:
        """Return how many connections callers may have open.

        ``other_sockets`` are those of links and to the target. Somewhat more
        connections than allowed may be open until they are refused or closed.
        """
        allowed = self.max_descriptors * USED_SHARE
        allowed -= other_sockets + OTHER_DESCRIPTORS
        least = self.max_descriptors * MIN_CALLER_SHARE
        return max(
            1,
            int(least),
            int(min(allowed - MIN_CLOSING, allowed / (1 + SURPLUS_SHARE))),
        )

    def change_limit(self, max_descriptors: int | None) -> None:
        """Apply the limit of reloaded settings."""
        self.max_descriptors = effective_descriptor_limit(max_descriptors)

    def record_readiness(self, readiness: str, connections: int) -> None:
        """Log a change of readiness; other states than ready name the cause."""
        if readiness == self.readiness:
            return
        self.log.write_always(
            'readiness changed',
            readiness=readiness,
            before=self.readiness or 'starting',
            connections=connections,
        )
        self.readiness = readiness

    def record_dropped(
        self, slow_clients: SlowClients, account: MemoryAccount
    ) -> None:
        """Log how many slow clients have given way since the last time."""
        bodies = slow_clients.dropped_bodies - self.dropped_bodies
        readers = slow_clients.dropped_readers - self.dropped_readers
        if not bodies and not readers:
            return
        self.dropped_bodies += bodies
        self.dropped_readers += readers
        self.log.write_limited(
            'slow clients gave way to others',
            bodies_refused=bodies,
            readers_closed=readers,
            held_bytes=account.held_bytes,
            limit=account.limit,
            **account.describe(),
        )

    def record_sockets(self, counts: dict[str, int]) -> None:
        """Log when descriptors become scarce and when they are free again.

        ``counts`` are the open sockets by their use.
        """
        share = sum(counts.values()) / self.max_descriptors
        if share > SCARCE_SHARE and not self.is_scarce:
            self.is_scarce = True
            self.log.write_always(
                'descriptors are scarce', limit=self.max_descriptors, **counts
            )
        elif share < PLENTY_SHARE and self.is_scarce:
            self.is_scarce = False
            self.log.write_always(
                'descriptors are free again',
                limit=self.max_descriptors,
                **counts,
            )


def effective_descriptor_limit(max_descriptors: int | None) -> int:
    """Return the lower one of the given limit and that of the process."""
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(process_limit, max_descriptors or process_limit)
