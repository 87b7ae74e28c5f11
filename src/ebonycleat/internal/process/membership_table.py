"""The table of members that a node knows, and which of them are live."""

import dataclasses
import math

from ebonycleat.internal.process.membership_messages import (
    STATE_ORDER,
    Announcement,
    MemberChange,
    MemberChangeKind,
    MemberHeartbeat,
    MemberState,
)

# A member without a heartbeat for this long gets no new calls.
HEARTBEAT_TIMEOUT_S = 2

ANNOUNCE_INTERVAL_S = 3600

# Two announcements may be lost before a member is removed. Only time in which
# the log could be read counts. No node can announce itself while the log is
# unavailable, and an outage of hours must not empty the table.
ANNOUNCEMENT_LIFETIME_S = 3 * ANNOUNCE_INTERVAL_S

# Between two reads that are further apart, the log counts as unavailable.
MAX_READ_GAP_S = 60


@dataclasses.dataclass(slots=True)
class MemberEntry:
    """What the table knows of one node.

    ``last_heard_at`` is when its latest heartbeat reached this node, or the
    hub that relayed it, in seconds on the clock of this node.
    ``is_unreachable`` is set while the link to the node does not work.
    """

    announcement: Announcement
    incarnation: int
    state: MemberState
    last_heard_at: float = -math.inf
    is_live: bool = False
    is_unreachable: bool = False
    heartbeat: MemberHeartbeat | None = None


class MemberTable:
    """Members by node id.

    ``version`` grows with each change of a member's announcement, state or
    reachability; ``zone_versions`` has the last version by zone.
    """

    def __init__(self) -> None:
        """Start with an empty table."""
        self.members: dict[str, MemberEntry] = {}
        # Ordered by the last heartbeat, oldest first, so that a tick examines
        # only members that may have become silent.
        self.live_by_node: dict[str, MemberEntry] = {}
        # Ordered by announcement, oldest first. The value is
        # ``log_readable_s`` at the time of the announcement.
        self.announced_at_by_node: dict[str, float] = {}
        self.log_readable_s: float = 0
        self.last_read_at = -math.inf
        self.changes: list[MemberChange] = []
        self.version = 0
        self.zone_versions: dict[str, int] = {}

    def apply_announcement(self, record: Announcement) -> bool:
        """Apply an announcement; return whether it changed the table."""
        member = self.members.get(record.node)
        if member is not None:
            if not _is_current(member, record.incarnation, record.state):
                return False
            self._record_announcement_time(record.node)
            if member.announcement == record:
                return False
        if member is None:
            member = MemberEntry(record, record.incarnation, record.state)
            self.members[record.node] = member
        member.announcement = record
        self._record_announcement_time(record.node)
        self._update_state(member, record.incarnation, record.state)
        self._increment_version(record.zone)
        return True

    def apply_heartbeat(self, heartbeat: MemberHeartbeat, now: float) -> None:
        """Apply a heartbeat; delayed and repeated ones are ignored."""
        member = self.members.get(heartbeat.node)
        if member is None:
            return
        if not _is_current(member, heartbeat.incarnation, heartbeat.state):
            return
        previous = member.heartbeat
        if (
            previous is not None
            and previous.incarnation == heartbeat.incarnation
        ):
            if heartbeat.sequence <= previous.sequence:
                return
        self._update_state(member, heartbeat.incarnation, heartbeat.state)
        member.heartbeat = heartbeat
        member.last_heard_at = now - heartbeat.age_s
        if (
            member.state is MemberState.UP
            and heartbeat.age_s < HEARTBEAT_TIMEOUT_S
        ):
            self.live_by_node.pop(heartbeat.node, None)
            self.live_by_node[heartbeat.node] = member
            if not member.is_live:
                member.is_live = True
                self._add_change(heartbeat.node, MemberChangeKind.LIVE)

    def tick(self, now: float) -> None:
        """Mark members without recent heartbeats as no longer live."""
        while self.live_by_node:
            node, member = next(iter(self.live_by_node.items()))
            if now - member.last_heard_at <= HEARTBEAT_TIMEOUT_S:
                break
            self._mark_not_live(member, MemberChangeKind.SILENT)

    def log_reached_end(self, now: float) -> None:
        """Record that the log was read; remove members that expired.

        A member expires when it was not announced for
        ``ANNOUNCEMENT_LIFETIME_S`` of time with a readable log.
        """
        if now - self.last_read_at < MAX_READ_GAP_S:
            self.log_readable_s += now - self.last_read_at
        self.last_read_at = now
        while self.announced_at_by_node:
            node, announced_at = next(iter(self.announced_at_by_node.items()))
            if self.log_readable_s - announced_at <= ANNOUNCEMENT_LIFETIME_S:
                break
            self.announced_at_by_node.pop(node)
            member = self.members.pop(node)
            self._mark_not_live(member, MemberChangeKind.SILENT)
            self._increment_version(member.announcement.zone)

    def is_live(self, node: str, now: float) -> bool:
        """Tell whether new calls may be sent to the node."""
        member = self.live_by_node.get(node)
        return (
            member is not None
            and now - member.last_heard_at <= HEARTBEAT_TIMEOUT_S
        )

    def list_live(self, now: float) -> list[MemberEntry]:
        """Return the members that may get new calls, sorted by node id."""
        live = [
            member
            for member in self.live_by_node.values()
            if now - member.last_heard_at <= HEARTBEAT_TIMEOUT_S
        ]
        return sorted(live, key=_node_of)

    def set_reachable(self, node: str, *, reachable: bool) -> None:
        """Record whether a node can be reached; only such nodes are hubs."""
        member = self.members.get(node)
        if member is not None and member.is_unreachable is reachable:
            member.is_unreachable = not reachable
            self._increment_version(member.announcement.zone)

    def _update_state(
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
            self._mark_not_live(member, MemberChangeKind.REPLACED)
            self._increment_version(member.announcement.zone)
        elif state is not member.state:
            member.state = state
            self._increment_version(member.announcement.zone)
            self._add_change(node, MemberChangeKind(state.value))
        if state is not MemberState.UP:
            self._mark_not_live(member, None)

    def _mark_not_live(
        self, member: MemberEntry, kind: MemberChangeKind | None
    ) -> None:
        node = member.announcement.node
        self.live_by_node.pop(node, None)
        if kind is not None and (
            member.is_live or kind is MemberChangeKind.REPLACED
        ):
            self._add_change(node, kind)
        member.is_live = False

    def _increment_version(self, zone: str) -> None:
        self.version += 1
        self.zone_versions[zone] = self.version

    def _record_announcement_time(self, node: str) -> None:
        self.announced_at_by_node.pop(node, None)
        self.announced_at_by_node[node] = self.log_readable_s

    def _add_change(self, node: str, kind: MemberChangeKind) -> None:
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
