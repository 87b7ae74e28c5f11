"""Bounded memory of a dedupe owner: ids, their answers and refused copies.

The id of a request consists of its team and its Idempotency-Key.
"""

import collections
import dataclasses
import enum

from ebonycleat.internal.request.call import Answer
from ebonycleat.internal.request.dedupe_tracker import DedupeAsk

DEDUPE_WINDOW_S = 600

MAX_CLOCK_DRIFT = 0.01

# A call may be dispatched for this long after the append of its id was sent.
# After that the id must be appended again, or the call is refused.
PERMIT_LIFETIME_S = 30

# Readers of the log remember an id from when they read it. The id can be
# dispatched later than that, by as much as the permit lasts, and the clock of
# the dispatching node may be slower than theirs.
ID_RETENTION_S = DEDUPE_WINDOW_S * (1 + MAX_CLOCK_DRIFT) + PERMIT_LIFETIME_S


@dataclasses.dataclass(frozen=True, slots=True)
class DedupeLimits:
    """Limits of the memory of one node.

    An id takes 0.6 KB as an entry with the object of its answer, and 79 bytes
    when it was read from the log; a refused call takes 190 bytes (measured
    with tracemalloc). Together that is 165 MB at most. ``max_ids`` allows for
    235 new ids a second over the retention time. ``max_refused_calls`` limits
    the calls of which the node has promised not to run a copy, and
    ``max_joined_calls`` the calls that wait for the result of the same id.
    """

    max_ids: int = 150_000
    max_started_ids: int = 300_000
    max_refused_calls: int = 100_000
    max_joined_calls: int = 16
    max_answer_bytes: int = 32 * 1024 * 1024


class IdPhase(enum.Enum):
    """State of an id at its owner.

    An id is ``WAITING`` until its start is recorded, ``PERMITTED`` until it is
    dispatched, and ``RUNNING`` until it settles: as ``ANSWERED``, as
    ``UNKNOWN`` if it started and its answer is not known, or as ``NOT_RUN``.
    """

    WAITING = 'waiting'
    PERMITTED = 'permitted'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not-run'


SETTLED_PHASES = frozenset((IdPhase.ANSWERED, IdPhase.UNKNOWN, IdPhase.NOT_RUN))


@dataclasses.dataclass(slots=True)
class IdEntry:
    """One id; ``asks`` holds the latest copy of each call that waits for it.

    ``tenure_epoch`` is the first epoch of the tenure in which the owner checked
    that the id may run. ``expires_at`` is the end of the permit to dispatch
    the call, and after the id settled the end of the retention time.
    ``known_to_successors`` says that every later owner will treat the id as
    started: the id is in the log, or the witnesses know that the slot ran ids
    unlogged. ``refused_attempt`` is the highest attempt of the caller that was
    refused as not run.
    """

    id_hash: bytes
    slot: int
    tenure_epoch: int = 0
    phase: IdPhase = IdPhase.WAITING
    asks: dict[str, DedupeAsk] = dataclasses.field(default_factory=dict)
    running_call_id: str = ''
    deadline: float = 0
    known_to_successors: bool = False
    refused_attempt: int = 0
    answer: Answer | None = None
    expires_at: float = 0


class DedupeMemory:
    """The known ids, by their hash.

    Settled entries expire. When the stored answers exceed their limit, the
    oldest answer is evicted and its id becomes ``UNKNOWN``: an id that started
    is never forgotten within the retention time.
    """

    def __init__(self, limits: DedupeLimits) -> None:
        """Start without entries."""
        self.limits = limits
        self.entries: dict[bytes, IdEntry] = {}
        self.expiries: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self.answer_sizes: dict[bytes, int] = {}
        self.stored_answer_bytes = 0

    @property
    def is_full(self) -> bool:
        """Tell whether no further id can be remembered."""
        return len(self.entries) >= self.limits.max_ids

    def settle(self, entry: IdEntry, phase: IdPhase, now: float) -> None:
        """Move an entry to a settled phase and start its retention time."""
        entry.phase = phase
        entry.asks = {}
        entry.expires_at = now + ID_RETENTION_S
        self.expiries.append((entry.expires_at, entry.id_hash))

    def store_answer(self, entry: IdEntry, answer: Answer, now: float) -> None:
        """Store an answer, and evict the oldest ones if they take too much."""
        self.settle(entry, IdPhase.ANSWERED, now)
        entry.answer = answer
        size = len(answer.body) + sum(
            len(name) + len(text) for name, text in answer.headers
        )
        self._remove_answer(entry.id_hash)
        self.answer_sizes[entry.id_hash] = size
        self.stored_answer_bytes += size
        while self.stored_answer_bytes > self.limits.max_answer_bytes:
            oldest = next(iter(self.answer_sizes))
            self._remove_answer(oldest)
            evicted = self.entries[oldest]
            evicted.phase = IdPhase.UNKNOWN
            evicted.answer = None

    def expire(self, now: float) -> list[IdEntry]:
        """Remove settled entries after their retention time, and return them."""
        expired_entries = []
        while self.expiries and self.expiries[0][0] <= now:
            expires_at, id_hash = self.expiries.popleft()
            entry = self.entries.get(id_hash)
            if entry is None or entry.expires_at != expires_at:
                continue
            if entry.phase in SETTLED_PHASES:
                self._remove_answer(id_hash)
                expired_entries.append(self.entries.pop(id_hash))
        return expired_entries

    def _remove_answer(self, id_hash: bytes) -> None:
        self.stored_answer_bytes -= self.answer_sizes.pop(id_hash, 0)


class RefusedCopies:
    """Copies of calls that this node promised never to run.

    A promise that cannot be remembered must not be made.
    """

    def __init__(self, max_calls: int) -> None:
        """Remember the refused copies of at most ``max_calls`` calls."""
        self.max_calls = max_calls
        self.highest_copy_by_call: dict[str, int] = {}
        self.expiries: collections.deque[tuple[float, str]] = (
            collections.deque()
        )

    def try_add(self, call_id: str, copy_number: int, now: float) -> bool:
        """Promise not to run the copy or an earlier one of the same call.

        Returns False, without a promise, if there is no room to remember it.
        """
        known_copy = self.highest_copy_by_call.get(call_id)
        if (
            known_copy is None
            and len(self.highest_copy_by_call) >= self.max_calls
        ):
            return False
        if known_copy is None:
            self.expiries.append((now + ID_RETENTION_S, call_id))
        self.highest_copy_by_call[call_id] = max(known_copy or 0, copy_number)
        return True

    def includes(self, call_id: str, copy_number: int) -> bool:
        """Tell whether the copy was refused."""
        return copy_number <= self.highest_copy_by_call.get(call_id, 0)

    def expire(self, now: float) -> None:
        """Forget calls whose first promise is older than the retention time."""
        while self.expiries and self.expiries[0][0] <= now:
            self.highest_copy_by_call.pop(self.expiries.popleft()[1], None)
