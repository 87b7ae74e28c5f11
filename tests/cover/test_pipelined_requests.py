"""Requests that a caller sends before the first has been answered."""

import asyncio

import pytest

from ebonycleat.internal.connection.http_listener import (
    MAX_CONCURRENT_REQUESTS,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from tests.loopback_http import (
    HOST,
    RecordingHandler,
    run_with_timeout,
    send_and_read_to_end,
    serve_handler,
)

CLOSE_HEADER = 'connection: close\r\n'


class PipelineHandler(RecordingHandler):
    """Lets GET requests run beside others; the test gives the answers."""

    def may_run_beside(self, request):
        return request.method == 'GET'

    def answer(self, path, body=None):
        """Answer the exchange of a path, with the path as its body."""
        exchange = next(
            one
            for one in self.exchanges
            if one.request.request_target == path and not one.is_finished
        )
        exchange.respond(HttpResponse(200, (), (body or path).encode()))

    def paths(self):
        return [one.request.request_target for one in self.exchanges]


def encode(path, method='GET', head=''):
    return f'{method} {path} HTTP/1.1\r\nhost: t\r\n{head}\r\n'.encode()


def play(sent, script):
    """Send bytes; run ``script`` with handler and listener; return both sides.

    ``script`` is a coroutine function. The result is what the caller received
    until the connection closed.
    """

    async def run_exchange():
        handler = PipelineHandler()
        async with serve_handler(handler) as (listener, port):
            reading = asyncio.create_task(send_and_read_to_end(port, sent))
            await script(handler, listener)
            return handler, await reading

    return run_with_timeout(run_exchange())


async def wait_for_paths(handler, *paths):
    while handler.paths() != list(paths):
        await asyncio.sleep(0)


async def let_loop_run():
    for _ in range(50):
        await asyncio.sleep(0)


def bodies_of(received):
    """Return the bodies of responses, in their order."""
    parts = received.split(b'HTTP/1.1 200 OK')[1:]
    return [part.partition(b'\r\n\r\n')[2].decode() for part in parts]


def test_requests_run_side_by_side_and_are_answered_in_order():
    """Guards against a slow request that delays the work of those behind."""

    async def script(handler, listener):
        await wait_for_paths(handler, '/1', '/2', '/3')
        for path in ('/3', '/2', '/1'):
            handler.answer(path)

    sent = encode('/1') + encode('/2') + encode('/3', head=CLOSE_HEADER)
    _, received = play(sent, script)
    assert bodies_of(received) == ['/1', '/2', '/3']


def test_a_request_that_must_not_run_twice_waits_for_those_before_it():
    """Guards against a run whose caller sends the request again.

    It would if an answer before it closed the connection.
    """

    async def script(handler, listener):
        await wait_for_paths(handler, '/1')
        await let_loop_run()
        assert handler.paths() == ['/1']
        handler.answer('/1')
        await wait_for_paths(handler, '/1', '/2')
        handler.answer('/2')

    sent = encode('/1') + encode('/2', 'POST', CLOSE_HEADER)
    _, received = play(sent, script)
    assert bodies_of(received) == ['/1', '/2']


def test_nothing_runs_behind_a_request_that_closes_the_connection():
    """Guards against running what the caller counts as not read."""

    async def script(handler, listener):
        await wait_for_paths(handler, '/1')
        await let_loop_run()
        handler.answer('/1')
        await let_loop_run()
        assert handler.paths() == ['/1']

    sent = encode('/1', head=CLOSE_HEADER) + encode('/2')
    _, received = play(sent, script)
    assert bodies_of(received) == ['/1']


def test_a_bounded_number_of_requests_runs_side_by_side():
    """Guards against one connection that uses up the memory of a node."""
    paths = [f'/{number}' for number in range(MAX_CONCURRENT_REQUESTS + 2)]

    async def script(handler, listener):
        await wait_for_paths(handler, *paths[:MAX_CONCURRENT_REQUESTS])
        await let_loop_run()
        assert handler.paths() == paths[:MAX_CONCURRENT_REQUESTS]
        for path in paths:
            await wait_until_started(handler, path)
            handler.answer(path)

    async def wait_until_started(handler, path):
        while path not in handler.paths():
            await asyncio.sleep(0)

    sent = b''.join(map(encode, paths[:-1]))
    _, received = play(sent + encode(paths[-1], head=CLOSE_HEADER), script)
    assert bodies_of(received) == paths


def test_a_caller_that_leaves_abandons_all_its_requests():
    """Guards against work for a caller that has left."""

    async def run_exchange():
        handler = PipelineHandler()
        async with serve_handler(handler) as (_, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(encode('/1') + encode('/2'))
            await wait_for_paths(handler, '/1', '/2')
            writer.close()
            while handler.abandoned_count < 2:
                await asyncio.sleep(0)

    run_with_timeout(run_exchange())


@pytest.mark.parametrize('closes_first', [True, False])
def test_a_planned_stop_answers_every_request_that_was_received(closes_first):
    """Guards against a stop that cuts requests behind another one."""

    async def script(handler, listener):
        await wait_for_paths(handler, '/1', '/2')
        if closes_first:
            listener.close_idle()
        handler.answer('/2')
        if not closes_first:
            listener.close_idle()
        handler.answer('/1')
        await wait_for_paths(handler, '/1', '/2', '/3')
        handler.answer('/3')

    sent = encode('/1') + encode('/2') + encode('/3', 'POST')
    _, received = play(sent, script)
    assert bodies_of(received) == ['/1', '/2', '/3']
    assert received.count(b'connection: close') == 1


class FailingHandler(PipelineHandler):
    """Fails on the first request, as a handler with a fault would."""

    def handle_exchange(self, exchange):
        super().handle_exchange(exchange)
        if len(self.exchanges) == 2:
            raise ValueError('fault')


def test_a_fault_in_the_handler_ends_only_its_request(contained_errors):
    """Guards against a connection that takes no request any more.

    The request that failed is answered, so that its caller does not wait.
    """

    async def run_exchange():
        handler = FailingHandler()
        async with serve_handler(handler) as (listener, port):
            reading = asyncio.create_task(
                send_and_read_to_end(
                    port,
                    encode('/1')
                    + encode('/2', 'POST')
                    + encode('/3', 'POST', CLOSE_HEADER),
                )
            )
            await wait_for_paths(handler, '/1')
            # The failing request starts from a callback of the event loop.
            handler.answer('/1')
            await wait_for_paths(handler, '/1', '/2', '/3')
            handler.answer('/3')
            return await reading

    received = run_with_timeout(run_exchange())
    answers = [part for part in received.split(b'HTTP/1.1 ') if part]
    assert [answer[:3] for answer in answers] == [b'200', b'502', b'200']
    bodies = [answer.partition(b'\r\n\r\n')[2] for answer in answers]
    assert bodies == [b'/1', b'', b'/3']
    assert contained_errors == {'request': 1}


def test_a_malformed_request_is_refused_after_the_answers_before_it():
    """Guards against a refusal that a caller takes for another answer."""

    async def script(handler, listener):
        await wait_for_paths(handler, '/1')
        await let_loop_run()
        handler.answer('/1')

    _, received = play(encode('/1') + b'nonsense\r\n\r\n', script)
    assert received.index(b'\r\n\r\n/1') < received.index(b' 400 ')


@pytest.mark.parametrize(
    ('beginning', 'repeated', 'status'),
    [
        (b'GET /1 HTTP/1.1\r\nx-long: ', b'y' * 4000, b'431'),
        (b'GET /', b'y' * 4000, b'431'),
        (
            b'POST /1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5;x=',
            b'y' * 4000,
            b'400',
        ),
        (
            b'POST /1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
            b'x-many: y\r\n' * 300,
            b'431',
        ),
    ],
)
def test_a_request_whose_framing_never_ends_is_refused(
    beginning, repeated, status
):
    """Guards against callers that fill the memory without a complete header."""

    async def run_exchange():
        handler = PipelineHandler()
        async with serve_handler(handler, header_bytes=10_000) as (_, port):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(beginning)
            answer = asyncio.create_task(reader.readline())
            while not answer.done():
                await asyncio.sleep(0.001)
                if not writer.is_closing():
                    writer.write(repeated)
            writer.close()
            assert not handler.exchanges
            return await answer

    assert status in run_with_timeout(run_exchange())


def test_headers_that_arrive_too_slowly_are_refused():
    """Guards against callers that send one byte a second for ever."""
    now = 0

    async def run_exchange():
        handler = PipelineHandler()
        async with serve_handler(handler, header_timeout_s=3) as (
            listener,
            port,
        ):
            listener.clock = lambda: now
            reader, writer = await asyncio.open_connection(HOST, port)
            nonlocal now
            writer.write(b'GET /')
            while not listener.connections or now < 4:
                writer.write(b'y')
                await asyncio.sleep(0.001)
                now += bool(listener.connections)
                listener.close_timed_out()
            line = await reader.readline()
            writer.close()
            return line

    assert b'408' in run_with_timeout(run_exchange())
