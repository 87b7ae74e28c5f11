"""HTTP on the node's loop, as server and as client, on real sockets."""

import asyncio

import pytest
from tests.loopback_http import (
    HOST,
    COMPLETE_RESPONSE,
    RecordingHandler,
    ScriptedTarget,
    send_and_read_to_end,
    run_with_timeout,
    send,
    serve_handler,
)

from ebonycleat.internal.connection.http_listener import MAX_PIPELINED_REQUESTS
from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    drop_hop_by_hop_headers,
    encode_response,
    encode_request,
    find_header,
)
from ebonycleat.internal.connection.client_requests import (
    SendFailure,
    SendFailureKind,
)

CLOSE = b'connection: close\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


def request_bytes(path, head=b'', body=b'', method=b'GET'):
    return (
        method
        + b' '
        + path
        + b' HTTP/1.1\r\nhost: t\r\n'
        + head
        + b'\r\n'
        + body
    )


def received_by(sent, **limits):
    """Return the requests that a listener makes of some bytes."""

    async def play():
        recorder = RecordingHandler(COMPLETE_RESPONSE)
        async with serve_handler(recorder, **limits) as (_, port):
            answered = await send_and_read_to_end(port, sent)
        return recorder.exchanges, answered

    exchanges, answered = run_with_timeout(play())
    return [exchange.request for exchange in exchanges], answered


def test_requests_of_one_packet_keep_their_methods_and_bodies():
    """Guards against a method taken from the next request's head."""
    requests, _ = received_by(
        request_bytes(b'/a', b'content-length: 3\r\n', b'one', b'POST')
        + request_bytes(b'/b')
        + request_bytes(b'/c', CLOSE, method=b'DELETE'),
    )
    assert [(one.method, one.request_target, one.body) for one in requests] == [
        ('POST', '/a', b'one'),
        ('GET', '/b', b''),
        ('DELETE', '/c', b''),
    ]


def test_a_body_in_chunks_arrives_whole():
    """Guards against chunk framing that reaches a target as body."""
    requests, _ = received_by(
        request_bytes(
            b'/a',
            CLOSE + b'transfer-encoding: chunked\r\n',
            b'3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n',
            b'PUT',
        ),
    )
    assert requests[0].body == b'onetwo'


def test_half_a_request_is_never_handed_on():
    """Guards against half of a body at a target."""

    async def play():
        recorder = RecordingHandler(COMPLETE_RESPONSE)
        async with serve_handler(recorder) as (_, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(
                request_bytes(b'/a', b'content-length: 9\r\n', b'half'),
            )
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            await send_and_read_to_end(port, request_bytes(b'/b', CLOSE))
        return [one.request.request_target for one in recorder.exchanges]

    assert run_with_timeout(play()) == ['/b']


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (request_bytes(b'/a', b'x: ' + b'y' * 900 + b'\r\n'), b'431'),
        (request_bytes(b'/a', b'content-length: 99\r\n', b'b' * 99), b'413'),
    ],
)
def test_what_exceeds_the_limits_gets_its_status(sent, status):
    """Guards against memory taken by whoever connects."""
    requests, answered = received_by(sent, header_bytes=500, body_bytes=50)
    assert not requests
    assert answered.startswith(b'HTTP/1.1 ' + status)


def test_a_caller_that_leaves_is_noticed():
    """Guards against work for callers that are gone."""

    async def play():
        recorder = RecordingHandler()
        async with serve_handler(recorder) as (_, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(request_bytes(b'/a'))
            while not recorder.exchanges:
                await asyncio.sleep(0)
            writer.close()
            while not recorder.abandoned_count:
                await asyncio.sleep(0)
            recorder.exchanges[0].respond(COMPLETE_RESPONSE)
        return recorder.abandoned_count

    assert run_with_timeout(play()) == 1


def test_answers_keep_the_order_of_their_requests():
    """Guards against an answer that belongs to another request."""

    async def play():
        recorder = RecordingHandler()
        async with serve_handler(recorder) as (_, port):
            reading = asyncio.create_task(
                send_and_read_to_end(
                    port,
                    request_bytes(b'/1') + request_bytes(b'/2', CLOSE),
                ),
            )
            for number in (1, 2):
                while len(recorder.exchanges) < number:
                    await asyncio.sleep(0)
                body = str(number).encode()
                recorder.exchanges[-1].respond(HttpResponse(200, (), body))
            return await reading

    answered = run_with_timeout(play())
    assert answered.index(b'\r\n\r\n1') < answered.index(b'\r\n\r\n2')


def test_many_requests_in_a_row_do_not_exhaust_the_stack():
    """Guards against a handler that answers at once, again and again."""
    count = MAX_PIPELINED_REQUESTS * 100
    requests, _ = received_by(
        request_bytes(b'/a') * count + request_bytes(b'/z', CLOSE),
    )
    assert len(requests) == count + 1


def test_an_idle_connection_is_closed_after_its_time():
    """Guards against descriptors held by silent callers."""

    async def play():
        async with serve_handler(
            RecordingHandler(COMPLETE_RESPONSE), idle_timeout_s=0
        ) as (
            listener,
            port,
        ):
            reader, _ = await asyncio.open_connection(HOST, port)
            while not listener.connections:
                await asyncio.sleep(0)
            listener.close_timed_out()
            return await reader.read()

    assert run_with_timeout(play()) == b''


def test_closing_finishes_what_was_read():
    """Guards against a planned stop that cuts a request."""

    async def play():
        recorder = RecordingHandler()
        async with serve_handler(recorder) as (listener, port):
            reading = asyncio.create_task(
                send_and_read_to_end(port, request_bytes(b'/a')),
            )
            while not recorder.exchanges:
                await asyncio.sleep(0)
            listener.close_idle()
            recorder.exchanges[0].respond(COMPLETE_RESPONSE)
            return await reading

    answered = run_with_timeout(play())
    assert answered.endswith(b'whole')
    assert b'connection: close' in answered


def results_of(target, count=1, **options):
    """Send requests one after the other and return their results."""

    async def play():
        async with target.serve_with_pool() as pool:
            found = [await send(pool, **options) for _ in range(count)]
        return found

    return run_with_timeout(play())


def test_a_connection_serves_many_requests():
    """Guards against a new connection for each request."""
    target = ScriptedTarget(ANSWER, ANSWER, ANSWER)
    assert {one.body for one in results_of(target, 3)} == {b'ok'}
    assert target.connections == 1


def test_a_demand_for_freshness_opens_a_new_connection():
    """Guards against an unrepeatable request on a resting connection."""
    target = ScriptedTarget(ANSWER, ANSWER)
    results_of(target, 2, max_idle_s=-1)
    assert target.connections == 2


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok', 'truncated'),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok',
            'truncated',
        ),
        (b'no answer at all\r\n\r\n', 'malformed'),
        (b'', 'closed'),
    ],
)
def test_an_answer_that_is_not_whole_is_a_failure(answer, kind):
    """Guards against a broken answer that looks complete."""
    result = results_of(ScriptedTarget(answer, closes=True))[0]
    assert isinstance(result, SendFailure)
    assert result.kind is SendFailureKind(kind)
    assert result.was_sent


@pytest.mark.parametrize(('resets', 'is_whole'), [(False, True), (True, False)])
def test_an_answer_without_length_ends_with_its_connection(resets, is_whole):
    """Guards against a reset that is taken for the end of the answer."""
    answer = b'HTTP/1.1 200 OK\r\n\r\nok'
    target = ScriptedTarget(answer, closes=not resets, resets=resets)
    result = results_of(target)[0]
    assert isinstance(result, HttpResponse) is is_whole


def test_an_extra_answer_is_not_taken_for_the_next():
    """Guards against answers that belong to an earlier request."""
    target = ScriptedTarget(ANSWER + ANSWER, ANSWER)
    assert len(results_of(target, 2)) == 2
    assert target.connections == 2


def test_a_late_answer_of_another_request_is_passed_over():
    """Guards against an extra answer that comes when the next is due."""
    late = b'HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\nold'
    own = b'HTTP/1.1 200 OK\r\nid: own\r\ncontent-length: 3\r\n\r\nown'
    target = ScriptedTarget(late + own, ANSWER)
    first, _ = results_of(
        target,
        2,
        own=lambda headers: find_header(headers, 'id') in {'own', ''},
    )
    assert first.body == b'own'
    assert target.connections == 2


def test_an_early_hint_is_not_the_answer():
    """Guards against an interim answer that ends the exchange."""
    target = ScriptedTarget(b'HTTP/1.1 100 Continue\r\n\r\n' + ANSWER)
    assert results_of(target)[0].body == b'ok'


def test_a_refused_connection_counts_as_not_sent():
    """Guards against a promise not to have run that is never made."""

    async def play():
        target = ScriptedTarget()
        async with target.serve_with_pool() as pool:
            pool.port = 1
            return await send(pool)

    result = run_with_timeout(play())
    assert result.kind is SendFailureKind.NOT_CONNECTED
    assert not result.was_sent


def test_headers_of_one_hop_do_not_travel_on():
    """Guards against framing that a caller dictates to a target."""
    assert drop_hop_by_hop_headers((
        ('connection', 'close, x-secret'),
        ('x-secret', 'a'),
        ('transfer-encoding', 'chunked'),
        ('x-kept', 'b'),
    )) == (('x-kept', 'b'),)


def test_bodies_are_sent_with_their_length():
    """Guards against a body that looks like a second request."""
    assert b'content-length: 2\r\n' in encode_request('GET', '/', (), b'ab')
    assert encode_response(
        COMPLETE_RESPONSE, close=False, is_head=True
    ).endswith(b'\r\n\r\n')
