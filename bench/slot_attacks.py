"""Combinations of faults that affect the owner and the witnesses of one slot.

Independent faults rarely affect one slot within its lease duration. These
faults therefore select nodes by their role for the slot.
"""

import functools

from bench.fault_helpers import (
    EndFault,
    cut_from_log,
    end_all,
    end_without_action,
    name_faults,
    names_in,
    node_at,
)
from bench.fleet import Fleet
from bench.fleet_node import FleetNode
from bench.schedule_faults import suspect_node
from ebonycleat.internal.process.ownership import (
    SlotState,
    create_ownership_fold,
)

# Steps of an attack: the kind of fault, its start in seconds after the start of
# the attack, and its duration in seconds.
Attack = tuple[tuple[str, float, float], ...]

# The owner is healthy, but all nodes claim its slots.
CLAIMS_BY_ALL: Attack = (('cut_owner_from_log', 0, 5), ('suspect_owner', 0, 4))
# The paused owner resumes when its witnesses know no other owner than the
# claimant that they supported.
LATE_OWNER_RESUME: Attack = (
    ('cut_all_but_one_from_log', 0, 7),
    ('pause_owner', 0.2, 3.5),
)
# The witnesses that support a claim restart, and forget it, while the append of
# the claim is in transit.
RESTARTED_WITNESSES: Attack = (
    ('cut_all_but_one_from_log', 0, 7),
    ('pause_owner', 0.2, 2),
    ('lose_append_answers', 0, 5),
    ('restart_witnesses', 1.9, 1),
)
# The owner does not read its own renewal from the log, but other nodes do.
UNSEEN_RENEWAL: Attack = (
    ('lose_append_answers', 1.4, 2),
    ('suspect_witnesses', 1.8, 1),
    ('cut_all_but_one_from_log', 1.9, 6),
    ('suspect_owner', 2.2, 5),
)
# Paused holders resume with grants that have expired.
EXPIRED_GRANTS: Attack = (
    ('pause_node', 0, 1.5),
    ('pause_node', 2.5, 1.5),
    ('pause_node', 5, 1.5),
)
# Owners change while grants are valid and all messages are delayed.
OWNER_CHANGE_WITH_DELAYS: Attack = (
    ('suspect_owner', 0, 5),
    ('storm', 0.5, 4),
    ('crash_node', 1, 2),
)
ATTACKS: tuple[Attack, ...] = (
    (),
    CLAIMS_BY_ALL,
    LATE_OWNER_RESUME,
    RESTARTED_WITNESSES,
    UNSEEN_RENEWAL,
    EXPIRED_GRANTS,
    OWNER_CHANGE_WITH_DELAYS,
)


def cut_owner_from_log(
    fleet: Fleet, selector: int, duration_s: float
) -> EndFault:
    """Cut the owner of a slot off from the log, but not from its witnesses."""
    return cut_from_log(fleet, frozenset((_owner(fleet, selector).name,)))


def cut_all_but_one_from_log(
    fleet: Fleet,
    selector: int,
    duration_s: float,
) -> EndFault:
    """Let only one other node of the owner's zone reach the log.

    The witnesses must then remember their promises without the log.
    """
    owner = _owner(fleet, selector)
    names = sorted(names_in(fleet, owner.zone) - {owner.name})
    return cut_from_log(fleet, frozenset((*names[1:], owner.name)))


def pause_owner(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Pause the owner of a slot."""
    _owner(fleet, selector).paused_until = fleet.clock.now + duration_s
    return end_without_action


def suspect_owner(fleet: Fleet, selector: int, duration_s: float) -> EndFault:
    """Make all nodes suspect the healthy owner of a slot, and claim the slot."""
    names = list(fleet.nodes)
    owner = _owner(fleet, selector)
    return suspect_node(fleet, names.index(owner.name), duration_s)


def suspect_witnesses(
    fleet: Fleet, selector: int, duration_s: float
) -> EndFault:
    """Make all nodes suspect the witnesses, so that renewals use others."""
    names = list(fleet.nodes)
    ends = [
        suspect_node(fleet, names.index(name), duration_s)
        for name in _slot_state(fleet, selector).witnesses
    ]
    return functools.partial(end_all, ends)


def restart_witnesses(
    fleet: Fleet, selector: int, duration_s: float
) -> EndFault:
    """Restart all witnesses of a slot, which forget their promises."""
    for name in _slot_state(fleet, selector).witnesses:
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


def _slot_state(fleet: Fleet, selector: int) -> SlotState:
    fold = create_ownership_fold()
    for offset, record in enumerate(fleet.log.records, 1):
        fold.apply(offset, record)
    slots = sorted(fold.slots)
    return fold.state_of(slots[selector % len(slots)]) if slots else SlotState()


def _owner(fleet: Fleet, selector: int) -> FleetNode:
    owner = _slot_state(fleet, selector).owner
    return fleet.nodes.get(owner, node_at(fleet, selector))
