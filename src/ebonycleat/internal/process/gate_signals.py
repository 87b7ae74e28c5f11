"""What a gate has seen lately, as the signals that its decisions use."""

from ebonycleat.internal.process.admission_level import (
    OPEN_LEVEL,
    AdmissionLevel,
    position_of,
    target_delay_s,
)
from ebonycleat.internal.process.fair_queue import (
    FairQueue,
    Pace,
    QueuedCall,
)
from ebonycleat.internal.process.service_time import ServiceTimes
from ebonycleat.internal.process.team_shares import TeamShares
from ebonycleat.internal.request.call import Call, Priority

STANDING_WAIT_S = 0.1
STANDING_FOR_S = 0.5
"""From design section 7.2: when the newest calls go first."""


class GateSignals:
    """Service times, shares of teams, queue delay and admission level."""

    def __init__(
        self,
        queue: FairQueue,
        *,
        sheds_by_level: bool = True,
    ) -> None:
        """Watch this queue.

        Without ``sheds_by_level`` nothing is refused for its position: the
        entries of callers admit by what the gate says that it can take.
        """
        self.queue = queue
        self.sheds_by_level = sheds_by_level
        self.level = AdmissionLevel()
        self.shares = TeamShares()
        self.service_times = ServiceTimes()
        self.waits_since: float | None = None
        self.is_delayed = False

    @property
    def advertised_level(self) -> int:
        """Level for callers: with a short queue the gate takes anything."""
        is_shedding = self.is_delayed and self.sheds_by_level
        return self.level.level if is_shedding else OPEN_LEVEL

    def admits(self, entry: QueuedCall) -> bool:
        """Admit below the level, and anything while the queue is short."""
        if entry.position >= self.advertised_level:
            return False
        self.level.count(entry.position)
        return True

    def count_admissible(self) -> int:
        """Waiting calls below the level.

        Those above it wait until they expire; lowering the level for them
        would refuse calls that do not wait at all.
        """
        level = self.level.level
        return sum(entry.position < level for entry in self.queue)

    def delay_s(self, allowed: int) -> float:
        """Seconds that the queue takes to empty at the present limit."""
        backlog_s = len(self.queue) * self.service_times.overall_s
        return backlog_s / max(1, allowed)

    def update(self, allowed: int, now: float) -> None:
        """Move the admission level and notice standing overload."""
        delay_s = self.delay_s(allowed)
        service_s = self.service_times.overall_s
        self.is_delayed = delay_s > target_delay_s(service_s)
        if self.sheds_by_level and self.level.is_due(now):
            waiting = self.count_admissible()
            admissible_s = waiting * service_s / max(1, allowed)
            self.level.update(admissible_s, service_s, now)
        if self.queue.oldest_wait(now) <= STANDING_WAIT_S:
            self.waits_since = None
        elif self.waits_since is None:
            self.waits_since = now

    def note_empty_queue(self) -> None:
        """Note that nothing waits, so that no overload stands."""
        self.is_delayed = False
        self.waits_since = None

    def pace(self, allowed: int, now: float) -> Pace:
        """Tell how fast calls start, and whether overload has lasted."""
        since = self.waits_since
        return Pace(
            now=now,
            start_s=self.service_times.overall_s / max(1, allowed),
            is_standing=since is not None and now - since > STANDING_FOR_S,
        )

    def latest_start(self, call: Call, now: float) -> float:
        """Last moment at which a start can still meet the deadline."""
        expected_s = self.service_times.expected_s(call.route, now)
        return call.deadline - expected_s

    def describe(self, call: Call, now: float) -> QueuedCall:
        """Describe an arriving call for the queue.

        Critical calls never count as surplus: they are shed last.
        """
        is_over = self.shares.is_over(call.team, now)
        surplus = is_over and call.priority is not Priority.CRITICAL
        return QueuedCall(
            call=call,
            queued_at=now,
            latest_start=self.latest_start(call, now),
            surplus=surplus,
            position=position_of(call, surplus),
        )
