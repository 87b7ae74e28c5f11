"""Late and doubled messages of a target, and its restarts."""

import pytest

from ebonycleat.internal.connection.platform_interfaces import (
    TargetDeregistration,
    TargetHeartbeat,
    TargetState,
)
from ebonycleat.internal.process.mesh_members import MemberRecord
from ebonycleat.internal.process.local_target import LocalTarget

SERVICE = 'maps'


def beat(sequence, instance='i-1', started_ms=100, state='ready', slots=4):
    return TargetHeartbeat(
        instance,
        SERVICE,
        slots,
        TargetState(state),
        started_ms,
        sequence,
        0,
    )


def hear(*words):
    target = LocalTarget(SERVICE)
    for word in words:
        target.handle_message(word, now_ms=1000)
    return target


def test_a_target_is_usable_after_its_first_heartbeat():
    """Guards against a node that never admits work."""
    assert hear(beat(1)).is_usable


def test_a_late_ready_heartbeat_does_not_undo_draining():
    """Guards against new work for a target that leaves."""
    target = hear(beat(1), beat(3, state='draining'), beat(2))
    assert not target.is_usable


def test_a_later_ready_heartbeat_of_the_same_start_does_not_undo_draining():
    """Guards against a drain that ends by itself."""
    assert not hear(beat(1, state='draining'), beat(2)).is_usable


def test_a_heartbeat_of_a_dead_incarnation_changes_nothing():
    """Guards against a heartbeat that was held up by a cut."""
    target = hear(beat(1, 'i-2', 200), beat(9, 'i-1', 100))
    assert target.instance == 'i-2'


def test_the_same_instance_may_start_again_with_a_lower_sequence():
    """Guards against a restarted target that is taken for its past."""
    target = hear(beat(9), TargetDeregistration('i-1'), beat(1, started_ms=300))
    assert target.is_usable


def test_a_heartbeat_of_another_service_names_no_target():
    """Guards against work for a service that took over the address."""
    target = hear(
        TargetHeartbeat('i-1', 'billing', 4, TargetState.READY, 100, 1, 0),
    )
    assert not target.is_usable


@pytest.mark.parametrize('started_ms', [0, 100])
def test_a_farewell_ends_the_use_of_the_instance(started_ms):
    """Guards against targets that leave without draining first."""
    target = hear(beat(1), TargetDeregistration('i-1', started_ms), beat(2))
    assert not target.is_usable


def test_a_farewell_of_an_earlier_start_is_ignored():
    """Guards against a late farewell that empties a fresh target."""
    assert hear(
        beat(1, started_ms=300), TargetDeregistration('i-1', 100)
    ).is_usable


def test_a_restarted_node_remembers_that_its_target_was_leaving():
    """Guards against an acknowledged drain that a restart forgets."""
    target = LocalTarget(SERVICE)
    target.restore(MemberRecord('a', 'z', SERVICE, 'i-1', 100, 4, False))
    target.handle_message(beat(7), now_ms=500)
    assert not target.is_usable
    target.handle_message(beat(1, 'i-2', 400), now_ms=500)
    assert target.is_usable


def test_a_farewell_to_a_node_that_knows_nothing_yet_is_remembered():
    """Guards against the next heartbeat of a target that has left.

    On a day with rolling restarts a node started again just before its
    target left; the heartbeat after the farewell looked like a new start.
    """
    target = LocalTarget(SERVICE)
    target.handle_message(TargetDeregistration('i-1'), now_ms=5000)
    target.handle_message(beat(8, started_ms=100), now_ms=5100)
    assert not target.is_usable
    target.handle_message(beat(1, started_ms=5050), now_ms=6000)
    assert target.is_usable
