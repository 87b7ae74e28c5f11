"""The event loop thread, the only thread that accesses a node's state.

Worker threads of the HTTP server pass requests to it with
``call_soon_threadsafe`` and wait for the answer. They never access the state
themselves, so it needs no locks.
"""

import asyncio
import contextlib
import threading
from collections.abc import Iterator

from ebonycleat.internal.process.clocks import boottime_s


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock also advances while the VM is suspended.

    A lease that ends during a suspension must be found expired afterwards.
    The loop's default clock, ``time.monotonic``, stops during a suspension.
    """

    def time(self) -> float:
        """Return seconds since boot, including suspended time."""
        return boottime_s()


@contextlib.contextmanager
def run_loop_thread() -> Iterator[asyncio.AbstractEventLoop]:
    """Run an event loop in its own thread while the context is open."""
    loop = BoottimeEventLoop()
    thread = threading.Thread(target=loop.run_forever, name='loop')
    thread.start()
    try:
        yield loop
    finally:
        _stop(loop, thread)


def _stop(loop: asyncio.AbstractEventLoop, thread: threading.Thread) -> None:
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()
