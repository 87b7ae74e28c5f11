"""The processes and stand-ins of one soak, and what is done to them."""

import asyncio
import contextlib
import pathlib
from typing import Any

from ebonycleat.internal.connection.http_listener import (
    Exchange,
    HttpListener,
    ListenerLimits,
    open_listener,
)
from ebonycleat.internal.connection.http_messages import find_header
from ebonycleat.internal.connection.http_pool import ConnectionPool
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
TIMEOUT_S = 2.0
PROXY_DELAY_S = 0.05
WITHDRAWAL_S = 5


class RecordingTarget(EmulatedTarget):
    """Tells the history of each run."""

    def __init__(
        self,
        plan: EmulatedTargetOptions,
        control: ConnectionPool,
        history: History,
    ) -> None:
        """Note runs in ``history``."""
        super().__init__(plan, control)
        self.history = history

    def run(self, exchange: Exchange) -> None:
        """Note a run and begin it."""
        headers = exchange.request.headers
        self.history.runs.append(
            ObservedRun(
                find_header(headers, 'x-request-id'),
                exchange.request.target,
                find_header(headers, 'x-tenant-id'),
                self.plan.instance,
                asyncio.get_running_loop().time(),
            ),
        )
        super().run(exchange)


class SoakNode:
    """One node with its target, the proxy between them and its callers."""

    def __init__(
        self,
        process: NodeProcess,
        proxy: FaultyProxy,
        callers: ConnectionPool,
    ) -> None:
        """Belong to a process; ``callers`` connects to it as callers do."""
        self.process = process
        self.proxy = proxy
        self.callers = callers
        self.lock = asyncio.Lock()


class SoakEnvironment:
    """Everything of one soak."""

    def __init__(
        self,
        plan: SoakPlan,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        """Open what is needed on ``stack``."""
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
        """Start store, targets and nodes."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.write_configuration()
        store_port = await self.listen(self.store)
        self.store_proxy = FaultyProxy(HOST, store_port, PROXY_DELAY_S)
        self.store_port = await self.stack.enter_async_context(
            serve_proxy(self.store_proxy, HOST),
        )
        for number in range(self.plan.nodes):
            self.nodes.append(await self.create_node(number))
        await asyncio.gather(*(node.process.start() for node in self.nodes))

    async def listen(self, handler: Any) -> int:
        """Serve a stand-in; returns its port."""
        clock = asyncio.get_running_loop().time
        listener = HttpListener(handler, ListenerLimits(), clock)
        return await self.stack.enter_async_context(
            open_listener(listener, HOST, 0),
        )

    async def create_node(self, number: int) -> SoakNode:
        """Start one target, and prepare the node beside it."""
        place = assign_addresses(number)
        control = self.stack.enter_context(
            ConnectionPool(place.control.host, place.control.port),
        )
        target = RecordingTarget(
            EmulatedTargetOptions(
                f'i-{number}',
                SERVICE,
                slots=self.plan.slots,
                work_s=self.plan.work_ms / 1000,
            ),
            control,
            self.history,
        )
        proxy = FaultyProxy(HOST, await self.listen(target), PROXY_DELAY_S)
        port = await self.stack.enter_async_context(serve_proxy(proxy, HOST))
        process = NodeProcess(
            number,
            self.boot_settings(number, place, port),
            self.folder,
        )
        callers = self.stack.enter_context(
            ConnectionPool(place.callers.host, place.callers.port),
        )
        self.stack.push_async_callback(process.kill)
        announcing = asyncio.ensure_future(target.announce_until_cancelled())
        self.stack.callback(announcing.cancel)
        return SoakNode(process, proxy, callers)

    def boot_settings(
        self,
        number: int,
        place: NodeAddresses,
        target_port: int,
    ) -> dict[str, Any]:
        """The settings file as the platform writes it."""
        return {
            'node': f'node-{number}',
            'ip': place.peers.host,
            'zone': f'zone-{number % self.plan.zones}',
            'service': SERVICE,
            'listen': {
                'outbound': place.callers.host_port,
                'ready': place.ready.host_port,
                'control': place.control.host_port,
            },
            'internalPortRange': [place.peers.port, place.peers.port],
            'appAddr': f'{HOST}:{target_port}',
            'bounds': {
                'revokeFailClosed': True,
                'revokeS': WITHDRAWAL_S,
                'graceS': 6,
                'retryBudgetRatio': 0.2,
                'budgetSlack': 50,
                'budgetWindowS': 10,
            },
            'platform': {'address': f'{HOST}:{self.store_port}'},
        }

    def write_configuration(self) -> None:
        """Write a new version with the keys that are still valid."""
        self.version += 1
        route = {
            'host': 'maps.example',
            'timeoutS': TIMEOUT_S,
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
