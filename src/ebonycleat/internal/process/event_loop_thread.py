"""The one thread on which all state of a node lives.

cherrypy's worker threads hand work over with ``call_soon_threadsafe`` and
wait; they never touch state, so that no lock is needed anywhere.
"""

import asyncio
import contextlib
import threading
from collections.abc import Iterator

from ebonycleat.internal.process.clocks import boottime_s


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock also counts time while the VM is paused.

    Leases must be found expired after a pause; the default clock of the
    loop stands still while the machine sleeps.
    """

    def time(self) -> float:
        """Seconds since the machine started, including pauses."""
        return boottime_s()


@contextlib.contextmanager
def run_loop_thread() -> Iterator[asyncio.AbstractEventLoop]:
    """Run an event loop on a thread of its own while the context is open."""
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
