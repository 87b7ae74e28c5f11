"""The zones to whose targets nothing may be sent.

Operators write one record for each evacuated zone and remove it later. Nodes
learn of records from reads of the store and from other nodes, in any order. A
store that was restored from an older copy may lack a record that is in force,
so only a later state of the same era, or a removal, ends an evacuation.
"""

import dataclasses
from collections.abc import Callable, Iterable

from ebonycleat.internal.connection.mesh_messages import ZoneStates
from ebonycleat.internal.connection.platform_interfaces import (
    BEFORE_FIRST_READ,
    StorePosition,
)

MAX_ENDED = 64
"""How many ended evacuations are remembered. They keep older knowledge of other
nodes from bringing an evacuation back."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneState:
    """Whether a zone was evacuated as of a position in the store's log."""

    is_evacuated: bool
    position: StorePosition


@dataclasses.dataclass(frozen=True, slots=True)
class ZonesChange:
    """Zones whose evacuation has begun or ended, and as of which position."""

    begun: frozenset[str]
    ended: frozenset[str]
    position: StorePosition


class EvacuatedZones:
    """The evacuated zones as of a position in the store's log.

    ``zones`` has those that are evacuated now. ``position`` is how far the log
    is known: in its era, a zone that is not in ``states`` was not evacuated
    then. Evacuations of an earlier era stay until a record of the zone is
    seen in a later one. ``listeners`` are called with each change.
    """

    def __init__(self) -> None:
        """Start without knowledge: no zone counts as evacuated."""
        self.zones: frozenset[str] = frozenset()
        self.position = BEFORE_FIRST_READ
        self.states: dict[str, ZoneState] = {}
        self.listeners: list[Callable[[ZonesChange], None]] = []

    def apply_records(
        self,
        records: Iterable[tuple[str, bool]],
        position: StorePosition,
        *,
        is_complete: bool,
    ) -> None:
        """Apply the records of a read, in their order.

        Each is a zone and whether it is evacuated. With ``is_complete`` there
        are no records besides these; otherwise they follow the last read. A
        read that ends before the known position is ignored.
        """
        if position < self.position:
            return
        listed = dict(records)
        if is_complete:
            self.end_absent(listed, position)
        for zone, is_evacuated in listed.items():
            # Not replaced but moved to the end, as the latest state.
            self.states.pop(zone, None)
            self.states[zone] = ZoneState(is_evacuated, position)
        self.position = position
        self.update_zones()

    def merge(self, position: StorePosition, states: ZoneStates) -> None:
        """Take over what another node knows, as far as it is later.

        ``position`` is how far that node knows the log.
        """
        if position > self.position:
            evacuated = {
                zone for zone, is_evacuated, *_ in states if is_evacuated
            }
            self.end_absent(evacuated, position)
        for zone, is_evacuated, era, offset in states:
            self.merge_state(
                zone, ZoneState(is_evacuated, StorePosition(era, offset))
            )
        self.position = max(self.position, position)
        self.update_zones()

    def merge_state(self, zone: str, state: ZoneState) -> None:
        """Take over the state of one zone if it is later than the known one."""
        own = self.states.get(zone)
        era = self.position.era
        if own is not None and state.position <= own.position:
            return
        if own is None or own.position.era == era:
            # This node knows the zone as of its own position.
            if state.position.era == era and state.position <= self.position:
                return
        elif state.position.era == era and state.position < self.position:
            # This node kept the zone because it was absent from a restored
            # store. It was there before, so its absence shows the removal.
            state = ZoneState(is_evacuated=False, position=self.position)
        self.states.pop(zone, None)
        self.states[zone] = state

    def end_absent(
        self, listed: Iterable[str], position: StorePosition
    ) -> None:
        """End evacuations that are no longer listed as of a position.

        That of an earlier era stays: a restored store may have lost it.
        """
        for zone in self.zones.difference(listed):
            if self.states[zone].position.era == position.era:
                self.states.pop(zone)
                self.states[zone] = ZoneState(
                    is_evacuated=False, position=position
                )

    def update_zones(self) -> None:
        """Forget the oldest ended evacuations, and tell what has changed."""
        before = self.zones
        self.zones = frozenset(
            zone for zone, state in self.states.items() if state.is_evacuated
        )
        ended = [zone for zone in self.states if zone not in self.zones]
        for zone in ended[:-MAX_ENDED]:
            self.states.pop(zone)
        if self.zones != before:
            change = ZonesChange(
                self.zones - before, before - self.zones, self.position
            )
            for listener in self.listeners:
                listener(change)

    def encode_states(self) -> ZoneStates:
        """Return all states for a message to another node."""
        return tuple(
            (
                zone,
                state.is_evacuated,
                state.position.era,
                state.position.offset,
            )
            for zone, state in self.states.items()
        )
