"""Peer messages that keep and transfer the ownership of slots.

The owner of an ownership slot holds a lease. The witnesses, the nodes that its
claim to the slot names, renew the lease by acknowledging its heartbeats. A node
that claims the slot asks the witnesses to support its claim instead. A node may
own many slots and sends several heartbeats a second, so one message between two
nodes covers all slots that they share.

The epoch of an ownership is the offset of its claim in the log.
"""

import dataclasses
from typing import NamedTuple, TypeAlias

from ebonycleat.internal.process.ownership import SlotId


class HeldSlot(NamedTuple):
    """A slot that the sender owns, with the epoch of the ownership.

    ``unlogged`` is True if calls of this epoch may have run without a record
    in the log.
    """

    slot: SlotId
    epoch: int
    unlogged: bool


class RequestedSlot(NamedTuple):
    """A slot that the sender claims, and the epoch that it wants to replace."""

    slot: SlotId
    epoch: int


class SupportedSlot(NamedTuple):
    """A slot for which a witness supports a claim.

    The witness will never again acknowledge a heartbeat with this epoch.
    ``unlogged`` is True if the owner reported it, or if the witness cannot
    know what the owner reported.
    """

    slot: SlotId
    epoch: int
    unlogged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """An owner asks a witness to renew the leases of its slots.

    ``held`` has the slots only if the list has changed. Otherwise it is
    empty, and ``list_sequence`` is the sequence number of the heartbeat whose
    list is still valid.
    """

    incarnation: int
    sequence: int
    list_sequence: int
    held: tuple[HeldSlot, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The witness renews all slots of a heartbeat except the refused ones.

    ``incarnation`` is that of the owner, because an owner starts its sequence
    numbers again after a restart.
    """

    incarnation: int
    sequence: int
    refused: tuple[SlotId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SupportAsk:
    """A claimant asks a witness to support claims that replace these epochs."""

    asked: tuple[RequestedSlot, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SupportGiven:
    """A witness supports claims that replace these epochs."""

    supported: tuple[SupportedSlot, ...]


LeaseMessage: TypeAlias = Heartbeat | HeartbeatAck | SupportAsk | SupportGiven
LEASE_MESSAGES = (Heartbeat, HeartbeatAck, SupportAsk, SupportGiven)
