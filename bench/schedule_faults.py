"""What can go wrong in a fleet, and how it ends."""

import functools

from bench.fake_log import LogConditions
from bench.fake_network import LinkConditions
from bench.fault_helpers import (
    EndFault,
    cut_from_log,
    end_without_action,
    name_faults,
    names_in,
    node_at,
    end_all,
    zone_at,
)
from bench.fleet import Fleet
from bench.fleet_node import FleetNode
from bench.fleet_shape import ZoneShares

CONFIGURATION_SPREAD_S = 0.5


def pause_node(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Stop a VM's processes; they wake with all they had."""
    node_at(fleet, target).paused_until = fleet.clock.now + duration_s
    return end_without_action


def crash_node(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Kill a node; it restarts under the same name without memory."""
    node = node_at(fleet, target)
    node.crash()
    return functools.partial(_start_again, node)


def crash_zone(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Kill all nodes of a zone at once."""
    names = list(fleet.nodes)
    zone = names_in(fleet, zone_at(fleet, target))
    return functools.partial(
        end_all,
        [
            crash_node(fleet, names.index(name), duration_s)
            for name in sorted(zone)
        ],
    )


def cut_node(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Cut one node off from its peers."""
    return _cut(fleet, frozenset((node_at(fleet, target).name,)))


def cut_zone(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Cut one zone off from the others."""
    return _cut(fleet, names_in(fleet, zone_at(fleet, target)))


def cut_zone_and_log(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Cut one zone off from the others and from the log."""
    names = names_in(fleet, zone_at(fleet, target))
    ends = (_cut(fleet, names), cut_from_log(fleet, names))
    return functools.partial(end_all, ends)


def cut_node_from_log(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Cut one node off from the log."""
    return cut_from_log(fleet, frozenset((node_at(fleet, target).name,)))


def take_log_down(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Take the log down for everybody."""
    return _change_log(fleet, LogConditions(down=True))


def lose_append_answers(
    fleet: Fleet, target: int, duration_s: float
) -> EndFault:
    """Lose answers to appends that take effect, some of them late."""
    late_s = fleet.rng.choice((0, 0.5, 3))
    return _change_log(fleet, LogConditions(False, 0.6, late_s))


def storm(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Lose, duplicate, delay and reorder peer messages."""
    delay_s = fleet.rng.choice((0.005, 0.05, 0.6, 2))
    fleet.network.conditions = LinkConditions(0.2, 0.3, delay_s)
    return functools.partial(
        setattr,
        fleet.network,
        'conditions',
        LinkConditions(),
    )


def suspect_node(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Let all nodes believe that a healthy node is gone."""
    name = node_at(fleet, target).name
    for node in fleet.nodes.values():
        node.suspects.add(name)
    return functools.partial(_trust_again, fleet, name)


def change_rates(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Raise or lower all rates and bursts, then change them back."""
    before = fleet.zone_shares
    factor = fleet.rng.choice((0.25, 0.5, 2, 4))
    fleet.change_zone_shares(_scaled(before, factor), CONFIGURATION_SPREAD_S)
    return functools.partial(
        fleet.change_zone_shares,
        before,
        CONFIGURATION_SPREAD_S,
    )


def stop_node(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Stop a node as planned; it starts again later."""
    node = node_at(fleet, target)
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


def _cut(fleet: Fleet, names: frozenset[str]) -> EndFault:
    fleet.network.cuts.append(names)
    return functools.partial(fleet.network.cuts.remove, names)


def _start_again(node: FleetNode) -> None:
    if not node.alive:
        node.start()


def _trust_again(fleet: Fleet, name: str) -> None:
    for node in fleet.nodes.values():
        node.suspects.discard(name)


def _change_log(fleet: Fleet, weather: LogConditions) -> EndFault:
    fleet.log.conditions = weather
    return functools.partial(setattr, fleet.log, 'conditions', LogConditions())


def _scaled(parts: ZoneShares, factor: float) -> ZoneShares:
    return {
        zone: {
            team: (rate_per_s * factor, max(int(burst * factor), 1))
            for team, (rate_per_s, burst) in table.items()
        }
        for zone, table in parts.items()
    }
