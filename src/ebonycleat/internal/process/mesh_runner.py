"""Runs a mesh node on its event loop and stops it gracefully."""

import asyncio
import contextlib
import dataclasses
import functools
from collections.abc import AsyncIterator, Callable

from ebonycleat.internal.connection.acceptor import open_acceptor
from ebonycleat.internal.connection.contained_errors import call_contained
from ebonycleat.internal.connection.http_listener import (
    ExchangeHandler,
    HttpListener,
    open_listener,
)
from ebonycleat.internal.connection.listener_limits import ListenerLimits
from ebonycleat.internal.process.mesh_http_services import (
    ControlService,
    MetricsService,
    ReadinessService,
)
from ebonycleat.internal.process.mesh_node import MeshNode
from ebonycleat.internal.process.mesh_settings import Address
from ebonycleat.internal.process.stop_admission import StopTimes
from ebonycleat.internal.request.refusal import Reason

METRICS_PATH = '/metrics'

QUEUE_TICK_S = 0.025
"""Interval of queue ticks while something waits. A refusal that becomes due
between two ticks is sent at most this much later."""

IDLE_TICK_S = 0.1
"""Interval of queue ticks while nothing waits, equal to the interval in which
the gate updates its shares. It is longer because each tick wakes the process.
A request that starts to wait for a token ends the interval early."""

LINK_TICK_S = 0.1
"""Interval of the checks for silent links: a twelfth of the silence limit."""

RUN_TICK_S = 0.25
"""Interval of the checks for runs that their target should have ended."""

COUNT_TICK_S = 1
"""Interval at which nodes are counted again. A lower count takes effect only
after some seconds, so the count is also passed on when it has not changed."""

MIN_DRAIN_S = 2.3
"""Minimum time for which a stopping node still accepts requests. Load
balancers probe readiness every second and stop sending after two failures."""

ESTIMATES_UNTIL_S = 2.8
"""Until then a stopping node accepts requests that are only estimated to end in
time. Almost all callers have noticed the stop by then. It is a little less than
the 3 s after which an accepted request must not lose its answer."""

WITHDRAWAL_S = 0.15
"""Time before its end at which a stopping node refuses what still waits. The
refusal of a call that waits at another node takes a round trip."""

STOP_RESERVE_S = 0.4
"""Part of the stop grace period that is reserved for ending the process."""

STOP_TICK_S = 0.05

FIRST_RECORD_WAIT_S = 2
"""How long the first member record waits for the target's first heartbeat.
The record then names the target at once and is not written twice. A node
without a target is recorded after this time."""


async def run_mesh_node(node: MeshNode) -> None:
    """Serve until a stop is requested, then finish accepted requests."""
    async with contextlib.AsyncExitStack() as stack:
        await _open_addresses(node, stack)
        stack.enter_context(node.gate.pool)
        stack.callback(node.links.close)
        await stack.enter_async_context(_running_background_tasks(node))
        await node.stop_requested.wait()
        await _finish_requests(node)


async def _open_addresses(
    node: MeshNode,
    stack: contextlib.AsyncExitStack,
) -> None:
    settings = node.settings
    peers = settings.peers
    await stack.enter_async_context(
        open_acceptor(node.links.accept, peers.host, peers.port),
    )
    control = ControlService(
        node.dependencies.platform.control, node.handle_target_message
    )
    metrics = MetricsService(METRICS_PATH, node.render_metrics)
    metrics_address = dataclasses.replace(
        settings.peers,
        port=settings.metrics_port,
    )
    await _open_http_service(
        node, stack, ReadinessService(node.check_readiness), settings.ready
    )
    await _open_http_service(node, stack, control, settings.control)
    await _open_http_service(node, stack, metrics, metrics_address)
    callers = settings.callers
    await stack.enter_async_context(
        open_listener(node.listener, callers.host, callers.port),
    )


async def _open_http_service(
    node: MeshNode,
    stack: contextlib.AsyncExitStack,
    handler: ExchangeHandler,
    address: Address,
) -> None:
    listener = HttpListener(
        handler,
        ListenerLimits(),
        node.dependencies.clock,
        node.dependencies.account,
    )
    await stack.enter_async_context(
        open_listener(listener, address.host, address.port),
    )


@contextlib.asynccontextmanager
async def _running_background_tasks(node: MeshNode) -> AsyncIterator[None]:
    components = node.background
    coroutines = (
        components.follower.follow_configuration(),
        components.follower.follow_members(),
        components.record_writer.write_until_cancelled(),
        components.lost_records.write_until_cancelled(),
        components.token_exchanger.exchange_until_cancelled(),
        components.member_sweep.run_until_cancelled(),
        _write_first_record(node),
        _tick_queues(node),
        _tick(LINK_TICK_S, node.links.check_silence),
        _tick(RUN_TICK_S, node.gate.cancel_silent_runs),
        _tick(COUNT_TICK_S, node.update_node_count),
        _tick(COUNT_TICK_S, node.check_descriptors),
        _tick(COUNT_TICK_S, node.publish_cleared_suspects),
    )
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(coroutine) for coroutine in coroutines]
    on_task_done = functools.partial(_stop_after_failure, node)
    for task in tasks:
        task.add_done_callback(on_task_done)
    try:
        yield
    finally:
        for running in tasks:
            running.cancel()


def _stop_after_failure(node: MeshNode, ended: asyncio.Task[None]) -> None:
    """Stop the node after a background task failed.

    The platform restarts the process, which begins with fresh state.
    """
    if ended.cancelled():
        return
    error = ended.exception()
    if error is not None:
        node.stop_after_failure(error)


async def _tick(interval_s: float, action: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(interval_s)
        call_contained('tick', action)


async def _tick_queues(node: MeshNode) -> None:
    while True:
        if not node.has_waiting_requests():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(node.wait_started.wait(), IDLE_TICK_S)
        if node.has_waiting_requests():
            await asyncio.sleep(QUEUE_TICK_S)
        node.wait_started.clear()
        call_contained('tick of the queues', node.tick_queues)


async def _write_first_record(node: MeshNode) -> None:
    await asyncio.sleep(FIRST_RECORD_WAIT_S)
    if node.background.record_writer.desired_record is None:
        node.update_own_record()


async def _finish_requests(node: MeshNode) -> None:
    """Drain the gate and wait until requests have their whole answers.

    New requests are accepted for at least ``MIN_DRAIN_S``, because callers
    notice the stop with a delay, and later if they end before the node does.
    What has not run until shortly before the end is refused. Requests that are
    still open when the stop grace period ends are counted in the last log line.
    """
    clock = node.dependencies.clock
    log = node.dependencies.log
    stopped_at = clock()
    end_by = (
        stopped_at + node.settings.mesh_limits.stop_grace_s - STOP_RESERVE_S
    )
    log.write_always('node stopping', open=node.count_open_requests())
    node.entry.stop_admission.times = StopTimes(
        stopped_at + MIN_DRAIN_S, stopped_at + ESTIMATES_UNTIL_S, end_by
    )
    node.gate.gate.drain()
    node.background.token_exchanger.stop_holding()
    # The record tells other nodes whether this node still serves callers:
    # it does not when its target leaves too.
    node.update_own_record()
    while clock() < end_by:
        await asyncio.sleep(STOP_TICK_S)
        if clock() >= end_by - WITHDRAWAL_S:
            call_contained('refusals at the end', _refuse_waiting, node)
        if clock() - stopped_at > MIN_DRAIN_S:
            node.listener.close_idle()
            if not node.has_unfinished_work():
                break
    log.write_always(
        'node stopped',
        open=node.count_open_requests(),
        unsent=node.listener.count_unsent() + node.links.count_unsent(),
    )


def _refuse_waiting(node: MeshNode) -> None:
    """Refuse everything that waits and has not run, before the node ends.

    The requests of its callers come first: the refusal of the gate alone would
    send them to another one.
    """
    node.background.token_exchanger.refuse_waiting()
    node.entry.withdraw_waiting()
    gate = node.gate.gate
    node.gate.decisions.add(
        gate.refuse_queued(
            gate.queue,
            Reason.DRAINING,
            'the node of the target ends before the request can start',
        )
    )
