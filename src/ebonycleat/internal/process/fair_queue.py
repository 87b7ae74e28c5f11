"""The queue of calls that wait in front of a target.

Calls are ordered by rank. The rank follows the priority; within a priority,
calls that targets make come first, because earlier hops have already worked
for them, and direct requests of callers come second. Within a rank the teams
take turns by deficit round robin, weighted by their configured rates. Calls of
teams that take far more than their share (``is_over_share``) rank behind all
others, so that one team's requests of normal priority cannot push out another
team's requests of low priority.

The calls of a priority that can still meet their latency objective start before
those that cannot (see ``attainable_objective``); ranks and turns hold within
each of the two groups.
"""

import heapq
import math
from collections import deque
from collections.abc import Iterator, Mapping

import msgspec

from ebonycleat.internal.process.admission.attainable_objective import (
    LateTurns,
    count_starts_between,
)
from ebonycleat.internal.request.call import Call, Priority

RANKS_PER_PRIORITY = 2
OVER_SHARE_RANK_OFFSET = len(Priority) * RANKS_PER_PRIORITY
RANK_COUNT = OVER_SHARE_RANK_OFFSET * 2
POSITIONS_PER_CLASS = RANKS_PER_PRIORITY * 2
"""Positions in the order of starts that a priority has: its ranks for calls
that are on time, then its ranks for late calls."""

DRAIN_MARGIN = 1.5
"""Factor on the time in which a rank's waiting calls can start, because new
calls of the same rank arrive and start in between."""

MAX_QUANTUM = 64
"""Limits how many calls of one team may start in a row."""


class QueuedCall(msgspec.Struct, frozen=True):
    """A waiting call.

    A call that starts after ``latest_start`` misses its deadline, and one that
    starts after ``on_time_start`` misses its latency objective. ``cost``
    is in units of an average call. ``is_over_share`` is true if its team is
    over its share. See ``admission_level`` for ``shedding_position``.
    """

    call: Call
    queued_at: float
    latest_start: float
    cost: float = 1
    is_over_share: bool = False
    shedding_position: int = 0
    on_time_start: float = math.inf

    @property
    def can_become_late(self) -> bool:
        """Whether the call may wait on after its objective is missed."""
        return self.on_time_start < self.latest_start

    @property
    def arrives_late(self) -> bool:
        """Whether the call could not meet its objective when it arrived."""
        return self.on_time_start <= self.queued_at

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
    """Deficit round robin over the teams' waiting calls of one rank.

    ``is_late`` is true for the calls that miss their objective.
    """

    def __init__(
        self, quanta: Mapping[str, float], *, is_late: bool = False
    ) -> None:
        """Start empty; teams that are not in ``quanta`` have the quantum 1.

        The mapping is shared with the queue, which changes it.
        """
        self.quanta = quanta
        self.is_late = is_late
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
        A call that misses its objective leaves its group, so oldest first
        starts no call in vain there: it is kept while the newest call can
        start in time behind all others.
        """
        calls = self.waiting[team]
        oldest = calls[next(iter(calls))]
        if not rate.has_standing_queue:
            return oldest
        newest = calls[next(reversed(calls))]
        drain_s = self.count * rate.start_interval_s * DRAIN_MARGIN
        checked = newest if oldest.can_become_late else oldest
        if self.useful_until(checked) - rate.now > drain_s:
            return oldest
        return newest

    def useful_until(self, entry: QueuedCall) -> float:
        """Return until when a call can start without leaving this group."""
        if self.is_late:
            return entry.latest_start
        return min(entry.on_time_start, entry.latest_start)

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

    def count_turns_before(self, team: str) -> float:
        """Return at most how many calls start before a team's next new call.

        Other teams start at most their quanta for each quantum of this one.
        """
        own = len(self.waiting.get(team, ()))
        turns = (own + 1) / self.quantum(team)
        others = sum(map(self.quantum, self.waiting)) * turns
        return min(self.count, own + others)

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
        self.start_order = tuple(
            TeamRoundRobin(
                self.quanta,
                is_late=position % POSITIONS_PER_CLASS >= RANKS_PER_PRIORITY,
            )
            for position in range(RANK_COUNT * 2)
        )
        self.late_turns = tuple(
            LateTurns() for _ in range(RANK_COUNT // RANKS_PER_PRIORITY)
        )
        self.by_id: dict[str, QueuedCall] = {}
        self.late_ids: set[str] = set()
        self.expiries: list[tuple[float, str]] = []
        self.objective_ends: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the count of waiting calls."""
        return len(self.by_id)

    def __contains__(self, call_id: object) -> bool:
        """Tell whether the call with this id waits."""
        return call_id in self.by_id

    def __iter__(self) -> Iterator[QueuedCall]:
        """Iterate over a copy of the waiting calls, the oldest first."""
        return iter(tuple(self.by_id.values()))

    def count_by_position(self) -> list[int]:
        """Return how many calls wait at each position of ``start_order``."""
        return [queue.count for queue in self.start_order]

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the teams' shares by positive weights.

        The smallest weight gets the quantum 1.
        """
        smallest = min(weights.values(), default=1)
        self.quanta.clear()
        for team, weight in weights.items():
            self.quanta[team] = min(weight / smallest, MAX_QUANTUM)

    def push(self, entry: QueuedCall) -> None:
        """Add one call; its id must not be waiting already."""
        call_id = entry.call.call_id
        self.by_id[call_id] = entry
        heapq.heappush(self.expiries, (entry.latest_start, call_id))
        if entry.arrives_late:
            self.late_ids.add(call_id)
        elif entry.can_become_late:
            heapq.heappush(self.objective_ends, (entry.on_time_start, call_id))
        self.start_order[self.position_of(entry)].push(entry)

    def pop(self, rate: DispatchRate) -> QueuedCall:
        """Take out the call that should start next; one must be waiting."""
        self.move_late(rate.now)
        entry = self.choose_group().pop(rate)
        self.forget(entry)
        return entry

    def choose_group(self) -> TeamRoundRobin:
        """Return the calls among which the next one to start is.

        These are the first in order, or the late calls of the same priority
        when it is their turn.
        """
        waiting = (
            position
            for position, queue in enumerate(self.start_order)
            if queue.turn_order
        )
        first = next(waiting)
        if self.late_ids and not self.start_order[first].is_late:
            class_index = first // POSITIONS_PER_CLASS
            class_end = (class_index + 1) * POSITIONS_PER_CLASS
            late = next(
                (
                    queue
                    for queue in self.start_order[
                        class_end - RANKS_PER_PRIORITY : class_end
                    ]
                    if queue.turn_order
                ),
                None,
            )
            if late is not None and self.late_turns[class_index].take():
                return late
        return self.start_order[first]

    def remove(self, call_id: str) -> QueuedCall:
        """Take out the waiting call with this id."""
        entry = self.by_id[call_id]
        self.start_order[self.position_of(entry)].remove(entry)
        self.forget(entry)
        return entry

    def forget(self, entry: QueuedCall) -> None:
        """Drop what is kept about a call that has left its group."""
        call_id = entry.call.call_id
        self.by_id.pop(call_id)
        self.late_ids.discard(call_id)
        self.compact_heaps()

    def move_late(self, now: float) -> None:
        """Move the calls that have become late to the late group."""
        while self.objective_ends and self.objective_ends[0][0] <= now:
            call_id = heapq.heappop(self.objective_ends)[1]
            entry = self.by_id.get(call_id)
            if (
                entry is None
                or call_id in self.late_ids
                or entry.on_time_start > now
            ):
                continue
            self.start_order[self.position_of(entry)].remove(entry)
            self.late_ids.add(call_id)
            self.start_order[self.position_of(entry)].push(entry)

    def pop_expired(self, now: float) -> list[QueuedCall]:
        """Take out the calls whose latest start has passed."""
        self.move_late(now)
        expired = []
        while self.expiries and self.expiries[0][0] <= now:
            call_id = heapq.heappop(self.expiries)[1]
            if call_id in self.by_id:
                expired.append(self.remove(call_id))
        return expired

    def position_of(self, entry: QueuedCall) -> int:
        """Return the index in ``start_order`` of a waiting call."""
        class_index, side = divmod(entry.rank, RANKS_PER_PRIORITY)
        position = class_index * POSITIONS_PER_CLASS + side
        if entry.call.call_id in self.late_ids:
            return position + RANKS_PER_PRIORITY
        return position

    def arrival_position(self, arriving: QueuedCall) -> int:
        """Return the index in ``start_order`` that a new call will have."""
        position = self.position_of(arriving)
        if arriving.arrives_late:
            return position + RANKS_PER_PRIORITY
        return position

    def count_ahead(self, arriving: QueuedCall) -> float:
        """Return how many calls start before a new one, oldest first."""
        position = self.arrival_position(arriving)
        own = self.start_order[position]
        class_start = position - position % POSITIONS_PER_CLASS
        class_end = class_start + POSITIONS_PER_CLASS
        late_start = class_end - RANKS_PER_PRIORITY
        on_time = self.count_waiting(class_start, late_start)
        late = self.count_waiting(late_start, class_end)
        ahead = own.count_turns_before(arriving.call.team)
        if position % RANKS_PER_PRIORITY:
            ahead += self.start_order[position - 1].count
        between = count_starts_between(ahead, on_time, late, own.is_late)
        return self.count_waiting(0, class_start) + between

    def count_waiting(self, start: int, end: int) -> int:
        """Return how many calls wait at these positions of the order."""
        return sum(queue.count for queue in self.start_order[start:end])

    def choose_eviction(self, arriving: QueuedCall) -> QueuedCall:
        """Choose the call to refuse when the queue is full.

        It is a call of the last position after that of the arriving call, if
        there is one. Among calls of the same position, the team with the
        longest weighted queue loses its newest call, which may be the arriving
        one.
        """
        position = self.arrival_position(arriving)
        for later in reversed(self.start_order[position + 1 :]):
            if later.turn_order:
                return later.newest_of_longest_team()
        same = self.start_order[position]
        if not same.turn_order:
            return arriving
        evictable = same.newest_of_longest_team()
        team = arriving.call.team
        own_length = same.weighted_length(team) + 1 / same.quantum(team)
        if same.weighted_length(evictable.call.team) > own_length:
            return evictable
        return arriving

    def oldest_wait_s(self, now: float) -> float:
        """Return the seconds that the oldest call has waited, 0 if empty."""
        oldest = next(iter(self.by_id.values()), None)
        return now - oldest.queued_at if oldest else 0

    def compact_heaps(self) -> None:
        """Rebuild a heap when most of its entries are of calls that left."""
        limit = 2 * len(self.by_id) + RANK_COUNT
        if len(self.expiries) > limit:
            self.expiries = [
                (entry.latest_start, call_id)
                for call_id, entry in self.by_id.items()
            ]
            heapq.heapify(self.expiries)
        if len(self.objective_ends) > limit:
            self.objective_ends = [
                (entry.on_time_start, call_id)
                for call_id, entry in self.by_id.items()
                if entry.can_become_late and call_id not in self.late_ids
            ]
            heapq.heapify(self.objective_ends)
