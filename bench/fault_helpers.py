"""Helpers from which the faults of schedules are composed."""

import functools
import types
from collections.abc import Callable, Iterable, Mapping

from bench.fleet import Fleet
from bench.fleet_node import FleetNode

EndFault = Callable[[], object]
# Receives the fleet, a number that selects what the fault affects, and the
# duration. Returns the function that ends the fault.
BeginFault = Callable[[Fleet, int, float], EndFault]


def name_faults(*begin_faults: BeginFault) -> Mapping[str, BeginFault]:
    """Map the functions that begin faults by their names."""
    return types.MappingProxyType({
        begin_fault.__name__: begin_fault for begin_fault in begin_faults
    })


def end_without_action() -> None:
    """Do nothing, for faults that end without an action."""


def end_all(ends: Iterable[EndFault]) -> None:
    """Call several functions that end faults."""
    for end in ends:
        end()


def node_at(fleet: Fleet, selector: int) -> FleetNode:
    """Select a node by a number, modulo the number of nodes."""
    nodes = list(fleet.nodes.values())
    return nodes[selector % len(nodes)]


def names_in(fleet: Fleet, zone: str) -> frozenset[str]:
    """Return the names of the nodes in a zone."""
    zone_of = fleet.shape.zone_of
    return frozenset(name for name in zone_of if zone_of[name] == zone)


def cut_from_log(fleet: Fleet, names: frozenset[str]) -> EndFault:
    """Cut nodes off from the log; return what reconnects them."""
    fleet.cut_from_log.update(names)
    return functools.partial(fleet.cut_from_log.difference_update, names)


def zone_at(fleet: Fleet, selector: int) -> str:
    """Select a zone by a number, modulo the number of zones."""
    return fleet.shape.zones[selector % len(fleet.shape.zones)]
