"""The HTTP server and client on the node's event loop, with real sockets."""

import asyncio

import pytest

from ebonycleat.internal.connection import http_pool
from ebonycleat.internal.connection.client_requests import (
    SendFailure,
    SendFailureKind,
)
from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    drop_hop_by_hop_headers,
    encode_request,
    encode_response,
    find_header,
)
from ebonycleat.internal.connection.request_receiver import (
    MAX_PIPELINED_REQUESTS,
)
from tests.loopback_http import (
    COMPLETE_RESPONSE,
    HOST,
    RecordingHandler,
    ScriptedTarget,
    run_with_timeout,
    send,
    send_and_read_to_end,
    serve_handler,
)

CLOSE_HEADER = b'connection: close\r\n'
OK_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


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


def receive_requests(sent, **limits):
    """Send bytes to a listener; return the parsed requests and the response."""

    async def run_exchange():
        recorder = RecordingHandler(COMPLETE_RESPONSE)
        async with serve_handler(recorder, **limits) as (_, port):
            response = await send_and_read_to_end(port, sent)
        return recorder.exchanges, response

    exchanges, response = run_with_timeout(run_exchange())
    return [exchange.request for exchange in exchanges], response


def test_requests_of_one_packet_keep_their_methods_and_bodies():
    """Guards against mixing up the methods and bodies of pipelined requests."""
    requests, _ = receive_requests(
        request_bytes(b'/a', b'content-length: 3\r\n', b'one', b'POST')
        + request_bytes(b'/b')
        + request_bytes(b'/c', CLOSE_HEADER, method=b'DELETE'),
    )
    assert [(one.method, one.request_target, one.body) for one in requests] == [
        ('POST', '/a', b'one'),
        ('GET', '/b', b''),
        ('DELETE', '/c', b''),
    ]


def test_a_chunked_body_is_received_completely():
    """Guards against chunk sizes that are passed to a target in the body."""
    requests, _ = receive_requests(
        request_bytes(
            b'/a',
            CLOSE_HEADER + b'transfer-encoding: chunked\r\n',
            b'3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n',
            b'PUT',
        ),
    )
    assert requests[0].body == b'onetwo'


def test_a_truncated_request_is_not_passed_to_the_handler():
    """Guards against a target that gets only part of a body."""

    async def run_exchange():
        recorder = RecordingHandler(COMPLETE_RESPONSE)
        async with serve_handler(recorder) as (_, port):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(
                request_bytes(b'/a', b'content-length: 9\r\n', b'half'),
            )
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            await send_and_read_to_end(port, request_bytes(b'/b', CLOSE_HEADER))
        return [one.request.request_target for one in recorder.exchanges]

    assert run_with_timeout(run_exchange()) == ['/b']


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (request_bytes(b'/a', b'x: ' + b'y' * 900 + b'\r\n'), b'431'),
        (request_bytes(b'/a', b'content-length: 99\r\n', b'b' * 99), b'413'),
    ],
)
def test_invalid_and_too_large_requests_are_refused(sent, status):
    """Guards against clients that make the node use unlimited memory."""
    requests, response = receive_requests(sent, header_bytes=500, body_bytes=50)
    assert not requests
    assert response.startswith(b'HTTP/1.1 ' + status)


def test_a_caller_that_closes_its_connection_is_noticed():
    """Guards against running calls whose callers have disconnected."""

    async def run_exchange():
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

    assert run_with_timeout(run_exchange()) == 1


def test_answers_keep_the_order_of_their_requests():
    """Guards against a response that is taken for that of another request."""

    async def run_exchange():
        recorder = RecordingHandler()
        async with serve_handler(recorder) as (_, port):
            reading = asyncio.create_task(
                send_and_read_to_end(
                    port,
                    request_bytes(b'/1') + request_bytes(b'/2', CLOSE_HEADER),
                ),
            )
            for number in (1, 2):
                while len(recorder.exchanges) < number:
                    await asyncio.sleep(0)
                body = str(number).encode()
                recorder.exchanges[-1].respond(HttpResponse(200, (), body))
            return await reading

    response = run_with_timeout(run_exchange())
    assert response.index(b'\r\n\r\n1') < response.index(b'\r\n\r\n2')


def test_many_requests_in_a_row_do_not_exhaust_the_stack():
    """Guards against recursion when a handler answers every request at once."""
    count = MAX_PIPELINED_REQUESTS * 100
    requests, _ = receive_requests(
        request_bytes(b'/a') * count + request_bytes(b'/z', CLOSE_HEADER),
    )
    assert len(requests) == count + 1


def test_an_idle_connection_is_closed_after_the_timeout():
    """Guards against idle callers that use up file descriptors."""

    async def run_exchange():
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

    assert run_with_timeout(run_exchange()) == b''


def test_closing_finishes_requests_that_were_already_read():
    """Guards against a planned stop that aborts a running request."""

    async def run_exchange():
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

    response = run_with_timeout(run_exchange())
    assert response.endswith(b'whole')
    assert b'connection: close' in response


def send_requests(target, count=1, **options):
    """Send requests one after the other and return their results."""

    async def run_exchange():
        async with target.serve_with_pool() as pool:
            results = [await send(pool, **options) for _ in range(count)]
        return results

    return run_with_timeout(run_exchange())


def test_a_connection_serves_many_requests():
    """Guards against a new connection for each request."""
    target = ScriptedTarget(OK_RESPONSE, OK_RESPONSE, OK_RESPONSE)
    assert {one.body for one in send_requests(target, 3)} == {b'ok'}
    assert target.connections == 1


def test_a_negative_idle_limit_opens_a_new_connection():
    """Guards against losing a request that cannot be repeated.

    The server may close an idle connection while the request is on its way.
    """
    target = ScriptedTarget(OK_RESPONSE, OK_RESPONSE)
    send_requests(target, 2, max_idle_s=-1)
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
def test_an_incomplete_or_malformed_answer_is_a_failure(answer, kind):
    """Guards against an incomplete response that is passed on as complete."""
    result = send_requests(ScriptedTarget(answer, closes=True))[0]
    assert isinstance(result, SendFailure)
    assert result.kind is SendFailureKind(kind)
    assert result.was_sent


@pytest.mark.parametrize(('resets', 'is_whole'), [(False, True), (True, False)])
def test_an_answer_without_length_ends_with_its_connection(resets, is_whole):
    """Guards against taking a reset for the end of the response."""
    answer = b'HTTP/1.1 200 OK\r\n\r\nok'
    target = ScriptedTarget(answer, closes=not resets, resets=resets)
    result = send_requests(target)[0]
    assert isinstance(result, HttpResponse) is is_whole


def test_an_extra_answer_is_not_taken_for_the_next():
    """Guards against a response that belongs to an earlier request."""
    target = ScriptedTarget(OK_RESPONSE + OK_RESPONSE, OK_RESPONSE)
    assert len(send_requests(target, 2)) == 2
    assert target.connections == 2


def test_a_late_answer_of_another_request_is_skipped():
    """Guards against an extra response that arrives late.

    It arrives when the next request is already waiting for its own response.
    """
    late = b'HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\nold'
    own = b'HTTP/1.1 200 OK\r\nid: own\r\ncontent-length: 3\r\n\r\nown'
    target = ScriptedTarget(late + own, OK_RESPONSE)
    first, _ = send_requests(
        target,
        2,
        own=lambda headers: find_header(headers, 'id') in {'own', ''},
    )
    assert first.body == b'own'
    assert target.connections == 2


REFUSAL_WITHOUT_ID = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'x-not-executed: 1\r\ncontent-length: 0\r\n\r\n'
)
OWN_RESPONSE = b'HTTP/1.1 200 OK\r\nid: own\r\ncontent-length: 3\r\n\r\nown'


def names_own_id(headers):
    return find_header(headers, 'id') == 'own'


def test_a_refusal_that_is_repeated_without_an_id_answers_no_later_request():
    """Guards against "not run" for a request that the target is running."""
    target = ScriptedTarget(
        REFUSAL_WITHOUT_ID, REFUSAL_WITHOUT_ID + OWN_RESPONSE
    )
    first, second = send_requests(target, 2, identified=names_own_id)
    assert (first.status, second.status) == (503, 200)
    assert target.connections == 1


def test_a_refused_request_that_returns_never_gets_a_copy_of_the_refusal():
    """Guards against "not run" for a request whose id was refused before."""
    refusal = REFUSAL_WITHOUT_ID.replace(b'x-not', b'id: own\r\nx-not')
    target = ScriptedTarget(refusal, OWN_RESPONSE, OWN_RESPONSE)
    results = send_requests(
        target, 3, identified=names_own_id, request_id='own'
    )
    assert [result.status for result in results] == [503, 200, 200]
    assert target.connections == 2


@pytest.mark.parametrize('limit', [1, 2])
def test_a_connection_is_closed_after_its_last_refusal(limit, monkeypatch):
    """Guards against refusals that are remembered without end."""
    monkeypatch.setattr(http_pool, 'MAX_REFUSED_IDS', limit)
    target = ScriptedTarget(*(REFUSAL_WITHOUT_ID for _ in range(4)))

    async def send_all():
        async with target.serve_with_pool() as pool:
            for number in range(4):
                await send(pool, request_id=str(number))

    run_with_timeout(send_all())
    assert target.connections == 4 // limit


@pytest.mark.parametrize(
    'late',
    [
        b'HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\nold',
        b'HTTP/1.1 200 OK\r\nid: old\r\n\r\n',
    ],
)
def test_a_late_answer_is_not_taken_for_the_answer_to_head(late):
    """Guards against a foreign response where no body is awaited."""
    target = ScriptedTarget(late)
    result = send_requests(target, is_head=True, own=names_own_id)[0]
    assert isinstance(result, SendFailure)
    assert result.was_sent


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nid: own\r\n',
        b'HTTP/1.1 200 OK\r\nid: own\r\n',
        b'HTTP/1.1 200 OK\r\nid: own\r\ncontent-length: 0',
        b'HTTP/1.1 204 No Content\r\nid: own\r\n',
        OWN_RESPONSE.replace(b'own', b'old')
        + b'HTTP/1.1 200 OK\r\nid: own\r\n',
    ],
)
@pytest.mark.parametrize('is_head', [False, True])
def test_a_head_that_ends_with_its_connection_is_no_answer(answer, is_head):
    """Guards against a success whose headers and body are incomplete."""
    target = ScriptedTarget(answer, closes=True)
    result = send_requests(target, own=names_own_id, is_head=is_head)[0]
    assert isinstance(result, SendFailure)
    assert result.was_sent


@pytest.mark.parametrize('is_head', [False, True])
def test_an_interim_response_before_the_end_is_no_answer(is_head):
    """Guards against a caller that gets status 100 and nothing more."""
    target = ScriptedTarget(b'HTTP/1.1 100 Continue\r\n\r\n', closes=True)
    result = send_requests(target, is_head=is_head)[0]
    assert isinstance(result, SendFailure)


def test_an_interim_response_is_not_the_answer_to_head():
    """Guards against an interim response that is taken for the final one."""
    target = ScriptedTarget(b'HTTP/1.1 100 Continue\r\n\r\n' + OK_RESPONSE[:-2])
    assert send_requests(target, is_head=True)[0].status == 200


def test_an_interim_response_is_not_the_final_one():
    """Guards against an interim response that is taken for the final one."""
    target = ScriptedTarget(b'HTTP/1.1 100 Continue\r\n\r\n' + OK_RESPONSE)
    assert send_requests(target)[0].body == b'ok'


@pytest.mark.parametrize('is_head', [False, True])
@pytest.mark.parametrize('names_request', [False, True])
@pytest.mark.parametrize(
    'status', [b'000', b'0', b'7', b'42', b'099', b'101', b'600', b'999']
)
def test_a_status_that_the_protocol_lacks_is_no_answer(
    status, names_request, is_head
):
    """Guards against such a status at a caller, or skipped as interim.

    A complete answer follows, which may be that to another request.
    """
    own_id = b'id: own\r\n' if names_request else b''
    answer = b'HTTP/1.1 %s Odd\r\n%scontent-length: 0\r\n\r\n' % (
        status,
        own_id,
    )
    target = ScriptedTarget(answer + OK_RESPONSE)
    result = send_requests(target, own=names_own_id, is_head=is_head)[0]
    assert isinstance(result, SendFailure)
    assert (result.kind, result.was_sent) == (SendFailureKind.MALFORMED, True)


def test_a_request_on_a_refused_connection_counts_as_not_sent():
    """Guards against an unknown outcome for a request that was not sent.

    Such a request has certainly not run, and the caller is told so.
    """

    async def run_exchange():
        target = ScriptedTarget()
        async with target.serve_with_pool() as pool:
            pool.port = 1
            return await send(pool)

    result = run_with_timeout(run_exchange())
    assert result.kind is SendFailureKind.NOT_CONNECTED
    assert not result.was_sent


def test_hop_by_hop_headers_are_dropped():
    """Guards against callers that control the message framing at a target."""
    assert drop_hop_by_hop_headers((
        ('connection', 'close, x-secret'),
        ('x-secret', 'a'),
        ('transfer-encoding', 'chunked'),
        ('x-kept', 'b'),
    )) == (('x-kept', 'b'),)


def test_bodies_are_sent_with_their_length():
    """Guards against a body that the receiver takes for a second request."""
    assert b'content-length: 2\r\n' in encode_request('GET', '/', (), b'ab')
    assert encode_response(
        COMPLETE_RESPONSE, close=False, is_head=True
    ).endswith(b'\r\n\r\n')


@pytest.mark.parametrize('status', [204, 304])
def test_an_answer_whose_status_has_no_body_is_sent_without_one(status):
    """Guards against bytes that the caller takes for its next response."""
    encoded = encode_response(
        HttpResponse(status, (), b'whole'), close=False, is_head=False
    )
    assert encoded.endswith(b'\r\n\r\n')
