"""Connects the core of a node to sockets, threads and the clock.

The driver makes no decisions. It passes each input to the core together with
the loop's time and carries out the effects that the core returns.
"""

import asyncio
import contextlib
import functools
import logging
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future
from typing import Any

from ebonycleat.internal.connection.log_service import LogService
from ebonycleat.internal.connection.peer_link import cancel_on_exit
from ebonycleat.internal.connection.peer_transport import (
    PeerEventHandler,
    PeerIdentity,
    PeerTransport,
)
from ebonycleat.internal.connection.target_client import (
    TargetClient,
)
from ebonycleat.internal.process.blocking_log_calls import (
    append_log_record,
    read_log_page,
)
from ebonycleat.internal.process.effects import (
    AnswerRequest,
    AppendToLog,
    CallTarget,
    NodeEffect,
    ProbeTarget,
    ReadLog,
    SendToPeer,
)
from ebonycleat.internal.process.http_server import (
    RequestHandler,
    create_health_answer,
)
from ebonycleat.internal.process.node_core import NodeCore
from ebonycleat.internal.process.state_changes import log_state_changes
from ebonycleat.internal.process.worker_threads import (
    ThreadPools,
    WorkerThreads,
)
from ebonycleat.internal.request.incoming import (
    IncomingRequest,
    OutgoingResponse,
)
from ebonycleat.internal.request.target_headers import build_target_headers

logger = logging.getLogger(__name__)

TICK_S = 0.02
FLUSH_INTERVAL_S = 1.0


class NodeDriver(PeerEventHandler, RequestHandler):
    """Passes inputs to the core and carries out its effects.

    The state of the node is in the core. The driver only keeps the futures of
    requests that await their answer, by request id, and its tasks.
    """

    def __init__(
        self,
        core: NodeCore,
        identity: PeerIdentity,
        loop: asyncio.AbstractEventLoop,
        log_service: LogService,
        target: TargetClient,
        threads: ThreadPools,
    ) -> None:
        """Drive ``core`` on ``loop``; ``run`` opens the transport."""
        self.core = core
        self.identity = identity
        self.loop = loop
        self.wall_clock = time.time
        self.log_service = log_service
        self.target = target
        self.threads = WorkerThreads(loop, threads, self.perform)
        self.answer_futures: dict[str, Future[OutgoingResponse]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.transport: PeerTransport | None = None
        self.flush_at: float = 0
        self.stop_requested = asyncio.Event()

    def submit(self, request: IncomingRequest) -> Future[OutgoingResponse]:
        """Start a caller's request; called on worker threads."""
        return self.start_on_loop(request, self.core.handle_request)

    def submit_operator(
        self,
        request: IncomingRequest,
    ) -> Future[OutgoingResponse]:
        """Start an operator's request; called on worker threads."""
        issued_at = self.wall_clock()
        return self.start_on_loop(
            request,
            lambda accepted, now: self.core.handle_operator_request(
                accepted,
                now,
                issued_at,
            ),
        )

    def drain_until_idle(self) -> None:
        """Drain the node and block until accepted requests have ended.

        Called on a thread other than the loop's.
        """
        drained: Future[None] = Future()
        self.loop.call_soon_threadsafe(
            lambda: self.spawn(self.drain(drained)),
        )
        drained.result()

    async def drain(self, drained: Future[None]) -> None:
        """Drain the core and set ``drained`` when no request is left."""
        self.perform(self.core.drain(self.loop.time()))
        while self.answer_futures or not self.core.is_drained(
            self.loop.time(),
        ):
            await asyncio.sleep(TICK_S)
        drained.set_result(None)

    def start_on_loop(
        self,
        request: IncomingRequest,
        handler: Callable[[IncomingRequest, float], list[NodeEffect]],
    ) -> Future[OutgoingResponse]:
        """Schedule a request on the loop and return its answer's future."""
        future: Future[OutgoingResponse] = Future()
        self.loop.call_soon_threadsafe(
            self.handle_request,
            request,
            future,
            handler,
        )
        return future

    def handle_request(
        self,
        request: IncomingRequest,
        future: Future[OutgoingResponse],
        handler: Callable[[IncomingRequest, float], list[NodeEffect]],
    ) -> None:
        """Pass a request to the core; runs on the loop."""
        self.answer_futures[request.request_id] = future
        self.perform(handler(request, self.loop.time()))

    def health(self) -> OutgoingResponse:
        """Return the health answer: whether this node accepts requests.

        Called on worker threads.
        """
        return create_health_answer(
            serving=self.core.is_serving(),
            version=self.core.configuration_version(),
        )

    def message_received(self, node: str, message: Any) -> None:
        """Handle one message from a peer."""
        now = self.loop.time()
        self.perform(self.core.handle_message(node, message, now))

    def calls_lost(
        self,
        node: str,
        call_ids: Iterable[str],
        *,
        sent: bool,
    ) -> None:
        """Resolve calls to ``node`` after the link to it closed."""
        now = self.loop.time()
        for call_id in tuple(call_ids):
            effects = self.core.handle_lost_call(node, call_id, now, sent=sent)
            self.perform(effects)

    def link_changed(self, node: str, *, reachable: bool) -> None:
        """Tell the core that a link was opened or lost."""
        self.core.handle_link_change(node, reachable=reachable)

    def perform(self, effects: Iterable[NodeEffect]) -> None:
        """Carry out effects in order."""
        for effect in effects:
            match effect:
                case SendToPeer():
                    self.send_to_peer(effect)
                case CallTarget():
                    self.call_target(effect)
                case AnswerRequest():
                    self.answer(effect)
                case AppendToLog():
                    self.append_to_log(effect)
                case ProbeTarget():
                    self.probe_target()
                case ReadLog():
                    self.read_log(effect)

    def send_to_peer(self, effect: SendToPeer) -> None:
        """Send one message to the address that membership knows now.

        If membership knows none, the transport uses the last known address.
        """
        if self.transport is None:
            return
        address = self.core.address_of(effect.node)
        if address is not None:
            self.transport.addresses[effect.node] = address
        self.transport.send(effect.node, effect.message)

    def answer(self, effect: AnswerRequest) -> None:
        """Complete the future for which a worker thread waits."""
        future = self.answer_futures.pop(effect.request_id, None)
        if future is not None and future.set_running_or_notify_cancel():
            future.set_result(effect.answer)

    def call_target(self, effect: CallTarget) -> None:
        """Send one call to the target from a worker thread."""
        call = effect.call
        now = self.loop.time()
        work = functools.partial(
            self.target.send,
            call.method,
            call.path,
            build_target_headers(call, effect.context_id, now),
            call.body,
            call.deadline - now,
        )
        on_result = functools.partial(
            self.core.handle_target_result, call.call_id
        )
        self.threads.run(self.threads.target_pool, work, on_result)

    def probe_target(self) -> None:
        """Test on a worker thread whether the target accepts connections."""
        self.threads.run(
            self.threads.log_pool,
            self.target.accepts_connections,
            lambda alive, now: self.core.handle_probe_result(now, alive=alive),
        )

    def append_to_log(self, effect: AppendToLog) -> None:
        """Encode and append one record on a worker thread."""
        self.threads.run(
            self.threads.log_pool,
            functools.partial(
                append_log_record,
                self.log_service,
                effect,
                self.core.log_codec,
            ),
            self.core.handle_append_result,
        )

    def read_log(self, effect: ReadLog) -> None:
        """Read one page of the log on a worker thread."""
        self.threads.run(
            self.threads.log_pool,
            functools.partial(
                read_log_page,
                self.log_service,
                effect,
                self.loop.time(),
            ),
            self.core.handle_read_result,
        )

    async def tick_until_cancelled(self) -> None:
        """Tick the core, write log lines and flush counters."""
        while True:
            now = self.loop.time()
            self.perform(self.core.tick(now))
            log_state_changes(self.core.state_changes.pop_changes())
            if now >= self.flush_at:
                self.flush_at = now + FLUSH_INTERVAL_S
                self.core.call_coordinator.metrics.counters.flush()
            await asyncio.sleep(TICK_S)

    async def run(self, host: str, port: int, started: Future[int]) -> None:
        """Listen for peers and tick until a stop is requested.

        ``started`` is set to the bound port.
        """
        transport = PeerTransport(
            self.identity,
            self.core.peer_codec,
            self,
        )
        self.transport = transport
        async with transport.listen(host, port) as bound_port:
            started.set_result(bound_port)
            ticking = asyncio.create_task(self.tick_until_cancelled())
            async with cancel_on_exit([ticking]):
                await self.stop_requested.wait()
            self.threads.stopped = True
            async with cancel_on_exit(self.tasks):
                await asyncio.sleep(0)

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine as a task and keep a reference until it ends.

        The loop keeps only weak references to tasks. Nothing is started while
        the driver stops, because its thread pools are shut down.
        """
        if self.threads.stopped:
            coroutine.close()
            return
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


@contextlib.contextmanager
def run_node_driver(driver: NodeDriver, host: str, port: int) -> Iterator[int]:
    """Run the driver on its loop while the context is open.

    Yields the port on which peers reach the node. Raises ``OSError`` if the
    address is in use.
    """
    started: Future[int] = Future()
    running = asyncio.run_coroutine_threadsafe(
        driver.run(host, port, started),
        driver.loop,
    )
    running.add_done_callback(
        lambda ended: _report_failed_start(ended, started)
    )
    try:
        yield started.result()
    finally:
        driver.loop.call_soon_threadsafe(driver.stop_requested.set)
        running.result()


def _report_failed_start(ended: Future[None], started: Future[int]) -> None:
    if not started.done() and not ended.cancelled():
        started.set_exception(
            ended.exception()
            or RuntimeError('the node ended before it listened for peers'),
        )
