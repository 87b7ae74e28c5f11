"""A node's own observations of one target, and when to avoid the target."""

import dataclasses
from collections.abc import Callable

from ebonycleat.internal.process.callbacks import do_nothing
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.placement.expected_delay import (
    FULL_OCCUPANCY,
    REPORTED_LOAD_VALID_S,
    count_calls,
    expected_delay_s,
)
from ebonycleat.internal.process.placement.target_pace import (
    USUAL_PACE,
    decay_pace,
)
from ebonycleat.internal.process.placement.target_speed import TargetSpeed

FAILURES_TO_EJECT = 3
"""Consecutive failures after which a target is ejected. Fewer would eject
healthy targets for single errors."""

INITIAL_EJECTION_S = 5
MAX_EJECTION_S = 60
EJECTION_RESET_S = 60
DRAINING_VALID_S = 5
"""A target that reported that it is draining is avoided this long. A restarted
one is used again at most this long after its last report."""

DOWN_VALID_S = 0.5
"""A node that reported that its target is down gets calls again after this."""

INITIAL_LATENCY_S = 0.01
LATENCY_SMOOTHING_FACTOR = 0.125
OVERDUE_GAP_FACTOR = 4
"""Answers are overdue after this many mean gaps between answers. Few gaps
between independent answers are longer than that."""

MIN_OVERDUE_S = 0.05


class Ejection:
    """Ejects a failing target or zone for a time, doubled after each trial.

    After the time the target or zone is on trial: it gets single calls until
    one of them is answered.
    """

    def __init__(self, initial_s: float, max_s: float) -> None:
        """Set the length of the first ejection and the longest, in seconds."""
        self.initial_s = initial_s
        self.max_s = max_s
        self.next_s = initial_s
        self.ends_at: float = 0
        self.is_on_trial = False

    def eject(self, now: float) -> None:
        """Start an ejection, unless one is active.

        It lasts twice as long as the last one, or ``initial_s`` if that
        ended more than ``EJECTION_RESET_S`` ago.
        """
        if now < self.ends_at:
            return
        if now - self.ends_at > EJECTION_RESET_S:
            self.next_s = self.initial_s
        self.ends_at = now + self.next_s
        self.next_s = min(self.next_s * 2, self.max_s)
        self.is_on_trial = True

    def reset(self) -> None:
        """End the ejection and the trial: an answer came."""
        self.is_on_trial = False
        self.ends_at = 0

    def is_active(self, now: float) -> bool:
        """Tell whether nothing should be sent now."""
        return now < self.ends_at


@dataclasses.dataclass(slots=True)
class ReportedLoad:
    """Load that came with the last answer.

    ``sent_since`` counts the calls that this node has sent since then.
    """

    load: GateLoad
    received_at: float
    sent_since: int = 0


class TargetStats:
    """A node's own observations of one target.

    ``consecutive_unreachable`` counts failures in which the target's node
    did not answer, since its last answer. ``on_fault`` is called with each
    observation after which ``has_no_faults`` may be false.
    """

    def __init__(self, on_fault: Callable[[], None] = do_nothing) -> None:
        """Start without observations."""
        self.on_fault = on_fault
        self.reported: ReportedLoad | None = None
        self.in_flight = 0
        self.consecutive_failures = 0
        self.consecutive_unreachable = 0
        self.latency_s: float = INITIAL_LATENCY_S
        self.unavailable_until: float = 0
        self.waiting_since: float = 0
        self.speed = TargetSpeed()
        self.ejection = Ejection(INITIAL_EJECTION_S, MAX_EJECTION_S)

    def record_sent(self, now: float) -> None:
        """Count a call as in flight."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight += 1
        if self.reported:
            self.reported.sent_since += 1

    def record_ended(self) -> None:
        """Count a call as no longer in flight, however it ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def record_load(self, load: GateLoad, now: float) -> None:
        """Record the load that came with an answer or a refusal."""
        self.consecutive_unreachable = 0
        self.waiting_since = now
        self.reported = ReportedLoad(load, now)
        if load.draining:
            self.unavailable_until = now + DRAINING_VALID_S
            self.on_fault()
        elif not load.limit:
            self.unavailable_until = now + DOWN_VALID_S
            self.on_fault()

    def record_success(self, latency_s: float) -> None:
        """Record a complete answer of the target and its latency."""
        self.consecutive_failures = 0
        self.latency_s += (
            latency_s - self.latency_s
        ) * LATENCY_SMOOTHING_FACTOR
        self.ejection.reset()

    def record_failure(self, reached: bool, now: float) -> None:
        """Record a failure; eject after several or after a failed trial.

        ``reached`` is true if the node answered, so that only its target
        failed.
        """
        self.consecutive_failures += 1
        if not reached:
            self.consecutive_unreachable += 1
        self.on_fault()
        on_trial = self.ejection.is_on_trial
        if on_trial or self.consecutive_failures >= FAILURES_TO_EJECT:
            self.ejection.eject(now)

    def is_unavailable(self, now: float) -> bool:
        """Tell whether the target was recently reported draining or down."""
        return now < self.unavailable_until

    def has_no_faults(self, now: float) -> bool:
        """Tell whether no reason is known to avoid the target."""
        ejection = self.ejection
        if (
            self.consecutive_unreachable
            or ejection.is_on_trial
            or now < ejection.ends_at
        ):
            return False
        return now >= self.unavailable_until

    def is_answer_overdue(self, now: float) -> bool:
        """Tell whether answers are overdue.

        This shows long before the link times out. The more calls are in
        flight, the sooner an answer is due.
        """
        if not self.in_flight:
            return False
        due_s = self.latency_s * OVERDUE_GAP_FACTOR / self.in_flight
        return now - self.waiting_since > max(due_s, MIN_OVERDUE_S)

    def assume(
        self, announced: GateLoad | None, now: float
    ) -> tuple[float, float]:
        """Return the occupancy and the pace to assume at the target now.

        The load that came with a recent answer counts first, then the one
        that the member announced; without either, the target counts as idle
        and as usual. A report loses weight with its age, down to the calls of
        this node.
        """
        reported = self.reported
        if reported:
            age_s = now - reported.received_at
            if age_s <= REPORTED_LOAD_VALID_S:
                load = reported.load
                calls = count_calls(
                    load.queued + load.running,
                    age_s,
                    reported.sent_since,
                    self.in_flight,
                )
                pace = load.pace
                if pace != USUAL_PACE:
                    pace = decay_pace(pace, age_s)
                return calls / max(1, load.limit), pace
        if announced:
            in_flight = self.in_flight
            calls = max(announced.queued + announced.running, in_flight)
            return calls / max(1, announced.limit), announced.pace
        return 0, USUAL_PACE

    def occupancy(self, announced: GateLoad | None, now: float) -> float:
        """Return the calls at the target relative to its limit, if known."""
        return self.assume(announced, now)[0]

    def score(
        self, announced: GateLoad | None, usual_s: float, now: float
    ) -> float:
        """Return the expected seconds of a call there; lower is better.

        ``usual_s`` is the mean time of a call at the targets of the service. A
        target without a recent report counts as idle, so that it is tried
        again.
        """
        return self.rank(announced, usual_s, now)[1]

    def rank(
        self, announced: GateLoad | None, usual_s: float, now: float
    ) -> tuple[bool, float]:
        """Return whether a call has to wait there, and the score.

        The lower rank is better: a free slot anywhere beats waiting, also for
        a fast target.
        """
        occupancy, pace = self.assume(announced, now)
        relative_s = usual_s * pace * self.speed.ratio_at(now)
        return (
            occupancy >= FULL_OCCUPANCY,
            expected_delay_s(occupancy, relative_s),
        )
