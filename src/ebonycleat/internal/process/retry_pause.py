"""Pauses between failed calls to the store."""

import asyncio
import dataclasses

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
"""Pauses between failed calls double up to this; with a node per zone the
store then sees a few calls a second when it returns."""


@dataclasses.dataclass(slots=True)
class Retry:
    """Pauses between failed calls, doubled each time."""

    pause_s: float = FIRST_RETRY_S

    async def wait(self) -> None:
        """Wait for the next pause."""
        await asyncio.sleep(self.pause_s)
        self.pause_s = min(self.pause_s * 2, LONGEST_RETRY_S)

    def reset(self) -> None:
        """Begin with the shortest pause again."""
        self.pause_s = FIRST_RETRY_S
