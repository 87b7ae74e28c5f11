"""Small parts from which faults are made."""

import functools
import types
from collections.abc import Callable, Iterable, Mapping

from bench.fleet import Fleet
from bench.fleet_node import FleetNode

EndFault = Callable[[], object]
# Receives the fleet, a number that selects a victim, and the duration.
BeginFault = Callable[[Fleet, int, float], EndFault]


def name_faults(*begins: BeginFault) -> Mapping[str, BeginFault]:
    """Map faults by their names."""
    return types.MappingProxyType({begin.__name__: begin for begin in begins})


def end_without_action() -> None:
    """EndFault a fault that needs no end."""


def end_all(ends: Iterable[EndFault]) -> None:
    """EndFault several faults."""
    for end in ends:
        end()


def node_at(fleet: Fleet, target: int) -> FleetNode:
    """Select a node by a number."""
    nodes = list(fleet.nodes.values())
    return nodes[target % len(nodes)]


def names_in(fleet: Fleet, zone: str) -> frozenset[str]:
    """Name the nodes of a zone."""
    zone_of = fleet.shape.zone_of
    return frozenset(name for name in zone_of if zone_of[name] == zone)


def cut_from_log(fleet: Fleet, names: frozenset[str]) -> EndFault:
    """Cut nodes off from the log."""
    fleet.cut_from_log.update(names)
    return functools.partial(fleet.cut_from_log.difference_update, names)


def zone_at(fleet: Fleet, target: int) -> str:
    """Select a zone by a number."""
    return fleet.shape.zones[target % len(fleet.shape.zones)]
