"""Connections of callers never use up the descriptors of a node."""

import asyncio
import dataclasses

from ebonycleat.internal.connection import http_listener
from ebonycleat.internal.connection.http_messages import HttpResponse
from tests.loopback_http import (
    COMPLETE_RESPONSE,
    HOST,
    RecordingHandler,
    run_with_timeout,
    serve_handler,
)
from tests.mesh_environment import run_mesh

REQUEST = b'GET /1 HTTP/1.1\r\nhost: t\r\n\r\n'
CALLER_REQUEST = (
    b'GET /fetch/1 HTTP/1.1\r\nhost: maps.example\r\nx-request-id: id-1\r\n'
    b'x-deadline-ms: 5000\r\nauthorization: Bearer key-1\r\n\r\n'
)


async def ask(connection, request=REQUEST):
    reader, writer = connection
    writer.write(request)
    head = await reader.readuntil(b'\r\n\r\n')
    if b'content-length: 5' in head:
        await reader.readexactly(5)
    return head


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def test_a_new_connection_replaces_the_one_that_is_idle_for_longest(
    monkeypatch,
):
    monkeypatch.setattr(http_listener, 'MIN_EVICTION_IDLE_S', 0)
    monkeypatch.setattr(http_listener, 'CROWDED_SHARE', 2)

    async def connect_many():
        handler = RecordingHandler(COMPLETE_RESPONSE)
        async with serve_handler(handler, connections=4) as (listener, port):
            first, *others = [
                await asyncio.open_connection(HOST, port) for _ in range(4)
            ]
            await wait_until(lambda: len(listener.connections) == 4)
            await ask(first)
            newest = await asyncio.open_connection(HOST, port)
            answers = [await ask(newest), await ask(first)]
            closed = await others[0][0].read()
            return answers, closed, len(listener.connections)

    answers, closed, count = run_with_timeout(connect_many())
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    assert closed == b''
    assert count == 4


def test_a_connection_whose_request_may_be_on_its_way_is_not_replaced():
    async def connect_many():
        handler = RecordingHandler(COMPLETE_RESPONSE)
        async with serve_handler(handler, connections=8) as (listener, port):
            connections = [
                await asyncio.open_connection(HOST, port) for _ in range(9)
            ]
            await wait_until(lambda: len(listener.connections) == 9)
            return [await ask(connection) for connection in connections]

    answers = run_with_timeout(connect_many())
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)


def test_answers_close_their_connections_before_the_limit_is_reached():
    async def connect_many():
        handler = RecordingHandler(COMPLETE_RESPONSE)
        async with serve_handler(handler, connections=4) as (listener, port):
            connections = [
                await asyncio.open_connection(HOST, port) for _ in range(4)
            ]
            await wait_until(lambda: len(listener.connections) == 4)
            return [await ask(connection) for connection in connections]

    answers = run_with_timeout(connect_many())
    assert [b'connection: close' in answer for answer in answers] == [
        True,
        False,
        False,
        False,
    ]


def test_connections_far_beyond_the_limit_are_closed_at_once():
    async def connect_many():
        async with serve_handler(RecordingHandler(), connections=8) as served:
            listener, port = served
            connections = [
                await asyncio.open_connection(HOST, port) for _ in range(20)
            ]
            await wait_until(lambda: listener.accepted_connections == 20)
            await wait_until(lambda: len(listener.connections) == 9)
            return await connections[-1][0].read(), listener.dropped_connections

    assert run_with_timeout(connect_many()) == (b'', 11)


def test_a_request_on_a_connection_beyond_the_limit_is_refused_as_not_run():
    async def send_beyond_limit():
        async with run_mesh(work_s=1) as mesh:
            node = mesh.nodes[0]
            node.listener.limits = dataclasses.replace(
                node.listener.limits, connections=8
            )
            host, port = node.settings.callers.host, node.settings.callers.port
            connections = [
                await asyncio.open_connection(host, port) for _ in range(9)
            ]
            return await ask(connections[-1], CALLER_REQUEST)

    answer = run_with_timeout(send_beyond_limit())
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert b'retry-after: 0.' in answer.lower()
    assert b'connection: close' in answer.lower()


def test_the_limit_leaves_descriptors_for_links_and_the_target():
    """Guards against callers that take more than half of the descriptors.

    Of 200 descriptors 32 are for files and listening, 4 for the slots of the
    target, and 8 for connections that are closing.
    """

    async def find_limits():
        async with run_mesh() as mesh:
            node = mesh.nodes[0]
            limits = dataclasses.replace(
                node.settings.mesh_limits, max_descriptors=200
            )
            node.apply_settings(
                dataclasses.replace(node.settings, mesh_limits=limits)
            )
            changed = node.listener.limits.connections
            node.apply_configuration(node.fleet.configuration.index)
            return changed, node.listener.limits.connections

    assert run_with_timeout(find_limits()) == (56, 56)


def test_connections_that_cannot_be_closed_yet_still_count(monkeypatch):
    monkeypatch.setattr(http_listener, 'MIN_EVICTION_IDLE_S', 0)
    monkeypatch.setattr(http_listener, 'CROWDED_SHARE', 2)

    async def connect_many():
        handler = RecordingHandler(HttpResponse(200, (), b'x' * 50_000_000))
        async with serve_handler(handler, connections=2) as (listener, port):
            connections = []
            for _ in range(2):
                connections.append(await asyncio.open_connection(HOST, port))
                connections[-1][1].write(REQUEST)
            await wait_until(lambda: len(handler.exchanges) == 2)
            for _ in range(10):
                connections.append(await asyncio.open_connection(HOST, port))
            await wait_until(lambda: listener.accepted_connections == 12)
            await asyncio.sleep(0.05)
            return len(listener.connections), listener.evicted_connections

    # Two have unsent answers, two are the newest.
    assert run_with_timeout(connect_many()) == (4, 10)
