"""Pauses between failed calls to the store."""

import asyncio
import dataclasses

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Pauses between failed calls double up to this; with a node per zone the
store then sees a few calls a second when it returns."""


@dataclasses.dataclass(slots=True)
class RetryBackoff:
    """Pauses between failed calls, doubled each time."""

    delay_s: float = INITIAL_BACKOFF_S

    async def wait(self) -> None:
        """Wait for the next pause."""
        await asyncio.sleep(self.delay_s)
        self.delay_s = min(self.delay_s * 2, MAX_BACKOFF_S)

    def reset(self) -> None:
        """Begin with the shortest pause again."""
        self.delay_s = INITIAL_BACKOFF_S
