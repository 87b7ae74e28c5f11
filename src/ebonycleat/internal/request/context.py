"""Request contexts: they link the child calls of a target to their request.

Each request that a node sends to its target carries a random context id in a
header, and the target repeats this id in its child calls, the calls that it
makes for the request. Only the node knows which call the id stands for, and
with it the team, the priority, the deadline and the retry ledger. A target can
neither read nor forge them and never sees an API key.
"""

import dataclasses
import enum
import random

from ebonycleat.internal.request.call import Call, Priority
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_outcome_unknown,
)
from ebonycleat.internal.request.retry_ledger import RetryLedger

CONTEXT_BITS = 128
EXPIRY_GRACE_S = 1
"""How long after its deadline a context stays in the registry.

Targets may still make calls shortly after the deadline, to clean up.
"""


class NoContext(enum.Enum):
    """Why a request has no usable context.

    Such a request gets the lowest priority and no retries.
    """

    ABSENT = 'absent'
    UNKNOWN = 'unknown'
    EXPIRED = 'expired'

    @property
    def priority(self) -> Priority:
        """Priority of requests without a context."""
        return Priority.LOWEST

    @property
    def retry_allowance(self) -> int:
        """Number of retries of requests without a context."""
        return 0


OVERLOAD_REASONS = frozenset((Reason.SHED, Reason.QUEUE_FULL, Reason.DEADLINE))


@dataclasses.dataclass(slots=True)
class RequestContext:
    """The call that a target runs, and its child calls.

    ``children`` has the ids of the child calls that are in flight.
    ``downstream_refusal`` is the last refusal that a child call ended with.
    ``waited_s`` is the total time of the waits that have ended; a wait is a
    period during which at least one child call is in flight.
    ``waiting_since`` is the start of the last wait.
    """

    call: Call
    ledger: RetryLedger
    children: set[str]
    downstream_refusal: Refusal | None = None
    waited_s: float = 0
    waiting_since: float = 0

    @property
    def child_depth(self) -> int:
        """Depth of the child calls in the call tree."""
        return self.call.depth + 1

    def start_child(self, call_id: str, now: float) -> None:
        """Record the start of a child call.

        From now on the target is assumed to wait for it.
        """
        if not self.children:
            self.waiting_since = now
        self.children.add(call_id)

    def end_child(self, call_id: str, now: float) -> None:
        """Record the end of a child call; an unknown id is ignored."""
        if call_id in self.children:
            self.children.remove(call_id)
            if not self.children:
                self.waited_s += now - self.waiting_since

    def record_downstream_refusal(self, refusal: Refusal) -> None:
        """Record that a child call was refused and will not be retried.

        If the target then answers with a server error, the caller gets this
        refusal instead, because the failure lies further downstream and not
        in the target. Its outcome is ``UNKNOWN``, since the target has run.
        """
        reason = refusal.reason
        if reason not in OVERLOAD_REASONS:
            reason = Reason.DEPENDENCY_FAILED
        self.downstream_refusal = refuse_outcome_unknown(reason, refusal.detail)


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedContext:
    """What the node needs from a context once its call has ended.

    ``retries_unused`` goes back to the sender of the call, and nobody waits
    for the calls in ``children_to_cancel`` any more.
    """

    retries_unused: int
    children_to_cancel: tuple[str, ...]
    downstream_refusal: Refusal | None = None
    waited_s: float = 0


NO_CLEANUP = ClosedContext(0, ())


class ContextRegistry:
    """The contexts of the calls that run at this node's target, by their id."""

    def __init__(self, capacity: int, rng: random.Random) -> None:
        """Create an empty registry for at most ``capacity`` contexts.

        In production ``rng`` must be ``random.SystemRandom``, because a
        target that could predict the ids could forge contexts.
        """
        self.capacity = capacity
        self.rng = rng
        self.by_id: dict[str, RequestContext] = {}

    def open(self, call: Call) -> str:
        """Create the context of a call for the target and return its id.

        A full registry drops its oldest context; later child calls that name
        it get the lowest priority.
        """
        if len(self.by_id) >= self.capacity:
            self.by_id.pop(next(iter(self.by_id)))
        context_id = f'{self.rng.getrandbits(CONTEXT_BITS):032x}'
        ledger = RetryLedger(call.retry_allowance)
        self.by_id[context_id] = RequestContext(call, ledger, set())
        return context_id

    def resolve(
        self, context_id: str, now: float
    ) -> RequestContext | NoContext:
        """Return the context with an id, or why there is none.

        ``context_id`` is empty for a request without a context header.
        """
        if not context_id:
            return NoContext.ABSENT
        context = self.by_id.get(context_id)
        if context is None:
            return NoContext.UNKNOWN
        if context.call.deadline <= now:
            return NoContext.EXPIRED
        return context

    def close(self, context_id: str) -> ClosedContext:
        """Remove the context of a call that ended.

        For an id that is not registered, for example because the context was
        closed before, the result is ``NO_CLEANUP``.
        """
        context = self.by_id.pop(context_id, None)
        if context is None:
            return NO_CLEANUP
        return ClosedContext(
            context.ledger.close(),
            tuple(sorted(context.children)),
            context.downstream_refusal,
            context.waited_s,
        )

    def close_expired(self, now: float) -> list[ClosedContext]:
        """Remove the contexts whose deadline passed ``EXPIRY_GRACE_S`` ago."""
        expired = [
            context_id
            for context_id, context in self.by_id.items()
            if context.call.deadline + EXPIRY_GRACE_S <= now
        ]
        return [self.close(context_id) for context_id in expired]


def create_context_registry(
    capacity: int,
    rng: random.Random,
) -> ContextRegistry:
    """Create the registry of one node.

    ``capacity`` should be at least the number of calls that run at the target
    at once, since each of them needs a context.
    """
    return ContextRegistry(max(1, capacity), rng)
