"""Which members new work may go to, when news contradict each other."""

import pytest

from ebonycleat.internal.process.membership_component import MemberDirectory
from ebonycleat.internal.process.membership import Membership
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    HubDigest,
    MemberHeartbeat,
    MemberState,
    ZoneSummary,
)


def announce(node: str, zone: str, state: MemberState) -> Announcement:
    return Announcement(node, 1, zone, 'map', '127.0.0.1:7000', 8, state)


def directory_with_a_summary() -> MemberDirectory:
    """Know one node of another zone by a summary and by its heartbeat."""
    own = announce('map-a', 'a', MemberState.UP)
    membership = Membership(own, ('map',))
    membership.apply_announcement(announce('map-b', 'b', MemberState.UP))
    summary = ZoneSummary('b', 'map', 1, 0, ('map-b',))
    beat = MemberHeartbeat('map-b', 1, 1, MemberState.UP, 0, 0, 8, 0)
    membership.handle_message(HubDigest('hub', (beat,), (summary,)), 0)
    return MemberDirectory(membership)


def nodes_of(directory: MemberDirectory, now: float) -> set[str]:
    directory.invalidate()
    return {member.node for member in directory.members_of('map', now)}


@pytest.mark.parametrize(
    'state',
    [MemberState.DRAINING, MemberState.LEFT],
)
def test_a_node_that_leaves_is_not_taken_from_an_older_summary(state):
    """Guards against calls to a node that left, as a demo run showed.

    The summary named it for up to 5 s after it had announced to leave.
    """
    directory = directory_with_a_summary()
    assert nodes_of(directory, 0.1) == {'map-a', 'map-b'}
    directory.membership.apply_announcement(announce('map-b', 'b', state))
    assert nodes_of(directory, 0.2) == {'map-a'}


def test_a_silent_node_is_not_taken_from_an_older_summary():
    """Guards against new work for a node that was not heard for 2 s."""
    directory = directory_with_a_summary()
    directory.membership.table.tick(2.5)
    assert nodes_of(directory, 2.5) == {'map-a'}
