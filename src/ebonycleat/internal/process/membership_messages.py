"""Log records and peer messages of the membership."""

import dataclasses
import enum
from typing import NamedTuple


class MemberState(enum.Enum):
    """State that a node announces; only nodes that are ``UP`` get new calls."""

    UP = 'up'
    DRAINING = 'draining'
    LEFT = 'left'


# Within one incarnation a node's state only moves forward in this order. An
# earlier state therefore shows that a message is outdated.
STATE_ORDER = (MemberState.UP, MemberState.DRAINING, MemberState.LEFT)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Log record: the address, zone, service and state of a node.

    ``incarnation`` grows with each start of the node; ``slots`` is how many
    calls its target runs at a time.
    """

    node: str
    incarnation: int
    zone: str
    service: str
    peer_address: str
    slots: int
    state: MemberState
    operation_id: str = ''


class MemberHeartbeat(NamedTuple):
    """Peer message: a node is alive; it carries the load of its target.

    Heartbeats and summaries make up most of the control traffic. They are
    named tuples because those are encoded without field names.

    ``sequence`` grows with each heartbeat of an incarnation. ``age_s`` is the
    time since a hub received the heartbeat, and 0 if it comes directly from
    the node.
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
    """Part of a digest: one service in one zone, as a hub sees it.

    ``load`` is the number of running and queued calls divided by the number
    of slots. ``sample_nodes`` has up to three live nodes to which other zones
    can send calls when their own targets are overloaded.
    """

    zone: str
    service: str
    live_targets: int
    load: float
    sample_nodes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HubDigest:
    """Peer message: what a hub received since its last digest.

    ``beats`` has heartbeats; the field keeps its name on the wire.
    """

    hub: str
    beats: tuple[MemberHeartbeat, ...]
    summaries: tuple[ZoneSummary, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Peer message: ``node`` asks a hub to send it digests.

    For each of ``services`` the hub sends heartbeats, and if the node is in
    the hub's zone also summaries of other zones. ``summaries_of`` names the
    services whose summary of its own zone the hub sends. Hubs of other zones
    use it to get what they send to their subscribers.
    """

    node: str
    services: tuple[str, ...]
    summaries_of: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersAsk:
    """Peer message: a node that cannot read the log asks for all members."""

    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class MembersTold:
    """Peer message: part of the announcements that a seed knows."""

    announcements: tuple[Announcement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberNews:
    """Peer message: an announcement that may be missing in the log.

    ``hops_left`` is 2 from the node to its seed, 1 from the seed to some
    nodes of each zone, and 0 from those to all nodes of their zone.
    """

    announcement: Announcement
    hops_left: int


class MemberChangeKind(enum.Enum):
    """What changed about a member; the values are written to log lines.

    ``SILENT`` means that its heartbeats stopped, ``REPLACED`` that the node
    was restarted under a new incarnation.
    """

    LIVE = 'live'
    DRAINING = 'draining'
    LEFT = 'left'
    SILENT = 'silent'
    REPLACED = 'replaced'


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a member; the node writes a log line about it."""

    node: str
    kind: MemberChangeKind
