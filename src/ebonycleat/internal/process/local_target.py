"""Tracks which incarnation of a node's target may get requests.

A message of a target can arrive late, after the target has crashed and another
one has started at its address. An incarnation that has announced that it is
leaving is never used again, even if an older message of it arrives later.
"""

import dataclasses

from ebonycleat.internal.connection.platform_interfaces import (
    ControlMessage,
    InvalidControlMessage,
    TargetDeregistration,
    TargetHeartbeat,
    TargetState,
)
from ebonycleat.internal.process.departed_instances import DepartedInstances
from ebonycleat.internal.process.mesh_members import MemberRecord

MAX_CLOCK_DIFFERENCE_MS = 3_600_000
"""How much later than the time of this VM a target's start may seem to be.

Of two incarnations the one that started later counts, so one from the far
future would keep out all others.
"""


def is_in_future(started_ms: int, now_ms: int) -> bool:
    """Tell whether no target can have started then; both are Unix times."""
    return started_ms > now_ms + MAX_CLOCK_DIFFERENCE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of the target; ``started_ms`` is Unix time."""

    instance: str
    started_ms: int


class LocalTarget:
    """State of a node's target, according to the target's messages.

    ``is_leaving`` is true if this incarnation gets no more requests: it is
    draining or has deregistered, says in an answer that it leaves, or another
    instance answers at its address. ``departures`` has starts that have
    announced that they leave and that the node may not have heard of yet.
    """

    def __init__(self, service: str) -> None:
        """Start without a target; only targets of ``service`` are used."""
        self.service = service
        self.incarnation: Incarnation | None = None
        self.sequence = -1
        self.slots = 0
        self.is_leaving = False
        self.departures = DepartedInstances()

    @property
    def is_usable(self) -> bool:
        """Whether the target may get new requests."""
        return self.incarnation is not None and not self.is_leaving

    @property
    def instance(self) -> str:
        """Instance id of the target, empty if no target is known."""
        return '' if self.incarnation is None else self.incarnation.instance

    def restore(self, record: MemberRecord, now_ms: int) -> None:
        """Restore the state that this node wrote before it was restarted.

        Only departures are restored; a target that stays sends heartbeats.
        ``now_ms`` is the Unix time in milliseconds.
        """
        self.departures.restore(
            (instance, started_ms)
            for instance, started_ms in record.departures
            if not is_in_future(started_ms, now_ms)
        )
        if not is_in_future(record.instance_started_ms, now_ms):
            self.restore_incarnation(record)
        self.apply_departures()

    def restore_incarnation(self, record: MemberRecord) -> None:
        """Restore that the target which the record names leaves."""
        known = Incarnation(record.instance, record.instance_started_ms)
        if record.has_target or not record.instance:
            return
        if self.incarnation is None:
            self.incarnation = known
        if self.incarnation == known:
            self.is_leaving = True

    def handle_message(self, message: ControlMessage, now_ms: int) -> bool:
        """Handle a message; return whether the target's state has changed.

        ``now_ms`` is the Unix time in milliseconds.
        """
        before = self.snapshot()
        if isinstance(message, InvalidControlMessage):
            return False
        if is_in_future(message.started_ms, now_ms):
            return False
        if isinstance(message, TargetHeartbeat):
            self.handle_heartbeat(message)
        else:
            self.handle_deregistration(message, now_ms)
        return before != self.snapshot()

    def snapshot(self) -> tuple[object, ...]:
        """Return what the member record tells about the target."""
        return (
            self.incarnation,
            self.slots,
            self.is_leaving,
            self.departures.as_pairs(),
        )

    def handle_heartbeat(self, message: TargetHeartbeat) -> None:
        """Switch to a newer incarnation, or update the known one.

        Messages that are older than the known state are ignored, as are
        those of other services. An announcement to leave counts in any order.
        """
        if message.service != self.service:
            return
        if message.state is TargetState.DRAINING:
            self.departures.record(message.instance, message.started_ms)
        reported = Incarnation(message.instance, message.started_ms)
        known = self.incarnation
        is_news = (
            message.sequence > self.sequence
            if reported == known
            else known is None or reported.started_ms > known.started_ms
        )
        if is_news:
            self.is_leaving = self.is_leaving and reported == known
            self.incarnation = reported
            self.sequence = message.sequence
            self.slots = message.slots
        self.apply_departures()

    def handle_deregistration(
        self, message: TargetDeregistration, now_ms: int
    ) -> None:
        """Record that an instance leaves, whether it is the known one or not.

        A message that does not name a start means any start before now. One
        that names a later start than the known one shows that this has ended.
        """
        known = self.incarnation
        known_start_ms = 0 if known is None else known.started_ms
        latest_start_ms = message.started_ms or max(now_ms, known_start_ms)
        self.departures.record(message.instance, latest_start_ms)
        if message.started_ms > known_start_ms:
            self.incarnation = Incarnation(message.instance, latest_start_ms)
            self.sequence = -1
        self.is_leaving = self.is_leaving or known is None
        self.apply_departures()

    def apply_departures(self) -> None:
        """Stop using the known incarnation if it has left.

        Departures of older incarnations than the known one are forgotten:
        messages of those are ignored anyway.
        """
        known = self.incarnation
        if known is None:
            return
        if self.departures.has_left(known.instance, known.started_ms):
            self.is_leaving = True
        self.departures.forget_until(known.started_ms)

    def record_leaving(self) -> bool:
        """Record that the target leaves; return whether that is news."""
        was_leaving = self.is_leaving
        self.is_leaving = True
        return not was_leaving

    def record_other_instance(self) -> None:
        """Record that another instance answered at the target's address."""
        self.is_leaving = True
