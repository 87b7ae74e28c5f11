"""The dedupe slots that a node holds, and how far it knows their past."""

import abc
import dataclasses
import math

from ebonycleat.internal.process.dedupe_memory import ID_RETENTION_S
from ebonycleat.internal.request.idempotent_send import DedupeAsk


class DedupeLeases(abc.ABC):
    """What the ownership engine tells about the slots of this node."""

    @abc.abstractmethod
    def is_usable(self, slot: int, now: float) -> bool:
        """Say if the node holds the slot under a lease that is valid now."""

    @abc.abstractmethod
    def is_unlogged_acknowledged(self, slot: int, now: float) -> bool:
        """Say if a majority of witnesses holds the flag ``unlogged``.

        True only when the latest heartbeat that each of them acknowledged
        carried the flag, so that any later claim must carry it too.
        """


@dataclasses.dataclass(slots=True)
class Tenure:
    """An unbroken time as owner of one slot, over renewals of the claim.

    ``usable_since`` is when the slot was first seen usable: only from then
    on can nobody else start ids, so only a read of the log that began later
    shows them all. Ids that are not known are outcome unknown until
    ``blind_until``.
    """

    slot: int
    first_epoch: int
    epoch: int
    unlogged: bool
    never_owned: bool
    usable_since: float = math.inf
    is_loaded: bool = False
    unknown_until: float = -math.inf
    unlogged_until: float = -math.inf
    pending_asks: list[DedupeAsk] = dataclasses.field(default_factory=list)
    unlogged_ids: set[bytes] = dataclasses.field(default_factory=set)

    def includes_epoch(self, epoch: int) -> bool:
        """Say if a copy sent with this epoch was meant for this tenure."""
        return self.first_epoch <= epoch <= self.epoch

    def mark_usable(self, now: float) -> None:
        """Note that the lease began; no earlier owner runs any more."""
        self.usable_since = now
        if self.unlogged:
            self.unlogged_until = now + ID_RETENTION_S
            self.unknown_until = self.unlogged_until

    def finish_loading(self, gap_until: float) -> list[DedupeAsk]:
        """End the wait for the log; return the asks that were held back."""
        self.is_loaded = True
        self.unknown_until = max(self.unknown_until, gap_until)
        held_back = self.pending_asks
        self.pending_asks = []
        return held_back

    def take_expired(self, now: float) -> list[DedupeAsk]:
        """Take out the asks that were held back past their deadline."""
        late = [ask for ask in self.pending_asks if ask.call.deadline <= now]
        for ask in late:
            self.pending_asks.remove(ask)
        return late

    def needs_unlogged_flag(self, now: float) -> bool:
        """Say if ids that the log does not show may have started."""
        not_yet_used = math.isinf(self.usable_since)
        inherited = not_yet_used or now < self.unlogged_until
        return bool(self.unlogged_ids) or (self.unlogged and inherited)
