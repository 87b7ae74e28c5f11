"""Creates the refusals of a gate, with a jittered Retry-After."""

import random

from ebonycleat.internal.process.gate_decisions import RefuseCall
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Reason, refuse_not_run

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5
MAX_JITTER_FACTOR = 3
"""Jitter keeps callers that were refused together from retrying together."""

DRAIN_JITTER_FACTOR = 1.5
"""Callers honour a Retry-After up to a third of the time that they have left,
so jitter on a known time must be small."""


class RefusalFactory:
    """Creates refusals of calls that were certainly not dispatched.

    ``queue_delay_s`` is the time that the gate's queue takes to empty; the
    Retry-After grows with it.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Name ``zone`` in each refusal, so that retries can avoid it."""
        self.zone = zone
        self.rng = rng
        self.queue_delay_s: float = 0

    def refuse(
        self,
        call: Call,
        reason: Reason,
        detail: str,
        drain_s: float | None = None,
    ) -> RefuseCall:
        """Refuse one call with the outcome NOT_RUN.

        ``drain_s`` is after how many seconds a call like this one would find
        a queue that is short enough, None if that is not known.
        """
        if drain_s is None:
            wait_s = self.queue_delay_s + MIN_RETRY_AFTER_S
            wait_s *= self.rng.uniform(1, MAX_JITTER_FACTOR)
        else:
            wait_s = drain_s * self.rng.uniform(1, DRAIN_JITTER_FACTOR)
        refusal = refuse_not_run(
            reason,
            detail,
            retry_after_s=min(wait_s, MAX_RETRY_AFTER_S),
            zone=self.zone,
        )
        return RefuseCall(call, refusal)
