"""Signals on which a gate bases its decisions, from its own observations."""

from ebonycleat.internal.process.admission.backlog import Backlog
from ebonycleat.internal.process.admission.warm_up import WarmUpLimit
from ebonycleat.internal.process.admission_level import (
    ADMIT_ALL_LEVEL,
    AdmissionLevel,
    queue_delay_limit_s,
    shedding_position_of,
)
from ebonycleat.internal.process.fair_queue import (
    DispatchRate,
    FairQueue,
    QueuedCall,
)
from ebonycleat.internal.process.service_time import ServiceTimes
from ebonycleat.internal.process.start_rate import StartRateLimit
from ebonycleat.internal.process.team_usage import TeamUsage
from ebonycleat.internal.request.call import Call, Priority

STANDING_QUEUE_WAIT_S = 0.1
STANDING_QUEUE_DURATION_S = 0.5
"""A standing queue is one whose oldest call has waited longer than the first of
these times, for longer than the second. The newest calls then start first."""


class GateSignals:
    """Service times, usage of teams, queue delay and admission level.

    ``start_rate`` is the limit of calls per second that the target asks for,
    ``warm_up`` the one for a target that is or may be cold.
    """

    def __init__(
        self,
        queue: FairQueue,
        *,
        sheds_by_level: bool = True,
    ) -> None:
        """Observe ``queue``.

        Without ``sheds_by_level`` no call is refused by its shedding
        position. The nodes at which requests enter then admit only what the
        gate reports that it can take.
        """
        self.queue = queue
        self.sheds_by_level = sheds_by_level
        self.level = AdmissionLevel()
        self.team_usage = TeamUsage()
        self.service_times = ServiceTimes()
        self.start_rate = StartRateLimit()
        self.warm_up = WarmUpLimit()
        self.standing_since: float | None = None
        self.is_queue_delayed = False

    @property
    def reported_level(self) -> int:
        """Level reported to callers; with a short queue it admits all calls."""
        is_shedding = self.is_queue_delayed and self.sheds_by_level
        return self.level.level if is_shedding else ADMIT_ALL_LEVEL

    def admits(self, entry: QueuedCall) -> bool:
        """Tell whether to admit a call, and count it if so."""
        if entry.shedding_position >= self.reported_level:
            return False
        self.level.count_admitted(entry.shedding_position)
        return True

    def count_admissible(self) -> int:
        """Return the count of waiting calls below the level.

        Calls at or above the level wait until they expire. Lowering the
        level because of them would refuse calls that do not wait at all.
        """
        level = self.level.level
        return sum(entry.shedding_position < level for entry in self.queue)

    def queue_delay_s(self, allowed: int) -> float:
        """Return the seconds in which the queue empties at this limit."""
        return len(self.queue) * self.start_interval_s(allowed)

    def start_interval_s(self, allowed: int) -> float:
        """Return the mean seconds between two starts at this limit."""
        return max(
            self.service_times.overall_s / max(1, allowed),
            self.start_rate.interval_s,
            self.warm_up.interval_s,
        )

    def may_start(self, now: float) -> bool:
        """Tell whether the limits of starts allow one now."""
        return self.start_rate.may_start(now) and self.warm_up.may_start(now)

    def record_start(self, call_id: str) -> bool:
        """Count a call that starts; tell whether the target may be cold."""
        self.start_rate.record_start()
        return self.warm_up.record_start(call_id)

    def usable_slots(self, allowed: int) -> float:
        """Return how many of the allowed calls run at the limits' rates."""
        return self.warm_up.usable_slots(
            self.warm_slots(allowed), self.service_times.overall_s
        )

    def warm_slots(self, allowed: int) -> float:
        """Return the same for a target that is not cold.

        The shares of overloaded services count with these. Entries take the
        share of one gate for that of the service, and would refuse requests
        because of one cold target among many.
        """
        return self.start_rate.usable_slots(
            allowed, self.service_times.overall_s
        )

    def update(self, allowed: int, now: float) -> None:
        """Adapt the admission level, and detect a standing queue."""
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
        """Record that no call waits, which ends a standing queue."""
        self.is_queue_delayed = False
        self.standing_since = None

    def dispatch_rate(self, allowed: int, now: float) -> DispatchRate:
        """Return how fast calls start and whether the queue is standing."""
        since = self.standing_since
        return DispatchRate(
            now=now,
            start_interval_s=self.start_interval_s(allowed),
            has_standing_queue=since is not None
            and now - since > STANDING_QUEUE_DURATION_S,
        )

    def latest_start(self, call: Call, now: float) -> float:
        """Return the last time at which a start can meet the deadline."""
        expected_s = self.service_times.expected_s(call.route, now)
        return call.deadline - expected_s

    def estimate_backlog(
        self, entry: QueuedCall, allowed: int, now: float
    ) -> Backlog:
        """Return the backlog that an arriving call would find."""
        return Backlog(
            calls_ahead=self.queue.count_ahead(entry),
            start_interval_s=self.start_interval_s(allowed),
            time_left_s=entry.latest_start - now,
        )

    def create_queued_call(self, call: Call, now: float) -> QueuedCall:
        """Create the queue entry of an arriving call.

        Critical calls never count as over their team's share, because they
        are shed last.
        """
        is_team_over = self.team_usage.is_over_share(call.team, now)
        is_over_share = is_team_over and call.priority is not Priority.CRITICAL
        latest_start = self.latest_start(call, now)
        return QueuedCall(
            call=call,
            queued_at=now,
            latest_start=latest_start,
            is_over_share=is_over_share,
            shedding_position=shedding_position_of(call, is_over_share),
            on_time_start=latest_start + call.objective - call.deadline,
        )
