"""Complete mesh nodes and an emulated platform on one event loop.

They communicate over real sockets on the loopback interface.
"""

import asyncio
import contextlib
import random

from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
)
from ebonycleat.internal.connection.http_listener import (
    HttpListener,
    open_listener,
)
from ebonycleat.internal.connection.http_messages import encode_request
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.listener_limits import (
    ListenerLimits,
)
from ebonycleat.internal.process.clocks import boottime_s
from ebonycleat.internal.process.mesh_node import create_mesh_node
from ebonycleat.internal.process.mesh_runner import run_mesh_node
from ebonycleat.internal.process.mesh_settings import (
    Address,
    MeshLimits,
    MeshSettings,
)
from ebonycleat.platform import create_platform_interfaces
from ebonycleat_tools.platform.fleet import assign_addresses
from ebonycleat_tools.platform.store import EmulatedStore
from ebonycleat_tools.platform.target import (
    EmulatedTarget,
    EmulatedTargetOptions,
)
from tests.loopback_http import HOST

MESH_LIMITS = MeshLimits(5, 6, 0.2, 48, 10)


def create_configuration(version, keys=('key-1',), open_route=False):
    route = {
        'host': 'maps.example',
        'routeType': 'idempotent',
        'timeoutS': 5,
        'attempts': 2,
        'service': 'maps',
    }
    return {
        'version': f'{version:08x}',
        'routes': {
            'fetch': route | {'pathPrefix': '/fetch/'},
            'renew': route
            | {'pathPrefix': '/renew/', 'routeType': 'non_idempotent'},
            'import': route | {'pathPrefix': '/import/', 'routeType': 'upload'},
            'open': route | {'pathPrefix': '/open/', 'authExempt': True},
        },
        'services': {'maps': {}},
        'limits': {'maxBodyBytes': 100_000},
        'tenants': {
            'shop': {'apiKeys': list(keys), 'ratePerS': 500, 'burst': 500},
        },
    }


class MeshEnvironment:
    """Mesh nodes, one target and one caller for each, and the store."""

    def __init__(self, stack):
        self.stack = stack
        self.store = EmulatedStore()
        self.nodes = []
        self.targets = []
        self.tasks = []
        self.callers = []
        self.clock = boottime_s

    async def serve(self, handler):
        loop = asyncio.get_running_loop()
        listener = HttpListener(handler, ListenerLimits(), loop.time)
        port = await self.stack.enter_async_context(
            open_listener(listener, HOST, 0),
        )
        return Address(HOST, port)

    async def start(self, zones, work_s=0, service='maps', **target_options):
        self.target_options = target_options
        self.store_address = await self.serve(self.store)
        for number, zone in enumerate(zones):
            await self.add_node(number, zone, work_s, service)
        await self.wait_until(
            lambda: all(self.has_all_members(node) for node in self.nodes),
        )

    def has_all_members(self, node):
        members = node.fleet.members
        usable_members = members.members_of('maps')
        return node.is_ready() and len(usable_members) == len(self.targets)

    async def add_node(self, number, zone, work_s, service):
        addresses = assign_addresses(number)
        pool = self.stack.enter_context(
            ConnectionPool(addresses.control.host, addresses.control.port),
        )
        plan = EmulatedTargetOptions(
            f'i-{number}',
            service,
            slots=4,
            work_s=work_s,
            **self.target_options,
        )
        target = EmulatedTarget(plan, pool)
        settings = MeshSettings(
            node=f'node-{number}',
            zone=zone,
            service=service,
            callers=addresses.callers,
            peers=addresses.peers,
            ready=addresses.ready,
            control=addresses.control,
            target=await self.serve(target),
            store=self.store_address,
            metrics_port=addresses.metrics.port,
            mesh_limits=MESH_LIMITS,
        )
        node = create_mesh_node(
            settings,
            create_platform_interfaces(settings),
            random.Random(number),
            self.clock,
        )
        self.nodes.append(node)
        self.targets.append(target)
        self.callers.append(
            self.stack.enter_context(
                ConnectionPool(settings.callers.host, settings.callers.port),
            ),
        )
        self.spawn(run_mesh_node(node))
        self.spawn(target.send_heartbeats_until_cancelled())

    def spawn(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def send(self, node, path, *, key='key-1', request_id='id-1', **options):
        """Start a request; returns its handle and a future with its result."""
        result_future = asyncio.get_running_loop().create_future()
        headers = [
            ('host', 'maps.example'),
            ('x-request-id', request_id),
            ('x-deadline-ms', str(options.get('deadline_ms', 5000))),
        ]
        if key:
            headers.append(('authorization', f'Bearer {key}'))
        body = options.get('body', b'')
        method = 'POST' if body else 'GET'
        in_flight = self.callers[node].send(
            OutgoingRequest(
                encode_request(method, path, tuple(headers), body),
                lambda found: True,
            ),
            result_future.set_result,
        )
        return in_flight, result_future

    async def send_and_wait(self, node, path, **options):
        return await self.send(node, path, **options)[1]

    async def wait_until(self, condition):
        """Wait for a condition; raise the error of a node that failed."""
        while not condition():
            await asyncio.sleep(0.01)
            for task in self.tasks:
                if task.done():
                    task.result()


@contextlib.asynccontextmanager
async def run_mesh(zones=('a',), keys=('key-1',), clock=boottime_s, **options):
    """Run one mesh node in each of the zones until the block ends."""
    async with contextlib.AsyncExitStack() as stack:
        environment = MeshEnvironment(stack)
        environment.clock = clock
        environment.store.write_configuration(create_configuration(1, keys))
        try:
            await environment.start(zones, **options)
            yield environment
        finally:
            for task in environment.tasks:
                task.cancel()
            await asyncio.gather(*environment.tasks, return_exceptions=True)
