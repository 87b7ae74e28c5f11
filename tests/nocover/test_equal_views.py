"""Nodes that got the same log in different ways have the same view."""

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
from tests.configuration_records import log_records
from tests.configuration_strategies import change_sets

logs = st.lists(st.one_of(change_sets, st.binary(max_size=8)), max_size=25)


def new_follower():
    return ConfigurationFollower('node', random.Random(1), 0)


def fold_whole(records):
    follower = new_follower()
    page = LogPage(records, len(records) + 1, 1, at_end=True)
    follower.handle_page(1, page, 0)
    return follower.view


@given(logs, st.data())
def test_views_do_not_depend_on_pages_duplicates_or_snapshots(log, data):
    """Guards against a node that serves by rules that no other node has."""
    records = log_records(*log)
    expected = fold_whole(records)
    follower = new_follower()
    versions = [0]
    while follower.view.offset < len(records):
        first = data.draw(st.integers(1, follower.view.offset + 1))
        after = data.draw(st.integers(first, len(records) + 1))
        part = records[first - 1 : after - 1]
        way = data.draw(st.sampled_from(['log', 'peer', 'snapshot']))
        if way == 'log':
            page = LogPage(part, after, 1, at_end=after > len(records))
            follower.handle_page(first, page, 0)
        elif way == 'peer':
            relayed = ConfigurationPage(0, 3, first, after, 0, part)
            follower.handle_message('peer', copy_message(relayed), 0)
        else:
            snapshot = take_snapshot(fold_whole(records[: after - 1]))
            given_one = copy_message(SnapshotGiven(snapshot))
            follower.handle_message('peer', given_one, 0)
        versions.append(follower.view.version)
    assert versions == sorted(versions)
    assert follower.view == expected


@given(logs)
def test_an_accepted_set_changes_all_its_subjects_and_a_rejected_none(log):
    """Guards against change sets that apply in part."""
    follower = new_follower()
    for offset, record in enumerate(log_records(*log), 1):
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
