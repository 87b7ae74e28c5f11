"""Members that may get new calls when reports about them differ."""

import pytest

from ebonycleat.internal.process.membership import Membership
from ebonycleat.internal.process.membership_component import MemberDirectory
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    HubDigest,
    MemberHeartbeat,
    MemberState,
    ZoneSummary,
)


def create_announcement(
    node: str, zone: str, state: MemberState
) -> Announcement:
    return Announcement(node, 1, zone, 'map', '127.0.0.1:7000', 8, state)


def create_directory_with_summary() -> MemberDirectory:
    """Return a directory that got a summary and a heartbeat of one node."""
    own = create_announcement('map-a', 'a', MemberState.UP)
    membership = Membership(own, ('map',))
    membership.apply_announcement(
        create_announcement('map-b', 'b', MemberState.UP)
    )
    summary = ZoneSummary('b', 'map', 1, 0, ('map-b',))
    heartbeat = MemberHeartbeat('map-b', 1, 1, MemberState.UP, 0, 0, 8, 0)
    membership.handle_message(HubDigest('hub', (heartbeat,), (summary,)), 0)
    return MemberDirectory(membership)


def list_nodes(directory: MemberDirectory, now: float) -> set[str]:
    directory.invalidate()
    return {member.node for member in directory.members_of('map', now)}


@pytest.mark.parametrize(
    'state',
    [MemberState.DRAINING, MemberState.LEFT],
)
def test_a_leaving_node_is_not_added_by_an_older_summary(state):
    """Guards against calls to a node that has announced that it leaves.

    A summary of the zone may still list such a node up to 5 s later.
    """
    directory = create_directory_with_summary()
    assert list_nodes(directory, 0.1) == {'map-a', 'map-b'}
    directory.membership.apply_announcement(
        create_announcement('map-b', 'b', state)
    )
    assert list_nodes(directory, 0.2) == {'map-a'}


def test_a_silent_node_is_not_added_by_an_older_summary():
    """Guards against new calls to a node without a heartbeat for 2 s."""
    directory = create_directory_with_summary()
    directory.membership.table.tick(2.5)
    assert list_nodes(directory, 2.5) == {'map-a'}
