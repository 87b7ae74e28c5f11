"""Nodes that receive the same log in different ways have equal views."""

import random

from hypothesis import given
from hypothesis import strategies as st

from bench.configuration_simulation import copy_message
from ebonycleat.internal.connection.log_service import LogPage
from ebonycleat.internal.process.configuration_follower import (
    ConfigurationFollower,
)
from ebonycleat.internal.process.configuration_relay import (
    ConfigurationPage,
    SnapshotGiven,
)
from ebonycleat.internal.version.snapshot import take_snapshot
from tests.configuration_records import create_log_records
from tests.configuration_strategies import change_sets

logs = st.lists(st.one_of(change_sets, st.binary(max_size=8)), max_size=25)


def create_follower():
    return ConfigurationFollower('node', random.Random(1), 0)


def fold_in_one_page(records):
    follower = create_follower()
    page = LogPage(records, len(records) + 1, 1, at_end=True)
    follower.handle_page(1, page, 0)
    return follower.view


@given(logs, st.data())
def test_views_do_not_depend_on_pages_duplicates_or_snapshots(log, data):
    """Guards against nodes that serve by different configurations.

    A node may read the log in pages of any size, also repeatedly, and may get
    pages or snapshots from its peers.
    """
    records = create_log_records(*log)
    expected = fold_in_one_page(records)
    follower = create_follower()
    versions = [0]
    while follower.view.offset < len(records):
        first = data.draw(st.integers(1, follower.view.offset + 1))
        after = data.draw(st.integers(first, len(records) + 1))
        page_records = records[first - 1 : after - 1]
        source = data.draw(st.sampled_from(['log', 'peer', 'snapshot']))
        if source == 'log':
            page = LogPage(page_records, after, 1, at_end=after > len(records))
            follower.handle_page(first, page, 0)
        elif source == 'peer':
            relayed_page = ConfigurationPage(
                0, 3, first, after, 0, page_records
            )
            follower.handle_message('peer', copy_message(relayed_page), 0)
        else:
            snapshot = take_snapshot(fold_in_one_page(records[: after - 1]))
            snapshot_message = copy_message(SnapshotGiven(snapshot))
            follower.handle_message('peer', snapshot_message, 0)
        versions.append(follower.view.version)
    assert versions == sorted(versions)
    assert follower.view == expected


@given(logs)
def test_a_change_set_applies_to_all_its_subjects_or_to_none(log):
    """Guards against change sets of which only a part takes effect."""
    follower = create_follower()
    for offset, record in enumerate(create_log_records(*log), 1):
        before = follower.view
        page = LogPage((record,), offset + 1, 1, at_end=True)
        follower.handle_page(offset, page, 0)
        after = follower.view
        if after.version == offset:
            operation = after.operations.list_newest(1)[0]
            assert operation.offset == offset
            for change in operation.changes:
                assert (
                    after.last_change_or_withdrawal_offset(change.subject)
                    == offset
                )
        else:
            assert after.teams == before.teams
            assert after.keys == before.keys
            assert after.routes == before.routes
            assert after.fenced == before.fenced
