"""Slots stay in use during the failures that ownership must tolerate.

Guards against ownership rules that are safe only because no node can use a
slot.
"""

import random

import pytest

from bench.fleet import Fleet
from bench.fleet_shape import FleetShape
from ebonycleat.internal.process.ownership import (
    BUDGET_KIND,
    DEDUPE_KIND,
    SlotId,
)

ZONE_A = ('a1', 'a2', 'a3', 'a4')
ZONE_B = ('b1', 'b2', 'b3', 'b4')
SLOT = SlotId(BUDGET_KIND, 'a', 0)


@pytest.fixture
def fleet():
    zone_of = {name: name[0] for name in ZONE_A + ZONE_B}
    budgets_by_zone = {zone: {'ferry': (10, 5)} for zone in 'ab'}
    new_fleet = Fleet(
        FleetShape(zone_of, slots_per_scope=1),
        budgets_by_zone,
        random.Random(1),
        lambda *link: 0.001,
    )
    new_fleet.start()
    new_fleet.clock.run_until(2)
    return new_fleet


def users_since(fleet, since):
    return {
        use.node
        for use in fleet.history.uses
        if use.slot == SLOT and use.at >= since
    }


def sole_user(fleet, slot):
    names = {use.node for use in fleet.history.uses if use.slot == slot}
    assert len(names) == 1
    return names.pop()


def run_for(fleet, seconds):
    fleet.clock.run_until(fleet.clock.now + seconds)


def uses_per_second(fleet, since):
    uses = [use for use in fleet.history.uses if use.at >= since]
    return len([use for use in uses if use.slot == SLOT]) / (
        fleet.clock.now - since
    )


def test_a_log_outage_stops_no_owner(fleet):
    fleet.log.conditions.down = True
    run_for(fleet, 60)
    assert uses_per_second(fleet, 2) == pytest.approx(20, abs=1)


def test_a_zone_that_is_cut_off_keeps_its_owners(fleet):
    fleet.network.cuts.append(frozenset(ZONE_A))
    fleet.cut_from_log.update(ZONE_A)
    run_for(fleet, 60)
    assert uses_per_second(fleet, 2) == pytest.approx(20, abs=1)


def test_an_owner_cut_off_from_log_and_witnesses_stops(fleet):
    owner = sole_user(fleet, SLOT)
    fleet.network.cuts.append(frozenset((owner,)))
    fleet.cut_from_log.add(owner)
    run_for(fleet, 10)
    assert owner not in users_since(fleet, 4)


def test_a_lost_owner_is_replaced_within_four_seconds(fleet):
    owner = sole_user(fleet, SLOT)
    fleet.nodes[owner].crash()
    run_for(fleet, 4)
    assert users_since(fleet, fleet.clock.now - 0.1)


def test_a_planned_stop_hands_over_within_a_second(fleet):
    owner = sole_user(fleet, SLOT)
    fleet.nodes[owner].stop()
    run_for(fleet, 1)
    assert users_since(fleet, fleet.clock.now - 0.1) not in (set(), {owner})


def test_restarted_witnesses_are_renewed_before_a_log_outage(fleet):
    owner = sole_user(fleet, SLOT)
    for name in set(ZONE_A) - {owner}:
        fleet.nodes[name].crash()
        fleet.nodes[name].start()
    run_for(fleet, 6)
    fleet.log.conditions.down = True
    run_for(fleet, 20)
    assert users_since(fleet, fleet.clock.now - 0.1) == {owner}


def test_a_false_suspicion_does_not_replace_a_healthy_owner(fleet):
    owner = sole_user(fleet, SLOT)
    for node in fleet.nodes.values():
        node.suspects.add(owner)
    run_for(fleet, 10)
    assert users_since(fleet, 1) == {owner}


def test_a_slot_whose_majority_is_gone_waits_for_a_fence(fleet):
    owner = sole_user(fleet, SLOT)
    state = fleet.nodes[owner].engine.fold.state_of(SLOT)
    survivor = min(set(ZONE_A) - {owner, *state.witnesses[:2]})
    for name in set(ZONE_A) - {survivor}:
        fleet.nodes[name].crash()
    run_for(fleet, 15)
    assert users_since(fleet, fleet.clock.now - 5) == set()
    node = fleet.nodes[survivor]
    node.perform(node.engine.compose_fence(owner, 'fence-1'))
    run_for(fleet, 8)
    assert users_since(fleet, fleet.clock.now - 0.1) == {survivor}


def test_an_unlogged_flag_reaches_the_next_owner(fleet):
    slot = SlotId(DEDUPE_KIND, 'payment', 0)
    owner = sole_user(fleet, slot)
    node = fleet.nodes[owner]
    fleet.log.conditions.down = True
    node.perform(
        node.engine.set_unlogged('payment', is_unlogged=True, now=node.now()),
    )
    run_for(fleet, 1)
    assert node.engine.is_unlogged_acknowledged(slot, node.now())
    node.crash()
    fleet.log.conditions.down = False
    run_for(fleet, 5)
    assert fleet.nodes['a1'].engine.fold.state_of(slot).unlogged
    assert fleet.nodes['a1'].engine.owner_of(slot) != owner
