"""New connections are taken whatever happened to earlier ones."""

import asyncio
import contextlib
import errno
import os
import socket

import uvloop

from ebonycleat.internal.connection.acceptor import ConnectionAcceptor
from ebonycleat.internal.connection.http_listener import (
    HttpListener,
    open_listener,
)
from ebonycleat.internal.connection.listener_limits import (
    ListenerLimits,
)
from tests.loopback_http import COMPLETE_RESPONSE, HOST, RecordingHandler
from tests.mesh_environment import run_mesh

REQUEST = b'GET /1 HTTP/1.1\r\nhost: t\r\n\r\n'
TIMEOUT_S = 20


def run_on_uvloop(coroutine):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(asyncio.wait_for(coroutine, TIMEOUT_S))


class FailingListener(HttpListener):
    """Raises for the first connections that it should create."""

    def __init__(self, *details):
        super().__init__(*details)
        self.failures_left = 3

    def create_connection(self):
        if self.failures_left:
            self.failures_left -= 1
            raise RuntimeError('no protocol for this connection')
        return super().create_connection()


def create_listener(listener_class=HttpListener):
    return listener_class(
        RecordingHandler(COMPLETE_RESPONSE),
        ListenerLimits(),
        asyncio.get_running_loop().time,
    )


async def request_once(port):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(REQUEST)
    with contextlib.suppress(ConnectionResetError):
        async with asyncio.timeout(1):
            answer = await reader.read(9)
    writer.close()
    return answer


def test_a_failing_connection_does_not_stop_its_listener():
    async def request_in_turn():
        listener = create_listener(FailingListener)
        async with open_listener(listener, HOST, 0) as port:
            return [await request_once(port) for _ in range(5)]

    answers = run_on_uvloop(request_in_turn())
    assert answers == [b'', b'', b'', b'HTTP/1.1 ', b'HTTP/1.1 ']


def test_new_connections_do_not_wait_for_an_iteration_of_the_loop_each():
    async def count_iterations():
        listener = create_listener()
        async with open_listener(listener, HOST, 0) as port:
            with contextlib.ExitStack() as stack:
                for _ in range(300):
                    client = socket.create_connection((HOST, port))
                    stack.enter_context(client)
                iterations = 0
                while len(listener.connections) < 300:
                    iterations += 1
                    await asyncio.sleep(0)
                return iterations

    assert run_on_uvloop(count_iterations()) < 30


class ExhaustedSocket:
    """A listening socket whose first accepts find no free descriptor."""

    def __init__(self, listening_socket, failures):
        self.listening_socket = listening_socket
        self.failures_left = failures

    def accept(self):
        if self.failures_left:
            self.failures_left -= 1
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return self.listening_socket.accept()

    def fileno(self):
        return self.listening_socket.fileno()

    def close(self):
        self.listening_socket.close()


def test_connections_are_accepted_again_after_descriptors_ran_out(caplog):
    async def connect_once():
        listener = create_listener()
        with socket.create_server((HOST, 0)) as listening_socket:
            listening_socket.setblocking(False)
            acceptor = ConnectionAcceptor(
                ExhaustedSocket(listening_socket, failures=3),
                listener.create_connection,
            )
            acceptor.start()
            port = listening_socket.getsockname()[1]
            answer = asyncio.create_task(request_once(port))
            while acceptor.is_accepting:
                await asyncio.sleep(0.01)
            found = await answer
            acceptor.close()
            return found, acceptor.is_accepting

    with caplog.at_level('INFO'):
        answer, is_accepting = run_on_uvloop(connect_once())
    assert answer == b'HTTP/1.1 '
    assert is_accepting
    assert [record.message for record in caplog.records] == [
        'connections cannot be accepted',
        'connections are accepted again',
    ]


def test_a_node_that_cannot_accept_is_not_ready_until_it_can_again():
    async def watch_readiness():
        async with run_mesh() as mesh:
            node = mesh.nodes[0]
            acceptor = node.listener.acceptor
            found = [node.check_readiness()]
            whole_socket = acceptor.listening_socket
            acceptor.listening_socket = ExhaustedSocket(whole_socket, 5)
            acceptor.accept_waiting()
            found.append(node.check_readiness())
            await mesh.wait_until(lambda: acceptor.is_accepting)
            found.append(node.check_readiness())
            acceptor.listening_socket = whole_socket
            return found

    assert run_on_uvloop(watch_readiness()) == [True, False, True]
