"""A follower keeps up, never goes back, and needs few nodes that read."""

import random

import pytest

from bench.configuration_simulation import ConfigurationSimulation as World
from ebonycleat.internal.connection.log_service import LogPage, LogRecord
from ebonycleat.internal.process.configuration_follower import (
    ConfigurationFollower,
)
from ebonycleat.internal.process.configuration_pacing import (
    SNAPSHOT_INTERVAL_RECORDS,
)
from ebonycleat.internal.process.configuration_relay import (
    FAN_OUT,
    ConfigurationPage,
    SnapshotGiven,
    list_children,
    choose_readers,
)
from ebonycleat.internal.process.configuration_stream import (
    SNAPSHOT_PREFIX,
    ConfigurationStream,
)
from ebonycleat.internal.process.effects import SendToPeer
from ebonycleat.internal.version.snapshot import take_snapshot
from ebonycleat.internal.version.configuration_view import ConfigurationView
from tests.configuration_records import (
    change_set,
    codec,
    log_records,
    put_team,
)

NODES = tuple(f'n{number}' for number in range(30))


def versions_of(world):
    return {follower.view.version for follower in world.nodes.values()}


def fill(world, count):
    for number in range(count):
        rate = float(number)
        world.append(change_set(f'op{number}', put_team(rate=rate)))


def test_a_change_is_in_force_everywhere_though_only_readers_read():
    """Guards against a log that must serve every node of a zone."""
    world = World(*NODES)
    world.run(3)
    world.reads.clear()
    offset = world.append(change_set('op', put_team()))
    world.run(3)
    assert versions_of(world) == {offset}
    assert set(world.reads) == set(choose_readers(NODES))


def test_nodes_read_themselves_when_the_readers_fall_silent():
    """Guards against a zone that stops at the death of its readers."""
    world = World(*NODES)
    world.run(3)
    cut_off = choose_readers(NODES)
    world.cut_off.update(cut_off)
    offset = world.append(change_set('op', put_team()))
    world.run(3)
    late = [
        node
        for node, follower in world.nodes.items()
        if follower.view.version != offset
    ]
    assert sorted(late) == sorted(cut_off)
    world.cut_off.clear()
    world.run(3)
    assert versions_of(world) == {offset}


def test_every_node_is_in_the_tree_of_each_reader():
    """Guards against nodes that no reader reaches."""
    for tree, reader in enumerate(choose_readers(NODES)):
        reached = [reader]
        for node in reached:
            reached.extend(list_children(tree, node, NODES))
        assert sorted(reached) == sorted(NODES)


def test_relayed_old_pages_and_snapshots_never_revert_the_view():
    """Guards against a late page that brings back a withdrawn key."""
    old = ConfigurationFollower('n1', random.Random(1), 0)
    records = log_records(
        change_set('one', put_team(rate=1.0)),
        change_set('two', put_team(rate=2.0)),
    )
    first = ConfigurationPage(0, 2, 1, 2, 0, records[:1])
    old.handle_message('n2', first, 0)
    follower = ConfigurationFollower('n1', random.Random(1), 0)
    whole = ConfigurationPage(0, 2, 1, 3, 0, records)
    follower.handle_message('n2', whole, 0)
    before = follower.view
    follower.handle_message('n2', first, 0.1)
    given = SnapshotGiven(take_snapshot(old.view))
    follower.handle_message('n2', given, 0.2)
    assert follower.view == before
    assert (before.version, before.find_team('survey').rate_per_s) == (2, 2)


def test_a_gap_between_pages_is_read_and_not_skipped():
    """Guards against a lost page that leaves out a change for good."""
    follower = ConfigurationFollower('n0', random.Random(1), 0)
    follower.update_members(NODES)
    assert not follower.role.is_reader
    records = log_records(change_set('op', put_team()))
    first = ConfigurationPage(0, 1, 1, 2, 0, records)
    assert follower.handle_message('n2', first, 0) == []
    late = ConfigurationPage(0, 1, 7, 8, 0, (LogRecord(7, b''),))
    effects = follower.handle_message('n2', late, 0)
    assert follower.view.offset == 1
    assert [effect.offset for effect in effects] == [2]


def test_pages_stop_after_their_last_hop():
    """Guards against pages in circles among nodes that see other members."""
    reader = choose_readers(NODES)[0]
    for hops_left, count in ((2, FAN_OUT), (1, 0)):
        follower = ConfigurationFollower(reader, random.Random(1), 9)
        follower.update_members(NODES)
        page = ConfigurationPage(0, hops_left, 1, 2, 0, ())
        effects = follower.handle_message('n2', page, 9)
        sent = [effect for effect in effects if isinstance(effect, SendToPeer)]
        assert len(sent) == count


def test_a_snapshot_whose_next_records_are_lost_is_not_used():
    """Guards against a start that leaves out the changes in between."""
    stream = ConfigurationStream()
    stream.search_snapshot_from(8)
    payload = codec.encode(take_snapshot(ConfigurationView(offset=5)))
    page = LogPage((LogRecord(8, payload),), 9, 8, at_end=True)
    assert not stream.apply_log_page(8, page)
    assert (
        stream.ready,
        stream.next_offset,
        stream.snapshot_search_offset,
    ) == (0, 1, 9)


def test_another_node_writes_the_snapshot_if_the_first_is_cut_off():
    """Guards against a log that outlives its last snapshot."""
    world = World('n1', 'n2', 'n3')
    fill(world, SNAPSHOT_INTERVAL_RECORDS)
    world.run(4)
    world.cut_off.update(
        node
        for node, follower in world.nodes.items()
        if not follower.role.snapshot_rank
    )
    world.run(100)
    assert len(world.records) == SNAPSHOT_INTERVAL_RECORDS + 1


def test_a_new_node_starts_from_the_newest_peer_while_the_log_is_down():
    """Guards against a replaced VM that cannot serve during an outage."""
    world = World('n1', 'n2', 'n3')
    fill(world, 3)
    world.run(3)
    world.cut_off.add('n1')
    world.append(change_set('op', put_team(rate=9.0)))
    world.run(3)
    world.cut_off.clear()
    world.is_log_down = True
    world.start('new')
    assert not world.nodes['new'].ready
    world.run(3)
    assert world.nodes['n1'].view.version == 3
    assert world.nodes['new'].view == world.nodes['n2'].view
    assert world.nodes['new'].view.version == 4


def test_a_node_starts_from_a_snapshot_past_the_retention_of_the_log():
    """Guards against a configuration that is lost with its old records."""
    world = World('n1', 'n2', 'n3')
    fill(world, SNAPSHOT_INTERVAL_RECORDS)
    world.run(6)
    world.reads.clear()
    world.run(200)
    assert set(world.reads) == set(choose_readers(world.nodes))
    snapshots = [
        record.offset
        for record in world.records
        if record.payload.startswith(SNAPSHOT_PREFIX)
    ]
    assert snapshots == [SNAPSHOT_INTERVAL_RECORDS + 1]
    last = world.append(change_set('later', put_team(rate=1.0)))
    world.expire_before(SNAPSHOT_INTERVAL_RECORDS + 1)
    world.run(1)
    late = World()
    late.records = world.records
    late.first_offset = world.first_offset
    late.start('late')
    late.run(3)
    assert versions_of(late) == {last}
    assert late.nodes['late'].view == world.nodes['n1'].view


def test_a_log_that_forgets_gets_a_new_snapshot_in_time():
    """Guards against a retention shorter than the time between snapshots."""
    world = World('n1', 'n2')
    fill(world, 10)
    world.run(3)
    for _ in range(5):
        world.expire_before(world.first_offset + len(world.records) - 1)
        world.run(90)
    assert len(world.records) < 10
    alone = World()
    alone.records = world.records
    alone.first_offset = world.first_offset
    alone.start('n9')
    alone.run(3)
    assert versions_of(alone) == {10}


@pytest.mark.parametrize('payload', [b'', b'\xff', SNAPSHOT_PREFIX])
def test_corrupt_records_are_passed_over_alike_by_all(payload):
    """Guards against a crash, or nodes that disagree after damage."""
    world = World('n1', 'n2', 'n3')
    fill(world, 2)
    world.append(payload)
    last = world.append(change_set('after', put_team(rate=3.0)))
    world.run(3)
    views = [follower.view for follower in world.nodes.values()]
    assert views[0] == views[1] == views[2]
    assert views[0].version == last
