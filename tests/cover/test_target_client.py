"""The client of the target: whole answers or truthful failures only."""

import itertools

import pytest

from ebonycleat.internal.connection.target_client import (
    REASON_BY_FAILURE_KIND,
    TargetFailureKind,
    TargetResponse,
    create_target_client,
)
from ebonycleat.internal.request.refusal import Outcome
from tests.scripted_server import find_free_port, run_scripted_server

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
SECOND = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n'
)
GENEROUS_S = 30


def _send(client, method='POST', headers=(), timeout_s=GENEROUS_S):
    return client.send(method, '/path?x=1', headers, b'body', timeout_s)


def _send_once(*answers, closing=False, timeout_s=GENEROUS_S):
    with (
        run_scripted_server(*answers, closing=closing) as server,
        create_target_client('127.0.0.1', server.port, 2) as client,
    ):
        return _send(client, timeout_s=timeout_s)


@pytest.mark.parametrize('answer', [WHOLE, CHUNKED])
def test_a_whole_answer_arrives_whole(answer):
    """Guards against bytes of the framing leaking into the body."""
    result = _send_once(answer)
    assert isinstance(result, TargetResponse)
    assert (result.status, result.body) == (200, b'hello')


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (WHOLE[:-1], TargetFailureKind.TRUNCATED),
        (WHOLE[:-5], TargetFailureKind.TRUNCATED),
        (CHUNKED[:-7], TargetFailureKind.TRUNCATED),
        (CHUNKED[:-14], TargetFailureKind.TRUNCATED),
        (b'HTTP/1.1 200 OK\r\n\r\nhello', TargetFailureKind.UNDECLARED_LENGTH),
        (b'', TargetFailureKind.BROKEN),
        (b'HTTP/1.1 200', TargetFailureKind.UNDECLARED_LENGTH),
        (b'nonsense\r\n\r\n', TargetFailureKind.BROKEN),
        (b'HTTP/1.1 103 Early\r\n\r\n%s' % WHOLE, TargetFailureKind.BROKEN),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n'
            b'Content-Length: 6\r\n\r\nhello',
            TargetFailureKind.BROKEN,
        ),
    ],
)
def test_an_answer_that_is_not_whole_is_a_failure_of_unknown_outcome(
    answer,
    kind,
):
    """Guards against a cut-off answer being passed on as complete."""
    result = _send_once(answer, closing=True)
    assert (result.kind, result.outcome) == (kind, Outcome.UNKNOWN)


def test_a_refused_connection_certainly_did_not_run():
    """Guards against retries that are forgone although they are safe."""
    with create_target_client('127.0.0.1', find_free_port(), 2) as client:
        result = _send(client)
    assert result.kind is TargetFailureKind.NOT_CONNECTED
    assert result.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('answer', [None, WHOLE[:-2]])
def test_a_late_answer_is_unknown_and_its_connection_is_not_used_again(answer):
    """Guards against the late answer reaching the next request."""
    with (
        run_scripted_server(answer, SECOND) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        late = _send(client, timeout_s=0.05)
        second = _send(client)
        assert server.connections == 2
    assert (late.kind, late.outcome) == (
        TargetFailureKind.TIMED_OUT,
        Outcome.UNKNOWN,
    )
    assert second.body == b'second'


def test_an_answer_that_trickles_ends_at_the_deadline():
    """Guards against a timeout per read that never adds up."""
    instants = itertools.count()
    with (
        run_scripted_server(WHOLE) as server,
        create_target_client(
            '127.0.0.1',
            server.port,
            1,
            clock=lambda: next(instants),
        ) as client,
    ):
        result = _send(client, timeout_s=1)
    assert result.kind is TargetFailureKind.TIMED_OUT


def test_connections_with_whole_answers_are_used_again():
    """Guards against a new connection, 1 ms, for each request."""
    with (
        run_scripted_server(WHOLE, CHUNKED, SECOND) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        bodies = [_send(client).body for _ in range(3)]
        assert server.connections == 1
    assert bodies == [b'hello', b'hello', b'second']


def test_a_stale_pooled_connection_is_not_retried_by_itself():
    """Guards against a request that runs twice after a broken connection."""
    with (
        run_scripted_server(WHOLE, b'', SECOND) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        _send(client)
        broken = _send(client)
        assert len(server.requests) == 2
    assert (broken.kind, broken.outcome) == (
        TargetFailureKind.BROKEN,
        Outcome.UNKNOWN,
    )


@pytest.mark.parametrize('answer', [WHOLE, CHUNKED.replace(b'0\r\n', b'')])
def test_an_answer_over_the_maximum_is_not_read_on(answer):
    """Guards against one answer that takes the whole memory of the node."""
    with (
        run_scripted_server(answer, SECOND) as server,
        create_target_client('127.0.0.1', server.port, 1, 4) as client,
    ):
        assert _send(client).kind is TargetFailureKind.TOO_LARGE
        assert _send(client).kind is TargetFailureKind.TOO_LARGE
        assert server.connections == 2


def test_redirects_are_answers():
    """Guards against a request that leaves for another server."""
    moved = (
        b'HTTP/1.1 307 Moved\r\nLocation: /x\r\nContent-Length: 0\r\n'
        b'Set-Cookie: a\r\nSet-Cookie: b\r\n\r\n'
    )
    result = _send_once(moved)
    assert result.status == 307
    assert result.headers.count(('Set-Cookie', 'a')) == 1
    assert result.headers.count(('Set-Cookie', 'b')) == 1


@pytest.mark.parametrize(
    ('method', 'path', 'header'),
    [
        ('POST', 'http://10.0.0.1/', ('X-Name', 'a')),
        ('PO ST', '/', ('X-Name', 'a')),
        ('POST', '/', ('X-Name', 'a\r\nInjected: b')),
        ('POST', '/', ('X Name', 'a')),
        ('POST', '/', ('X-Name', '\u20ac')),
    ],
)
def test_a_request_that_cannot_be_sent_did_not_run(method, path, header):
    """Guards against header injection and requests to other servers."""
    with (
        run_scripted_server(WHOLE) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        result = client.send(method, path, (header,), b'', GENEROUS_S)
        assert not server.requests
    assert result.kind is TargetFailureKind.INVALID_REQUEST
    assert result.outcome is Outcome.NOT_RUN


def test_framing_headers_of_the_caller_are_replaced():
    """Guards against a second request smuggled inside the body."""
    headers = (
        ('Transfer-Encoding', 'chunked'),
        ('Content-Length', '1'),
        ('X-Kept', 'yes'),
    )
    with (
        run_scripted_server(WHOLE) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        _send(client, headers=headers)
        request = server.requests[0]
    assert request.startswith(b'POST /path?x=1 HTTP/1.1\r\n')
    assert b'Transfer-Encoding' not in request
    assert b'Content-Length: 4\r\n' in request
    assert b'X-Kept: yes\r\n' in request
    assert b'User-Agent' not in request
    assert request.endswith(b'\r\n\r\nbody')


def test_without_time_nothing_is_sent():
    """Guards against work that starts after its deadline."""
    result = _send_once(WHOLE, timeout_s=0)
    assert result.kind is TargetFailureKind.NO_TIME_LEFT
    assert result.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('kind', list(TargetFailureKind))
def test_every_failure_has_a_reason(kind):
    """Guards against a failure that ends in a KeyError."""
    assert REASON_BY_FAILURE_KIND[kind]
