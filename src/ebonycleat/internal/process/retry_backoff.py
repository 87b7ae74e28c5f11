"""Backoff between failed calls to the store."""

import asyncio
import dataclasses

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""The delay doubles up to this. With one node per zone, the store then gets a
few calls per second when it is available again."""


@dataclasses.dataclass(slots=True)
class RetryBackoff:
    """Exponential backoff; ``delay_s`` is the next delay in seconds."""

    delay_s: float = INITIAL_BACKOFF_S

    async def wait(self) -> None:
        """Wait for the delay, and double it up to ``MAX_BACKOFF_S``."""
        await asyncio.sleep(self.delay_s)
        self.delay_s = min(self.delay_s * 2, MAX_BACKOFF_S)

    def reset(self) -> None:
        """Return to the shortest delay, after a success."""
        self.delay_s = INITIAL_BACKOFF_S
