"""Runs a node of a mesh on its loop, and stops it as planned."""

import asyncio
import contextlib
import dataclasses
import functools
from collections.abc import AsyncIterator, Callable

from ebonycleat.internal.connection.http_listener import (
    ExchangeHandler,
    HttpListener,
    ListenerLimits,
    open_listener,
)
from ebonycleat.internal.process.mesh_node import MeshNode
from ebonycleat.internal.process.mesh_http_services import (
    ControlService,
    MetricsService,
    ReadinessService,
)
from ebonycleat.internal.process.mesh_settings import Address

METRICS_PATH = '/metrics'

QUEUE_TICK_S = 0.025
"""How often queues are looked at while something waits; refusals are at most
this late."""

IDLE_TICK_S = 0.1
"""How often they are looked at while nothing waits: the interval of a gate's
shares. Each look costs a wake-up of the process. A request that begins to wait
for a token ends this interval."""

LINK_TICK_S = 0.1
"""How often links are checked for silence; a twelfth of their limit."""

COUNT_TICK_S = 1
"""How often nodes are counted; fewer count only after some seconds."""

MIN_DRAIN_S = 2.3
"""Callers are sent elsewhere after two missed questions a second apart."""

STOP_RESERVE_S = 0.4
"""Part of the stop grace that is left for ending the process."""

STOP_TICK_S = 0.05

FIRST_RECORD_WAIT_S = 2
"""A target announces itself within its heartbeat interval, so that its first
record is written once; without a target the node is recorded after this."""


async def run_mesh_node(node: MeshNode) -> None:
    """Serve until the node is told to stop, then finish what was accepted."""
    async with contextlib.AsyncExitStack() as stack:
        await _open_addresses(node, stack)
        stack.enter_context(node.gate.pool)
        stack.callback(node.links.close)
        await stack.enter_async_context(_running_duties(node))
        await node.stop_requested.wait()
        await _finish_requests(node)


async def _open_addresses(
    node: MeshNode,
    stack: contextlib.AsyncExitStack,
) -> None:
    settings = node.settings
    server = await asyncio.get_running_loop().create_server(
        node.links.accept,
        settings.peers.host,
        settings.peers.port,
    )
    stack.callback(server.close)
    control = ControlService(
        node.dependencies.ports.control, node.handle_target_message
    )
    metrics = MetricsService(METRICS_PATH, node.render_metrics)
    metrics_address = dataclasses.replace(
        settings.peers,
        port=settings.metrics_port,
    )
    await _open(node, stack, ReadinessService(node.is_ready), settings.ready)
    await _open(node, stack, control, settings.control)
    await _open(node, stack, metrics, metrics_address)
    callers = settings.callers
    await stack.enter_async_context(
        open_listener(node.listener, callers.host, callers.port),
    )


async def _open(
    node: MeshNode,
    stack: contextlib.AsyncExitStack,
    handler: ExchangeHandler,
    address: Address,
) -> None:
    listener = HttpListener(handler, ListenerLimits(), node.dependencies.clock)
    await stack.enter_async_context(
        open_listener(listener, address.host, address.port),
    )


@contextlib.asynccontextmanager
async def _running_duties(node: MeshNode) -> AsyncIterator[None]:
    duties = node.background
    coroutines = (
        duties.follower.follow_configuration(),
        duties.follower.follow_members(),
        duties.record_writer.write_until_cancelled(),
        duties.token_exchanger.exchange_until_cancelled(),
        duties.member_sweep.run_until_cancelled(),
        _write_first_record(node),
        _tick_queues(node),
        _tick(LINK_TICK_S, node.links.check_silence),
        _tick(COUNT_TICK_S, node.update_node_count),
    )
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(coroutine) for coroutine in coroutines]
    report = functools.partial(_end_node, node)
    for task in tasks:
        task.add_done_callback(report)
    try:
        yield
    finally:
        for running in tasks:
            running.cancel()


def _end_node(node: MeshNode, ended: asyncio.Task[None]) -> None:
    """Stop a node one of whose duties failed; the platform restarts it."""
    if ended.cancelled():
        return
    error = ended.exception()
    if error is not None:
        node.dependencies.log.logger.error(
            'background task failed', exc_info=error
        )
        node.stop_requested.set()


async def _tick(interval_s: float, act: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(interval_s)
        act()


async def _tick_queues(node: MeshNode) -> None:
    while True:
        if not node.has_waiting_requests():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(node.wait_started.wait(), IDLE_TICK_S)
        if node.has_waiting_requests():
            await asyncio.sleep(QUEUE_TICK_S)
        node.wait_started.clear()
        node.tick_queues()


async def _write_first_record(node: MeshNode) -> None:
    await asyncio.sleep(FIRST_RECORD_WAIT_S)
    if node.background.record_writer.desired_record is None:
        node.update_own_record()


async def _finish_requests(node: MeshNode) -> None:
    """Answer everything that was read, within the stop grace."""
    clock = node.dependencies.clock
    log = node.dependencies.log
    stopped_at = clock()
    end_by = stopped_at + node.settings.bounds.stop_grace_s - STOP_RESERVE_S
    log.write_always('node stopping', open=node.count_open_requests())
    node.gate.gate.drain()
    # Tells the others if this node leaves with its target.
    node.update_own_record()
    while clock() < end_by:
        await asyncio.sleep(STOP_TICK_S)
        if clock() - stopped_at > MIN_DRAIN_S:
            node.listener.close_idle()
            if not node.count_open_requests():
                break
    log.write_always('node stopped', open=node.count_open_requests())
