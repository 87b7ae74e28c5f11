"""Faults that hit one ownership slot from several sides.

Independent faults rarely meet at one slot within its hold time, so these
pick their victims by who owns and who witnesses it.
"""

import functools

from bench.fault_helpers import (
    EndFault,
    cut_from_log,
    end_without_action,
    name_faults,
    names_in,
    node_at,
    end_all,
)
from bench.fleet import Fleet
from bench.fleet_node import FleetNode
from bench.schedule_faults import suspect_node
from ebonycleat.internal.process.ownership import (
    SlotState,
    create_ownership_fold,
)

# Kind, seconds after the begin, and duration.
Attack = tuple[tuple[str, float, float], ...]

# The owner is healthy, but everybody claims its slots.
CLAIM_OF_ALL: Attack = (('cut_owner_from_log', 0, 5), ('suspect_owner', 0, 4))
# The owner wakes when its witnesses know of no other owner but the one that
# they supported.
LATE_WAKING: Attack = (
    ('cut_all_but_one_from_log', 0, 7),
    ('pause_owner', 0.2, 3.5),
)
# The claim is on its way when its supporters forget it.
FORGOTTEN_SUPPORT: Attack = (
    ('cut_all_but_one_from_log', 0, 7),
    ('pause_owner', 0.2, 2),
    ('lose_append_answers', 0, 5),
    ('restart_witnesses', 1.9, 1),
)
# The owner does not see its own renewal, others do.
HIDDEN_RENEWAL: Attack = (
    ('lose_append_answers', 1.4, 2),
    ('suspect_witnesses', 1.8, 1),
    ('cut_all_but_one_from_log', 1.9, 6),
    ('suspect_owner', 2.2, 5),
)
# Holders wake with grants that have expired.
LATE_SPENDING: Attack = (
    ('pause_node', 0, 1.5),
    ('pause_node', 2.5, 1.5),
    ('pause_node', 5, 1.5),
)
# Owners change while grants are alive and the network delays all.
CHANGE_IN_A_STORM: Attack = (
    ('suspect_owner', 0, 5),
    ('storm', 0.5, 4),
    ('crash_node', 1, 2),
)
ATTACKS: tuple[Attack, ...] = (
    (),
    CLAIM_OF_ALL,
    LATE_WAKING,
    FORGOTTEN_SUPPORT,
    HIDDEN_RENEWAL,
    LATE_SPENDING,
    CHANGE_IN_A_STORM,
)


def cut_owner_from_log(
    fleet: Fleet, target: int, duration_s: float
) -> EndFault:
    """Leave the owner of a slot with its witnesses only."""
    return cut_from_log(fleet, frozenset((_owner(fleet, target).name,)))


def cut_all_but_one_from_log(
    fleet: Fleet,
    target: int,
    duration_s: float,
) -> EndFault:
    """Leave the log to one claimant, so that witnesses must remember."""
    owner = _owner(fleet, target)
    names = sorted(names_in(fleet, owner.zone) - {owner.name})
    return cut_from_log(fleet, frozenset((*names[1:], owner.name)))


def pause_owner(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Pause the owner of a slot."""
    _owner(fleet, target).paused_until = fleet.clock.now + duration_s
    return end_without_action


def suspect_owner(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Let all nodes claim a slot against its healthy owner."""
    names = list(fleet.nodes)
    owner = _owner(fleet, target)
    return suspect_node(fleet, names.index(owner.name), duration_s)


def suspect_witnesses(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Let the owner of a slot renew it with other witnesses."""
    names = list(fleet.nodes)
    ends = [
        suspect_node(fleet, names.index(name), duration_s)
        for name in _slot_state(fleet, target).witnesses
    ]
    return functools.partial(end_all, ends)


def restart_witnesses(fleet: Fleet, target: int, duration_s: float) -> EndFault:
    """Let all witnesses of a slot forget what they promised."""
    for name in _slot_state(fleet, target).witnesses:
        fleet.nodes[name].crash()
        fleet.nodes[name].start()
    return end_without_action


SLOT_FAULTS = name_faults(
    cut_owner_from_log,
    cut_all_but_one_from_log,
    pause_owner,
    suspect_owner,
    suspect_witnesses,
    restart_witnesses,
)


def _slot_state(fleet: Fleet, target: int) -> SlotState:
    fold = create_ownership_fold()
    for offset, record in enumerate(fleet.log.records, 1):
        fold.apply(offset, record)
    slots = sorted(fold.slots)
    return fold.state_of(slots[target % len(slots)]) if slots else SlotState()


def _owner(fleet: Fleet, target: int) -> FleetNode:
    owner = _slot_state(fleet, target).owner
    return fleet.nodes.get(owner, node_at(fleet, target))
