"""Log lines about changes of a node's state.

Single calls are counted by the metrics and never logged. Changes that are
rare and that explain the metrics, such as a new configuration, are logged
once, when they happen. The core only collects them; the driver writes them.
"""

import dataclasses
import logging
from collections.abc import Iterable, Mapping

from ebonycleat.internal.process.membership_messages import MemberChange
from ebonycleat.internal.process.slot_ownership import (
    OwnershipChange,
    SlotGained,
    SlotLost,
)

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """One log line: the event and its fields."""

    event: str
    fields: Mapping[str, object]


class PendingStateChanges:
    """Collects changes until the node driver writes them."""

    def __init__(self) -> None:
        """Start without changes."""
        self.pending: list[StateChange] = []

    def record(self, event: str, **fields: object) -> None:
        """Add one change."""
        self.pending.append(StateChange(event, fields))

    def record_member_changes(self, changes: Iterable[MemberChange]) -> None:
        """Add a line for each member whose state changed."""
        for change in changes:
            self.record(
                'member changed', node=change.node, to=change.kind.value
            )

    def record_ownership_changes(
        self, changes: Iterable[OwnershipChange]
    ) -> None:
        """Add one line for gained and one for lost slots.

        Renewed leases are routine and not logged.
        """
        gained = [
            change.slot for change in changes if isinstance(change, SlotGained)
        ]
        lost = [
            change.slot for change in changes if isinstance(change, SlotLost)
        ]
        # A starting node gains dozens of slots at once, so they share a line.
        if gained:
            self.record(
                'slots gained',
                count=len(gained),
                first='/'.join(map(str, gained[0])),
            )
        if lost:
            self.record(
                'slots lost', count=len(lost), first='/'.join(map(str, lost[0]))
            )

    def pop_changes(self) -> list[StateChange]:
        """Return and clear the changes since the last call."""
        pending = self.pending
        self.pending = []
        return pending


def log_state_changes(changes: Iterable[StateChange]) -> None:
    """Write one log line for each change."""
    for change in changes:
        logger.info(change.event, extra=dict(change.fields))
