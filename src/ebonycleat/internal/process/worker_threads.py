"""Runs blocking calls on threads and passes their results to the loop."""

import asyncio
import contextlib
import dataclasses
import logging
from collections.abc import Callable, Iterable
from concurrent.futures import Executor
from typing import Any

from ebonycleat.internal.process.effects import NodeEffect

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ThreadPools:
    """Thread pools for blocking calls.

    Calls to the log have their own pool, because long polls occupy their
    threads for seconds and would delay calls to the target.
    """

    log_pool: Executor
    target_pool: Executor


class WorkerThreads:
    """Runs blocking functions; starts nothing after ``stopped`` is set."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pools: ThreadPools,
        perform: Callable[[Iterable[NodeEffect]], None],
    ) -> None:
        """Handle results on ``loop``.

        ``perform`` carries out the effects that handling a result returns.
        """
        self.loop = loop
        self.log_pool = pools.log_pool
        self.target_pool = pools.target_pool
        self.perform = perform
        self.stopped = False

    def run(
        self,
        pool: Executor,
        work: Callable[[], Any],
        on_result: Callable[[Any, float], list[NodeEffect]],
    ) -> None:
        """Run ``work`` in a thread pool, then ``on_result`` on the loop.

        ``on_result`` gets the return value of ``work`` and the loop's time,
        and returns effects. ``loop.run_in_executor`` is not used: its task
        and future would need three more iterations of the loop for each call,
        and each iteration may have to wait for the interpreter lock.
        """
        if not self.stopped:
            pool.submit(self.run_work, work, on_result)

    def run_work(
        self,
        work: Callable[[], Any],
        on_result: Callable[[Any, float], list[NodeEffect]],
    ) -> None:
        """Run ``work`` and pass its result to the loop; called on a thread.

        Work that still waits for a thread when the node stops is dropped. An
        unreachable log service can leave hundreds of appends waiting, each of
        which would end only at its time-out.
        """
        if self.stopped:
            return
        try:
            work_result = work()
        except Exception:
            # Expected failures are returned as results, so this exception is
            # a bug. The request that waits for it ends at its deadline.
            logger.exception('worker thread failed')
            return
        # RuntimeError: the loop was closed while the thread still worked,
        # because the node stopped.
        with contextlib.suppress(RuntimeError):
            self.loop.call_soon_threadsafe(
                self.handle_work_result, on_result, work_result
            )

    def handle_work_result(
        self,
        on_result: Callable[[Any, float], list[NodeEffect]],
        work_result: object,
    ) -> None:
        """Call ``on_result`` and perform its effects; runs on the loop."""
        self.perform(on_result(work_result, self.loop.time()))
