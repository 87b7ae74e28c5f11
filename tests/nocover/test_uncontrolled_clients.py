"""Clients that no limit holds back end no process and keep no caller out.

Crowds and bounds follow from the memory of the machine, 200 MB, and from half
of the descriptors; nothing here depends on the speed of the machine.
"""

import asyncio

import pytest

from tests.uncontrolled_clients import (
    MAX_BODY_BYTES,
    encode_request,
    run_fleet,
    send_all,
)

MIB = 1_048_576
TEST_TIMEOUT_S = 120


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_S))


@pytest.mark.parametrize('services', [('maps',), ('front', 'maps')])
def test_answers_that_nobody_reads_do_not_fill_the_memory(tmp_path, services):
    """Guards against answers that pile up in transports, also behind links.

    100 clients ask for 8 MiB each and read nothing, or a little at times.
    """

    async def read_little(connection):
        await send_all(connection, encode_request('open', 0))
        while True:
            await asyncio.sleep(0.5)
            await asyncio.get_running_loop().sock_recv(connection, 100)

    async def read_nothing(connection):
        await send_all(connection, encode_request('open', 0))

    async def scenario():
        answer = b'x' * 8 * MIB
        async with run_fleet(tmp_path, services, answer_body=answer) as fleet:
            await fleet.start_crowd(50, read_little)
            await asyncio.wait(await fleet.start_crowd(50, read_nothing))
            await asyncio.sleep(3)
            await fleet.wait_for_answer()

    run(scenario())


def create_heads(route, header):
    head = encode_request(route, 0, ending=b'')
    end = header * ((15_000 - len(head)) // len(header)) + b'\r\n'
    return (head[:-2] + end) * 64


ENDLESS_PARTS = {
    'long header': (b'GET / HTTP/1.1\r\nx-long: ', b'y' * 4096),
    'headers': (b'GET / HTTP/1.1\r\n', b'x-many: y\r\n' * 400),
    'short headers': (b'GET / HTTP/1.1\r\n', b'a:\r\n' * 16_000),
    'target': (b'GET /', b'y' * 4096),
    'empty lines': (b'', b'\r\n' * 2048),
    'requests': (b'', encode_request('renew', 0, ending=b'') * 2000),
    'smallest requests': (b'', b'GET / HTTP/1.1\r\n\r\n' * 20_000),
    'requests of short headers': (b'', create_heads('renew', b'a:bc\r\n')),
}


@pytest.mark.parametrize('kind', list(ENDLESS_PARTS))
def test_requests_without_end_keep_no_caller_out(tmp_path, kind):
    """Guards against heads and requests that nothing counts.

    140 clients, more than may connect, send without end and read nothing. The
    target takes its time, so that requests wait.
    """
    beginning, repeated = ENDLESS_PARTS[kind]

    async def send_without_end(connection):
        await send_all(connection, beginning)
        while True:
            await send_all(connection, repeated)
            await asyncio.sleep(0.1)

    async def scenario():
        async with run_fleet(tmp_path, work_s=1) as fleet:
            await fleet.start_crowd(140, send_without_end)
            await asyncio.sleep(5)
            await fleet.wait_for_answer()

    run(scenario())


@pytest.mark.parametrize('piece', [16 * MIB, 65_536])
def test_bodies_that_stop_short_of_their_end_give_way(tmp_path, piece):
    """Guards against stalled bodies that take all room from complete ones.

    60 clients send 16 MiB each up to the last byte, whole or in pieces, and
    then go on with a byte at times. A small and a large request are answered.
    """

    async def stop_short(connection):
        head = encode_request('import', 1).replace(
            b'content-length: 1', b'transfer-encoding: chunked'
        )
        await send_all(connection, head)
        for _ in range(16 * MIB // piece):
            await send_all(connection, b'%x\r\n' % piece + b'y' * piece)
            await send_all(connection, b'\r\n')
        while True:
            await asyncio.sleep(0.5)
            await send_all(connection, b'1\r\ny\r\n')

    async def scenario():
        async with run_fleet(tmp_path) as fleet:
            await fleet.start_crowd(60, stop_short)
            await asyncio.sleep(3)
            await fleet.wait_for_answer(body=b'small')
            await fleet.wait_for_answer(body=b'x' * 32 * MIB)

    run(scenario())


@pytest.mark.parametrize('answer', [b'', b'z' * 16 * MIB])
def test_whole_bodies_from_many_entries_fit_into_one_gate(tmp_path, answer):
    """Guards against bodies that each entry counts and their gate does not.

    Three entries pass on 8 bodies of 16 MiB each to the only target, which
    holds them; where it answers with as much, the answers add to them.
    """
    request = encode_request('import', 16 * MIB) + b'y' * 16 * MIB

    async def send_whole(connection):
        await send_all(connection, request)
        while await asyncio.get_running_loop().sock_recv(connection, 65_536):
            """Read the whole answer."""

    async def scenario():
        services = ('maps', 'front', 'front', 'front')
        async with run_fleet(
            tmp_path, services, work_s=2, answer_body=answer
        ) as fleet:
            crowds = [
                await fleet.start_crowd(8, send_whole, number)
                for number in (1, 2, 3)
            ]
            await asyncio.wait(sum(crowds, []))
            await fleet.wait_for_answer(1)

    run(scenario())


@pytest.mark.parametrize('services', [('maps',), ('front', 'maps')])
def test_the_largest_request_and_answer_fit_on_the_smallest_machine(
    tmp_path, services
):
    """Guards against limits that a single legal request meets."""
    body = b'x' * MAX_BODY_BYTES

    async def scenario():
        async with run_fleet(tmp_path, services, answer_body=body) as fleet:
            assert await fleet.ask(0, body) == b'200'

    run(scenario())
