"""The environment of one soak test: node processes, targets and the store."""

import asyncio
import contextlib
import pathlib
import zlib
from typing import Any

from ebonycleat.internal.connection.http_listener import (
    Exchange,
    HttpListener,
    open_listener,
)
from ebonycleat.internal.connection.http_messages import find_header
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.listener_limits import (
    ListenerLimits,
)
from ebonycleat_tools.platform.fleet import (
    NodeAddresses,
    NodeProcess,
    assign_addresses,
)
from ebonycleat_tools.platform.history import History, ObservedRun
from ebonycleat_tools.platform.proxy import FaultyProxy, serve_proxy
from ebonycleat_tools.platform.soak_plan import SoakPlan
from ebonycleat_tools.platform.store import EmulatedStore
from ebonycleat_tools.platform.target import (
    EmulatedTarget,
    EmulatedTargetOptions,
)

HOST = '127.0.0.1'
SERVICE = 'maps'
TEAMS = ('shop', 'survey')
RATE_PER_S = 25
BURST = 20
REQUEST_TIMEOUT_S = 2.0
MAX_DESCRIPTORS = 256
"""Limit of each node's process, low enough to be reached by a fault."""

PROXY_DELAY_S = 0.05
WITHDRAWAL_LIMIT_S = 5


class RecordingTarget(EmulatedTarget):
    """An emulated target that adds each run to the history."""

    def __init__(
        self,
        options: EmulatedTargetOptions,
        control: ConnectionPool,
        history: History,
    ) -> None:
        """Add runs to ``history``."""
        super().__init__(options, control)
        self.history = history

    def run(self, exchange: Exchange) -> None:
        """Add a run to the history and begin it."""
        headers = exchange.request.headers
        self.history.runs.append(
            ObservedRun(
                find_header(headers, 'x-request-id'),
                exchange.request.request_target,
                find_header(headers, 'x-tenant-id'),
                self.options.instance,
                asyncio.get_running_loop().time(),
                zlib.crc32(exchange.request.body),
            ),
        )
        super().run(exchange)


class SoakNode:
    """One node, its target, the proxy between them and callers' connections.

    ``lock`` is held while a fault is being injected into the node.
    """

    def __init__(
        self,
        process: NodeProcess,
        target: RecordingTarget,
        proxy: FaultyProxy,
        callers: ConnectionPool,
    ) -> None:
        """``callers`` connects to the address for callers of ``process``."""
        self.process = process
        self.target = target
        self.proxy = proxy
        self.callers = callers
        self.lock = asyncio.Lock()

    def record_own_end(self, history: History) -> None:
        """Record an end of the process that no fault has caused."""
        if self.process.has_ended():
            history.own_ends.append(
                f'ended by itself: start {self.process.start_count} '
                f'of node {self.process.number}'
            )


class SoakEnvironment:
    """All nodes, targets and the store of one soak test."""

    def __init__(
        self,
        plan: SoakPlan,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        """Processes, servers and connections are closed by ``stack``."""
        self.plan = plan
        self.stack = stack
        self.history = History()
        self.store = EmulatedStore()
        self.nodes: list[SoakNode] = []
        self.keys = {
            team: [f'key-of-{team}', f'other-{team}'] for team in TEAMS
        }
        self.version = 0
        self.folder = pathlib.Path(plan.folder) / f'seed-{plan.seed}'

    async def start(self) -> None:
        """Start the store, the targets and the nodes."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.write_configuration()
        store_port = await self.serve_handler(self.store)
        self.store_proxy = FaultyProxy(HOST, store_port, PROXY_DELAY_S)
        self.store_port = await self.stack.enter_async_context(
            serve_proxy(self.store_proxy, HOST),
        )
        for number in range(self.plan.nodes):
            self.nodes.append(await self.create_node(number))
        await asyncio.gather(*(node.process.start() for node in self.nodes))

    async def serve_handler(self, handler: Any) -> int:
        """Serve the emulated store or a target; returns its port."""
        clock = asyncio.get_running_loop().time
        listener = HttpListener(handler, ListenerLimits(), clock)
        return await self.stack.enter_async_context(
            open_listener(listener, HOST, 0),
        )

    async def create_node(self, number: int) -> SoakNode:
        """Start one target, and set up its node without starting the process."""
        addresses = assign_addresses(number)
        control = self.stack.enter_context(
            ConnectionPool(addresses.control.host, addresses.control.port),
        )
        instance = f'i-{number}'
        self.history.node_by_instance[instance] = number
        target = RecordingTarget(
            EmulatedTargetOptions(
                instance,
                SERVICE,
                slots=self.plan.slots,
                work_s=self.plan.work_ms / 1000,
            ),
            control,
            self.history,
        )
        proxy = FaultyProxy(
            HOST, await self.serve_handler(target), PROXY_DELAY_S
        )
        proxy_port = await self.stack.enter_async_context(
            serve_proxy(proxy, HOST),
        )
        process = NodeProcess(
            number,
            self.create_settings(number, addresses, proxy_port),
            self.folder,
        )
        callers = self.stack.enter_context(
            ConnectionPool(addresses.callers.host, addresses.callers.port),
        )
        self.stack.push_async_callback(process.kill)
        heartbeat_task = asyncio.ensure_future(
            target.send_heartbeats_until_cancelled()
        )
        self.stack.callback(heartbeat_task.cancel)
        return SoakNode(process, target, proxy, callers)

    def create_settings(
        self,
        number: int,
        addresses: NodeAddresses,
        target_port: int,
    ) -> dict[str, Any]:
        """Return the settings of a node as the platform writes them."""
        return {
            'node': f'node-{number}',
            'ip': addresses.peers.host,
            'zone': f'zone-{number % self.plan.zones}',
            'service': SERVICE,
            'listen': {
                'outbound': addresses.callers.host_port,
                'ready': addresses.ready.host_port,
                'control': addresses.control.host_port,
            },
            'internalPortRange': [addresses.peers.port, addresses.peers.port],
            'appAddr': f'{HOST}:{target_port}',
            'bounds': {
                'revokeFailClosed': True,
                'revokeS': WITHDRAWAL_LIMIT_S,
                'graceS': 6,
                'retryBudgetRatio': 0.2,
                'budgetSlack': 50,
                'budgetWindowS': 10,
            },
            'limits': {'maxFds': MAX_DESCRIPTORS},
            'platform': {'address': f'{HOST}:{self.store_port}'},
        }

    def write_configuration(self) -> None:
        """Write a new configuration version with the keys not yet withdrawn."""
        self.version += 1
        route = {
            'host': 'maps.example',
            'timeoutS': REQUEST_TIMEOUT_S,
            'attempts': 2,
            'service': SERVICE,
        }
        self.store.write_configuration({
            'version': f'{self.version:08x}',
            'routes': {
                'fetch': route
                | {'pathPrefix': '/fetch/', 'routeType': 'idempotent'},
                'renew': route
                | {'pathPrefix': '/renew/', 'routeType': 'non_idempotent'},
                'import': route
                | {'pathPrefix': '/import/', 'routeType': 'upload'},
            },
            'services': {SERVICE: {}},
            'limits': {},
            'tenants': {
                team: {
                    'apiKeys': keys,
                    'ratePerS': RATE_PER_S,
                    'burst': BURST,
                }
                for team, keys in self.keys.items()
            },
        })
