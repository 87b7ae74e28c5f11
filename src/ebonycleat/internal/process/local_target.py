"""Which incarnation of the target beside this node may get work.

Messages of a target can arrive late, after it has crashed and another one
has its address. An incarnation that has said that it leaves is never used
again, even if an older message of it arrives later.
"""

import dataclasses

from ebonycleat.internal.connection.platform_interfaces import (
    TargetDeregistration,
    TargetHeartbeat,
    TargetState,
    ControlMessage,
)
from ebonycleat.internal.process.mesh_members import MemberRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of the target."""

    instance: str
    started_ms: int


class LocalTarget:
    """The target beside one node, as its messages describe it."""

    def __init__(self, service: str) -> None:
        """Know no target; only targets of ``service`` are used."""
        self.service = service
        self.incarnation: Incarnation | None = None
        self.sequence = -1
        self.slots = 0
        self.is_leaving = False

    @property
    def is_usable(self) -> bool:
        """Whether the target may get new work."""
        return self.incarnation is not None and not self.is_leaving

    @property
    def instance(self) -> str:
        """Instance that must run the requests, empty if none is known."""
        return '' if self.incarnation is None else self.incarnation.instance

    def restore(self, record: MemberRecord) -> None:
        """Take over what this node wrote before it was restarted."""
        known = Incarnation(record.instance, record.instance_started_ms)
        if self.incarnation is None and record.instance:
            if not record.has_target:
                self.incarnation = known
                self.is_leaving = True
        elif self.incarnation == known and not record.has_target:
            self.is_leaving = True

    def handle_message(self, word: ControlMessage, now_ms: int) -> bool:
        """Learn from a message; true if what may be sent has changed.

        ``now_ms`` is the time of day in milliseconds.
        """
        before = (self.incarnation, self.slots, self.is_leaving)
        if isinstance(word, TargetHeartbeat):
            self.handle_heartbeat(word)
        elif isinstance(word, TargetDeregistration):
            self.handle_deregistration(word, now_ms)
        return before != (self.incarnation, self.slots, self.is_leaving)

    def handle_heartbeat(self, word: TargetHeartbeat) -> None:
        """Adopt a newer incarnation, or the news of the present one."""
        if word.service != self.service:
            return
        heard = Incarnation(word.instance, word.started_ms)
        known = self.incarnation
        if heard == known:
            if word.sequence <= self.sequence:
                return
        elif known is not None and heard.started_ms <= known.started_ms:
            return
        else:
            self.incarnation = heard
            self.is_leaving = False
        self.sequence = word.sequence
        self.slots = word.slots
        if word.state is TargetState.DRAINING:
            self.is_leaving = True

    def handle_deregistration(
        self, word: TargetDeregistration, now_ms: int
    ) -> None:
        """Use the instance no more.

        A node that has just started does not know which start of the
        instance leaves; it is any that began before this moment.
        """
        known = self.incarnation
        if known is None:
            started_ms = word.started_ms or now_ms
            self.incarnation = Incarnation(word.instance, started_ms)
            self.is_leaving = True
        elif word.instance == known.instance and (
            not word.started_ms or word.started_ms >= known.started_ms
        ):
            self.is_leaving = True

    def record_other_instance(self) -> None:
        """Learn from a refusal that the instance has left its address."""
        self.is_leaving = True
