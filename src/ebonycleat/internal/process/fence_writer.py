"""Copies operators' fences from the configuration to the ownership stream.

The owner of a slot is derived from the ownership stream alone, so a fence must
be recorded there as well. One node appends it, and repeats the append until
the fence has taken effect.
"""

import dataclasses
from collections.abc import Sequence

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.configuration_relay import rank_nodes
from ebonycleat.internal.process.effects import AppendToLog
from ebonycleat.internal.process.ownership import Fence, OwnershipFold
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.version.configuration_view import ConfigurationView

RETRY_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True)
class PendingFence:
    """A fence that does not cover all slots of its node yet."""

    record: Fence
    append_at: float = 0


class FenceWriter:
    """Appends the fences that appear in the configuration, for one node.

    Fences in the first configuration that this node sees are not appended:
    they are old, and a later VM of the same name may own slots by now.
    """

    def __init__(self, node: str, fold: OwnershipFold) -> None:
        """Start without a configuration."""
        self.node = node
        self.fold = fold
        self.known_fences: dict[str, int] | None = None
        self.pending: dict[str, PendingFence] = {}
        self.live_nodes: tuple[str, ...] = ()

    def update_members(self, members: Sequence[Member]) -> None:
        """Replace the set of live nodes."""
        self.live_nodes = tuple(member.node for member in members)

    def update_configuration(self, view: ConfigurationView) -> None:
        """Schedule the fences that are new in a configuration."""
        fenced = dict(view.fenced.items())
        known = fenced if self.known_fences is None else self.known_fences
        for node, offset in fenced.items():
            if known.get(node) != offset:
                operation_id = f'fence-{node}-{offset}'
                record = Fence(node, self.fold.applied_offset, operation_id)
                self.pending[node] = PendingFence(record)
        self.known_fences = fenced

    def tick(self, now: float) -> list[AppendToLog]:
        """Append pending fences if this node is the writer."""
        effects: list[AppendToLog] = []
        for node, pending in tuple(self.pending.items()):
            if not self.is_needed(pending.record):
                self.pending.pop(node)
            elif now >= pending.append_at and self.is_writer(node):
                pending.append_at = now + RETRY_INTERVAL_S
                record = pending.record
                effects.append(
                    AppendToLog(
                        LogStream.OWNERSHIP, record, record.operation_id
                    ),
                )
        return effects

    def is_needed(self, record: Fence) -> bool:
        """Tell whether a slot of the node has not been fenced yet."""
        return any(
            state.owner == record.node
            and state.epoch <= record.through_epoch
            and not (state.fenced or state.released)
            for state in self.fold.slots.values()
        )

    def is_writer(self, fenced_node: str) -> bool:
        """Tell whether this node appends; all live nodes choose the same one."""
        others = [node for node in self.live_nodes if node != fenced_node]
        ranked = rank_nodes('fence', others or [self.node])
        return ranked[0] == self.node
