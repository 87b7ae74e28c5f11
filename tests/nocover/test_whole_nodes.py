"""Failures of a fleet of whole nodes; every promise is seen from outside."""

import dataclasses

import pytest

from tests.whole_nodes import (
    KEY,
    OTHER_KEY,
    PLACES,
    change,
    create_world,
    get_map,
    most_runs_of_a_key,
    ownership_of,
    post_claim,
    runs_of,
)
from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.request.incoming import digest_key


def test_calls_are_answered_at_local_and_at_peer_nodes():
    """Guards against a path that breaks between two parts."""
    world = create_world()
    asked = [get_map(world, node) for node in PLACES]
    asked += [post_claim(world, node, f'key-{node}') for node in PLACES]
    world.run(1)
    assert {world.status(one) for one in asked} == {200}


def test_no_key_leaves_the_ingress():
    """Guards against a key in a message, a record or a target's headers."""
    world = create_world()
    for node in PLACES:
        get_map(world, node)
        post_claim(world, node, f'key-{node}')
    world.run(2)
    records = [one for many in world.log.records.values() for one in many]
    headers = [
        str(call.headers).encode()
        for node in world.nodes.values()
        for _, call in node.target.runs
    ]
    assert not any(
        KEY.encode() in seen for seen in world.sent + records + headers
    )


def test_a_withdrawn_key_is_refused_everywhere_and_in_the_queue():
    """Guards against a withdrawal that spares waiting or later requests."""
    world = create_world()
    for node in world.nodes.values():
        node.target.service_s = 1
    world.run(1.5)
    waiting = [get_map(world, 'map-a', OTHER_KEY) for _ in range(30)]
    withdrawn_at = world.clock.now
    world.submit_operator_command(
        'map-b', f'withdraw key {digest_key(OTHER_KEY)}', 'w1'
    )
    world.run(0.5)
    later = [get_map(world, node, OTHER_KEY) for node in PLACES]
    world.run(3)
    assert {world.status(one) for one in later} == {401}
    refused = [one for one in waiting if world.status(one) == 401]
    assert refused
    outcomes = {world.header(one, 'Ebonycleat-Outcome') for one in refused}
    assert outcomes == {'not-run'}
    late = [
        call.team
        for node in world.nodes.values()
        for started_at, call in node.target.runs
        if started_at > withdrawn_at + 0.5
    ]
    assert 'tractors' not in late


def test_a_team_stays_within_rate_and_burst_over_all_nodes():
    """Guards against budgets that are paid once per node or zone."""
    world = create_world()
    begin = world.clock.now
    for _ in range(100):
        for node in PLACES:
            get_map(world, node)
        world.run(0.05)
    elapsed_s = world.clock.now - begin
    assert 0.8 * 90 * elapsed_s <= runs_of(world, '/map/x')
    assert runs_of(world, '/map/x') <= 60 + 90 * elapsed_s


def test_all_goes_on_while_the_log_is_down():
    """Guards against a call that needs the log."""
    world = create_world()
    world.log.down = True
    world.run(10)
    asked = [get_map(world, node) for node in PLACES]
    claims = [post_claim(world, node, f'down-{node}') for node in PLACES]
    world.run(4)
    assert {world.status(one) for one in asked} == {200}
    assert {world.status(one) for one in claims} == {200}
    again = [post_claim(world, node, f'down-{node}') for node in PLACES]
    world.run(1)
    assert {world.status(one) for one in again} == {200}
    assert most_runs_of_a_key(world) == 1


def test_a_lost_append_answer_does_not_repeat_a_change():
    """Guards against a change that takes effect twice or is given up."""
    world = create_world()
    world.log.lose_next_answers = 1
    change(world, 'change team survey rate 50')
    world.run(3)
    views = {
        node.core.configuration.view.version for node in world.nodes.values()
    }
    assert len(views) == 1


def test_an_owner_that_renews_its_witnesses_still_runs_calls():
    """Guards against copies refused for the new epoch of a renewed claim.

    A demo run lost 49 claims that way after a node had left.
    """
    world = create_world()
    world.nodes['map-b'].perform(
        world.nodes['map-b'].core.drain(world.clock.now),
    )
    world.run(2)
    world.nodes['map-b'].kill()
    world.run(4)
    asked = [
        post_claim(world, 'claims-a', f'renewed-{number}')
        for number in range(16)
    ]
    world.run(2)
    assert {world.status(one) for one in asked} == {200}


def test_a_killed_node_gets_no_new_work_and_its_slots_move_on():
    """Guards against calls and budgets that wait for a dead node."""
    world = create_world()
    world.nodes['map-b'].kill()
    world.nodes['claims-b'].kill()
    asked = [get_map(world, 'map-a') for _ in range(5)]
    world.run(2.5)
    assert {world.status(one) for one in asked} == {200}
    world.run(6)
    claims = [
        post_claim(world, 'claims-a', f'moved-{number}') for number in range(16)
    ]
    world.run(3)
    assert {world.status(one) for one in claims} == {200}
    assert most_runs_of_a_key(world) == 1


def test_a_planned_stop_cuts_no_request():
    """Guards against running or queued work that ends with the node."""
    world = create_world()
    for node in world.nodes.values():
        node.target.service_s = 0.5
    asked = [get_map(world, 'map-a') for _ in range(6)]
    world.run(0.1)
    leaving = world.nodes['map-a']
    leaving.perform(leaving.core.drain(world.clock.now))
    late = get_map(world, 'map-a')
    while not leaving.core.is_drained(world.clock.now):
        world.run(0.1)
    assert {world.status(one) for one in asked} == {200}
    assert world.header(late, 'Ebonycleat-Outcome') == 'not-run'
    runs = len(leaving.target.runs)
    world.run(2)
    for _ in range(20):
        get_map(world, 'map-b')
    world.run(1)
    assert len(leaving.target.runs) == runs


@pytest.mark.parametrize('log_is_down', [False, True])
def test_zones_that_are_cut_off_serve_what_their_targets_can(log_is_down):
    """Guards against a zone that needs another one to serve."""
    world = create_world()
    for one, other in (('a', 'b'), ('a', 'c'), ('b', 'c')):
        world.cut(one, other)
    world.log.down = log_is_down
    world.run(12)
    asked = [get_map(world, node) for node in PLACES]
    world.run(3)
    assert {world.status(one) for one in asked} == {200}


def test_a_request_that_crashes_targets_kills_two_at_most():
    """Guards against a crashing request that is tried on all targets."""
    world = create_world()
    for number in range(20):
        world.request(
            f'map-{"abc"[number % 3]}',
            '/map/x',
            'POST',
            b'crash',
            authorization=f'Bearer {KEY}',
        )
        get_map(world, 'map-a', OTHER_KEY)
        world.run(3)
    assert sum(node.target.crash_count for node in world.nodes.values()) <= 2
    healthy = [get_map(world, node, OTHER_KEY) for node in PLACES]
    world.run(2)
    assert {world.status(one) for one in healthy} == {200}


def test_a_restarted_node_comes_back_with_the_same_address():
    """Guards against a new incarnation that is taken for the old one."""
    world = create_world()
    world.nodes['claims-a'].kill()
    world.run(0.5)
    world.nodes['claims-a'].start()
    world.run(10)
    asked = [
        post_claim(world, 'claims-a', f'back-{number}') for number in range(16)
    ]
    world.run(4)
    answered = {world.status(one) for one in asked}
    assert answered == {200}


def test_a_paused_node_wakes_without_using_what_it_held():
    """Guards against tokens and slots that outlive a pause."""
    world = create_world()
    paused = world.nodes['map-a']
    paused.paused_until = world.clock.now + 6
    begin = world.clock.now
    for _ in range(150):
        get_map(world, 'map-b')
        get_map(world, 'map-c')
        world.run(0.06)
    for _ in range(40):
        get_map(world, 'map-a')
    world.run(1)
    elapsed_s = world.clock.now - begin
    assert runs_of(world, '/map/x') <= 60 + 90 * elapsed_s


def test_a_node_that_starts_while_the_log_is_down_serves():
    """Guards against a replacement VM that waits for the log."""
    world = create_world()
    world.log.down = True
    world.nodes['map-c'].kill()
    world.run(3)
    world.nodes['map-c'].start()
    world.run(8)
    asked = get_map(world, 'map-c')
    world.run(1)
    assert world.status(asked) == 200


def test_a_configuration_outlives_the_retention_of_the_log():
    """Guards against nodes that go back when old records are forgotten."""
    world = create_world()
    world.run(1)
    world.log.expire(LogStream.CONFIGURATION)
    before = world.nodes['map-a'].core.configuration_version()
    world.nodes['map-c'].kill()
    world.run(1)
    world.nodes['map-c'].start()
    world.run(8)
    restarted = world.nodes['map-c'].core
    assert restarted.configuration_version() >= before
    assert dataclasses.is_dataclass(restarted.configuration.view)


def test_a_call_made_by_a_target_runs_for_the_team_of_its_context():
    """Guards against inner calls that are anonymous or carry a key."""
    world = create_world()
    for node in world.nodes.values():
        node.target.service_s = 0.3
    outer = post_claim(world, 'map-a', 'outer')
    world.run(0.1)
    owner, text = next(
        (name, text)
        for name, node in world.nodes.items()
        for text in node.core.call_coordinator.gate_service.contexts.by_id
    )
    for node in world.nodes.values():
        node.target.service_s = 0.01
    inner = world.request(owner, '/map/inner', ebonycleat_context=text)
    world.run(2)
    assert (world.status(outer), world.status(inner)) == (200, 200)
    teams = {
        call.team
        for node in world.nodes.values()
        for _, call in node.target.runs
        if call.path == '/map/inner'
    }
    assert teams == {'survey'}


def test_ownership_outlives_the_retention_of_the_log():
    """Guards against owned slots that are taken for free ones.

    A node that starts behind the retention must learn the owners from a
    peer before it claims anything.
    """
    world = create_world()
    world.log.expire(LogStream.OWNERSHIP)
    first = ownership_of(world, 'map-a')
    owned = {
        slot: state.owner
        for slot, state in first.slots.items()
        if not state.owner.startswith('map-c')
    }
    world.nodes['map-c'].kill()
    world.run(0.2)
    world.nodes['map-c'].start()
    world.run(8)
    restarted = ownership_of(world, 'map-c')
    assert restarted.slots == first.slots
    assert {slot: first.state_of(slot).owner for slot in owned} == owned
    asked = [
        post_claim(world, 'map-c', f'kept-{number}') for number in range(16)
    ]
    world.run(3)
    assert {world.status(one) for one in asked} == {200}


def test_a_fence_frees_the_slots_of_a_zone_that_is_lost_for_good():
    """Guards against slots that wait for witnesses who never come back.

    Zone b is lost with all its nodes, so nobody is left to support a claim
    to its budget slots; the operator's word replaces the witnesses.
    """
    world = create_world()
    for name in ('map-b', 'claims-b'):
        world.nodes[name].kill()
    world.run(8)
    for number, name in enumerate(('map-b', 'claims-b')):
        world.submit_operator_command(
            'map-a', f'fence node {name}', f'fence{number}'
        )
    world.run(8)
    states = ownership_of(world, 'map-a').slots.items()
    left = [slot for slot, state in states if state.owner.endswith('-b')]
    assert {slot.scope for slot in left} == {'b'}
    assert all(ownership_of(world, 'map-a').slots[slot].fenced for slot in left)


@pytest.mark.parametrize(
    ('headers', 'outcome'),
    [({}, 'unknown'), ({'ebonycleat_attempt': '1'}, 'not-run')],
)
def test_a_refusal_at_the_door_does_not_deny_an_earlier_run(headers, outcome):
    """Guards against "not run" for an id that ran through another node.

    The node that drains, or the withdrawn key, says nothing about sends
    that went elsewhere before.
    """
    world = create_world()
    first = post_claim(world, 'map-a', 'same')
    world.run(1)
    leaving = world.nodes['claims-b']
    leaving.perform(leaving.core.drain(world.clock.now))
    again = post_claim(world, 'claims-b', 'same', **headers)
    change(world, f'withdraw key {digest_key(KEY)}')
    later = post_claim(world, 'map-a', 'same', **headers)
    assert world.status(first) == 200
    assert world.header(again, 'Ebonycleat-Outcome') == outcome
    assert world.header(later, 'Ebonycleat-Outcome') == outcome
