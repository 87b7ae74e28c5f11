"""The time during which a node owns a dedupe slot without a break.

During that time the node decides for the ids in the slot. The id of a request
consists of its team and its Idempotency-Key.
"""

import abc
import dataclasses
import math

from ebonycleat.internal.process.dedupe_memory import ID_RETENTION_S
from ebonycleat.internal.request.dedupe_tracker import DedupeAsk


class DedupeLeases(abc.ABC):
    """The leases of this node on the dedupe slots of its service."""

    @abc.abstractmethod
    def is_usable(self, slot: int, now: float) -> bool:
        """Tell whether the node holds the slot under a lease that is valid now."""

    @abc.abstractmethod
    def is_unlogged_acknowledged(self, slot: int, now: float) -> bool:
        """Tell whether a majority of witnesses acked the unlogged flag.

        This is True only when the latest heartbeat that each of them acked
        carried the flag, so that any later claim to the slot must carry it as
        well.
        """


@dataclasses.dataclass(slots=True)
class Tenure:
    """The ownership of one slot from a gain to its loss, across renewals.

    ``usable_since`` is when the slot was first seen usable. Only from then on
    can no other node start ids of the slot, so only a read of the log that
    began later shows all started ones. ``is_loaded`` says that such a read has
    ended; until then calls wait in ``pending_asks``. ``never_owned`` says that
    the slot had no owner before, as far as the log tells, so that there is nothing
    to read.

    ``unlogged`` says that a previous owner may have run ids unlogged; this
    matters until ``unlogged_until``. Before ``unknown_until`` the outcome of an
    id that is not known is unknown. ``unlogged_ids`` are those that this node
    ran unlogged and that are not in the log yet.
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
        """Tell whether a copy that was sent with this epoch is for this tenure."""
        return self.first_epoch <= epoch <= self.epoch

    def mark_usable(self, now: float) -> None:
        """Record that from now on no earlier owner can start ids of the slot."""
        self.usable_since = now
        if self.unlogged:
            self.unlogged_until = now + ID_RETENTION_S
            self.unknown_until = self.unlogged_until

    def finish_loading(self, gap_until: float) -> list[DedupeAsk]:
        """Record that the log has been read, and return the waiting asks."""
        self.is_loaded = True
        self.unknown_until = max(self.unknown_until, gap_until)
        pending_asks = self.pending_asks
        self.pending_asks = []
        return pending_asks

    def take_expired(self, now: float) -> list[DedupeAsk]:
        """Remove and return the waiting asks that are past their deadline."""
        expired = [ask for ask in self.pending_asks if ask.call.deadline <= now]
        for ask in expired:
            self.pending_asks.remove(ask)
        return expired

    def needs_unlogged_flag(self, now: float) -> bool:
        """Tell whether ids may have started without a record in the log."""
        is_not_usable_yet = math.isinf(self.usable_since)
        is_inherited_flag_valid = is_not_usable_yet or now < self.unlogged_until
        return bool(self.unlogged_ids) or (
            self.unlogged and is_inherited_flag_valid
        )
