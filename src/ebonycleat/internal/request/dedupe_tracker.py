"""Tracks the copies of a non-idempotent call that the ingress node sends.

The ingress node is the node that received the request from the caller. The ids
of non-idempotent calls (team and Idempotency-Key) are divided into ownership
slots, and the owner of a slot, the dedupe owner, decides whether a call runs.
When the owner changes, a link closes or an answer is lost, the ingress node
sends another copy of the same call, so several can be in flight.

Without an answer of the owner the ingress node may report ``NOT_RUN`` only if
no copy of this call and no earlier attempt with the same id can run any more.
It cannot see attempts that went through other nodes. Callers therefore number
their attempts in a header; if the number is missing, an earlier attempt may
have run.
"""

import dataclasses
import enum
import hashlib
from typing import TypeAlias

import xxhash

from ebonycleat.internal.request.call import Call, CallResult, RefusedCall
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

SLOTS_PER_SERVICE = 64

HASH_BYTES = 16

# The caller did not number its attempts, so there may have been an earlier one.
UNDECLARED_ATTEMPT = 0

FIRST_ATTEMPT = 1


def _encode_team_and_key(team: str, idempotency_key: str) -> bytes:
    # With the length of the team in front, ('ab', 'c') and ('a', 'bc') give
    # different bytes.
    encoded_team = team.encode()
    prefix = len(encoded_team).to_bytes(4, 'big')
    return prefix + encoded_team + idempotency_key.encode()


def hash_idempotency_key(team: str, idempotency_key: str) -> bytes:
    """Hash a team and an Idempotency-Key to 128 bits.

    The hash is cryptographic. With a weaker one a team could construct a key
    whose hash collides with a key of another team, and would get the stored
    response of that team.
    """
    return hashlib.blake2b(
        _encode_team_and_key(team, idempotency_key),
        digest_size=HASH_BYTES,
    ).digest()


def slot_index(team: str, idempotency_key: str) -> int:
    """Return the number, within the service, of the slot that has an id."""
    digest = xxhash.xxh64_intdigest(_encode_team_and_key(team, idempotency_key))
    return digest % SLOTS_PER_SERVICE


@dataclasses.dataclass(frozen=True, slots=True)
class DedupeAsk:
    """Peer message: asks the owner of a slot to run a non-idempotent call.

    ``epoch`` is the epoch of the owner that the ingress node knows. A copy that
    arrives after a change of owner names a former epoch, and no node accepts
    it. ``attempt`` is the caller's number of its attempt, 0 if it gave none.
    ``copy_number`` is the number of this copy, from 1.
    """

    call: Call
    slot: int
    epoch: int
    attempt: int
    copy_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyNotTaken:
    """Peer message: the sender has not run this copy and never will.

    This is a guarantee of one incarnation of a node for one copy; other copies
    and earlier incarnations of the node may have run the call.
    """

    call_id: str
    copy_number: int
    node: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """The answer of a dedupe owner to one copy of a call.

    A refusal with the outcome ``NOT_RUN`` covers all copies up to
    ``copy_number`` that name an epoch of at most ``epoch``.
    """

    call_id: str
    copy_number: int
    epoch: int
    result: CallResult


class NextStep(enum.Enum):
    """What the ingress node does next while a call has no final result."""

    SEND_AGAIN = 'send-again'
    WAIT = 'wait'


DedupeStep: TypeAlias = NextStep | CallResult


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRecipient:
    """The owner that a copy was sent to, as described by its claim."""

    node: str
    incarnation: int
    epoch: int


class DedupeTracker:
    """Tracks the copies of one call until its result is known.

    ``unresolved_copies`` are the copies that may still run, by their number.
    """

    def __init__(
        self, call: Call, caller_attempt: int, max_copies: int = 8
    ) -> None:
        """Track a call of which no copy has been sent.

        ``caller_attempt`` is the caller's number of its attempt, 0 if it gave
        none. After ``max_copies`` copies the call is refused.
        """
        self.call = call
        self.caller_attempt = caller_attempt
        self.max_copies = max_copies
        self.copies_sent = 0
        self.unresolved_copies: dict[int, CopyRecipient] = {}

    def create_copy(self, owner: CopyRecipient) -> DedupeAsk:
        """Create the next copy; from now on it counts as sent."""
        self.copies_sent += 1
        self.unresolved_copies[self.copies_sent] = owner
        call = self.call
        return DedupeAsk(
            call=call,
            slot=slot_index(call.team, call.idempotency_key),
            epoch=owner.epoch,
            attempt=self.caller_attempt,
            copy_number=self.copies_sent,
        )

    def owner_answered(self, answer: OwnerAnswer) -> DedupeStep:
        """Handle the answer of an owner.

        A ``NOT_RUN`` refusal is not final while a later copy, or one with a
        later epoch, may still run.
        """
        result = answer.result
        if not isinstance(result, RefusedCall):
            return result
        if result.refusal.outcome is Outcome.UNKNOWN:
            return result
        for number, copy in self.unresolved_copies.items():
            if number > answer.copy_number or copy.epoch > answer.epoch:
                return NextStep.WAIT
        return result

    def copy_not_taken(self, message: CopyNotTaken) -> DedupeStep:
        """Handle the guarantee that a copy will not run.

        It resolves the copy only if it comes from the node and incarnation
        that the copy was sent to.
        """
        copy = self.unresolved_copies.get(message.copy_number)
        if copy is not None and copy.node == message.node:
            if copy.incarnation == message.incarnation:
                self.unresolved_copies.pop(message.copy_number)
        if message.copy_number < self.copies_sent:
            return NextStep.WAIT
        return self._send_again_or_give_up()

    def link_closed(self, copy_number: int, *, sent: bool) -> DedupeStep:
        """Handle that a link closed before the copy on it was answered.

        ``sent`` is True if any part of the copy may have left this node.
        """
        if not sent:
            self.unresolved_copies.pop(copy_number, None)
        if copy_number < self.copies_sent:
            return NextStep.WAIT
        return self._send_again_or_give_up()

    def give_up(
        self,
        reason: Reason = Reason.DEDUPE_UNAVAILABLE,
        detail: str = '',
        retry_after_s: float = 0,
    ) -> RefusedCall:
        """Refuse the call without an answer of its owner.

        The outcome is ``NOT_RUN`` only if this is the caller's first attempt
        and no copy can run. Refusals before the first copy (rate, admission)
        are made here too, so that they follow the same rule.
        """
        return RefusedCall(
            self.call.call_id,
            self._refusal(reason, detail, retry_after_s),
        )

    def _refusal(
        self,
        reason: Reason,
        detail: str,
        retry_after_s: float,
    ) -> Refusal:
        if self.caller_attempt == FIRST_ATTEMPT and not self.unresolved_copies:
            return refuse_not_run(reason, detail, retry_after_s)
        return refuse_outcome_unknown(
            reason,
            detail
            or 'the request may have run; send it again with the same '
            'Idempotency-Key to get its result',
        )

    def _send_again_or_give_up(self) -> DedupeStep:
        if self.copies_sent < self.max_copies:
            return NextStep.SEND_AGAIN
        return self.give_up()
