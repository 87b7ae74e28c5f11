"""Zones that operators have evacuated, as the nodes know them."""

import asyncio
import random

import pytest

from ebonycleat import Answer, Reason
from ebonycleat.internal.connection.platform_interfaces import StorePosition
from ebonycleat.internal.process.placement.evacuated_zones import (
    EvacuatedZones,
)
from ebonycleat.internal.process.retry_budget import (
    RetryBudget,
    RetryBudgetLimits,
)
from ebonycleat.internal.process.router import create_router
from ebonycleat.internal.process.target_stats_table import Member
from tests.cover import test_mesh_run as mesh_run
from tests.store_zone import LEADER, PROPAGATION_S, STARTING_S, Zone
from tests.virtual_time import run_in_virtual_time

ZONE_A = frozenset('a')
NONE = frozenset()


STEPS = {
    'evacuate': lambda zone: zone.store.write_evacuation(b'{}'),
    'end': lambda zone: zone.store.write_evacuation(b''),
    'restore without the record': lambda zone: zone.store.restore(versions=1),
    'restart': lambda zone: zone.restart(LEADER),
    'cut off': lambda zone: zone.cut_off_leader(),
    'store down': lambda zone: setattr(zone.store, 'is_down', True),
    'store up': lambda zone: setattr(zone.store, 'is_down', False),
}


@pytest.mark.parametrize(
    ('steps', 'expected'),
    [
        (['evacuate', 'restart', 'cut off'], ZONE_A),
        (['evacuate', 'store down', 'restart'], ZONE_A),
        (['evacuate', 'restore without the record', 'restart'], ZONE_A),
        (['evacuate', 'cut off', 'end', 'restart'], NONE),
        (['evacuate', 'store down', 'end', 'cut off', 'store up'], NONE),
        (['evacuate', 'restore without the record', 'end', 'restart'], NONE),
    ],
)
def test_all_nodes_know_in_time_which_zones_are_evacuated(steps, expected):
    """Guards against failures that hide a record or lift an evacuation.

    Only the reader reads the store; a node that starts then asks others.
    """

    async def scenario():
        zone = Zone()
        await zone.run(STARTING_S, keeps_running=True)
        for step in steps:
            STEPS[step](zone)
            await asyncio.sleep(PROPAGATION_S)
        return {
            follower.holder.evacuated.zones
            for follower in zone.followers.values()
        }

    assert run_in_virtual_time(scenario()) == {expected}


def create_zones(*records, era=1, offset=10):
    zones = EvacuatedZones()
    zones.apply_records(records, StorePosition(era, offset), is_complete=True)
    return zones


@pytest.mark.parametrize(
    ('other', 'expected'),
    [
        (create_zones(offset=20), NONE),
        (create_zones(offset=5), ZONE_A),
        (create_zones(era=2, offset=5), ZONE_A),
        (create_zones(('a', False), era=2, offset=5), NONE),
        (EvacuatedZones(), ZONE_A),
    ],
)
def test_of_two_nodes_the_later_knowledge_counts(other, expected):
    """Guards against older knowledge that replaces newer one.

    The store may have been restored without the record of zone a, and earlier
    versions of the program know of no zones.
    """
    own = create_zones(('a', True))
    for first, second in ((own, other), (other, own)):
        merged = EvacuatedZones()
        for zones in (first, second, first):
            merged.merge(zones.position, zones.encode_states())
        assert merged.zones == expected


def test_a_delayed_read_changes_nothing():
    """Guards against an answer of the store that was long under way."""
    zones = create_zones(('a', True), era=2, offset=20)
    zones.apply_records([], StorePosition(2, 19), is_complete=True)
    zones.apply_records([('a', False)], StorePosition(1, 90), is_complete=False)
    assert zones.zones == ZONE_A


def test_a_call_goes_to_no_evacuated_zone_and_uses_no_further_retry(
    monkeypatch,
):
    """Guards against evacuations that use up retries.

    The router knows of zone a. The first target may have run the request. The
    budget pays for one retry, and the gate that gets it refuses it.
    """
    members = [Member(f'{zone}1', zone) for zone in 'abcd']
    router = create_router(
        'a', 'a1', random.Random(1), create_zones(('a', True))
    )
    monkeypatch.setattr(mesh_run, 'MEMBERS', members)
    monkeypatch.setattr(mesh_run, 'create_router', lambda *_: router)
    results, gates = mesh_run.run_request(
        mesh_run.make_unknown(),
        mesh_run.make_not_run(Reason.EVACUATED),
        Answer('call', 200),
        budget=RetryBudget(RetryBudgetLimits(0, 1, 1, 1)),
    )
    assert results == [Answer('call', 200)]
    assert sorted(gates.offered) == ['b1', 'c1', 'd1']
    members += [Member(f'b{number}', 'b') for number in range(2, 9)]
    _, gates = mesh_run.run_request(mesh_run.make_not_run(Reason.EVACUATED))
    assert [node[0] for node in gates.offered].count('b') == 1
    del members[1:]
    results, gates = mesh_run.run_request()
    assert (results[0].reason, gates.offered) == (Reason.EVACUATED, [])
