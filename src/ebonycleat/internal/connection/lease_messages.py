"""Peer messages between owners, witnesses and claimants of slots.

One message per pair of nodes carries all slots they share, because a node
may own many slots and heartbeats repeat several times a second.
"""

import dataclasses
from typing import NamedTuple, TypeAlias

from ebonycleat.internal.process.ownership import SlotId


class HeldSlot(NamedTuple):
    """A slot that the sender owns; ``unlogged`` is explained in 6.4."""

    slot: SlotId
    epoch: int
    unlogged: bool


class RequestedSlot(NamedTuple):
    """A slot whose epoch the sender wants to supersede."""

    slot: SlotId
    epoch: int


class SupportedSlot(NamedTuple):
    """The witness will never again acknowledge this epoch.

    ``unlogged`` is true when the owner said so, or when the witness cannot
    know what the owner said.
    """

    slot: SlotId
    epoch: int
    unlogged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """An owner asks a witness to vouch for its slots.

    ``list_sequence`` names the heartbeat that carried the whole list; when
    it is not this one, ``held`` is empty and the witness repeats that list.
    """

    incarnation: int
    sequence: int
    list_sequence: int
    held: tuple[HeldSlot, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The witness vouches for all slots of the heartbeat but the refused.

    It repeats the owner's incarnation, because sequences begin anew when
    the owner restarts.
    """

    incarnation: int
    sequence: int
    refused: tuple[SlotId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SupportAsk:
    """A claimant asks a witness to drop the owners of these epochs."""

    asked: tuple[RequestedSlot, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SupportGiven:
    """The witness supports claims against these epochs."""

    supported: tuple[SupportedSlot, ...]


LeaseMessage: TypeAlias = Heartbeat | HeartbeatAck | SupportAsk | SupportGiven
LEASE_MESSAGES = (Heartbeat, HeartbeatAck, SupportAsk, SupportGiven)
