"""Nodes that vanish without a word, and nodes that leave with their target."""

import msgspec
import pytest

from ebonycleat.internal.connection.errors import StorageUnavailable
from ebonycleat.internal.process.event_log import create_event_log
from ebonycleat.internal.process.unreachable_member_sweep import (
    DEREGISTER_AFTER_S,
    CHECK_INTERVAL_S,
    UnreachableMemberSweep,
)
from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    MeshMembers,
    decode_member,
    encode_member,
)
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice
from tests.loopback_http import run_with_timeout
from tests.mesh_fakes import SERVICE, ManualClock

NODES = ('n1:1', 'n2:1', 'n3:1')


def record(address, **options):
    return MemberRecord(address, 'a', SERVICE, 'i', 1, 4, True, **options)


class FakeLinks:
    """Links to the nodes that a test lets be reached."""

    def __init__(self, reached):
        self.reached = reached

    def request_link(self, address, on_link):
        on_link(self if address in self.reached else None)


class FakeStore:
    """Keeps what is written, or fails."""

    def __init__(self, error=None):
        self.error = error
        self.written = []

    async def write(self, topic, key, found):
        if self.error:
            raise self.error
        self.written.append((key, found))


def sweep_for(seconds, reached, store):
    clock = ManualClock()
    members = MeshMembers()
    members.apply(
        1,
        [(node, encode_member(record(node))) for node in NODES],
        is_complete=True,
    )
    links = FakeLinks(set(reached))
    leader = ZoneLeaderChoice('n1:1', 'a', members, links)
    sweep = UnreachableMemberSweep(
        store,
        leader,
        links,
        create_event_log(clock),
        clock,
    )

    async def play():
        end = clock.now + seconds
        while clock.now < end:
            await sweep.deregister_unreachable()
            clock.now += CHECK_INTERVAL_S

    run_with_timeout(play())
    return store.written


def test_the_record_of_a_node_that_is_long_gone_is_dropped():
    """Guards against rates divided among nodes that no longer exist."""
    written = sweep_for(DEREGISTER_AFTER_S + 15, ['n2:1'], FakeStore())
    assert set(written) == {('n3:1', b'')}


def test_a_short_absence_drops_nothing():
    """Guards against a restart that costs a node its record."""
    assert not sweep_for(DEREGISTER_AFTER_S - 5, ['n2:1'], FakeStore())


def test_a_leader_that_reaches_nobody_drops_nobody():
    """Guards against a node that is cut off and empties its zone."""
    assert not sweep_for(DEREGISTER_AFTER_S * 3, [], FakeStore())


def test_a_store_that_is_away_ends_no_duty():
    """Guards against a sweep that ends a node."""
    store = FakeStore(StorageUnavailable('away'))
    assert not sweep_for(DEREGISTER_AFTER_S * 2, ['n2:1'], store)


@pytest.mark.parametrize(('serves', 'count'), [(True, 1), (False, 0)])
def test_a_node_that_leaves_with_its_target_keeps_no_part(serves, count):
    """Guards against the parts of nodes that were taken away."""
    members = MeshMembers()
    encoded = encode_member(record('n1:1', serves_callers=serves))
    members.apply(1, [('n1:1', encoded)], is_complete=True)
    assert members.count_serving_nodes() == count


def test_records_of_an_earlier_form_are_still_read():
    """Guards against nodes of two versions that do not know each other."""
    encoded = msgspec.msgpack.encode([1, 'n1:1', 'a', SERVICE, 'i', 1, 4, True])
    assert decode_member(encoded) == record('n1:1')
