"""What a dedupe owner remembers of ids and of refused copies, in bounds."""

import collections
import dataclasses
import enum

from ebonycleat.internal.request.call import Answer
from ebonycleat.internal.request.idempotent_send import DedupeAsk

DEDUPE_WINDOW_S = 600

MAX_CLOCK_DRIFT = 0.01

# A call may be dispatched this long after its append was sent; then its id
# is appended anew or the call is refused.
PERMIT_LIFETIME_S = 30

# Readers keep an id for the span from the dispatch, which can be later than
# the append by the permit, on a clock that may be slower than theirs.
ID_RETENTION_S = DEDUPE_WINDOW_S * (1 + MAX_CLOCK_DRIFT) + PERMIT_LIFETIME_S


@dataclasses.dataclass(frozen=True, slots=True)
class DedupeLimits:
    """Bounds of the memory of one node.

    An id takes 0.6 KB as an entry with its answer's object and 79 bytes
    when read from the log, a refused call 190 bytes (tracemalloc); together
    at most 165 MB. ``max_ids`` is 235 new ids a second over the span.
    ``max_refused`` bounds the calls that the node promised not to run.
    """

    max_ids: int = 150_000
    max_started_ids: int = 300_000
    max_refused_calls: int = 100_000
    max_joined_calls: int = 16
    max_answer_bytes: int = 32 * 1024 * 1024


class IdPhase(enum.Enum):
    """What became of an id at its owner."""

    WAITING = 'waiting'
    PERMITTED = 'permitted'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not-run'


SETTLED_PHASES = frozenset((IdPhase.ANSWERED, IdPhase.UNKNOWN, IdPhase.NOT_RUN))


@dataclasses.dataclass(slots=True)
class IdEntry:
    """One id; ``asks`` holds the latest copy of each call that waits.

    ``vouched`` says that every later owner will take the id for started: it
    is in the log, or the witnesses know that the slot ran without the log.
    ``attempt`` is the highest attempt that was refused as not run.
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
    """Entries by id hash; settled ones expire, kept answers are evicted.

    An evicted answer leaves the id behind as ``UNKNOWN``: an id that
    started is never forgotten within the memory span.
    """

    def __init__(self, limits: DedupeLimits) -> None:
        """Start empty."""
        self.limits = limits
        self.entries: dict[bytes, IdEntry] = {}
        self.expiries: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self.answer_sizes: dict[bytes, int] = {}
        self.stored_answer_bytes = 0

    @property
    def is_full(self) -> bool:
        """Say if no further id can be remembered."""
        return len(self.entries) >= self.limits.max_ids

    def settle(self, entry: IdEntry, phase: IdPhase, now: float) -> None:
        """Move an entry to a settled phase and start its memory span."""
        entry.phase = phase
        entry.asks = {}
        entry.expires_at = now + ID_RETENTION_S
        self.expiries.append((entry.expires_at, entry.id_hash))

    def store_answer(self, entry: IdEntry, answer: Answer, now: float) -> None:
        """Keep a whole answer, at the cost of the oldest ones."""
        self.settle(entry, IdPhase.ANSWERED, now)
        entry.answer = answer
        size = len(answer.body) + sum(
            len(name) + len(text) for name, text in answer.headers
        )
        self._forget_answer(entry.id_hash)
        self.answer_sizes[entry.id_hash] = size
        self.stored_answer_bytes += size
        while self.stored_answer_bytes > self.limits.max_answer_bytes:
            oldest = next(iter(self.answer_sizes))
            self._forget_answer(oldest)
            evicted = self.entries[oldest]
            evicted.phase = IdPhase.UNKNOWN
            evicted.answer = None

    def expire(self, now: float) -> list[IdEntry]:
        """Forget settled ids past the memory span, and return them."""
        forgotten = []
        while self.expiries and self.expiries[0][0] <= now:
            expires_at, id_hash = self.expiries.popleft()
            entry = self.entries.get(id_hash)
            if entry is None or entry.expires_at != expires_at:
                continue
            if entry.phase in SETTLED_PHASES:
                self._forget_answer(id_hash)
                forgotten.append(self.entries.pop(id_hash))
        return forgotten

    def _forget_answer(self, id_hash: bytes) -> None:
        self.stored_answer_bytes -= self.answer_sizes.pop(id_hash, 0)


class RefusedCopies:
    """Copies that this node promised never to run, by call.

    A promise that cannot be remembered must not be made.
    """

    def __init__(self, max_calls: int) -> None:
        """Remember the promises of at most ``max_calls`` calls."""
        self.max_calls = max_calls
        self.copy_by_call: dict[str, int] = {}
        self.expiries: collections.deque[tuple[float, str]] = (
            collections.deque()
        )

    def try_add(self, call_id: str, copy_number: int, now: float) -> bool:
        """Promise not to run the copy or one before it, if there is room."""
        known = self.copy_by_call.get(call_id)
        if known is None and len(self.copy_by_call) >= self.max_calls:
            return False
        if known is None:
            self.expiries.append((now + ID_RETENTION_S, call_id))
        self.copy_by_call[call_id] = max(known or 0, copy_number)
        return True

    def includes(self, call_id: str, copy_number: int) -> bool:
        """Say if the copy was refused."""
        return copy_number <= self.copy_by_call.get(call_id, 0)

    def expire(self, now: float) -> None:
        """Forget calls whose first promise is past the memory span."""
        while self.expiries and self.expiries[0][0] <= now:
            self.copy_by_call.pop(self.expiries.popleft()[1], None)
