"""Configuration followers of one zone.

Each follower must apply every record in order and never go back to an older
view, while only a few nodes read the log.
"""

import random

import pytest

from bench.configuration_simulation import ConfigurationSimulation
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
    choose_readers,
    list_children,
)
from ebonycleat.internal.process.configuration_stream import (
    SNAPSHOT_PREFIX,
    ConfigurationStream,
)
from ebonycleat.internal.process.effects import SendToPeer
from ebonycleat.internal.version.configuration_view import ConfigurationView
from ebonycleat.internal.version.snapshot import take_snapshot
from tests.configuration_records import (
    codec,
    create_change_set,
    create_log_records,
    create_put_team,
)

NODES = tuple(f'n{number}' for number in range(30))


def versions_of(zone):
    return {follower.view.version for follower in zone.nodes.values()}


def append_changes(zone, count):
    for number in range(count):
        rate = float(number)
        zone.append(
            create_change_set(f'op{number}', create_put_team(rate=rate))
        )


def test_a_change_is_in_force_everywhere_though_only_readers_read():
    """Guards against a log that is read by every node of a zone."""
    zone = ConfigurationSimulation(*NODES)
    zone.run(3)
    zone.reads.clear()
    offset = zone.append(create_change_set('op', create_put_team()))
    zone.run(3)
    assert versions_of(zone) == {offset}
    assert set(zone.reads) == set(choose_readers(NODES))


def test_nodes_read_the_log_themselves_if_the_readers_are_cut_off():
    """Guards against a zone that gets no changes after its readers fail."""
    zone = ConfigurationSimulation(*NODES)
    zone.run(3)
    cut_off_readers = choose_readers(NODES)
    zone.cut_off.update(cut_off_readers)
    offset = zone.append(create_change_set('op', create_put_team()))
    zone.run(3)
    late_nodes = [
        node
        for node, follower in zone.nodes.items()
        if follower.view.version != offset
    ]
    assert sorted(late_nodes) == sorted(cut_off_readers)
    zone.cut_off.clear()
    zone.run(3)
    assert versions_of(zone) == {offset}


def test_every_node_is_in_the_tree_of_each_reader():
    """Guards against nodes that get no pages from a reader."""
    for tree, reader in enumerate(choose_readers(NODES)):
        reached = [reader]
        for node in reached:
            reached.extend(list_children(tree, node, NODES))
        assert sorted(reached) == sorted(NODES)


def test_relayed_old_pages_and_snapshots_never_revert_the_view():
    """Guards against a late page that puts a withdrawn key in force again."""
    old_follower = ConfigurationFollower('n1', random.Random(1), 0)
    records = create_log_records(
        create_change_set('one', create_put_team(rate=1.0)),
        create_change_set('two', create_put_team(rate=2.0)),
    )
    first_page = ConfigurationPage(0, 2, 1, 2, 0, records[:1])
    old_follower.handle_message('n2', first_page, 0)
    follower = ConfigurationFollower('n1', random.Random(1), 0)
    both_records = ConfigurationPage(0, 2, 1, 3, 0, records)
    follower.handle_message('n2', both_records, 0)
    before = follower.view
    follower.handle_message('n2', first_page, 0.1)
    snapshot_message = SnapshotGiven(take_snapshot(old_follower.view))
    follower.handle_message('n2', snapshot_message, 0.2)
    assert follower.view == before
    assert (before.version, before.find_team('survey').rate_per_s) == (2, 2)


def test_a_gap_between_pages_is_read_and_not_skipped():
    """Guards against a lost page whose changes are never applied."""
    follower = ConfigurationFollower('n0', random.Random(1), 0)
    follower.update_members(NODES)
    assert not follower.role.is_reader
    records = create_log_records(create_change_set('op', create_put_team()))
    first_page = ConfigurationPage(0, 1, 1, 2, 0, records)
    assert follower.handle_message('n2', first_page, 0) == []
    late_page = ConfigurationPage(0, 1, 7, 8, 0, (LogRecord(7, b''),))
    effects = follower.handle_message('n2', late_page, 0)
    assert follower.view.offset == 1
    assert [effect.offset for effect in effects] == [2]


def test_pages_are_not_relayed_after_their_last_hop():
    """Guards against pages that circulate if nodes disagree on the members."""
    reader = choose_readers(NODES)[0]
    for hops_left, count in ((2, FAN_OUT), (1, 0)):
        follower = ConfigurationFollower(reader, random.Random(1), 9)
        follower.update_members(NODES)
        page = ConfigurationPage(0, hops_left, 1, 2, 0, ())
        effects = follower.handle_message('n2', page, 9)
        sent = [effect for effect in effects if isinstance(effect, SendToPeer)]
        assert len(sent) == count


def test_a_snapshot_is_not_used_if_the_records_after_it_are_lost():
    """Guards against a start that skips the changes after the snapshot."""
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
    """Guards against a log whose last snapshot has expired."""
    zone = ConfigurationSimulation('n1', 'n2', 'n3')
    append_changes(zone, SNAPSHOT_INTERVAL_RECORDS)
    zone.run(4)
    zone.cut_off.update(
        node
        for node, follower in zone.nodes.items()
        if not follower.role.snapshot_rank
    )
    zone.run(100)
    assert len(zone.records) == SNAPSHOT_INTERVAL_RECORDS + 1


def test_a_new_node_starts_from_the_newest_peer_while_the_log_is_down():
    """Guards against a new VM that cannot serve while the log is down."""
    zone = ConfigurationSimulation('n1', 'n2', 'n3')
    append_changes(zone, 3)
    zone.run(3)
    zone.cut_off.add('n1')
    zone.append(create_change_set('op', create_put_team(rate=9.0)))
    zone.run(3)
    zone.cut_off.clear()
    zone.is_log_down = True
    zone.start('new')
    assert not zone.nodes['new'].ready
    zone.run(3)
    assert zone.nodes['n1'].view.version == 3
    assert zone.nodes['new'].view == zone.nodes['n2'].view
    assert zone.nodes['new'].view.version == 4


def test_a_node_starts_from_a_snapshot_past_the_retention_of_the_log():
    """Guards against losing the configuration when old records expire."""
    zone = ConfigurationSimulation('n1', 'n2', 'n3')
    append_changes(zone, SNAPSHOT_INTERVAL_RECORDS)
    zone.run(6)
    zone.reads.clear()
    zone.run(200)
    assert set(zone.reads) == set(choose_readers(zone.nodes))
    snapshots = [
        record.offset
        for record in zone.records
        if record.payload.startswith(SNAPSHOT_PREFIX)
    ]
    assert snapshots == [SNAPSHOT_INTERVAL_RECORDS + 1]
    last = zone.append(create_change_set('later', create_put_team(rate=1.0)))
    zone.expire_before(SNAPSHOT_INTERVAL_RECORDS + 1)
    zone.run(1)
    new_zone = ConfigurationSimulation()
    new_zone.records = zone.records
    new_zone.first_offset = zone.first_offset
    new_zone.start('late')
    new_zone.run(3)
    assert versions_of(new_zone) == {last}
    assert new_zone.nodes['late'].view == zone.nodes['n1'].view


def test_a_new_snapshot_is_written_before_the_last_one_expires():
    """Guards against a log retention below the snapshot interval."""
    zone = ConfigurationSimulation('n1', 'n2')
    append_changes(zone, 10)
    zone.run(3)
    for _ in range(5):
        zone.expire_before(zone.first_offset + len(zone.records) - 1)
        zone.run(90)
    assert len(zone.records) < 10
    new_zone = ConfigurationSimulation()
    new_zone.records = zone.records
    new_zone.first_offset = zone.first_offset
    new_zone.start('n9')
    new_zone.run(3)
    assert versions_of(new_zone) == {10}


@pytest.mark.parametrize('payload', [b'', b'\xff', SNAPSHOT_PREFIX])
def test_all_nodes_skip_corrupt_records(payload):
    """Guards against a crash, or different views, after damage to the log."""
    zone = ConfigurationSimulation('n1', 'n2', 'n3')
    append_changes(zone, 2)
    zone.append(payload)
    last = zone.append(create_change_set('after', create_put_team(rate=3.0)))
    zone.run(3)
    views = [follower.view for follower in zone.nodes.values()]
    assert views[0] == views[1] == views[2]
    assert views[0].version == last
