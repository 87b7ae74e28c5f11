"""Refusals of the gate, with jittered advice on when to retry."""

import random

from ebonycleat.internal.process.gate_events import Refuse
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Reason, refuse_not_run

SHORTEST_RETRY_AFTER_S = 0.1
LONGEST_RETRY_AFTER_S = 5
LARGEST_JITTER = 3
"""Callers refused together must not come back together."""


class RefusalWriter:
    """Writes refusals of calls that were certainly not dispatched."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Name the zone, so that retries can avoid it."""
        self.zone = zone
        self.rng = rng
        self.delay_s: float = 0

    def refuse(self, call: Call, reason: Reason, detail: str) -> Refuse:
        """Refuse one call as NOT_RUN."""
        wait_s = self.delay_s + SHORTEST_RETRY_AFTER_S
        wait_s *= self.rng.uniform(1, LARGEST_JITTER)
        refusal = refuse_not_run(
            reason,
            detail,
            retry_after_s=min(wait_s, LONGEST_RETRY_AFTER_S),
            zone=self.zone,
        )
        return Refuse(call, refusal)
