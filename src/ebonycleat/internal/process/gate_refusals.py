"""Refusals of the gate, with jittered advice on when to retry."""

import random

from ebonycleat.internal.process.gate_decisions import RefuseCall
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Reason, refuse_not_run

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5
MAX_JITTER_FACTOR = 3
"""Callers refused together must not come back together."""


class RefusalFactory:
    """Writes refusals of calls that were certainly not dispatched."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Name the zone, so that retries can avoid it."""
        self.zone = zone
        self.rng = rng
        self.queue_delay_s: float = 0

    def refuse(self, call: Call, reason: Reason, detail: str) -> RefuseCall:
        """Refuse one call as NOT_RUN."""
        wait_s = self.queue_delay_s + MIN_RETRY_AFTER_S
        wait_s *= self.rng.uniform(1, MAX_JITTER_FACTOR)
        refusal = refuse_not_run(
            reason,
            detail,
            retry_after_s=min(wait_s, MAX_RETRY_AFTER_S),
            zone=self.zone,
        )
        return RefuseCall(call, refusal)
