"""The whole path on loopback: callers, nodes, targets, store, operator."""

import asyncio

from ebonycleat.internal.connection.http_messages import find_header
from tests.loopback_http import run_with_timeout
from tests.mesh_environment import create_configuration, run_mesh


def seen_ids(world):
    return [
        find_header(request.headers, 'x-request-id')
        for target in world.targets
        for request in target.seen
    ]


def test_a_request_is_served_by_a_target_with_its_team_and_without_its_key():
    """Guards against a path that loses the team or shows the key."""

    async def play():
        async with run_mesh() as world:
            answer = await world.send_and_wait(0, '/fetch/1')
        return answer, world.targets[0].seen[0]

    answer, seen = run_with_timeout(play())
    assert (answer.status, answer.body) == (200, b'by id-1')
    assert find_header(answer.headers, 'x-server-signature') == 'i-0'
    assert find_header(seen.headers, 'x-tenant-id') == 'shop'
    assert not find_header(seen.headers, 'authorization')


def test_a_node_reaches_the_targets_of_other_nodes():
    """Guards against a node that serves its own target only."""

    async def play():
        async with run_mesh(('a', 'b'), work_s=0.2) as world:
            sends = [
                world.send_and_wait(0, '/fetch/1', request_id=f'id-{number}')
                for number in range(8)
            ]
            answers = await asyncio.gather(*sends)
        return answers, world.targets

    answers, targets = run_with_timeout(play())
    assert {answer.status for answer in answers} == {200}
    assert all(target.seen for target in targets)


def test_refusals_at_the_entry_tell_why():
    """Guards against wrong statuses for keys and routes."""

    async def play():
        async with run_mesh() as world:
            return [
                (await world.send_and_wait(0, '/fetch/1', key='other')).status,
                (await world.send_and_wait(0, '/fetch/1', key='')).status,
                (await world.send_and_wait(0, '/nowhere/')).status,
                (await world.send_and_wait(0, '/open/1', key='')).status,
            ]

    assert run_with_timeout(play()) == [401, 401, 404, 200]


def test_a_withdrawn_key_stops_working_for_a_connected_caller():
    """Guards against a key that lives on in a kept connection."""

    async def play():
        async with run_mesh() as world:
            before = await world.send_and_wait(0, '/fetch/1')
            world.store.write_configuration(create_configuration(2, ('key-2',)))
            await world.wait_until(
                lambda: world.nodes[0].fleet.configuration.version == 2
            )
            after = await world.send_and_wait(0, '/fetch/1')
        return before.status, after.status

    assert run_with_timeout(play()) == (200, 401)


def test_a_change_reaches_the_nodes_that_do_not_read_the_store():
    """Guards against followers that wait for their next question."""

    async def play():
        async with run_mesh(('a', 'a', 'a')) as world:
            world.store.write_configuration(create_configuration(2))
            await world.wait_until(
                lambda: all(
                    node.fleet.configuration.version == 2
                    for node in world.nodes
                ),
            )
            return world.store.calls

    assert run_with_timeout(play()) < 60


def test_a_draining_target_gets_no_new_work():
    """Guards against requests for a target whose drain was acknowledged."""

    async def play():
        async with run_mesh(('a', 'a')) as world:
            target = world.targets[0]
            target.state = 'draining'
            acknowledgement = await target.announce()
            count = len(target.seen)
            answers = [
                await world.send_and_wait(
                    0, '/fetch/1', request_id=f'id-{number}'
                )
                for number in range(5)
            ]
        return acknowledgement, answers, len(target.seen) - count

    acknowledgement, answers, more = run_with_timeout(play())
    assert acknowledgement.status == 200
    assert {answer.status for answer in answers} == {200}
    assert more == 0


def test_a_planned_stop_finishes_the_requests_that_were_read():
    """Guards against requests cut by a planned stop."""

    async def play():
        async with run_mesh(work_s=0.5) as world:
            asking = asyncio.ensure_future(world.send_and_wait(0, '/fetch/1'))
            await world.wait_until(lambda: world.targets[0].seen)
            world.nodes[0].stop_requested.set()
            return (await asking).status, world.nodes[0].is_ready()

    assert run_with_timeout(play()) == (200, False)


def test_a_caller_that_leaves_ends_the_run_at_a_remote_target():
    """Guards against work that nobody waits for, one hop away."""

    async def play():
        async with run_mesh(('a', 'a'), work_s=2) as world:
            world.nodes[0].gate.gate.drain()
            send, _ = world.send(0, '/fetch/1')
            remote = world.targets[1]
            await world.wait_until(lambda: remote.seen)
            send.cancel()
            await world.wait_until(lambda: remote.abandoned)
        return remote.abandoned

    assert run_with_timeout(play()) == 1


def test_a_whole_body_reaches_the_target():
    """Guards against bodies that are cut between nodes."""
    body = bytes(range(256)) * 300

    async def play():
        async with run_mesh(('a', 'b')) as world:
            world.nodes[0].gate.gate.drain()
            answer = await world.send_and_wait(0, '/renew/1', body=body)
        return answer.status, world.targets[1].seen[0].body

    assert run_with_timeout(play()) == (200, body)


def test_without_the_store_keys_work_until_their_proof_is_old():
    """Guards against a key withdrawn while the store cannot be read."""

    async def play():
        async with run_mesh() as world:
            world.store.is_down = True
            still = await world.send_and_wait(0, '/fetch/1')
            holder = world.nodes[0].fleet.configuration
            holder.proved_at -= 10
            await world.wait_until(lambda: not world.nodes[0].is_ready())
            late = await world.send_and_wait(0, '/fetch/1')
            world.store.is_down = False
            await world.wait_until(world.nodes[0].is_ready)
            again = await world.send_and_wait(0, '/fetch/1')
        return still.status, late.status, again.status

    assert run_with_timeout(play()) == (200, 503, 200)


def test_no_request_runs_twice_over_all_nodes():
    """Guards against a request that two gates run."""

    async def play():
        async with run_mesh(('a', 'b', 'c'), work_s=0.01) as world:
            await asyncio.gather(
                *(
                    world.send_and_wait(
                        number % 3, '/renew/1', request_id=f'id-{number}'
                    )
                    for number in range(60)
                )
            )
        return seen_ids(world)

    ids = run_with_timeout(play())
    assert len(ids) == len(set(ids))
