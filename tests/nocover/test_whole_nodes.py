"""Tests of a simulated fleet of complete nodes under failures.

They check the guarantees by what callers and targets observe.
"""

import dataclasses

import pytest

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.request.incoming import digest_key
from tests.node_fleet import (
    NODE_PLACES,
    SURVEY_KEY,
    TRACTORS_KEY,
    apply_change,
    count_runs,
    find_max_runs_per_key,
    get_map,
    get_ownership,
    post_claim,
    start_fleet,
)


def test_calls_are_answered_by_local_and_by_peer_nodes():
    """Guards against components that do not work together."""
    world = start_fleet()
    request_ids = [get_map(world, node) for node in NODE_PLACES]
    request_ids += [
        post_claim(world, node, f'key-{node}') for node in NODE_PLACES
    ]
    world.run(1)
    assert {world.status(request_id) for request_id in request_ids} == {200}


def test_no_key_leaves_the_ingress_node():
    """Guards against a key in a peer message, a log record or a target call."""
    world = start_fleet()
    for node in NODE_PLACES:
        get_map(world, node)
        post_claim(world, node, f'key-{node}')
    world.run(2)
    records = [
        record
        for stream_records in world.log.records.values()
        for record in stream_records
    ]
    headers = [
        str(call.headers).encode()
        for node in world.nodes.values()
        for _, call in node.target.runs
    ]
    assert not any(
        SURVEY_KEY.encode() in data for data in world.sent + records + headers
    )


def test_a_withdrawn_key_is_refused_at_all_nodes_and_in_queues():
    """Guards against a withdrawal without effect on queued or later requests."""
    world = start_fleet()
    for node in world.nodes.values():
        node.target.service_s = 1
    world.run(1.5)
    queued = [get_map(world, 'map-a', TRACTORS_KEY) for _ in range(30)]
    withdrawn_at = world.clock.now
    world.submit_operator_command(
        'map-b', f'withdraw key {digest_key(TRACTORS_KEY)}', 'w1'
    )
    world.run(0.5)
    later = [get_map(world, node, TRACTORS_KEY) for node in NODE_PLACES]
    world.run(3)
    assert {world.status(request_id) for request_id in later} == {401}
    refused = [
        request_id for request_id in queued if world.status(request_id) == 401
    ]
    assert refused
    outcomes = {
        world.header(request_id, 'Ebonycleat-Outcome') for request_id in refused
    }
    assert outcomes == {'not-run'}
    teams_after_withdrawal = [
        call.team
        for node in world.nodes.values()
        for started_at, call in node.target.runs
        if started_at > withdrawn_at + 0.5
    ]
    assert 'tractors' not in teams_after_withdrawal


def test_a_team_stays_within_rate_and_burst_over_all_nodes():
    """Guards against a fleet that grants the whole budget per node or zone."""
    world = start_fleet()
    start = world.clock.now
    for _ in range(100):
        for node in NODE_PLACES:
            get_map(world, node)
        world.run(0.05)
    elapsed_s = world.clock.now - start
    assert 0.8 * 90 * elapsed_s <= count_runs(world, '/map/x')
    assert count_runs(world, '/map/x') <= 60 + 90 * elapsed_s


def test_all_calls_are_served_while_the_log_is_down():
    """Guards against calls that cannot run without the log."""
    world = start_fleet()
    world.log.down = True
    world.run(10)
    request_ids = [get_map(world, node) for node in NODE_PLACES]
    claims = [post_claim(world, node, f'down-{node}') for node in NODE_PLACES]
    world.run(4)
    assert {world.status(request_id) for request_id in request_ids} == {200}
    assert {world.status(request_id) for request_id in claims} == {200}
    repeated = [post_claim(world, node, f'down-{node}') for node in NODE_PLACES]
    world.run(1)
    assert {world.status(request_id) for request_id in repeated} == {200}
    assert find_max_runs_per_key(world) == 1


def test_a_lost_append_answer_does_not_repeat_a_change():
    """Guards against a change that is applied twice or given up.

    The log appends the record, but its answer to the node is lost.
    """
    world = start_fleet()
    world.log.lose_next_answers = 1
    apply_change(world, 'change team survey rate 50')
    world.run(3)
    versions = {
        node.core.configuration.view.version for node in world.nodes.values()
    }
    assert len(versions) == 1


def test_an_owner_that_renews_its_witnesses_still_runs_calls():
    """Guards against calls refused because a renewed claim has a new epoch.

    When a witness leaves, an owner renews its claim to get other witnesses.
    In a demo run 49 POST requests were lost that way after a node had left.
    """
    world = start_fleet()
    world.nodes['map-b'].perform(
        world.nodes['map-b'].core.drain(world.clock.now),
    )
    world.run(2)
    world.nodes['map-b'].kill()
    world.run(4)
    request_ids = [
        post_claim(world, 'claims-a', f'renewed-{number}')
        for number in range(16)
    ]
    world.run(2)
    assert {world.status(request_id) for request_id in request_ids} == {200}


def test_a_killed_node_gets_no_calls_and_its_slots_get_new_owners():
    """Guards against calls and budgets that depend on a dead node."""
    world = start_fleet()
    world.nodes['map-b'].kill()
    world.nodes['claims-b'].kill()
    request_ids = [get_map(world, 'map-a') for _ in range(5)]
    world.run(2.5)
    assert {world.status(request_id) for request_id in request_ids} == {200}
    world.run(6)
    claims = [
        post_claim(world, 'claims-a', f'moved-{number}') for number in range(16)
    ]
    world.run(3)
    assert {world.status(request_id) for request_id in claims} == {200}
    assert find_max_runs_per_key(world) == 1


def test_a_planned_stop_aborts_no_request():
    """Guards against a planned stop that aborts running or queued requests."""
    world = start_fleet()
    for node in world.nodes.values():
        node.target.service_s = 0.5
    request_ids = [get_map(world, 'map-a') for _ in range(6)]
    world.run(0.1)
    draining = world.nodes['map-a']
    draining.perform(draining.core.drain(world.clock.now))
    request_during_drain = get_map(world, 'map-a')
    while not draining.core.is_drained(world.clock.now):
        world.run(0.1)
    assert {world.status(request_id) for request_id in request_ids} == {200}
    assert world.header(request_during_drain, 'Ebonycleat-Outcome') == 'not-run'
    runs = len(draining.target.runs)
    world.run(2)
    for _ in range(20):
        get_map(world, 'map-b')
    world.run(1)
    assert len(draining.target.runs) == runs


@pytest.mark.parametrize('log_is_down', [False, True])
def test_partitioned_zones_serve_calls_with_their_own_targets(log_is_down):
    """Guards against a zone that cannot serve without the other zones."""
    world = start_fleet()
    for zone, other_zone in (('a', 'b'), ('a', 'c'), ('b', 'c')):
        world.cut(zone, other_zone)
    world.log.down = log_is_down
    world.run(12)
    request_ids = [get_map(world, node) for node in NODE_PLACES]
    world.run(3)
    assert {world.status(request_id) for request_id in request_ids} == {200}


def test_a_request_crashes_at_most_two_targets():
    """Guards against a request that crashes one target after another."""
    world = start_fleet()
    for number in range(20):
        world.request(
            f'map-{"abc"[number % 3]}',
            '/map/x',
            'POST',
            b'crash',
            authorization=f'Bearer {SURVEY_KEY}',
        )
        get_map(world, 'map-a', TRACTORS_KEY)
        world.run(3)
    assert sum(node.target.crash_count for node in world.nodes.values()) <= 2
    other_requests = [
        get_map(world, node, TRACTORS_KEY) for node in NODE_PLACES
    ]
    world.run(2)
    assert {world.status(request_id) for request_id in other_requests} == {200}


def test_a_restarted_node_comes_back_with_the_same_address():
    """Guards against a new incarnation that peers take for the old one."""
    world = start_fleet()
    world.nodes['claims-a'].kill()
    world.run(0.5)
    world.nodes['claims-a'].start()
    world.run(10)
    request_ids = [
        post_claim(world, 'claims-a', f'back-{number}') for number in range(16)
    ]
    world.run(4)
    answered = {world.status(request_id) for request_id in request_ids}
    assert answered == {200}


def test_a_node_uses_no_expired_tokens_after_a_pause():
    """Guards against a node that uses expired tokens and slots after a pause."""
    world = start_fleet()
    paused = world.nodes['map-a']
    paused.paused_until = world.clock.now + 6
    start = world.clock.now
    for _ in range(150):
        get_map(world, 'map-b')
        get_map(world, 'map-c')
        world.run(0.06)
    for _ in range(40):
        get_map(world, 'map-a')
    world.run(1)
    elapsed_s = world.clock.now - start
    assert count_runs(world, '/map/x') <= 60 + 90 * elapsed_s


def test_a_node_that_starts_while_the_log_is_down_serves():
    """Guards against a replacement VM that cannot serve without the log."""
    world = start_fleet()
    world.log.down = True
    world.nodes['map-c'].kill()
    world.run(3)
    world.nodes['map-c'].start()
    world.run(8)
    request_id = get_map(world, 'map-c')
    world.run(1)
    assert world.status(request_id) == 200


def test_a_configuration_is_kept_beyond_the_retention_of_the_log():
    """Guards against a restarted node with an older configuration.

    The log has already deleted the records of the current one.
    """
    world = start_fleet()
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
    """Guards against calls by targets that have no team or carry a key."""
    world = start_fleet()
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


def test_ownership_is_kept_beyond_the_retention_of_the_log():
    """Guards against a restarted node that takes owned slots for free ones.

    The log has already deleted the records of the owners. The node must learn
    the owners from a peer before it claims a slot.
    """
    world = start_fleet()
    world.log.expire(LogStream.OWNERSHIP)
    first = get_ownership(world, 'map-a')
    initial_owners = {
        slot: state.owner
        for slot, state in first.slots.items()
        if not state.owner.startswith('map-c')
    }
    world.nodes['map-c'].kill()
    world.run(0.2)
    world.nodes['map-c'].start()
    world.run(8)
    restarted = get_ownership(world, 'map-c')
    assert restarted.slots == first.slots
    assert {
        slot: first.state_of(slot).owner for slot in initial_owners
    } == initial_owners
    request_ids = [
        post_claim(world, 'map-c', f'kept-{number}') for number in range(16)
    ]
    world.run(3)
    assert {world.status(request_id) for request_id in request_ids} == {200}


def test_a_fence_frees_the_slots_of_a_lost_zone():
    """Guards against slots that wait for witnesses that never return.

    Zone b is lost with all its nodes, so no witness is left to support a claim
    to its budget slots. A fence by an operator replaces their support.
    """
    world = start_fleet()
    for name in ('map-b', 'claims-b'):
        world.nodes[name].kill()
    world.run(8)
    for number, name in enumerate(('map-b', 'claims-b')):
        world.submit_operator_command(
            'map-a', f'fence node {name}', f'fence{number}'
        )
    world.run(8)
    states = get_ownership(world, 'map-a').slots.items()
    remaining_slots = [
        slot for slot, state in states if state.owner.endswith('-b')
    ]
    assert {slot.scope for slot in remaining_slots} == {'b'}
    assert all(
        get_ownership(world, 'map-a').slots[slot].fenced
        for slot in remaining_slots
    )


@pytest.mark.parametrize(
    ('headers', 'outcome'),
    [({}, 'unknown'), ({'ebonycleat_attempt': '1'}, 'not-run')],
)
def test_a_refusal_at_the_ingress_does_not_deny_an_earlier_run(
    headers, outcome
):
    """Guards against the outcome "not run" for an id that ran before.

    A draining node and a node that refuses a withdrawn key do not know whether
    an earlier attempt ran through another node. They report "not run" only if
    the request says that it is the first attempt.
    """
    world = start_fleet()
    first = post_claim(world, 'map-a', 'same')
    world.run(1)
    draining = world.nodes['claims-b']
    draining.perform(draining.core.drain(world.clock.now))
    repeated = post_claim(world, 'claims-b', 'same', **headers)
    apply_change(world, f'withdraw key {digest_key(SURVEY_KEY)}')
    later = post_claim(world, 'map-a', 'same', **headers)
    assert world.status(first) == 200
    assert world.header(repeated, 'Ebonycleat-Outcome') == outcome
    assert world.header(later, 'Ebonycleat-Outcome') == outcome
