"""Changes of state that deserve a log line, as the core notes them.

Calls are counted and never logged; what changes seldom and explains the
counters is logged once, when it changes.
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
    """One log line: what happened, and to what."""

    event: str
    fields: Mapping[str, object]


class PendingStateChanges:
    """Collects changes until the shell writes them."""

    def __init__(self) -> None:
        """Start without changes."""
        self.pending: list[StateChange] = []

    def record(self, event: str, **fields: object) -> None:
        """Note one change."""
        self.pending.append(StateChange(event, fields))

    def record_member_changes(self, changes: Iterable[MemberChange]) -> None:
        """Note members that came, left or fell silent."""
        for change in changes:
            self.record(
                'member changed', node=change.node, to=change.kind.value
            )

    def record_ownership_changes(
        self, changes: Iterable[OwnershipChange]
    ) -> None:
        """Note slots gained and lost; renewals are routine."""
        gained = [one.slot for one in changes if isinstance(one, SlotGained)]
        lost = [one.slot for one in changes if isinstance(one, SlotLost)]
        # One line for many slots: a node that starts gains dozens at once.
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
        """Return the changes since the last call."""
        pending = self.pending
        self.pending = []
        return pending


def log_state_changes(changes: Iterable[StateChange]) -> None:
    """Write one log line for each change."""
    for change in changes:
        logger.info(change.event, extra=dict(change.fields))
