"""Records and peer messages by which nodes learn of each other."""

import dataclasses
import enum
from typing import NamedTuple


class MemberState(enum.Enum):
    """What a node says of itself; new work goes only to ``UP``."""

    UP = 'up'
    DRAINING = 'draining'
    LEFT = 'left'


# Within one incarnation a state never goes back, so a late message is known.
STATE_ORDER = (MemberState.UP, MemberState.DRAINING, MemberState.LEFT)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Log record: where a node is and what it serves."""

    node: str
    incarnation: int
    zone: str
    service: str
    peer_address: str
    slots: int
    state: MemberState
    operation_id: str = ''


class MemberHeartbeat(NamedTuple):
    """Peer message: a node lives, with the load of its target.

    Heartbeats and summaries are tuples, which are encoded without the names
    of their fields, because they are the bulk of the control traffic.

    ``number`` grows within an incarnation; ``age_s`` is how long ago a hub
    heard it, zero when it comes from the node itself.
    """

    node: str
    incarnation: int
    sequence: int
    state: MemberState
    queued: int
    running: int
    slots: int
    admission_level: int
    age_s: float = 0


class ZoneSummary(NamedTuple):
    """Part of a digest: one service in one zone, as its hub sees it.

    ``load`` is running and queued calls over slots. ``sample`` names up to
    three live nodes that can take calls spilled over from other zones.
    """

    zone: str
    service: str
    live_targets: int
    load: float
    sample_nodes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HubDigest:
    """Peer message: what a hub heard since the last digest."""

    hub: str
    beats: tuple[MemberHeartbeat, ...]
    summaries: tuple[ZoneSummary, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Peer message: send digests to this node.

    ``services`` asks for heartbeats, and for summaries of other zones when
    the node is in the hub's zone. ``summaries_of`` is asked by hubs of
    other zones that have such subscribers.
    """

    node: str
    services: tuple[str, ...]
    summaries_of: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersAsk:
    """Peer message: a starting node cannot read the log."""

    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class MembersTold:
    """Peer message: announcements that a seed peer knows."""

    announcements: tuple[Announcement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberNews:
    """Peer message: an announcement that may not be in the log.

    ``hops_left`` is 2 from the node to its seed peer, 1 from there to one
    node of each other zone, and 0 to all nodes of a zone.
    """

    announcement: Announcement
    hops_left: int


class MemberChangeKind(enum.Enum):
    """What changed about a member."""

    LIVE = 'live'
    DRAINING = 'draining'
    LEFT = 'left'
    SILENT = 'silent'
    REPLACED = 'replaced'


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A change that routing, ownership or the log line needs to know."""

    node: str
    kind: MemberChangeKind
