"""The bounded queue in front of a target.

Order: priority first; within a priority the calls that earlier hops have
paid for, then fresh ones; within those, deficit round robin over the teams,
weighted by their configured rates. Calls of teams that take far more than
their share (``surplus``) stand behind all others, so that one team's normal
requests cannot push out another team's low ones.
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
"""New arrivals of the same rank start in between."""

MAX_QUANTUM = 64
"""Bounds how many calls of one team may start in a row."""


class QueuedCall(msgspec.Struct, frozen=True):
    """A waiting call; a start after ``latest_start`` misses its deadline.

    ``cost`` is in units of an average call; ``position`` is its place in
    the order of shedding.
    """

    call: Call
    queued_at: float
    latest_start: float
    cost: float = 1
    is_over_share: bool = False
    shedding_position: int = 0

    @property
    def rank(self) -> int:
        """Position of its ring; lower ranks are served first."""
        rank = self.call.priority * RANKS_PER_PRIORITY
        if not self.call.depth:
            rank += 1
        if self.is_over_share:
            rank += OVER_SHARE_RANK_OFFSET
        return rank


class DispatchRate(msgspec.Struct, frozen=True):
    """How fast calls leave: ``start_s`` is the mean time between starts.

    ``is_standing`` tells that calls have waited long for long.
    """

    now: float
    start_interval_s: float
    has_standing_queue: bool


class TeamRoundRobin:
    """Deficit round robin over the teams' calls of one rank."""

    def __init__(self, quanta: Mapping[str, float]) -> None:
        """Share the quanta mapping with the queue; absent teams have 1."""
        self.quanta = quanta
        self.waiting: dict[str, dict[str, QueuedCall]] = {}
        self.turn_order: deque[str] = deque()
        self.deficits: dict[str, float] = {}
        self.count = 0

    def quantum(self, team: str) -> float:
        """Cost that one turn of the team adds to its allowance."""
        return self.quanta.get(team, 1)

    def push(self, entry: QueuedCall) -> None:
        """Append to the team's calls; a new team goes last in turn."""
        team = entry.call.team
        if team not in self.waiting:
            self.waiting[team] = {}
            self.turn_order.append(team)
            self.deficits[team] = self.quantum(team)
        self.waiting[team][entry.call.call_id] = entry
        self.count += 1

    def pop(self, pace: DispatchRate) -> QueuedCall:
        """Take the next call in turn; the ring must not be empty."""
        while True:
            team = self.turn_order[0]
            entry = self.choose_call(team, pace)
            if self.deficits[team] >= entry.cost:
                self.deficits[team] -= entry.cost
                self.remove(entry)
                return entry
            self.deficits[team] += self.quantum(team)
            self.turn_order.rotate(-1)

    def choose_call(self, team: str, pace: DispatchRate) -> QueuedCall:
        """Choose the team's oldest call, or its newest.

        Under standing overload the newest goes first, unless all calls that
        wait can start well before the oldest expires: then oldest first
        loses none.
        """
        calls = self.waiting[team]
        oldest = calls[next(iter(calls))]
        if not pace.has_standing_queue:
            return oldest
        drain_s = self.count * pace.start_interval_s * DRAIN_MARGIN
        if oldest.latest_start - pace.now > drain_s:
            return oldest
        return calls[next(reversed(calls))]

    def remove(self, entry: QueuedCall) -> None:
        """Take out one call; an idle team keeps no unused allowance."""
        team = entry.call.team
        calls = self.waiting[team]
        calls.pop(entry.call.call_id)
        self.count -= 1
        if not calls:
            self.waiting.pop(team)
            self.deficits.pop(team)
            self.turn_order.remove(team)

    def weighted_length(self, team: str) -> float:
        """Waiting calls of a team in proportion to its share."""
        return len(self.waiting.get(team, ())) / self.quantum(team)

    def newest_of_longest_team(self) -> QueuedCall:
        """Newest call of the team that waits with most for its share."""
        calls = self.waiting[max(self.turn_order, key=self.weighted_length)]
        return calls[next(reversed(calls))]


class FairQueue:
    """All waiting calls of one target; the caller keeps the bound."""

    def __init__(self) -> None:
        """Start empty with equal shares."""
        self.quanta: dict[str, float] = {}
        self.rank_queues = tuple(
            TeamRoundRobin(self.quanta) for _ in range(RANK_COUNT)
        )
        self.by_id: dict[str, QueuedCall] = {}
        self.expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Count of waiting calls."""
        return len(self.by_id)

    def __contains__(self, call_id: object) -> bool:
        """Whether the call waits here."""
        return call_id in self.by_id

    def __iter__(self) -> Iterator[QueuedCall]:
        """Iterate over the waiting calls, the oldest first."""
        return iter(tuple(self.by_id.values()))

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the teams' shares, for example their configured rates."""
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

    def pop(self, pace: DispatchRate) -> QueuedCall:
        """Take the call that should start next; must not be empty."""
        ring = next(ring for ring in self.rank_queues if ring.turn_order)
        entry = ring.pop(pace)
        self.by_id.pop(entry.call.call_id)
        self.compact_expiries()
        return entry

    def remove(self, call_id: str) -> QueuedCall:
        """Take out one waiting call."""
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

    def choose_eviction(self, newcomer: QueuedCall) -> QueuedCall:
        """Choose who leaves when the queue is full, maybe the newcomer.

        The lowest rank loses first. Within the newcomer's own rank, the
        team with most waiting for its share loses its newest call.
        """
        for ring in reversed(self.rank_queues[newcomer.rank + 1 :]):
            if ring.turn_order:
                return ring.newest_of_longest_team()
        own_ring = self.rank_queues[newcomer.rank]
        if not own_ring.turn_order:
            return newcomer
        longest = own_ring.newest_of_longest_team()
        team = newcomer.call.team
        own_length = own_ring.weighted_length(team)
        own_length += 1 / own_ring.quantum(team)
        if own_ring.weighted_length(longest.call.team) > own_length:
            return longest
        return newcomer

    def oldest_wait_s(self, now: float) -> float:
        """Seconds that the oldest call has waited; zero when empty."""
        oldest = next(iter(self.by_id.values()), None)
        return now - oldest.queued_at if oldest else 0

    def compact_expiries(self) -> None:
        """Keep the heap in proportion to the waiting calls."""
        if len(self.expiries) > 2 * len(self.by_id) + RANK_COUNT:
            self.expiries = [
                (entry.latest_start, call_id)
                for call_id, entry in self.by_id.items()
            ]
            heapq.heapify(self.expiries)
