"""Blocking work on threads while a node stops."""

import asyncio
import functools
import threading
from concurrent.futures import ThreadPoolExecutor

from ebonycleat.internal.process.worker_threads import (
    ThreadPools,
    WorkerThreads,
)
from tests.loopback_http import run_with_timeout

WAITING_COUNT = 200


def ignore_result(work_result, now):
    return []


def test_work_that_waits_for_a_thread_is_dropped_when_the_node_stops():
    """Guards against a node that does not stop while its log hangs.

    Each append to a log that does not answer ends only at its time-out, and
    hundreds may wait for a thread.
    """
    started = threading.Event()
    released = threading.Event()
    executed = []

    def hang():
        started.set()
        released.wait()

    async def stop_while_work_waits():
        with ThreadPoolExecutor(1) as pool:
            threads = WorkerThreads(
                asyncio.get_running_loop(),
                ThreadPools(pool, pool),
                lambda effects: None,
            )
            threads.run(pool, hang, ignore_result)
            for number in range(WAITING_COUNT):
                threads.run(
                    pool,
                    functools.partial(executed.append, number),
                    ignore_result,
                )
            started.wait()
            threads.stopped = True
            released.set()

    run_with_timeout(stop_while_work_waits())
    assert not executed
