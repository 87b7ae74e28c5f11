"""Opaque contexts, by which a target's further calls are recognized.

A target passes on the random text that came with a request. Only the node
beside it can resolve the text to the team, priority, deadline and retry
ledger, so a target can neither read nor forge them, and sees no key.
"""

import dataclasses
import enum
import random

from ebonycleat.internal.request.call import Call, Priority
from ebonycleat.internal.request.retry_ledger import RetryLedger
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_outcome_unknown,
)

CONTEXT_BITS = 128
EXPIRY_GRACE_S = 1
"""Targets may still call on shortly after the deadline, to clean up."""


class NoContext(enum.Enum):
    """Why a request has no usable context; it then ranks LOWEST."""

    ABSENT = 'absent'
    UNKNOWN = 'unknown'
    EXPIRED = 'expired'

    @property
    def priority(self) -> Priority:
        """Priority of calls without a context."""
        return Priority.LOWEST

    @property
    def retry_allowance(self) -> int:
        """Calls without a context are never retried."""
        return 0


OVERLOAD_REASONS = frozenset((Reason.SHED, Reason.QUEUE_FULL, Reason.DEADLINE))


@dataclasses.dataclass(slots=True)
class RequestContext:
    """What a target's further calls inherit from the call that it runs.

    ``children`` holds the ids of calls still running on its behalf;
    ``refused_deeper`` is the last refusal that one of them ended with.
    """

    call: Call
    ledger: RetryLedger
    children: set[str]
    downstream_refusal: Refusal | None = None
    waited_s: float = 0
    waiting_since: float = 0

    @property
    def child_depth(self) -> int:
        """Depth of calls made under this context."""
        return self.call.depth + 1

    def start_child(self, call_id: str, now: float) -> None:
        """Note a further call; the target is taken to wait for it."""
        if not self.children:
            self.waiting_since = now
        self.children.add(call_id)

    def end_child(self, call_id: str, now: float) -> None:
        """Note the end of a further call."""
        if call_id in self.children:
            self.children.remove(call_id)
            if not self.children:
                self.waited_s += now - self.waiting_since

    def record_downstream_refusal(self, refusal: Refusal) -> None:
        """Note that a further call was refused for good.

        If the target then fails, this is the reason to give: the target
        itself is sound. The outcome is unknown, since the target has run.
        """
        reason = refusal.reason
        if reason not in OVERLOAD_REASONS:
            reason = Reason.DEPENDENCY_FAILED
        self.downstream_refusal = refuse_outcome_unknown(reason, refusal.detail)


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedContext:
    """What remains to do when the call has ended."""

    retries_unused: int
    children_to_cancel: tuple[str, ...]
    downstream_refusal: Refusal | None = None
    waited_s: float = 0


NO_CLEANUP = ClosedContext(0, ())


class ContextRegistry:
    """The contexts of the calls that run at this node's target."""

    def __init__(self, capacity: int, rng: random.Random) -> None:
        """Bound the registry; ``rng`` must be ``SystemRandom`` in nodes."""
        self.capacity = capacity
        self.rng = rng
        self.by_text: dict[str, RequestContext] = {}

    def open(self, call: Call) -> str:
        """Create the context of a dispatched call; return its text.

        When the registry is full the oldest context leaves, and its further
        calls rank LOWEST.
        """
        if len(self.by_text) >= self.capacity:
            self.by_text.pop(next(iter(self.by_text)))
        text = f'{self.rng.getrandbits(CONTEXT_BITS):032x}'
        ledger = RetryLedger(call.retry_allowance)
        self.by_text[text] = RequestContext(call, ledger, set())
        return text

    def resolve(self, text: str, now: float) -> RequestContext | NoContext:
        """Look up the context that came with a target's further call."""
        if not text:
            return NoContext.ABSENT
        context = self.by_text.get(text)
        if context is None:
            return NoContext.UNKNOWN
        if context.call.deadline <= now:
            return NoContext.EXPIRED
        return context

    def close(self, text: str) -> ClosedContext:
        """End a context when its call ended; a second close does nothing."""
        context = self.by_text.pop(text, None)
        if context is None:
            return NO_CLEANUP
        return ClosedContext(
            context.ledger.close(),
            tuple(sorted(context.children)),
            context.downstream_refusal,
            context.waited_s,
        )

    def close_expired(self, now: float) -> list[ClosedContext]:
        """End the contexts whose deadline passed ``LINGER_S`` ago."""
        expired = [
            text
            for text, context in self.by_text.items()
            if context.call.deadline + EXPIRY_GRACE_S <= now
        ]
        return [self.close(text) for text in expired]


def create_context_registry(
    capacity: int,
    rng: random.Random,
) -> ContextRegistry:
    """Build the registry of one node; capacity at least its slots."""
    return ContextRegistry(max(1, capacity), rng)
