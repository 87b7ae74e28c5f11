"""End-to-end tests of mesh nodes with callers, targets and the store."""

import asyncio
import dataclasses
import socket

import pytest

from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    find_header,
)
from ebonycleat.internal.process.clocks import boottime_s
from ebonycleat.internal.process.mesh_runner import (
    MIN_DRAIN_S,
    STOP_RESERVE_S,
    WITHDRAWAL_S,
)
from ebonycleat_tools.platform.store import CONFIGURATION_TOPIC
from tests.loopback_http import run_with_timeout
from tests.mesh_environment import (
    MESH_LIMITS,
    create_configuration,
    run_mesh,
)


def list_received_ids(environment):
    return [
        find_header(request.headers, 'x-request-id')
        for target in environment.targets
        for request in target.received_requests
    ]


def test_a_request_is_served_by_a_target_with_its_team_and_without_its_key():
    """Guards against a node that loses the team or forwards the key."""

    async def scenario():
        async with run_mesh() as environment:
            answer = await environment.send_and_wait(0, '/fetch/1')
        return answer, environment.targets[0].received_requests[0]

    answer, received = run_with_timeout(scenario())
    assert (answer.status, answer.body) == (200, b'by id-1')
    assert find_header(answer.headers, 'x-server-signature') == 'i-0'
    assert find_header(received.headers, 'x-tenant-id') == 'shop'
    assert not find_header(received.headers, 'authorization')


@pytest.mark.parametrize('first_key', ['key-1', ''])
def test_a_connection_that_has_carried_a_key_makes_no_calls_of_the_target(
    first_key,
):
    """Guards against callers of open routes that go before paying ones.

    Their requests passed for calls of the target, which are never shed, and
    the services that they reach for services behind the target.
    """

    async def scenario():
        async with run_mesh() as environment:
            node = environment.nodes[0]
            path = '/fetch/1' if first_key else '/open/1'
            await environment.send_and_wait(0, path, key=first_key)
            await environment.send_and_wait(0, '/open/2', key='')
            return (
                len(node.listener.connections),
                bool(node.gate.call_counts.calls),
            )

    assert run_with_timeout(scenario()) == (1, not first_key)


def test_a_node_reaches_the_targets_of_other_nodes():
    """Guards against a node that sends requests only to its own target."""

    async def scenario():
        async with run_mesh(('a', 'b'), work_s=0.2) as environment:
            sends = [
                environment.send_and_wait(
                    0, '/fetch/1', request_id=f'id-{number}'
                )
                for number in range(8)
            ]
            answers = await asyncio.gather(*sends)
        return answers, environment.targets

    answers, targets = run_with_timeout(scenario())
    assert {answer.status for answer in answers} == {200}
    assert all(target.received_requests for target in targets)


def test_refusals_have_the_status_of_their_reason():
    """Guards against wrong statuses for invalid keys and unknown routes."""

    async def scenario():
        async with run_mesh() as environment:
            return [
                (
                    await environment.send_and_wait(0, '/fetch/1', key='other')
                ).status,
                (await environment.send_and_wait(0, '/fetch/1', key='')).status,
                (await environment.send_and_wait(0, '/nowhere/')).status,
                (await environment.send_and_wait(0, '/open/1', key='')).status,
            ]

    assert run_with_timeout(scenario()) == [401, 401, 404, 200]


def test_a_withdrawn_key_stops_working_for_a_connected_caller():
    """Guards against a key that stays valid on an open connection."""

    async def scenario():
        async with run_mesh() as environment:
            before = await environment.send_and_wait(0, '/fetch/1')
            environment.store.write_configuration(
                create_configuration(2, ('key-2',))
            )
            await environment.wait_until(
                lambda: environment.nodes[0].fleet.configuration.version == 2
            )
            after = await environment.send_and_wait(0, '/fetch/1')
        return before.status, after.status

    assert run_with_timeout(scenario()) == (200, 401)


def test_a_change_reaches_nodes_that_do_not_read_the_store():
    """Guards against nodes that learn of a change only at their next poll."""

    async def scenario():
        async with run_mesh(('a', 'a', 'a')) as environment:
            environment.store.write_configuration(create_configuration(2))
            await environment.wait_until(
                lambda: all(
                    node.fleet.configuration.version == 2
                    for node in environment.nodes
                ),
            )
            return environment.store.call_count

    assert run_with_timeout(scenario()) < 60


def test_a_draining_target_gets_no_new_work():
    """Guards against requests to a target after its drain was acknowledged."""

    async def scenario():
        async with run_mesh(('a', 'a')) as environment:
            target = environment.targets[0]
            target.state = 'draining'
            acknowledgement = await target.send_heartbeat()
            count = len(target.received_requests)
            answers = [
                await environment.send_and_wait(
                    0, '/fetch/1', request_id=f'id-{number}'
                )
                for number in range(5)
            ]
        return acknowledgement, answers, len(target.received_requests) - count

    acknowledgement, answers, received_after_drain = run_with_timeout(
        scenario()
    )
    assert acknowledgement.status == 200
    assert {answer.status for answer in answers} == {200}
    assert received_after_drain == 0


def test_a_target_that_leaves_by_its_answers_gets_no_work_from_any_node():
    """Guards against nodes that wait for the heartbeat of a leaving target."""

    async def scenario():
        async with run_mesh(('a', 'b')) as environment:
            leaving = environment.targets[0]
            leaving.options = dataclasses.replace(
                leaving.options, answer_headers=(('server-leaving', '1'),)
            )
            await environment.send_and_wait(0, '/fetch/1')
            await environment.wait_until(
                lambda: all(
                    len(node.fleet.members.members_of('maps')) == 1
                    for node in environment.nodes
                )
            )
            statuses = [
                (await environment.send_and_wait(number % 2, '/fetch/2')).status
                for number in range(6)
            ]
        return len(leaving.received_requests), set(statuses)

    assert run_with_timeout(scenario()) == (1, {200})


def test_a_planned_stop_finishes_received_requests():
    """Guards against a planned stop that aborts running requests."""

    async def scenario():
        async with run_mesh(work_s=0.5) as environment:
            request_task = asyncio.ensure_future(
                environment.send_and_wait(0, '/fetch/1')
            )
            await environment.wait_until(
                lambda: environment.targets[0].received_requests
            )
            environment.nodes[0].stop_requested.set()
            return (await request_task).status, environment.nodes[0].is_ready()

    assert run_with_timeout(scenario()) == (200, False)


def test_refusals_that_a_target_repeats_answer_no_other_request():
    """Guards against "not run" for a request that the target has run."""
    status_by_id = {}

    async def scenario():
        async with run_mesh(work_s=0.01, repeats_refusals=True) as environment:
            target = environment.targets[0]
            while target.repeated_refusals < 6:
                slots = len(status_by_id) % 2
                target.options = dataclasses.replace(
                    target.options, slots=slots
                )
                request_id = f'id-{len(status_by_id)}'
                answer = await environment.send_and_wait(
                    0, '/renew/1', request_id=request_id
                )
                status_by_id[request_id] = answer.status
        return list_received_ids(environment)

    received_ids = run_with_timeout(scenario())
    answered = {key for key, status in status_by_id.items() if status == 200}
    assert answered == set(received_ids)
    assert len(answered) >= 6


class AdvancedClock:
    """The clock of the machine, which a test can advance."""

    def __init__(self):
        self.advance_s = 0

    def __call__(self):
        return boottime_s() + self.advance_s


def test_a_request_late_in_a_planned_stop_is_refused_and_not_cut_off():
    """Guards against runs that the end of a stopping node leaves unanswered."""
    clock = AdvancedClock()

    async def scenario():
        async with run_mesh(('a', 'a'), work_s=0.4, clock=clock) as environment:
            send = environment.send_and_wait
            environment.nodes[0].gate.gate.drain()
            before = await send(0, '/open/1', key='')
            environment.nodes[0].stop_requested.set()
            await asyncio.sleep(0)
            in_time = asyncio.ensure_future(send(0, '/open/2', key=''))
            received = environment.targets[1].received_requests
            await environment.wait_until(lambda: len(received) == 2)
            clock.advance_s = 5.1
            late = asyncio.ensure_future(send(0, '/open/3', key=''))
            await environment.wait_until(
                lambda: late.done() or len(received) == 3
            )
            return before, await in_time, await late, len(received)

    before, in_time, late, received = run_with_timeout(scenario())
    assert (before.status, in_time.status) == (200, 200)
    assert (late.status, received) == (503, 2)
    assert find_header(late.headers, 'retry-after')


def test_what_waits_at_another_node_is_refused_before_a_node_ends():
    """Guards against requests that run nowhere and get no answer."""
    clock = AdvancedClock()

    async def scenario():
        async with run_mesh(('a', 'a'), work_s=3, clock=clock) as environment:
            node = environment.nodes[0]
            node.settings = dataclasses.replace(
                node.settings,
                mesh_limits=dataclasses.replace(MESH_LIMITS, stop_grace_s=2.6),
            )
            node.gate.gate.drain()
            other = environment.nodes[1].gate.gate
            sent = [
                asyncio.ensure_future(
                    environment.send_and_wait(0, f'/renew/{number}')
                )
                for number in range(6)
            ]
            await environment.wait_until(
                lambda: len(other.running) == 4 and len(other.queue) == 2
            )
            node.stop_requested.set()
            await asyncio.sleep(0)
            clock.advance_s = 2.6 - STOP_RESERVE_S - WITHDRAWAL_S
            await asyncio.wait(environment.tasks[:1])
            answers = await asyncio.gather(*sent)
            return (
                [
                    (answer.status, find_header(answer.headers, 'retry-after'))
                    for answer in answers
                    if isinstance(answer, HttpResponse)
                ],
                len(list_received_ids(environment)),
            )

    answers, received = run_with_timeout(scenario())
    assert [status for status, _ in answers] == [503, 503]
    assert all(float(retry_after) > 0 for _, retry_after in answers)
    assert received == 4


async def open_slow_reader(address, request):
    """Send a request on a connection that buffers little of the answer."""
    slow_socket = socket.socket()
    slow_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow_socket.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(slow_socket, (address.host, address.port))
    reader, writer = await asyncio.open_connection(sock=slow_socket, limit=4096)
    writer.write(request)
    await reader.readuntil(b'\r\n\r\n')
    return reader, writer


def test_a_planned_stop_waits_for_answers_that_are_being_read():
    """Guards against answers that the end of a stopping node cuts off."""
    clock = AdvancedClock()
    body = b'x' * 20_000_000
    request = (
        b'GET /open/1 HTTP/1.1\r\nhost: maps.example\r\nx-request-id: 1\r\n'
        b'connection: close\r\n\r\n'
    )

    async def scenario():
        async with run_mesh(clock=clock, answer_body=body) as environment:
            node = environment.nodes[0]
            reader, writer = await open_slow_reader(
                node.settings.callers, request
            )
            node.stop_requested.set()
            await asyncio.sleep(0)
            clock.advance_s = MIN_DRAIN_S + 0.5
            ended_early, _ = await asyncio.wait(
                environment.tasks[:1], timeout=0.5
            )
            received = await reader.read()
            writer.close()
            await asyncio.wait(environment.tasks[:1])
            return bool(ended_early), len(received)

    assert run_with_timeout(scenario()) == (False, len(body))


def test_a_disconnected_caller_cancels_its_run_at_a_remote_target():
    """Guards against a remote target that works for a caller that has left."""

    async def scenario():
        async with run_mesh(('a', 'a'), work_s=2) as environment:
            environment.nodes[0].gate.gate.drain()
            in_flight, _ = environment.send(0, '/fetch/1')
            remote = environment.targets[1]
            await environment.wait_until(lambda: remote.received_requests)
            in_flight.cancel()
            await environment.wait_until(lambda: remote.abandoned)
        return remote.abandoned

    assert run_with_timeout(scenario()) == 1


def test_a_large_body_reaches_the_target_unchanged():
    """Guards against bodies that are truncated between nodes."""
    body = bytes(range(256)) * 300

    async def scenario():
        async with run_mesh(('a', 'b')) as environment:
            environment.nodes[0].gate.gate.drain()
            answer = await environment.send_and_wait(0, '/renew/1', body=body)
        return answer.status, environment.targets[1].received_requests[0].body

    assert run_with_timeout(scenario()) == (200, body)


def test_keys_work_without_the_store_until_the_proof_expires():
    """Guards against accepting a key that was withdrawn during an outage.

    Without the store a node cannot prove that its configuration is current.
    """

    async def scenario():
        async with run_mesh() as environment:
            environment.store.is_down = True
            during_outage = await environment.send_and_wait(0, '/fetch/1')
            holder = environment.nodes[0].fleet.configuration
            holder.proved_at -= 10
            await environment.wait_until(
                lambda: not environment.nodes[0].is_ready()
            )
            after_proof_expired = await environment.send_and_wait(0, '/fetch/1')
            environment.store.is_down = False
            await environment.wait_until(environment.nodes[0].is_ready)
            after_outage = await environment.send_and_wait(0, '/fetch/1')
        return (
            during_outage.status,
            after_proof_expired.status,
            after_outage.status,
        )

    assert run_with_timeout(scenario()) == (200, 503, 200)


def test_no_request_runs_twice_in_the_mesh():
    """Guards against a request that two nodes pass to their targets."""

    async def scenario():
        async with run_mesh(('a', 'b', 'c'), work_s=0.01) as environment:
            await asyncio.gather(
                *(
                    environment.send_and_wait(
                        number % 3, '/renew/1', request_id=f'id-{number}'
                    )
                    for number in range(60)
                )
            )
        return list_received_ids(environment)

    ids = run_with_timeout(scenario())
    assert len(ids) == len(set(ids))


def test_queued_calls_of_an_evacuated_zone_are_run_in_another_one():
    """Guards against calls that end with the evacuation of their zone."""

    async def scenario():
        async with run_mesh(('a', 'b'), work_s=0.2) as environment:
            gates = [node.gate.gate for node in environment.nodes]
            sends = [
                environment.send(1, '/renew/1', request_id=f'id-{number}')[1]
                for number in range(16)
            ]
            await environment.wait_until(
                lambda: any(gate.queue for gate in gates)
            )
            number = 0 if gates[0].queue else 1
            received = environment.targets[number].received_requests
            topic = environment.store.topic(CONFIGURATION_TOPIC)
            topic.append(f'evacuate/{"ab"[number]}', b'{}')
            await environment.wait_until(lambda: gates[number].is_evacuated)
            before = len(received)
            answers = await asyncio.gather(*sends)
            after = len(received)
            ids = list_received_ids(environment)
        return answers, sorted(ids), after - before

    answers, ids, received_since = run_with_timeout(scenario())
    assert {answer.status for answer in answers} == {200}
    assert ids == sorted(f'id-{number}' for number in range(16))
    assert not received_since
