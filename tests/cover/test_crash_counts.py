"""Crash counts of requests outlast the processes that counted them."""

import random

import pytest

from ebonycleat.internal.connection.platform_interfaces import (
    TargetDeregistration,
)
from ebonycleat.internal.process.crash_counts import (
    MAX_FINGERPRINTS,
    CrashCounts,
)
from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    encode_member,
)
from ebonycleat.internal.process.mesh_node import create_mesh_node
from ebonycleat.internal.process.mesh_settings import Address, MeshSettings
from ebonycleat.platform import create_platform_interfaces
from ebonycleat_tools.platform.fleet import assign_addresses
from tests.mesh_environment import MESH_LIMITS
from tests.mesh_fakes import SERVICE, ManualClock, create_heartbeat

POISON = 7
COUNTS = ((POISON, 3), (8, 1))


def create_node():
    """Return a node that has read nothing yet."""
    addresses = assign_addresses(0)
    settings = MeshSettings(
        node='node-0',
        zone='a',
        service=SERVICE,
        callers=addresses.callers,
        peers=addresses.peers,
        ready=addresses.ready,
        control=addresses.control,
        target=Address('127.0.0.1', 1),
        store=Address('127.0.0.1', 2),
        metrics_port=addresses.metrics.port,
        mesh_limits=MESH_LIMITS,
    )
    platform = create_platform_interfaces(settings)
    return create_mesh_node(settings, platform, random.Random(1), ManualClock())


def read_members(node, offset=1, **changes):
    """Let a node read a list with its own record."""
    fields = {
        'address': node.address,
        'zone': 'a',
        'service': SERVICE,
        'instance': 'i-1',
        'instance_started_ms': 100,
        'slots': 2,
        'has_target': True,
        'suspects': COUNTS,
    }
    record = MemberRecord(**(fields | changes))
    node.fleet.members.apply(
        offset, [(node.address, encode_member(record))], is_complete=True
    )
    node.apply_members()


def suspects_to_write(node):
    return dict(node.background.record_writer.desired_record.suspects)


def test_a_restarted_node_refuses_what_crashed_its_target_before():
    """Guards against a request that crashes targets after each restart."""
    node = create_node()
    read_members(node)
    assert node.gate.crashes.must_refuse(POISON)
    assert not node.gate.crashes.must_refuse(8)
    node.update_own_record()
    assert suspects_to_write(node) == dict(COUNTS)


def test_a_restarted_node_writes_nothing_before_it_has_read_its_record():
    """Guards against a first write that erases what is still needed."""
    node = create_node()
    node.handle_target_message(create_heartbeat())
    assert node.background.record_writer.desired_record is None
    read_members(node)
    assert suspects_to_write(node) == dict(COUNTS)


def test_a_departure_is_not_erased_by_a_late_heartbeat_after_a_restart():
    """Guards against a target in use that has left before the restart."""
    node = create_node()
    node.handle_target_message(create_heartbeat(started_ms=100))
    read_members(node, has_target=False)
    assert not node.background.record_writer.desired_record.has_target
    assert not node.gate.target.is_usable


def test_a_departure_before_the_first_heartbeat_outlives_the_process():
    """Guards against a restarted node that uses a target that has left."""
    departures = (('i-2', 300),)
    node = create_node()
    read_members(node, departures=departures)
    node.handle_target_message(create_heartbeat(started_ms=100))
    written = node.background.record_writer.desired_record
    assert written.departures == departures
    assert written.has_target
    node.handle_target_message(TargetDeregistration('i-3', 400))
    written = node.background.record_writer.desired_record
    assert (written.instance, written.instance_started_ms) == ('i-3', 400)
    assert not written.has_target


def test_counts_of_another_vm_at_the_address_are_not_taken_over():
    """Guards against suspects of a service that the node does not run."""
    node = create_node()
    read_members(node, service='stations')
    assert not node.gate.crashes.has_suspects


def test_an_outdated_list_does_not_bring_counts_back():
    """Guards against counts that a later read of an older record revives."""
    node = create_node()
    read_members(node)
    node.gate.crashes.own_counts.clear()
    read_members(node, offset=2)
    assert not node.gate.crashes.own_counts


def test_cleared_counts_are_published_once():
    """Guards against other nodes that go on counting what was cleared."""
    node = create_node()
    read_members(node)
    node.gate.crashes.record_answer(8)
    node.publish_cleared_suspects()
    assert suspects_to_write(node) == {POISON: 3}
    assert not node.gate.crashes.has_cleared


@pytest.mark.parametrize('count', [MAX_FINGERPRINTS, MAX_FINGERPRINTS + 9])
def test_no_more_counts_are_taken_over_than_a_node_publishes(count):
    """Guards against records that grow with each restart."""
    crashes = CrashCounts()
    crashes.adopt_own_counts(tuple((number, 1) for number in range(count)))
    assert len(crashes.own_count_pairs()) == MAX_FINGERPRINTS
