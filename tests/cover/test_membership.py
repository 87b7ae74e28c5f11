"""Which members count as live, and what a node learns about others."""

import dataclasses

import pytest

from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.process.announcements import SeedNode
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendToLog,
    SendToPeer,
)
from ebonycleat.internal.process.heartbeat_hubs import (
    HUBS_PER_SERVICE,
    MAX_DIRECT_NODES,
)
from ebonycleat.internal.process.membership import Membership
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    HubDigest,
    MemberChange,
    MemberChangeKind,
    MemberHeartbeat,
    MemberState,
    ZoneSummary,
)
from ebonycleat.internal.process.membership_table import (
    ANNOUNCE_INTERVAL_S,
    ANNOUNCEMENT_LIFETIME_S,
    HEARTBEAT_TIMEOUT_S,
)


def make_announcement(node, zone='z0', service='map', incarnation=1, **fields):
    announcement = Announcement(
        node=node,
        incarnation=incarnation,
        zone=zone,
        service=service,
        peer_address=f'127.0.0.1:{node}',
        slots=10,
        state=MemberState.UP,
    )
    return dataclasses.replace(announcement, **fields)


def make_heartbeat(node, number=1, incarnation=1, state=MemberState.UP):
    return MemberHeartbeat(node, incarnation, number, state, 1, 2, 10, 0)


def node_names(announcements):
    return [announcement.node for announcement in announcements]


@pytest.fixture
def membership():
    member = Membership(make_announcement('own'))
    member.apply_announcement(make_announcement('b'))
    return member


def test_a_member_is_live_only_while_its_heartbeats_arrive(membership):
    """Guards against new calls to a node that has died."""
    assert node_names(membership.live_members_of('map', 1)) == []
    membership.handle_message(make_heartbeat('b'), 1)
    assert node_names(
        membership.live_members_of('map', 1 + HEARTBEAT_TIMEOUT_S)
    ) == ['b']
    membership.table.tick(1.1 + HEARTBEAT_TIMEOUT_S)
    assert (
        node_names(membership.live_members_of('map', 1.1 + HEARTBEAT_TIMEOUT_S))
        == []
    )
    assert membership.pop_changes() == [
        MemberChange('b', MemberChangeKind.LIVE),
        MemberChange('b', MemberChangeKind.SILENT),
    ]


@pytest.mark.parametrize('state', [MemberState.DRAINING, MemberState.LEFT])
def test_a_leaving_member_gets_no_new_calls(membership, state):
    """Guards against late heartbeats that undo a departure (P10)."""
    membership.handle_message(make_heartbeat('b', 1), 1)
    membership.handle_message(make_heartbeat('b', 3, state=state), 2)
    membership.handle_message(make_heartbeat('b', 2), 2.1)
    membership.apply_announcement(make_announcement('b'))
    assert node_names(membership.live_members_of('map', 2.1)) == []


def test_late_messages_of_a_former_incarnation_are_ignored(membership):
    """Guards against a late message that marks a restarted node as draining."""
    membership.handle_message(make_heartbeat('b', 9), 1)
    membership.handle_message(make_heartbeat('b', 1, incarnation=2), 2)
    membership.handle_message(
        make_heartbeat('b', 10, state=MemberState.LEFT), 2.1
    )
    membership.apply_announcement(
        make_announcement('b', state=MemberState.LEFT)
    )
    assert node_names(membership.live_members_of('map', 2.1)) == ['b']
    replaced = MemberChange('b', MemberChangeKind.REPLACED)
    assert replaced in membership.pop_changes()


def test_a_duplicate_heartbeat_does_not_keep_a_member_live(membership):
    """Guards against duplicates that keep a dead node listed as live."""
    membership.handle_message(make_heartbeat('b'), 1)
    membership.handle_message(make_heartbeat('b'), 2.5)
    assert node_names(membership.live_members_of('map', 3.1)) == []


def test_the_age_of_a_relayed_heartbeat_counts(membership):
    """Guards against relay delays that keep a dead member listed as live."""
    heartbeat = make_heartbeat('b')._replace(age_s=1.5)
    membership.handle_message(HubDigest('hub', (heartbeat,), ()), 10)
    assert node_names(membership.live_members_of('map', 10.4)) == ['b']
    assert node_names(membership.live_members_of('map', 10.6)) == []


def append_effects(effects):
    return [effect for effect in effects if isinstance(effect, AppendToLog)]


def test_announcements_are_repeated_hourly_and_after_a_failure(membership):
    """Guards against a node whose only announcement expires from the log."""
    first = append_effects(membership.tick(0))[0]
    assert append_effects(membership.tick(10)) == []
    membership.handle_append_result(AppendFailed(first.operation_id, True), 11)
    second = append_effects(membership.tick(12))[0]
    membership.handle_append_result(AppendConfirmed(second.operation_id, 1), 13)
    assert append_effects(membership.tick(ANNOUNCE_INTERVAL_S)) == []
    assert append_effects(membership.tick(ANNOUNCE_INTERVAL_S + 13))
    drain = append_effects(membership.change_state(MemberState.DRAINING, 5000))
    assert drain[0].record.state is MemberState.DRAINING


def test_members_expire_only_while_the_log_is_readable(membership):
    """Guards against a long log outage that empties the member table."""
    membership.log_reached_end(0)
    membership.log_reached_end(10 * ANNOUNCEMENT_LIFETIME_S)
    assert 'b' in node_names(membership.registered_members())
    start = 10 * ANNOUNCEMENT_LIFETIME_S
    for second in range(0, ANNOUNCEMENT_LIFETIME_S + 60, 30):
        membership.log_reached_end(start + second)
    assert 'b' not in node_names(membership.registered_members())


def deliver(nodes, effects, now):
    pending = list(effects)
    while pending:
        effect = pending.pop(0)
        if isinstance(effect, SendToPeer) and effect.node in nodes:
            receiver = nodes[effect.node]
            pending.extend(receiver.handle_message(effect.message, now))


def test_a_starting_node_learns_members_from_seeds_without_the_log():
    """Guards against a node that cannot start while the log is down."""
    announcements = [
        make_announcement(f'n{index}', zone=f'z{index % 3}')
        for index in range(9)
    ]
    nodes = {
        announcement.node: Membership(announcement)
        for announcement in announcements
    }
    for member in nodes.values():
        for announcement in announcements:
            member.apply_announcement(announcement)
        member.log_reached_end(0)
    seeds = (SeedNode('n4', '127.0.0.1:n4'),)
    late = Membership(make_announcement('late', zone='z2'), seeds=seeds)
    assert late.address_of('n4') == '127.0.0.1:n4'
    nodes['late'] = late
    deliver(nodes, late.tick(1), 1)
    assert len(late.registered_members()) == 10
    for member in nodes.values():
        assert 'late' in node_names(member.registered_members())


def run_fleet(nodes, start, ticks, silent=()):
    for tick in range(ticks):
        now = start + tick / 10
        for name, member in nodes.items():
            if name not in silent:
                reachable = {
                    key: peer
                    for key, peer in nodes.items()
                    if key not in silent
                }
                deliver(reachable, member.tick(now), now)
    return start + ticks / 10


def make_large_fleet():
    announcements = [
        make_announcement(f'n{zone}-{index:02d}', f'z{zone}', f's{index % 10}')
        for zone in range(2)
        for index in range(MAX_DIRECT_NODES)
    ]
    nodes = {}
    for announcement in announcements:
        member = Membership(announcement, called_services=('s3',))
        for other in announcements:
            member.apply_announcement(other)
        member.log_reached_end(0)
        nodes[announcement.node] = member
    return nodes


def test_hubs_relay_heartbeats_and_summaries_in_a_large_fleet():
    """Guards against members that are not known in a fleet that needs hubs."""
    nodes = make_large_fleet()
    now = run_fleet(nodes, 0, 60)
    caller = nodes['n0-00']
    own_zone = node_names(caller.live_members_of('s3', now))
    assert own_zone == ['n0-03', 'n0-13', 'n0-23']
    assert node_names(caller.live_members_of('s0', now))[-1] == 'n1-30'
    summaries = caller.zone_summaries('s3', now)
    assert summaries == [
        ZoneSummary('z1', 's3', 3, 0, ('n1-03', 'n1-13', 'n1-23')),
    ]


def test_dead_hubs_are_replaced_when_their_links_are_lost():
    """Guards against members that seem silent because their hubs failed."""
    nodes = make_large_fleet()
    now = run_fleet(nodes, 0, 60)
    hub_assignment = nodes['n0-00'].heartbeats.hub_assignment
    dead = hub_assignment.hubs_of('s3', 'z0')
    assert len(dead) == HUBS_PER_SERVICE
    for member in nodes.values():
        for hub in dead:
            member.handle_link_change(hub, reachable=False)
    now = run_fleet(nodes, now, 60, silent=dead)
    alive = set(node_names(nodes['n0-00'].live_members_of('s3', now)))
    assert alive == {'n0-03', 'n0-13', 'n0-23'} - set(dead)


def test_a_draining_member_is_known_everywhere_within_two_seconds():
    """Guards against new calls to a leaving node of a large fleet (P10).

    There, hubs relay the heartbeats.
    """
    nodes = make_large_fleet()
    now = run_fleet(nodes, 0, 60)
    leaving = nodes['n0-13']
    deliver(nodes, leaving.change_state(MemberState.DRAINING, now), now)
    now = run_fleet(nodes, now, 5)
    assert 'n0-13' not in node_names(nodes['n0-00'].live_members_of('s3', now))


def test_heartbeats_and_digests_survive_a_round_trip():
    """Guards against compact messages that lose a type when decoded."""
    codec = create_codec(MemberHeartbeat, HubDigest)
    digest = HubDigest(
        'hub',
        (make_heartbeat('b'),),
        (ZoneSummary('z1', 'map', 3, 0.5, ('a',)),),
    )
    assert codec.decode(codec.encode(digest)) == digest
    assert codec.decode(codec.encode(make_heartbeat('b'))) == make_heartbeat(
        'b'
    )
