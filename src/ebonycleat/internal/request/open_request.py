"""State of a caller's request from its admission to its response."""

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
    """One attempt to run the call at a member of the fleet.

    ``sent_at`` is in seconds on the node's monotonic clock.
    """

    attempt_id: str
    member: Member
    sent_at: float


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A request that has no result yet.

    ``parent_context`` is the context of the call whose target made this
    request; None for requests from outside. ``token`` is the rate token
    reserved for the request and not yet spent. ``dedupe_tracker`` tracks the
    copies of a non-idempotent call; None for an idempotent one. Later attempts
    avoid ``refused_zones``, the zones that refused an attempt, and
    ``unreachable_nodes``. ``attempt`` is None while no attempt is in flight.
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
        """Id of the caller's request, which all its attempts share."""
        return self.call.call_id

    def next_attempt(self, member: Member, now: float) -> Call:
        """Start an attempt at a member and return the call to send.

        The call has an id of its own and a part of the retry allowance.
        """
        self.attempts_made += 1
        attempt_id = f'{self.request_id}.{self.attempts_made}'
        self.attempt = Attempt(attempt_id, member, now)
        return msgspec.structs.replace(
            self.call,
            call_id=attempt_id,
            retry_allowance=self.ledger.lend(attempt_id),
        )

    def end_attempt(self, retries_unused: int) -> None:
        """End the attempt and take back the retries that it did not use."""
        if self.attempt is not None:
            self.ledger.refund(self.attempt.attempt_id, retries_unused)
            self.attempt = None

    def write_off_attempt(self) -> None:
        """End the attempt whose result was lost; its retries stay spent."""
        if self.attempt is not None:
            self.ledger.write_off(self.attempt.attempt_id)
            self.attempt = None


def request_id_of(attempt_id: str) -> str:
    """Return the id of the request that an attempt belongs to."""
    return attempt_id.rpartition('.')[0]
