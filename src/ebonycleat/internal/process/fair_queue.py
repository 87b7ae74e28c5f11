"""The queue of calls that wait in front of a target.

Calls are ordered by rank. The rank follows the priority; within a priority,
calls that targets make come first, because earlier hops have already worked
for them, and direct requests of callers come second. Within a rank the teams
take turns by deficit round robin, weighted by their configured rates. Calls of
teams that take far more than their share (``is_over_share``) rank behind all
others, so that one team's requests of normal priority cannot push out another
team's requests of low priority.
"""

import heapq
from collections import deque
from collections.abc import Iterator, Mapping

import msgspec

from ebonycleat.internal.request.call import Call, Priority

RANKS_PER_PRIORITY = 2
OVER_SHARE_RANK_OFFSET = len(Priority) * RANKS_PER_PRIORITY
RANK_COUNT = OVER_SHARE_RANK_OFFSET * 2
DRAIN_MARGIN = 1.5
"""Factor on the time in which a rank's waiting calls can start, because new
calls of the same rank arrive and start in between."""

MAX_QUANTUM = 64
"""Limits how many calls of one team may start in a row."""


class QueuedCall(msgspec.Struct, frozen=True):
    """A waiting call.

    A call that starts after ``latest_start`` misses its deadline. ``cost``
    is in units of an average call. ``is_over_share`` is true if its team is
    over its share. See ``admission_level`` for ``shedding_position``.
    """

    call: Call
    queued_at: float
    latest_start: float
    cost: float = 1
    is_over_share: bool = False
    shedding_position: int = 0

    @property
    def rank(self) -> int:
        """Index of the call's rank queue; lower ranks are served first."""
        rank = self.call.priority * RANKS_PER_PRIORITY
        if not self.call.depth:
            rank += 1
        if self.is_over_share:
            rank += OVER_SHARE_RANK_OFFSET
        return rank


class DispatchRate(msgspec.Struct, frozen=True):
    """How fast calls are dispatched from the queue at the time ``now``.

    ``start_interval_s`` is the mean time between two starts.
    ``has_standing_queue`` is true if calls have had long waits for some
    time, which short bursts do not cause.
    """

    now: float
    start_interval_s: float
    has_standing_queue: bool


class TeamRoundRobin:
    """Deficit round robin over the teams' waiting calls of one rank."""

    def __init__(self, quanta: Mapping[str, float]) -> None:
        """Start empty; teams that are not in ``quanta`` have the quantum 1.

        The mapping is shared with the queue, which changes it.
        """
        self.quanta = quanta
        self.waiting: dict[str, dict[str, QueuedCall]] = {}
        self.turn_order: deque[str] = deque()
        self.deficits: dict[str, float] = {}
        self.count = 0

    def quantum(self, team: str) -> float:
        """Return the cost that one turn adds to the team's deficit."""
        return self.quanta.get(team, 1)

    def push(self, entry: QueuedCall) -> None:
        """Append a call to those of its team; a new team goes last."""
        team = entry.call.team
        if team not in self.waiting:
            self.waiting[team] = {}
            self.turn_order.append(team)
            self.deficits[team] = self.quantum(team)
        self.waiting[team][entry.call.call_id] = entry
        self.count += 1

    def pop(self, rate: DispatchRate) -> QueuedCall:
        """Take out the next call in turn; one must be waiting."""
        while True:
            team = self.turn_order[0]
            entry = self.choose_call(team, rate)
            if self.deficits[team] >= entry.cost:
                self.deficits[team] -= entry.cost
                self.remove(entry)
                return entry
            self.deficits[team] += self.quantum(team)
            self.turn_order.rotate(-1)

    def choose_call(self, team: str, rate: DispatchRate) -> QueuedCall:
        """Choose the team's oldest call, or its newest.

        With a standing queue the newest call goes first, because the oldest
        would miss its deadline soon. If all waiting calls can start well
        before the oldest expires, oldest first loses no call and is kept.
        """
        calls = self.waiting[team]
        oldest = calls[next(iter(calls))]
        if not rate.has_standing_queue:
            return oldest
        drain_s = self.count * rate.start_interval_s * DRAIN_MARGIN
        if oldest.latest_start - rate.now > drain_s:
            return oldest
        return calls[next(reversed(calls))]

    def remove(self, entry: QueuedCall) -> None:
        """Take out one call; a team without calls loses its deficit."""
        team = entry.call.team
        calls = self.waiting[team]
        calls.pop(entry.call.call_id)
        self.count -= 1
        if not calls:
            self.waiting.pop(team)
            self.deficits.pop(team)
            self.turn_order.remove(team)

    def weighted_length(self, team: str) -> float:
        """Return the count of a team's waiting calls divided by its quantum."""
        return len(self.waiting.get(team, ())) / self.quantum(team)

    def newest_of_longest_team(self) -> QueuedCall:
        """Return the newest call of the team with the longest weighted queue."""
        calls = self.waiting[max(self.turn_order, key=self.weighted_length)]
        return calls[next(reversed(calls))]


class FairQueue:
    """All waiting calls of one target.

    The queue does not limit its length itself; the gate does.
    """

    def __init__(self) -> None:
        """Start empty, with equal shares for all teams."""
        self.quanta: dict[str, float] = {}
        self.rank_queues = tuple(
            TeamRoundRobin(self.quanta) for _ in range(RANK_COUNT)
        )
        self.by_id: dict[str, QueuedCall] = {}
        self.expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the count of waiting calls."""
        return len(self.by_id)

    def __contains__(self, call_id: object) -> bool:
        """Tell whether the call with this id waits."""
        return call_id in self.by_id

    def __iter__(self) -> Iterator[QueuedCall]:
        """Iterate over a copy of the waiting calls, the oldest first."""
        return iter(tuple(self.by_id.values()))

    def count_by_rank(self) -> list[int]:
        """Return how many calls wait in each rank, the first one first."""
        return [ranked.count for ranked in self.rank_queues]

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the teams' shares by weights such as their configured rates.

        The smallest positive weight gets the quantum 1.
        """
        positive = [weight for weight in weights.values() if weight > 0]
        smallest = min(positive, default=1)
        self.quanta.clear()
        for team, weight in weights.items():
            quantum = max(1, weight / smallest)
            self.quanta[team] = min(quantum, MAX_QUANTUM)

    def push(self, entry: QueuedCall) -> None:
        """Add one call; its id must not be waiting already."""
        self.by_id[entry.call.call_id] = entry
        self.rank_queues[entry.rank].push(entry)
        heapq.heappush(
            self.expiries,
            (entry.latest_start, entry.call.call_id),
        )

    def pop(self, rate: DispatchRate) -> QueuedCall:
        """Take out the call that should start next; one must be waiting."""
        ranked = next(queue for queue in self.rank_queues if queue.turn_order)
        entry = ranked.pop(rate)
        self.by_id.pop(entry.call.call_id)
        self.compact_expiries()
        return entry

    def remove(self, call_id: str) -> QueuedCall:
        """Take out the waiting call with this id."""
        entry = self.by_id.pop(call_id)
        self.rank_queues[entry.rank].remove(entry)
        self.compact_expiries()
        return entry

    def pop_expired(self, now: float) -> list[QueuedCall]:
        """Take out the calls whose latest start has passed."""
        expired = []
        while self.expiries and self.expiries[0][0] <= now:
            call_id = heapq.heappop(self.expiries)[1]
            if call_id in self.by_id:
                expired.append(self.remove(call_id))
        return expired

    def choose_eviction(self, arriving: QueuedCall) -> QueuedCall:
        """Choose the call to refuse when the queue is full.

        It is a call of the last rank after that of the arriving call, if there
        is one. Within the arriving call's own rank, the team with the
        longest weighted queue loses its newest call, which may be the arriving
        one.
        """
        for lower_rank in reversed(self.rank_queues[arriving.rank + 1 :]):
            if lower_rank.turn_order:
                return lower_rank.newest_of_longest_team()
        same_rank = self.rank_queues[arriving.rank]
        if not same_rank.turn_order:
            return arriving
        evictable = same_rank.newest_of_longest_team()
        team = arriving.call.team
        own_length = same_rank.weighted_length(team)
        own_length += 1 / same_rank.quantum(team)
        if same_rank.weighted_length(evictable.call.team) > own_length:
            return evictable
        return arriving

    def oldest_wait_s(self, now: float) -> float:
        """Return the seconds that the oldest call has waited, 0 if empty."""
        oldest = next(iter(self.by_id.values()), None)
        return now - oldest.queued_at if oldest else 0

    def compact_expiries(self) -> None:
        """Rebuild the expiry heap when most entries are of calls that left."""
        if len(self.expiries) > 2 * len(self.by_id) + RANK_COUNT:
            self.expiries = [
                (entry.latest_start, call_id)
                for call_id, entry in self.by_id.items()
            ]
            heapq.heapify(self.expiries)
