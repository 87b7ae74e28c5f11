"""Faults of a simulated fleet.

Each function begins a fault and returns the function that ends it. Seeds
depend on the names of these functions, since plans draw from the sorted names.
"""

import functools

from bench.fake_log import LogConditions
from bench.fake_network import LinkConditions
from bench.fault_helpers import (
    EndFault,
    cut_from_log,
    end_all,
    end_without_action,
    name_faults,
    names_in,
    node_at,
    zone_at,
)
from bench.fleet import Fleet
from bench.fleet_node import FleetNode
from bench.fleet_shape import ZoneShares

CONFIGURATION_SPREAD_S = 0.5


def pause_node(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Pause a VM; its node continues later with its whole memory."""
    node_at(fleet, selector).paused_until = fleet.clock.now + duration_s
    return end_without_action


def crash_node(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Crash a node; it restarts with the same name and without memory."""
    node = node_at(fleet, selector)
    node.crash()
    return functools.partial(_restart, node)


def crash_zone(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Crash all nodes of a zone at once."""
    names = list(fleet.nodes)
    zone = names_in(fleet, zone_at(fleet, selector))
    return functools.partial(
        end_all,
        [
            crash_node(fleet, names.index(name), duration_s)
            for name in sorted(zone)
        ],
    )


def cut_node(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Cut one node off from its peers."""
    return _cut_network(fleet, frozenset((node_at(fleet, selector).name,)))


def cut_zone(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Cut one zone off from the others."""
    return _cut_network(fleet, names_in(fleet, zone_at(fleet, selector)))


def cut_zone_and_log(
    fleet: Fleet, selector: int, duration_s: float
) -> EndFault:
    """Cut one zone off from the others and from the log."""
    names = names_in(fleet, zone_at(fleet, selector))
    ends = (_cut_network(fleet, names), cut_from_log(fleet, names))
    return functools.partial(end_all, ends)


def cut_node_from_log(
    fleet: Fleet, selector: int, duration_s: float
) -> EndFault:
    """Cut one node off from the log."""
    return cut_from_log(fleet, frozenset((node_at(fleet, selector).name,)))


def take_log_down(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Make the log unavailable to all nodes."""
    return _change_log(fleet, LogConditions(down=True))


def lose_append_answers(
    fleet: Fleet, selector: int, duration_s: float
) -> EndFault:
    """Lose the answers of appends, which still take effect, some of them late."""
    late_s = fleet.rng.choice((0, 0.5, 3))
    return _change_log(fleet, LogConditions(False, 0.6, late_s))


def storm(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Lose, duplicate, delay and reorder peer messages."""
    delay_s = fleet.rng.choice((0.005, 0.05, 0.6, 2))
    fleet.network.conditions = LinkConditions(0.2, 0.3, delay_s)
    return functools.partial(
        setattr,
        fleet.network,
        'conditions',
        LinkConditions(),
    )


def suspect_node(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Make all nodes suspect a healthy node."""
    name = node_at(fleet, selector).name
    for node in fleet.nodes.values():
        node.suspects.add(name)
    return functools.partial(_clear_suspicion, fleet, name)


def change_rates(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Raise or lower all rates and bursts; restore them at the end."""
    former_shares = fleet.zone_shares
    factor = fleet.rng.choice((0.25, 0.5, 2, 4))
    fleet.change_zone_shares(
        _scale(former_shares, factor), CONFIGURATION_SPREAD_S
    )
    return functools.partial(
        fleet.change_zone_shares,
        former_shares,
        CONFIGURATION_SPREAD_S,
    )


def stop_node(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Stop a node in the planned way; it restarts at the end."""
    node = node_at(fleet, selector)
    node.run(node.incarnation, node.stop)
    return functools.partial(end_all, (node.crash, node.start))


FLEET_FAULTS = name_faults(
    pause_node,
    crash_node,
    crash_zone,
    cut_node,
    cut_zone,
    cut_zone_and_log,
    cut_node_from_log,
    take_log_down,
    lose_append_answers,
    storm,
    suspect_node,
    change_rates,
    stop_node,
)


def _cut_network(fleet: Fleet, names: frozenset[str]) -> EndFault:
    fleet.network.cuts.append(names)
    return functools.partial(fleet.network.cuts.remove, names)


def _restart(node: FleetNode) -> None:
    if not node.alive:
        node.start()


def _clear_suspicion(fleet: Fleet, name: str) -> None:
    for node in fleet.nodes.values():
        node.suspects.discard(name)


def _change_log(fleet: Fleet, conditions: LogConditions) -> EndFault:
    fleet.log.conditions = conditions
    return functools.partial(setattr, fleet.log, 'conditions', LogConditions())


def _scale(shares: ZoneShares, factor: float) -> ZoneShares:
    return {
        zone: {
            team: (rate_per_s * factor, max(int(burst * factor), 1))
            for team, (rate_per_s, burst) in table.items()
        }
        for zone, table in shares.items()
    }
