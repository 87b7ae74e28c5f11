"""Writes started ids to the log in groups, and reads those of other nodes.

The id of a request consists of its team and its Idempotency-Key. A call that
must run at most once is dispatched only after the hash of its id is in the
``started`` stream, so that the next owner of its slot knows of it. All nodes
together can make a few hundred appends a second, so each node appends ids in
groups, at most one group in an interval (group commit).
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendResult,
    AppendToLog,
)
from ebonycleat.internal.request.dedupe_tracker import HASH_BYTES

# Two thirds of the 300 appends/s that the log accepts; the rest is left for
# claims, configuration changes and members.
STARTED_APPENDS_PER_S = 200

# Nodes in the fleet for which the default interval is computed.
DEFAULT_NODE_COUNT = 14

# A record holds at most 32 KB of hashes.
MAX_GROUP_IDS = 2048

# Far longer than an append to a healthy log takes: at most 5 ms by itself, and
# 47 ms behind 14 other appends.
APPEND_TIMEOUT_S = 0.25

RETRY_INTERVAL_S = 0.25

# A confirmation that takes longer than this is ignored, because a record can
# be that much older. Readers remember ids for longer than the deduplication
# window by at least this time.
MAX_APPEND_AGE_S = 10


def group_interval_s(
    appending_nodes: int,
    appends_per_s: float = STARTED_APPENDS_PER_S,
) -> float:
    """Return the interval at which all nodes together stay within the rate."""
    return appending_nodes / appends_per_s


GROUP_INTERVAL_S = group_interval_s(DEFAULT_NODE_COUNT)


@dataclasses.dataclass(frozen=True, slots=True)
class StartedGroup:
    """Log record: ids that may start from now on.

    ``id_hashes`` holds the hashes one after the other.
    """

    operation_id: str
    node: str
    incarnation: int
    service: str
    id_hashes: bytes


def split_hashes(id_hashes: bytes) -> tuple[bytes, ...]:
    """Split concatenated hashes; an incomplete last one is dropped."""
    complete_length = len(id_hashes) - len(id_hashes) % HASH_BYTES
    return tuple(
        id_hashes[start : start + HASH_BYTES]
        for start in range(0, complete_length, HASH_BYTES)
    )


class GroupCommit:
    """Appends one group of ids at a time, and repeats it until it is confirmed."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        service: str,
        interval_s: float = GROUP_INTERVAL_S,
    ) -> None:
        """Append groups for one node and the service of its target."""
        self.node = node
        self.incarnation = incarnation
        self.service = service
        self.interval_s = interval_s
        # The keys of the dictionary are the ids, each once and in order.
        self.queue: dict[bytes, None] = {}
        self.group: AppendToLog | None = None
        self.is_awaiting_result = False
        self.has_failed = False
        self.sent_at = -math.inf
        self.group_count = 0

    def add(self, id_hash: bytes) -> None:
        """Queue an id for the next group."""
        self.queue.setdefault(id_hash)

    def discard(self, id_hash: bytes) -> None:
        """Remove an id from the queue that need not be recorded any more."""
        self.queue.pop(id_hash, None)

    def due_at(self) -> float:
        """Return when the next append is due, infinity if there is none."""
        if self.is_awaiting_result or not (self.group or self.queue):
            return math.inf
        interval_s = RETRY_INTERVAL_S if self.has_failed else self.interval_s
        return self.sent_at + interval_s

    def next_append(self, now: float) -> list[AppendToLog]:
        """Return the append that is due, or an empty list."""
        if now < self.due_at():
            return []
        if self.group is None:
            self.group = self._create_group()
        self.is_awaiting_result = True
        self.sent_at = now
        return [self.group]

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> tuple[bytes, ...]:
        """Return the ids whose append was confirmed.

        A confirmation that arrives very late does not count: readers remember
        an id for a fixed time from when they read it, which may be almost over
        then.
        """
        group = self.group
        if group is None or append_result.operation_id != group.operation_id:
            return ()
        self.is_awaiting_result = False
        is_late = now - self.sent_at > MAX_APPEND_AGE_S
        if is_late or not isinstance(append_result, AppendConfirmed):
            self.has_failed = True
            return ()
        self.has_failed = False
        self.group = None
        confirmed_hashes: bytes = group.record.id_hashes
        return split_hashes(confirmed_hashes)

    def is_log_down(self, now: float) -> bool:
        """Tell whether the last append failed or has not been answered in time."""
        is_overdue = (
            self.is_awaiting_result and now - self.sent_at > APPEND_TIMEOUT_S
        )
        return self.has_failed or is_overdue

    def _create_group(self) -> AppendToLog:
        self.group_count += 1
        hashes = tuple(itertools.islice(self.queue, MAX_GROUP_IDS))
        for id_hash in hashes:
            self.queue.pop(id_hash)
        operation_id = f'{self.node}/{self.incarnation}/{self.group_count}'
        record = StartedGroup(
            operation_id=operation_id,
            node=self.node,
            incarnation=self.incarnation,
            service=self.service,
            id_hashes=b''.join(hashes),
        )
        return AppendToLog(LogStream.STARTED, record, operation_id)


class StartedIds:
    """Ids of one service that other nodes have written to the log."""

    def __init__(
        self, own_commit: GroupCommit, retention_s: float, max_ids: int
    ) -> None:
        """Keep each id for ``retention_s`` from when it was read."""
        self.own_commit = own_commit
        self.retention_s = retention_s
        self.max_ids = max_ids
        self.expiry_by_hash: dict[bytes, float] = {}
        # Before these times an id that is not known here may have started:
        # records expired in the log before they were read, or there were more
        # than ``max_ids`` ids.
        self.gap_until = -math.inf
        self.evicted_until = -math.inf

    def add_groups(self, groups: Iterable[StartedGroup], now: float) -> None:
        """Add records in log order; a repeated record does no harm.

        The node's own groups are skipped, as its memory holds more about their
        ids.
        """
        expiry = now + self.retention_s
        for group in groups:
            if group.service == self.own_commit.service and not self._is_own(
                group
            ):
                for id_hash in split_hashes(group.id_hashes):
                    # Removing the id first keeps the dictionary in order of
                    # expiry.
                    self.expiry_by_hash.pop(id_hash, None)
                    self.expiry_by_hash[id_hash] = expiry
        while len(self.expiry_by_hash) > self.max_ids:
            oldest = next(iter(self.expiry_by_hash))
            self.evicted_until = self.expiry_by_hash.pop(oldest)

    def record_gap(self, now: float) -> None:
        """Record that records expired in the log before they were read."""
        self.gap_until = now + self.retention_s

    def expire(self, now: float) -> None:
        """Forget ids after their retention time."""
        while self.expiry_by_hash:
            oldest = next(iter(self.expiry_by_hash))
            if self.expiry_by_hash[oldest] > now:
                return
            self.expiry_by_hash.pop(oldest)

    def __contains__(self, id_hash: bytes) -> bool:
        """Tell whether another owner may have started the id."""
        return id_hash in self.expiry_by_hash

    def _is_own(self, group: StartedGroup) -> bool:
        return (
            group.node == self.own_commit.node
            and group.incarnation == self.own_commit.incarnation
        )
