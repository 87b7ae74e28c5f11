"""Relay trees that distribute the configuration stream within a zone.

Two nodes of each zone, the readers, read the stream from the log. In a zone of
hundreds of nodes a reader would exceed its bandwidth allowance if it sent each
record to every node itself. Each reader is therefore the root of a tree, and
nodes relay pages to their children. The two trees have different inner nodes,
so one dead node does not cut off the same nodes in both.
"""

import dataclasses
from collections.abc import Collection, Iterable
from typing import Final

import xxhash

from ebonycleat.internal.connection.log_service import LogRecord
from ebonycleat.internal.version.snapshot import Snapshot

READERS_PER_ZONE: Final = 2
FAN_OUT: Final = 8
# A tree with a fan-out of 8 and 6 levels is larger than any zone. The limit
# stops pages that circulate among nodes that disagree on who is live.
MAX_HOPS: Final = 6
# ``ZoneRole.own_tree`` of a node that is not a reader.
NO_TREE: Final = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPage:
    """Peer message: the records from ``from_offset`` up to ``next_offset``.

    ``next_offset`` itself is not included. ``tree`` is the index of the tree
    in which the page is relayed. Each relay decreases ``hops_left``; a page
    with 1 is not relayed any more. Snapshots are left out, because only
    starting nodes need them; ``snapshot_at`` is the offset of the newest one.
    A page without records shows that the reader is alive and where the stream
    ends.
    """

    tree: int
    hops_left: int
    from_offset: int
    next_offset: int
    snapshot_at: int
    records: tuple[LogRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRole:
    """A node's role in the relay trees of its zone.

    ``own_tree`` is the index of the tree whose root the node is, or
    ``NO_TREE``. ``snapshot_rank`` is its place among the zone's snapshot
    writers, with 0 for the first. ``children`` has the nodes to which it
    relays pages, by tree.
    """

    own_tree: int
    snapshot_rank: int
    children: tuple[tuple[str, ...], ...]

    @property
    def is_reader(self) -> bool:
        """Whether the node reads the log for its zone."""
        return self.own_tree != NO_TREE


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotQuery:
    """Peer message: asks for the offset of the receiver's configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotOffer:
    """Peer message: the sender's configuration includes ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotFetch:
    """Peer message: asks for a snapshot of the receiver's configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotGiven:
    """Peer message: a snapshot of the sender's configuration."""

    snapshot: Snapshot


CONFIGURATION_MESSAGES: Final = (
    ConfigurationPage,
    SnapshotQuery,
    SnapshotOffer,
    SnapshotFetch,
    SnapshotGiven,
)


def rank_nodes(purpose: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by rendezvous hash, highest first.

    Every node computes the same order, and different purposes give
    independent orders.
    """
    return sorted(
        set(nodes),
        key=lambda node: (_rendezvous_hash(purpose, node), node),
        reverse=True,
    )


def choose_readers(nodes: Collection[str]) -> list[str]:
    """Return the readers of a zone; ``nodes`` are its live nodes."""
    return rank_nodes('configuration-reader', nodes)[:READERS_PER_ZONE]


def list_children(
    tree: int,
    node: str,
    nodes: Collection[str],
) -> list[str]:
    """Return the nodes to which ``node`` relays pages of a tree.

    The tree is stored as a list in level order, with the reader first.
    """
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
    """Calculate the role of ``node``, one of the live ``nodes`` of its zone.

    It hashes all nodes several times. Call it only when members change.
    """
    readers = choose_readers(nodes)
    return ZoneRole(
        readers.index(node) if node in readers else NO_TREE,
        rank_nodes('configuration-snapshot', nodes).index(node),
        tuple(
            tuple(list_children(tree, node, nodes))
            for tree in range(len(readers))
        ),
    )


def _rendezvous_hash(purpose: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f'{purpose}|{node}'.encode())
