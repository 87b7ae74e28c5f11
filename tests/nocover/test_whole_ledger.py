"""End-to-end tests of uploads, pipelined requests and silent targets."""

import asyncio

from ebonycleat.internal.connection.http_messages import HttpResponse
from tests.loopback_http import run_with_timeout
from tests.mesh_environment import run_mesh

PIPELINED = (
    'GET /fetch/{number} HTTP/1.1\r\n'
    'host: maps.example\r\n'
    'x-request-id: id-{number}\r\n'
    'x-deadline-ms: 3000\r\n'
    'authorization: Bearer key-1\r\n'
    '{extra}\r\n'
)


def test_an_upload_reaches_one_target_whole():
    """Guards against a kind of request that nodes refuse or change."""
    body = bytes(range(256)) * 300

    async def scenario():
        async with run_mesh(('a', 'b')) as environment:
            answer = await environment.send_and_wait(0, '/import/1', body=body)
            received = [
                request
                for target in environment.targets
                for request in target.received_requests
            ]
        return answer, received

    answer, received = run_with_timeout(scenario())
    assert answer.status == 200
    assert [request.body for request in received] == [body]


def test_an_upload_over_the_limit_is_refused_and_runs_nowhere():
    """Guards against bodies that fill the memory of a node."""

    async def scenario():
        async with run_mesh() as environment:
            answer = await environment.send_and_wait(
                0, '/import/1', body=bytes(100_001)
            )
            return answer, environment.targets[0].received_requests

    answer, received = run_with_timeout(scenario())
    assert answer.status == 413
    assert not received


def test_pipelined_requests_run_at_the_same_time():
    """Guards against requests that wait for those before them."""
    request_count = 4

    async def scenario():
        async with run_mesh(work_s=0.2) as environment:
            target = environment.targets[0]
            address = environment.nodes[0].settings.callers
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            for number in range(request_count):
                is_last = number == request_count - 1
                extra = 'connection: close\r\n' if is_last else ''
                writer.write(
                    PIPELINED.format(number=number, extra=extra).encode()
                )
            await environment.wait_until(
                lambda: target.running == request_count
            )
            received = await reader.read()
            writer.close()
            return received

    received = run_with_timeout(scenario())
    positions = [
        received.index(f'by id-{number}'.encode())
        for number in range(request_count)
    ]
    assert positions == sorted(positions)


def test_a_target_that_never_answers_keeps_no_slot_and_no_stop():
    """Guards against slots lost for good and stops that wait for them.

    The target leaves half of the requests unanswered. None of them may run
    twice, so none is sent again.
    """

    async def scenario():
        async with run_mesh(usable_slots=2, work_s=0.05) as environment:
            target = environment.targets[0]
            sends = [
                environment.send_and_wait(
                    0,
                    f'/renew/{number}',
                    request_id=f'id-{number}',
                    deadline_ms=300,
                )
                for number in range(4)
            ]
            answers = await asyncio.gather(*sends)
            gate = environment.nodes[0].gate
            await environment.wait_until(lambda: not gate.pending_calls)
            later = await environment.send_and_wait(
                0, '/renew/5', request_id='later'
            )
            return answers, later, target, gate

    answers, later, target, gate = run_with_timeout(scenario())
    statuses = sorted(answer.status for answer in answers)
    assert statuses == [200, 200, 504, 504]
    assert target.unanswered == 2
    assert len(target.received_requests) == 3
    assert isinstance(later, HttpResponse)
    assert later.status == 200
    assert gate.pool.failure_counts['silent'] == 2
