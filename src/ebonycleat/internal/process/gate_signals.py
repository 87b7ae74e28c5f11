"""What a gate has seen lately, as the signals that its decisions use."""

from ebonycleat.internal.process.admission_level import (
    ADMIT_ALL_LEVEL,
    AdmissionLevel,
    shedding_position_of,
    queue_delay_limit_s,
)
from ebonycleat.internal.process.fair_queue import (
    FairQueue,
    DispatchRate,
    QueuedCall,
)
from ebonycleat.internal.process.service_time import ServiceTimes
from ebonycleat.internal.process.team_usage import TeamUsage
from ebonycleat.internal.request.call import Call, Priority

STANDING_QUEUE_WAIT_S = 0.1
STANDING_QUEUE_DURATION_S = 0.5
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
        self.team_usage = TeamUsage()
        self.service_times = ServiceTimes()
        self.standing_since: float | None = None
        self.is_queue_delayed = False

    @property
    def advertised_level(self) -> int:
        """Level for callers: with a short queue the gate takes anything."""
        is_shedding = self.is_queue_delayed and self.sheds_by_level
        return self.level.level if is_shedding else ADMIT_ALL_LEVEL

    def admits(self, entry: QueuedCall) -> bool:
        """Admit below the level, and anything while the queue is short."""
        if entry.shedding_position >= self.advertised_level:
            return False
        self.level.count_admitted(entry.shedding_position)
        return True

    def count_admissible(self) -> int:
        """Waiting calls below the level.

        Those above it wait until they expire; lowering the level for them
        would refuse calls that do not wait at all.
        """
        level = self.level.level
        return sum(entry.shedding_position < level for entry in self.queue)

    def queue_delay_s(self, allowed: int) -> float:
        """Seconds that the queue takes to empty at the present limit."""
        backlog_s = len(self.queue) * self.service_times.overall_s
        return backlog_s / max(1, allowed)

    def update(self, allowed: int, now: float) -> None:
        """Move the admission level and notice standing overload."""
        delay_s = self.queue_delay_s(allowed)
        service_s = self.service_times.overall_s
        self.is_queue_delayed = delay_s > queue_delay_limit_s(service_s)
        if self.sheds_by_level and self.level.is_window_over(now):
            waiting = self.count_admissible()
            admissible_s = waiting * service_s / max(1, allowed)
            self.level.close_window(admissible_s, service_s, now)
        if self.queue.oldest_wait_s(now) <= STANDING_QUEUE_WAIT_S:
            self.standing_since = None
        elif self.standing_since is None:
            self.standing_since = now

    def record_empty_queue(self) -> None:
        """Note that nothing waits, so that no overload stands."""
        self.is_queue_delayed = False
        self.standing_since = None

    def dispatch_rate(self, allowed: int, now: float) -> DispatchRate:
        """Tell how fast calls start, and whether overload has lasted."""
        since = self.standing_since
        return DispatchRate(
            now=now,
            start_interval_s=self.service_times.overall_s / max(1, allowed),
            has_standing_queue=since is not None
            and now - since > STANDING_QUEUE_DURATION_S,
        )

    def latest_start(self, call: Call, now: float) -> float:
        """Last moment at which a start can still meet the deadline."""
        expected_s = self.service_times.expected_s(call.route, now)
        return call.deadline - expected_s

    def create_queued_call(self, call: Call, now: float) -> QueuedCall:
        """Describe an arriving call for the queue.

        Critical calls never count as surplus: they are shed last.
        """
        is_over = self.team_usage.is_over_share(call.team, now)
        surplus = is_over and call.priority is not Priority.CRITICAL
        return QueuedCall(
            call=call,
            queued_at=now,
            latest_start=self.latest_start(call, now),
            is_over_share=surplus,
            shedding_position=shedding_position_of(call, surplus),
        )
