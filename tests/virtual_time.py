"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors


class SkippingSelector(selectors.SelectSelector):
    """Advances the clock of its loop by the time that it would wait."""

    def __init__(self):
        super().__init__()
        self.now: float = 0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order without waiting; for tests without sockets."""

    def __init__(self):
        self.clock_selector = SkippingSelector()
        super().__init__(self.clock_selector)

    def time(self):
        return self.clock_selector.now


def run_in_virtual_time(coroutine):
    """Run a coroutine to its end on a new loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
