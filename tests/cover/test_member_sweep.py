"""Member records of unreachable nodes and of nodes that are leaving."""

import asyncio

import msgspec
import pytest

from ebonycleat.internal.connection.errors import StorageUnavailable
from ebonycleat.internal.process.event_log import create_event_log
from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    MeshMembers,
    decode_member,
    encode_member,
)
from ebonycleat.internal.process.unreachable_member_sweep import (
    CHECK_INTERVAL_S,
    DEREGISTER_AFTER_S,
    UnreachableMemberSweep,
)
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice
from tests.loopback_http import run_with_timeout
from tests.mesh_fakes import SERVICE, ManualClock

NODES = ('n1:1', 'n2:1', 'n3:1')


def create_record(address, **options):
    return MemberRecord(address, 'a', SERVICE, 'i', 1, 4, True, **options)


class FakeLinks:
    """Opens links only to the nodes that a test makes reachable."""

    def __init__(self, reachable):
        self.reachable = reachable

    def request_link(self, address, on_link):
        on_link(self if address in self.reachable else None)


class AsynchronousLinks(FakeLinks):
    """Opens links in a later iteration of the event loop, as sockets do."""

    def request_link(self, address, on_link):
        asyncio.get_running_loop().call_soon(
            super().request_link, address, on_link
        )


class FakeStore:
    """Keeps what is written, or raises an error."""

    def __init__(self, error=None):
        self.error = error
        self.written = []

    async def write(self, topic, key, value):
        if self.error:
            raise self.error
        self.written.append((key, value))


def create_sweep(links, store, clock):
    members = MeshMembers()
    members.apply(
        1,
        [(node, encode_member(create_record(node))) for node in NODES],
        is_complete=True,
    )
    leader = ZoneLeaderChoice('n1:1', 'a', members, links)
    return UnreachableMemberSweep(
        store,
        leader,
        links,
        create_event_log(clock),
        clock,
    )


def run_sweep(seconds, reachable, store):
    clock = ManualClock()
    sweep = create_sweep(FakeLinks(set(reachable)), store, clock)

    async def run_checks():
        end = clock.now + seconds
        while clock.now < end:
            await sweep.deregister_unreachable()
            clock.now += CHECK_INTERVAL_S

    run_with_timeout(run_checks())
    return store.written


def test_the_record_of_a_node_that_stays_unreachable_is_removed():
    """Guards against dividing team rates among nodes that no longer exist."""
    written = run_sweep(DEREGISTER_AFTER_S + 15, ['n2:1'], FakeStore())
    assert set(written) == {('n3:1', b'')}


def test_a_short_absence_removes_no_record():
    """Guards against removing the record of a node that only restarts."""
    assert not run_sweep(DEREGISTER_AFTER_S - 5, ['n2:1'], FakeStore())


def test_a_leader_that_reaches_no_node_removes_no_record():
    """Guards against a partitioned leader that removes its whole zone."""
    assert not run_sweep(DEREGISTER_AFTER_S * 3, [], FakeStore())


def test_an_unavailable_store_does_not_end_the_sweep():
    """Guards against a failed write of the sweep that terminates the node."""
    store = FakeStore(StorageUnavailable('store unreachable'))
    assert not run_sweep(DEREGISTER_AFTER_S * 2, ['n2:1'], store)


def test_a_node_that_returns_after_its_removal_keeps_its_new_record():
    """Guards against removing a record because of an absence before it.

    The node registers again between two checks of the leader, and its link
    opens only after the check has begun.
    """
    clock = ManualClock()
    store = FakeStore()
    links = AsynchronousLinks({'n2:1'})
    sweep = create_sweep(links, store, clock)

    async def run_checks():
        while not store.written:
            await sweep.deregister_unreachable()
            await asyncio.sleep(0)
            clock.now += CHECK_INTERVAL_S
        links.reachable.add('n3:1')
        await sweep.deregister_unreachable()

    run_with_timeout(run_checks())
    assert store.written == [('n3:1', b'')]


def test_members_that_left_the_list_are_forgotten():
    """Guards against a leader whose memory grows with each node it ever saw."""
    clock = ManualClock()
    sweep = create_sweep(FakeLinks({'n2:1'}), FakeStore(), clock)
    sweep.unreached_since['n9:1'] = clock.now
    run_with_timeout(sweep.deregister_unreachable())
    assert set(sweep.unreached_since) == {'n3:1'}


@pytest.mark.parametrize(('serves', 'count'), [(True, 1), (False, 0)])
def test_a_node_that_leaves_with_its_target_is_not_counted_as_serving(
    serves, count
):
    """Guards against rate shares of nodes that no longer serve callers."""
    members = MeshMembers()
    encoded = encode_member(create_record('n1:1', serves_callers=serves))
    members.apply(1, [('n1:1', encoded)], is_complete=True)
    assert members.count_serving_nodes() == count


def test_records_of_an_earlier_format_are_still_read():
    """Guards against newer nodes that cannot read the records of older ones."""
    encoded = msgspec.msgpack.encode([1, 'n1:1', 'a', SERVICE, 'i', 1, 4, True])
    assert decode_member(encoded) == create_record('n1:1')
