"""The members that a node knows, and which of them live."""

import dataclasses
import math

from ebonycleat.internal.process.membership_messages import (
    STATE_ORDER,
    Announcement,
    MemberChangeKind,
    MemberHeartbeat,
    MemberChange,
    MemberState,
)

# A member that was not heard for this long gets no new work.
HEARTBEAT_TIMEOUT_S = 2

ANNOUNCE_INTERVAL_S = 3600

# Two announcements may be lost before a member is forgotten. Only time in
# which the log could be read counts: nobody can announce to a log that is
# down, and an outage of hours must not empty the table.
ANNOUNCEMENT_LIFETIME_S = 3 * ANNOUNCE_INTERVAL_S

READ_GAP_S = 60


@dataclasses.dataclass(slots=True)
class MemberEntry:
    """One node as others know it; times are on this node's clock."""

    announcement: Announcement
    incarnation: int
    state: MemberState
    last_heard_at: float = -math.inf
    is_live: bool = False
    is_unreachable: bool = False
    heartbeat: MemberHeartbeat | None = None


class MemberTable:
    """Members by node id; ``version`` grows when who is known changes."""

    def __init__(self) -> None:
        """Know nobody."""
        self.members: dict[str, MemberEntry] = {}
        # In order of the last time heard, so that a tick looks at few.
        self.live_by_node: dict[str, MemberEntry] = {}
        # In order of announcement, with the readable time until then.
        self.announced_nodes: dict[str, float] = {}
        self.log_readable_s: float = 0
        self.read_at = -math.inf
        self.changes: list[MemberChange] = []
        self.version = 0
        self.zone_versions: dict[str, int] = {}

    def apply_announcement(self, record: Announcement) -> bool:
        """Take an announcement; say if it was news."""
        member = self.members.get(record.node)
        if member is not None:
            if not _is_current(member, record.incarnation, record.state):
                return False
            self._remember_announcement(record.node)
            if member.announcement == record:
                return False
        if member is None:
            member = MemberEntry(record, record.incarnation, record.state)
            self.members[record.node] = member
        member.announcement = record
        self._remember_announcement(record.node)
        self._advance(member, record.incarnation, record.state)
        self._count_change(record.zone)
        return True

    def apply_heartbeat(self, beat: MemberHeartbeat, now: float) -> None:
        """Take a heartbeat; late and repeated ones are ignored."""
        member = self.members.get(beat.node)
        if member is None:
            return
        if not _is_current(member, beat.incarnation, beat.state):
            return
        known = member.heartbeat
        if known is not None and known.incarnation == beat.incarnation:
            if beat.sequence <= known.sequence:
                return
        self._advance(member, beat.incarnation, beat.state)
        member.heartbeat = beat
        member.last_heard_at = now - beat.age_s
        if member.state is MemberState.UP and beat.age_s < HEARTBEAT_TIMEOUT_S:
            self.live_by_node.pop(beat.node, None)
            self.live_by_node[beat.node] = member
            if not member.is_live:
                member.is_live = True
                self._changed(beat.node, MemberChangeKind.LIVE)

    def tick(self, now: float) -> None:
        """Note members that fell silent."""
        while self.live_by_node:
            node, member = next(iter(self.live_by_node.items()))
            if now - member.last_heard_at <= HEARTBEAT_TIMEOUT_S:
                break
            self._end_life(member, MemberChangeKind.SILENT)

    def log_reached_end(self, now: float) -> None:
        """Note that the stream was read to its end; forget old members."""
        if now - self.read_at < READ_GAP_S:
            self.log_readable_s += now - self.read_at
        self.read_at = now
        while self.announced_nodes:
            node, announced_s = next(iter(self.announced_nodes.items()))
            if self.log_readable_s - announced_s <= ANNOUNCEMENT_LIFETIME_S:
                break
            self.announced_nodes.pop(node)
            member = self.members.pop(node)
            self._end_life(member, MemberChangeKind.SILENT)
            self._count_change(member.announcement.zone)

    def is_live(self, node: str, now: float) -> bool:
        """Say if new work may go to the node."""
        member = self.live_by_node.get(node)
        return (
            member is not None
            and now - member.last_heard_at <= HEARTBEAT_TIMEOUT_S
        )

    def list_live(self, now: float) -> list[MemberEntry]:
        """Return the members that may get new work, by node id."""
        found = [
            member
            for member in self.live_by_node.values()
            if now - member.last_heard_at <= HEARTBEAT_TIMEOUT_S
        ]
        return sorted(found, key=_node_of)

    def set_reachable(self, node: str, *, reachable: bool) -> None:
        """Note whether the link to a node works; dead ones are no hubs."""
        member = self.members.get(node)
        if member is not None and member.is_unreachable is reachable:
            member.is_unreachable = not reachable
            self._count_change(member.announcement.zone)

    def _advance(
        self,
        member: MemberEntry,
        incarnation: int,
        state: MemberState,
    ) -> None:
        node = member.announcement.node
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            member.state = state
            member.heartbeat = None
            self._end_life(member, MemberChangeKind.REPLACED)
            self._count_change(member.announcement.zone)
        elif state is not member.state:
            member.state = state
            self._count_change(member.announcement.zone)
            self._changed(node, MemberChangeKind(state.value))
        if state is not MemberState.UP:
            self._end_life(member, None)

    def _end_life(
        self, member: MemberEntry, kind: MemberChangeKind | None
    ) -> None:
        node = member.announcement.node
        self.live_by_node.pop(node, None)
        if kind is not None and (
            member.is_live or kind is MemberChangeKind.REPLACED
        ):
            self._changed(node, kind)
        member.is_live = False

    def _count_change(self, zone: str) -> None:
        self.version += 1
        self.zone_versions[zone] = self.version

    def _remember_announcement(self, node: str) -> None:
        self.announced_nodes.pop(node, None)
        self.announced_nodes[node] = self.log_readable_s

    def _changed(self, node: str, kind: MemberChangeKind) -> None:
        self.changes.append(MemberChange(node, kind))


def _is_current(
    member: MemberEntry,
    incarnation: int,
    state: MemberState,
) -> bool:
    if incarnation != member.incarnation:
        return incarnation > member.incarnation
    return STATE_ORDER.index(state) >= STATE_ORDER.index(member.state)


def _node_of(member: MemberEntry) -> str:
    return member.announcement.node
