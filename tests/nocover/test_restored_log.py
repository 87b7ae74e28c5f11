"""Whole nodes whose log was restored from an older copy."""

import pytest

from bench.node_simulation import NodeSimulation
from ebonycleat.internal.connection.log_service import LogStream
from tests.node_fleet import (
    TRACTORS_KEY,
    apply_change,
    count_runs,
    find_max_runs_per_key,
    get_map,
    post_claim,
    start_fleet,
)

WITHDRAW_TRACTORS = 'withdraw team tractors'


def restart(world: NodeSimulation, names, log_era: int = 0) -> None:
    """Kill the nodes and start them again with an era in their settings."""
    for name in names:
        world.nodes[name].kill()
    for name in names:
        world.nodes[name].log_era = log_era
        world.nodes[name].start()
    world.run(4)


def statuses_of_tractors(world: NodeSimulation) -> set[int]:
    requests = [get_map(world, node, TRACTORS_KEY) for node in world.nodes]
    world.run(1)
    return {world.status(request) for request in requests}


def test_a_withdrawn_key_stays_withdrawn_at_a_node_that_restarts():
    """Guards against a configuration that a restored log has brought back."""
    world = start_fleet()
    copied = world.log.copy()
    assert statuses_of_tractors(world) == {200}
    apply_change(world, WITHDRAW_TRACTORS)
    world.run(2)
    world.log.restore(copied)
    world.run(3)
    restart(world, ['map-b', 'claims-a'])
    assert statuses_of_tractors(world) == {401}


def test_claims_go_on_while_the_log_is_in_another_era():
    """Guards against a service that a restored log has stopped."""
    world = start_fleet()
    world.log.restore(world.log.copy())
    world.run(3)
    requests = [
        post_claim(world, node, f'claim-{number}')
        for number, node in enumerate(world.nodes)
    ]
    world.run(4)
    assert {world.status(request) for request in requests} == {200}
    assert find_max_runs_per_key(world) == 1


@pytest.mark.parametrize('is_owner_known', [True, False])
def test_an_id_whose_record_was_lost_runs_only_once(is_owner_known):
    """Guards against a claim that lands twice after the log was restored."""
    world = start_fleet()
    copied = world.log.copy()
    if not is_owner_known:
        copied[LogStream.OWNERSHIP].clear()
    first = post_claim(world, 'map-a', 'claim-1')
    world.run(2)
    assert world.status(first) == 200
    world.log.restore(copied)
    restart(world, list(world.nodes), log_era=1)
    second = post_claim(world, 'map-b', 'claim-1')
    world.run(4)
    assert count_runs(world, '/claims/x') == 1
    assert world.status(second) not in {0, 200, 429, 503}


def test_nodes_of_the_new_era_use_the_restored_log():
    """Guards against a log that accepts no change any more."""
    world = start_fleet()
    world.log.restore(world.log.copy())
    restart(world, list(world.nodes), log_era=1)
    apply_change(world, WITHDRAW_TRACTORS)
    world.run(2)
    assert statuses_of_tractors(world) == {401}
