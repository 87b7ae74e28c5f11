"""Mesh nodes as processes on loopback, and clients that no limit holds back."""

import asyncio
import contextlib
import os
import pathlib
import socket

from ebonycleat.internal.connection.http_listener import (
    HttpListener,
    open_listener,
)
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.listener_limits import (
    ListenerLimits,
)
from ebonycleat_tools.platform.fleet import NodeProcess, assign_addresses
from ebonycleat_tools.platform.store import EmulatedStore
from ebonycleat_tools.platform.target import (
    EmulatedTarget,
    EmulatedTargetOptions,
)
from tests.loopback_http import HOST
from tests.mesh_environment import create_configuration

MEMORY_MB = 200
"""Memory of the smallest machine that the platform has today."""

BYTES_PER_MB = 1_000_000
MAX_DESCRIPTORS = 256
MAX_BODY_BYTES = 67_108_864
ANSWER_TIMEOUT_S = 20
"""How long an ordinary caller goes on asking, far above what it needs."""

READ_BYTES = 65_536


class Fleet:
    """Node processes, a target for each, and the crowd's open sockets."""

    def __init__(self, stack, folder, descriptors):
        self.stack = stack
        self.folder = folder
        self.descriptors = descriptors
        self.store = EmulatedStore()
        self.nodes = []
        self.targets = []
        self.sockets = []
        self.max_open = 0

    async def serve(self, handler):
        clock = asyncio.get_running_loop().time
        listener = HttpListener(handler, ListenerLimits(), clock)
        port = await self.stack.enter_async_context(
            open_listener(listener, HOST, 0)
        )
        return f'{HOST}:{port}'

    async def start(self, services, **target_options):
        configuration = create_configuration(1)
        configuration['limits'] = {'maxBodyBytes': MAX_BODY_BYTES}
        tenants = configuration['tenants']
        tenants['quiet'] = tenants['shop'] | {'apiKeys': ['key-2']}
        self.store.write_configuration(configuration)
        store_address = await self.serve(self.store)
        for number, service in enumerate(services):
            await self.add_node(number, service, store_address, target_options)
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.spawn(self.watch_descriptors())
        for node in self.nodes:
            await self.wait_for_answer(node.number)

    async def add_node(self, number, service, store_address, target_options):
        addresses = assign_addresses(number)
        control = addresses.control
        target = EmulatedTarget(
            EmulatedTargetOptions(f'i-{number}', service, **target_options),
            self.stack.enter_context(
                ConnectionPool(control.host, control.port)
            ),
        )
        settings = {
            'node': f'node-{number}',
            'ip': addresses.peers.host,
            'zone': 'a',
            'service': service,
            'listen': {
                'outbound': addresses.callers.host_port,
                'ready': addresses.ready.host_port,
                'control': control.host_port,
            },
            'internalPortRange': [addresses.peers.port, addresses.peers.port],
            'appAddr': await self.serve(target),
            'limits': {'memoryMb': MEMORY_MB, 'maxFds': self.descriptors},
            'platform': {'address': store_address},
        }
        node = NodeProcess(number, settings, self.folder)
        self.stack.push_async_callback(node.kill)
        self.nodes.append(node)
        self.targets.append(target)
        self.spawn(target.send_heartbeats_until_cancelled())

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.stack.callback(task.cancel)
        return task

    async def watch_descriptors(self):
        while True:
            for node in self.nodes:
                folder = f'/proc/{node.process.pid}/fd'
                with contextlib.suppress(OSError):
                    count = len(os.listdir(folder))
                    self.max_open = max(self.max_open, count)
            await asyncio.sleep(0.05)

    def read_peak_memory(self, number):
        """Return the most memory that a node ever had, in bytes."""
        pid = self.nodes[number].process.pid
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        return int(status.partition('VmHWM:')[2].split()[0]) * 1024

    async def connect(self, number=0, receive_buffer=4096):
        """Open a connection of the crowd, which stays open until the end."""
        connection = socket.socket()
        self.stack.callback(connection.close)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
        )
        connection.setblocking(False)
        callers = assign_addresses(number).callers
        with contextlib.suppress(ConnectionError):
            await asyncio.get_running_loop().sock_connect(
                connection, (callers.host, callers.port)
            )
        self.sockets.append(connection)
        return connection

    async def start_crowd(self, count, send, number=0):
        """Open ``count`` connections, let each send, and keep them open."""

        async def send_on_new_connection():
            connection = await self.connect(number)
            with contextlib.suppress(OSError):
                await send(connection)

        return [self.spawn(send_on_new_connection()) for _ in range(count)]

    async def wait_for_answer(self, number=0, body=b''):
        """Ask as an ordinary caller does until there is an answer."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while await self.try_to_ask(number, body) != b'200':
                await asyncio.sleep(0.2)

    async def try_to_ask(self, number, body):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            return await self.ask(number, body)

    async def ask(self, number, body):
        callers = assign_addresses(number).callers
        reader, writer = await asyncio.open_connection(
            callers.host, callers.port
        )
        with contextlib.closing(writer):
            # The ordinary caller is not of the team of the crowd.
            head = encode_request('import', len(body))
            writer.write(head.replace(b'key-1', b'key-2') + body)
            status = (await reader.readuntil(b'\r\n')).split()[1]
            while await reader.read(READ_BYTES):
                """Read the whole answer."""
            return status

    def assert_within_limits(self):
        """Check that all nodes live, within memory and half of descriptors."""
        assert not any(one.has_ended() for one in self.nodes)
        peaks = [self.read_peak_memory(one.number) for one in self.nodes]
        assert max(peaks) <= MEMORY_MB * BYTES_PER_MB, peaks
        assert self.max_open <= self.descriptors / 2, self.max_open


def encode_request(route, body_bytes, *, ending=b'connection: close\r\n'):
    """Encode the head of a request that closes its connection."""
    method = b'POST' if body_bytes else b'GET'
    return (
        b'%s /%s/1 HTTP/1.1\r\nhost: maps.example\r\nx-request-id: id-1\r\n'
        b'authorization: Bearer key-1\r\nx-deadline-ms: 5000\r\n'
        b'content-length: %d\r\n%s\r\n'
        % (method, route.encode(), body_bytes, ending)
    )


async def send_all(connection, data):
    """Send data, waiting for the node to take it."""
    await asyncio.get_running_loop().sock_sendall(connection, data)


@contextlib.asynccontextmanager
async def run_fleet(
    folder, services=('maps',), descriptors=MAX_DESCRIPTORS, **target_options
):
    """Run node processes until the block ends; then check their limits."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(stack, folder, descriptors)
        await fleet.start(services, **target_options)
        yield fleet
        fleet.assert_within_limits()
