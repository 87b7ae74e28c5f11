"""Who reads the configuration stream for a zone, and who passes it on to whom.

A reader that sent each record to all nodes of a zone itself would need more
than its traffic allowance in a zone of hundreds of nodes. Each reader is the
root of a tree instead. Every reader has its own tree, in which other nodes
are in the middle, so that one dead node does not cut off a subtree of both.
"""

import dataclasses
from collections.abc import Collection, Iterable
from typing import Final

import xxhash

from ebonycleat.internal.connection.log_service import LogRecord
from ebonycleat.internal.version.snapshot import Snapshot

READERS_PER_ZONE: Final = 2
FAN_OUT: Final = 8
# Eight to the power of six is above any zone; it ends loops among nodes that
# for a moment disagree on who is live.
MAX_HOPS: Final = 6
NO_READER: Final = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPage:
    """What the log has from ``from_offset`` up to ``next_offset``.

    Snapshots are left out, because only starting nodes need them;
    ``snapshot_at`` is the offset of the newest one. A page without records
    says that the reader is alive and where the stream ends.
    """

    tree: int
    hops_left: int
    from_offset: int
    next_offset: int
    snapshot_at: int
    records: tuple[LogRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRole:
    """A node's part in its zone.

    ``reader`` is the number of the node's own tree, or ``NO_READER``;
    ``children`` has the nodes below it in each tree.
    """

    own_tree: int
    snapshot_rank: int
    children: tuple[tuple[str, ...], ...]

    @property
    def is_reader(self) -> bool:
        """Whether the node reads the log for its zone."""
        return self.own_tree != NO_READER


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotQuery:
    """Ask a peer how far its configuration goes."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotOffer:
    """The sender's configuration goes up to ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotFetch:
    """Ask a peer for its configuration in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotGiven:
    """The sender's configuration in force."""

    snapshot: Snapshot


CONFIGURATION_MESSAGES: Final = (
    ConfigurationPage,
    SnapshotQuery,
    SnapshotOffer,
    SnapshotFetch,
    SnapshotGiven,
)


def rank_nodes(purpose: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by rendezvous hash; every node computes the same order."""
    return sorted(
        set(nodes),
        key=lambda node: (_rendezvous_hash(purpose, node), node),
        reverse=True,
    )


def choose_readers(nodes: Collection[str]) -> list[str]:
    """Choose the readers of a zone among its live nodes."""
    return rank_nodes('configuration-reader', nodes)[:READERS_PER_ZONE]


def list_children(
    tree: int,
    node: str,
    nodes: Collection[str],
) -> list[str]:
    """List the nodes to which ``node`` passes pages of one reader's tree."""
    readers = choose_readers(nodes)
    if tree >= len(readers):
        return []
    root = readers[tree]
    ranked = rank_nodes(f'configuration-tree-{tree}', nodes)
    order = [root, *(other for other in ranked if other != root)]
    if node not in order:
        return []
    first = order.index(node) * FAN_OUT + 1
    return order[first : first + FAN_OUT]


def assign_role(node: str, nodes: Collection[str]) -> ZoneRole:
    """Compute a node's part; it takes time, so once per change of members."""
    readers = choose_readers(nodes)
    return ZoneRole(
        readers.index(node) if node in readers else NO_READER,
        rank_nodes('configuration-snapshot', nodes).index(node),
        tuple(
            tuple(list_children(tree, node, nodes))
            for tree in range(len(readers))
        ),
    )


def _rendezvous_hash(purpose: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f'{purpose}|{node}'.encode())
