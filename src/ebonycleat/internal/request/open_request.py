"""The state of one caller's request while its answer is awaited."""

import dataclasses

import msgspec

from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.process.team_tokens import Token
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.context import RequestContext
from ebonycleat.internal.request.dedupe_tracker import DedupeTracker
from ebonycleat.internal.request.retry_ledger import RetryLedger


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try to run the call at a member; ``sent_at`` is in seconds."""

    attempt_id: str
    member: Member
    sent_at: float


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """Everything that lives as long as the request.

    ``parent`` is set for calls that a target made under its context.
    ``attempt`` is None while no attempt is under way. ``send`` follows the
    copies of a non-idempotent call. ``token`` is reserved, not yet spent.
    ``lost_nodes`` could not be reached by an earlier attempt.
    """

    call: Call
    ledger: RetryLedger
    received_at: float
    parent_context: RequestContext | None = None
    token: Token | None = None
    dedupe_tracker: DedupeTracker | None = None
    attempts_made: int = 0
    refused_zones: frozenset[str] = frozenset()
    unreachable_nodes: frozenset[str] = frozenset()
    attempt: Attempt | None = None

    @property
    def request_id(self) -> str:
        """Id under which the caller waits."""
        return self.call.call_id

    def next_attempt(self, member: Member, now: float) -> Call:
        """Start an attempt at a member and return the call to send."""
        self.attempts_made += 1
        attempt_id = f'{self.request_id}.{self.attempts_made}'
        self.attempt = Attempt(attempt_id, member, now)
        return msgspec.structs.replace(
            self.call,
            call_id=attempt_id,
            retry_allowance=self.ledger.lend(attempt_id),
        )

    def end_attempt(self, retries_unused: int) -> None:
        """End the attempt with what its answer refunds."""
        if self.attempt is not None:
            self.ledger.refund(self.attempt.attempt_id, retries_unused)
            self.attempt = None

    def write_off_attempt(self) -> None:
        """End the attempt without an answer; nothing is refunded."""
        if self.attempt is not None:
            self.ledger.write_off(self.attempt.attempt_id)
            self.attempt = None


def request_id_of(attempt_id: str) -> str:
    """Return the request that an attempt belongs to."""
    return attempt_id.rpartition('.')[0]
