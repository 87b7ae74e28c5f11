"""Late and duplicate messages of the local target, and its restarts."""

import itertools

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.connection.platform_interfaces import (
    TargetDeregistration,
    TargetHeartbeat,
    TargetState,
)
from ebonycleat.internal.process.departed_instances import (
    MAX_DEPARTURES,
    DepartedInstances,
)
from ebonycleat.internal.process.local_target import LocalTarget
from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    decode_member,
    encode_member,
)

SERVICE = 'maps'


def heartbeat(sequence, instance='i-1', started_ms=100, state='ready', slots=4):
    return TargetHeartbeat(
        instance,
        SERVICE,
        slots,
        TargetState(state),
        started_ms,
        sequence,
        0,
    )


def target_after(*messages):
    target = LocalTarget(SERVICE)
    for message in messages:
        target.handle_message(message, now_ms=1000)
    return target


def test_a_target_is_usable_after_its_first_heartbeat():
    """Guards against a node that never admits work."""
    assert target_after(heartbeat(1)).is_usable


def test_a_late_ready_heartbeat_does_not_undo_draining():
    """Guards against new calls to a target that leaves."""
    target = target_after(
        heartbeat(1), heartbeat(3, state='draining'), heartbeat(2)
    )
    assert not target.is_usable


def test_a_later_ready_heartbeat_of_the_same_start_does_not_undo_draining():
    """Guards against a drain that a later heartbeat ends."""
    assert not target_after(
        heartbeat(1, state='draining'), heartbeat(2)
    ).is_usable


def test_a_heartbeat_of_an_earlier_incarnation_changes_nothing():
    """Guards against a heartbeat that a network partition delayed."""
    target = target_after(heartbeat(1, 'i-2', 200), heartbeat(9, 'i-1', 100))
    assert target.instance == 'i-2'


def test_the_same_instance_may_start_again_with_a_lower_sequence():
    """Guards against ignoring the heartbeats of a restarted target."""
    target = LocalTarget(SERVICE)
    target.handle_message(heartbeat(9), now_ms=150)
    target.handle_message(TargetDeregistration('i-1'), now_ms=200)
    target.handle_message(heartbeat(1, started_ms=300), now_ms=350)
    assert target.is_usable


def test_a_heartbeat_of_another_service_is_ignored():
    """Guards against calls to another service that now has the address."""
    target = target_after(
        TargetHeartbeat('i-1', 'billing', 4, TargetState.READY, 100, 1, 0),
    )
    assert not target.is_usable


@pytest.mark.parametrize('started_ms', [0, 100])
def test_a_deregistration_ends_the_use_of_the_instance(started_ms):
    """Guards against calls to targets that leave without draining first."""
    target = target_after(
        heartbeat(1), TargetDeregistration('i-1', started_ms), heartbeat(2)
    )
    assert not target.is_usable


def test_a_deregistration_of_an_earlier_start_is_ignored():
    """Guards against a late deregistration that disables a restarted target."""
    assert target_after(
        heartbeat(1, started_ms=300), TargetDeregistration('i-1', 100)
    ).is_usable


def test_a_restarted_node_restores_that_its_target_was_leaving():
    """Guards against losing an acknowledged drain when the node restarts."""
    target = LocalTarget(SERVICE)
    target.restore(
        MemberRecord('a', 'z', SERVICE, 'i-1', 100, 4, False), now_ms=500
    )
    target.handle_message(heartbeat(7), now_ms=500)
    assert not target.is_usable
    target.handle_message(heartbeat(1, 'i-2', 400), now_ms=500)
    assert target.is_usable


def test_a_deregistration_before_the_first_heartbeat_is_remembered():
    """Guards against using a target again after it has left.

    In a rolling restart a node started just before its target left, and took
    a heartbeat received after the deregistration for a new start.
    """
    target = LocalTarget(SERVICE)
    target.handle_message(TargetDeregistration('i-1'), now_ms=5000)
    target.handle_message(heartbeat(8, started_ms=100), now_ms=5100)
    assert not target.is_usable
    target.handle_message(heartbeat(1, started_ms=5050), now_ms=6000)
    assert target.is_usable


FAR_FUTURE_MS = 10**13


@pytest.mark.parametrize(
    'odd',
    [
        heartbeat(1, 'i-odd', FAR_FUTURE_MS),
        TargetDeregistration('i-odd', FAR_FUTURE_MS),
        TargetDeregistration('i-1', FAR_FUTURE_MS),
    ],
)
@pytest.mark.parametrize('comes_first', [True, False])
def test_a_start_in_the_future_keeps_no_target_out(odd, comes_first):
    messages = [odd, heartbeat(1)] if comes_first else [heartbeat(1), odd]
    target = target_after(*messages, heartbeat(2))
    assert (target.instance, target.is_usable) == ('i-1', True)


def test_a_stored_start_in_the_future_keeps_no_target_out():
    target = LocalTarget(SERVICE)
    record = MemberRecord('a', 'z', SERVICE, 'i-9', FAR_FUTURE_MS, 4, False)
    target.restore(record, now_ms=500)
    target.handle_message(heartbeat(1), now_ms=500)
    assert target.is_usable


def record_of(target):
    """The member record that a node writes about its target."""
    record = MemberRecord(
        'a:1',
        'z',
        SERVICE,
        target.instance,
        target.incarnation.started_ms if target.incarnation else 0,
        4,
        target.is_usable,
        departures=target.departures.as_pairs(),
    )
    return decode_member(encode_member(record))


@pytest.mark.parametrize('started_ms', [0, 300])
@pytest.mark.parametrize('earlier', ['i-1', 'i-2'])
@pytest.mark.parametrize('earlier_state', ['ready', 'draining'])
def test_a_late_first_heartbeat_does_not_bring_back_a_departed_target(
    started_ms, earlier, earlier_state
):
    """Guards against calls to a target whose departure was acknowledged.

    Its node knew only the one before it, under another id or the same.
    """
    target = target_after(
        heartbeat(1, earlier, 100, earlier_state),
        TargetDeregistration('i-2', started_ms),
        heartbeat(1, 'i-2', 300),
    )
    assert not target.is_usable
    assert target.instance == 'i-2'


def test_draining_counts_also_if_a_later_heartbeat_came_first():
    """Guards against an acknowledged drain that is dropped as outdated."""
    assert not target_after(
        heartbeat(2), heartbeat(1, state='draining')
    ).is_usable


def test_the_departure_of_another_instance_leaves_a_target_in_use():
    """Guards against a late departure that disables the successor."""
    target = target_after(
        heartbeat(1, 'i-2', 300), TargetDeregistration('i-1', 100)
    )
    assert target.is_usable
    assert not target.departures.as_pairs()


@pytest.mark.parametrize('started_ms', [0, 300])
@pytest.mark.parametrize('next_instance', ['i-2', 'i-3'])
def test_a_target_that_starts_after_a_departure_is_used(
    started_ms, next_instance
):
    """Guards against a departure that outlives its start."""
    target = target_after(
        heartbeat(1, 'i-1', 100), TargetDeregistration('i-2', started_ms)
    )
    target.handle_message(heartbeat(1, next_instance, 1200), now_ms=1300)
    assert target.is_usable
    assert not target.departures.as_pairs()


@pytest.mark.parametrize('is_first', [True, False])
def test_a_departure_shows_that_earlier_targets_have_ended(is_first):
    """Guards against a late heartbeat of a target that had crashed before."""
    messages = [heartbeat(1, 'i-1', 100), TargetDeregistration('i-2', 300)]
    target = target_after(*messages[:: 1 if is_first else -1])
    assert not target.is_usable
    assert target.instance == 'i-2'


@pytest.mark.parametrize(
    'departure', [TargetDeregistration('i-2', 300), TargetDeregistration('i-2')]
)
def test_a_restarted_node_restores_departures_it_never_had_a_heartbeat_of(
    departure,
):
    """Guards against a process that uses what its predecessor saw leave."""
    before = target_after(heartbeat(1, 'i-1', 100), departure)
    target = LocalTarget(SERVICE)
    target.restore(record_of(before), now_ms=1000)
    target.handle_message(heartbeat(1, 'i-2', 300), now_ms=1000)
    assert not target.is_usable


def test_a_departure_that_is_read_after_the_late_heartbeat_counts():
    """Guards against a restarted node that reads its record too late."""
    target = target_after(heartbeat(1, 'i-2', 300))
    before = target_after(TargetDeregistration('i-2', 300))
    target.restore(record_of(before), now_ms=1000)
    assert not target.is_usable


def test_a_record_without_departures_can_be_read():
    """Guards against records of earlier versions that name no member."""
    record = MemberRecord('a:1', 'z', SERVICE, 'i-1', 100, 4, True)
    fields = msgspec.msgpack.decode(encode_member(record))
    earlier_version = msgspec.msgpack.encode(fields[:-1])
    assert decode_member(earlier_version) == record


def test_a_stored_departure_in_the_future_keeps_no_target_out():
    """Guards against an odd record that disables an instance for good."""
    target = LocalTarget(SERVICE)
    record = MemberRecord(
        'a', 'z', SERVICE, '', 0, 4, False, departures=(('i-1', FAR_FUTURE_MS),)
    )
    target.restore(record, now_ms=500)
    target.handle_message(heartbeat(1), now_ms=500)
    assert target.is_usable


def test_the_number_of_departures_is_bounded():
    """Guards against a member record that grows without end."""
    departures = DepartedInstances()
    for number in range(MAX_DEPARTURES + 5):
        departures.record(f'i-{number}', number)
    assert len(departures.as_pairs()) == MAX_DEPARTURES
    assert not departures.has_left('i-4', 4)
    assert departures.has_left('i-5', 5)


STARTS = tuple(itertools.product(('i-1', 'i-2'), (100, 200))) + (('i-3', 300),)


def play_event(target, kind, start, sequence):
    """Return the target of the node's process after an event."""
    instance, started_ms = start
    if kind == 'node restarts':
        restarted = LocalTarget(SERVICE)
        restarted.restore(record_of(target), now_ms=1000)
        return restarted
    message = {
        'deregistered': TargetDeregistration(instance, started_ms),
        'undated deregistration': TargetDeregistration(instance),
    }.get(kind) or heartbeat(sequence, instance, started_ms, kind)
    target.handle_message(message, now_ms=1000)
    return target


def departed_starts(kind, start):
    """Return the starts whose departure a message acknowledges."""
    if kind in {'ready', 'node restarts'}:
        return set()
    return {
        (instance, started_ms)
        for instance, started_ms in STARTS
        if instance == start[0]
        and (kind == 'undated deregistration' or started_ms <= start[1])
    }


@given(
    st.lists(
        st.tuples(
            st.sampled_from((
                'ready',
                'draining',
                'deregistered',
                'undated deregistration',
                'node restarts',
            )),
            st.sampled_from(STARTS),
            st.integers(1, 3),
        ),
        max_size=12,
    ),
)
def test_no_order_of_messages_brings_back_an_acknowledged_departure(events):
    """Guards against calls to targets that have left, in any order."""
    target = LocalTarget(SERVICE)
    departed = set()
    for kind, start, sequence in events:
        target = play_event(target, kind, start, sequence)
        departed.update(departed_starts(kind, start))
        known = target.incarnation
        if target.is_usable:
            assert (known.instance, known.started_ms) not in departed
