"""Blocking calls on threads, with their results brought back to the loop."""

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
    """Threads for blocking calls; log reads wait, so they have their own."""

    log_pool: Executor
    target_pool: Executor


class WorkerThreads:
    """Runs blocking work; nothing is started once ``stopped`` is set."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        threads: ThreadPools,
        perform: Callable[[Iterable[NodeEffect]], None],
    ) -> None:
        """Report to ``loop``; ``perform`` carries out what follows."""
        self.loop = loop
        self.log_pool = threads.log_pool
        self.target_pool = threads.target_pool
        self.perform = perform
        self.stopped = False

    def run(
        self,
        threads: Executor,
        work: Callable[[], Any],
        report: Callable[[Any, float], list[NodeEffect]],
    ) -> None:
        """Run blocking work on a thread, then report its result on the loop.

        A task and a future for each call would cost three more turns of the
        loop, and each turn may wait for a thread that holds the interpreter.
        """
        if not self.stopped:
            threads.submit(self.work_and_report, work, report)

    def work_and_report(
        self,
        work: Callable[[], Any],
        report: Callable[[Any, float], list[NodeEffect]],
    ) -> None:
        """Do the work and hand its result to the loop; runs on a thread."""
        try:
            outcome = work()
        except Exception:
            # The calls report their failures as results; anything else is a
            # fault of this program, and the request ends at its deadline.
            logger.exception('worker thread failed')
            return
        # The loop is closed when the node stops before its threads do.
        with contextlib.suppress(RuntimeError):
            self.loop.call_soon_threadsafe(self.take_report, report, outcome)

    def take_report(
        self,
        report: Callable[[Any, float], list[NodeEffect]],
        outcome: object,
    ) -> None:
        """Give the result of work on a thread to the core."""
        self.perform(report(outcome, self.loop.time()))
