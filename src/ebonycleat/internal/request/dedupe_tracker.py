"""What the ingress may say of a non-idempotent call without the owner's word.

One send of a caller can leave the ingress in several copies: the dedupe owner
changes, a link closes, an answer is lost. ``NOT_RUN`` is true only when no
copy of this send, and no earlier send of the same id, can run. The ingress
cannot see sends that went through other nodes, so the caller numbers its
sends (``attempt``); without a number every earlier send stays possible.
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

# A caller that does not number its sends; nothing is known of earlier ones.
UNDECLARED_ATTEMPT = 0

FIRST_ATTEMPT = 1


def _encode_team_and_key(team: str, idempotency_key: str) -> bytes:
    # The length prefix keeps ('ab', 'c') and ('a', 'bc') apart.
    encoded_team = team.encode()
    prefix = len(encoded_team).to_bytes(4, 'big')
    return prefix + encoded_team + idempotency_key.encode()


def hash_idempotency_key(team: str, idempotency_key: str) -> bytes:
    """Hash a team and an id to 128 bits.

    The hash is cryptographic: with a weaker one a team could construct an
    id that collides with another team's id and be given its kept answer.
    """
    return hashlib.blake2b(
        _encode_team_and_key(team, idempotency_key),
        digest_size=HASH_BYTES,
    ).digest()


def slot_index(team: str, idempotency_key: str) -> int:
    """Return the ownership slot, within the service, that decides an id."""
    digest = xxhash.xxh64_intdigest(_encode_team_and_key(team, idempotency_key))
    return digest % SLOTS_PER_SERVICE


@dataclasses.dataclass(frozen=True, slots=True)
class DedupeAsk:
    """Peer message: one copy of a send, for the owner of its slot.

    ``epoch`` is the owner's epoch as the ingress knows it: a copy that was
    delayed past a change of owner is not taken by anyone. ``copy_number``
    counts the copies of this call that left the ingress, from 1.
    """

    call: Call
    slot: int
    epoch: int
    attempt: int
    copy_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyNotTaken:
    """Peer message: this incarnation has not run the copy and never will.

    It says nothing of other copies, nor of a former incarnation of the node.
    """

    call_id: str
    copy_number: int
    node: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """Peer message: the owner's final word on a call.

    A refusal as ``NOT_RUN`` covers all copies up to ``copy_number`` that
    were sent with an epoch of at most ``epoch``.
    """

    call_id: str
    copy_number: int
    epoch: int
    result: CallResult


class NextStep(enum.Enum):
    """What the ingress does while it has no final result."""

    SEND_AGAIN = 'send-again'
    WAIT = 'wait'


DedupeStep: TypeAlias = NextStep | CallResult


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRecipient:
    """The owner to which an unresolved copy was sent, as its claim says."""

    node: str
    incarnation: int
    epoch: int


class DedupeTracker:
    """Follows one send of a caller until its result can be told."""

    def __init__(self, call: Call, attempt: int, max_copies: int = 8) -> None:
        """Follow the call; ``max_copies`` bounds the copies that are sent."""
        self.call = call
        self.attempt = attempt
        self.max_copies = max_copies
        self.copies_sent = 0
        self.unresolved_copies: dict[int, CopyRecipient] = {}

    def create_copy(self, owner: CopyRecipient) -> DedupeAsk:
        """Make the next copy; from here on it counts as sent."""
        self.copies_sent += 1
        self.unresolved_copies[self.copies_sent] = owner
        call = self.call
        return DedupeAsk(
            call=call,
            slot=slot_index(call.team, call.idempotency_key),
            epoch=owner.epoch,
            attempt=self.attempt,
            copy_number=self.copies_sent,
        )

    def owner_answered(self, answer: OwnerAnswer) -> DedupeStep:
        """Take the owner's word; one for an older copy may not be final."""
        result = answer.result
        if not isinstance(result, RefusedCall):
            return result
        if result.refusal.outcome is Outcome.UNKNOWN:
            return result
        for number, copy in self.unresolved_copies.items():
            if number > answer.copy_number or copy.epoch > answer.epoch:
                return NextStep.WAIT
        return result

    def copy_not_taken(self, word: CopyNotTaken) -> DedupeStep:
        """Resolve the copy that will not run, and go on."""
        copy = self.unresolved_copies.get(word.copy_number)
        if copy is not None and copy.node == word.node:
            if copy.incarnation == word.incarnation:
                self.unresolved_copies.pop(word.copy_number)
        if word.copy_number < self.copies_sent:
            return NextStep.WAIT
        return self._send_again_or_give_up()

    def link_closed(self, copy_number: int, *, sent: bool) -> DedupeStep:
        """Go on after a link closed before the copy was answered."""
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
        """Refuse without the owner's word, as far as that is truthful.

        Refusals before the first copy (rate, admission) go through here too.
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
        if self.attempt == FIRST_ATTEMPT and not self.unresolved_copies:
            return refuse_not_run(reason, detail, retry_after_s)
        return refuse_outcome_unknown(
            reason,
            detail or 'send the request again with the same Idempotency-Key',
        )

    def _send_again_or_give_up(self) -> DedupeStep:
        if self.copies_sent < self.max_copies:
            return NextStep.SEND_AGAIN
        return self.give_up()
