"""What this node has itself seen of one target, and when to avoid it."""

import dataclasses

from ebonycleat.internal.process.gate_decisions import GateLoad

FAILURES_TO_EJECT = 3
"""Fewer would eject healthy targets for single errors."""

INITIAL_EJECTION_S = 5
MAX_EJECTION_S = 60
EJECTION_RESET_S = 60
REPORTED_LOAD_VALID_S = 1
DRAINING_VALID_S = 5
"""A restarted target is used again at most this long after its last word."""

DOWN_VALID_S = 0.5
"""A node whose target is down is asked again this often."""

INITIAL_LATENCY_S = 0.01
LATENCY_GAIN = 0.125
IDLE_OCCUPANCY = 0.1
OVERDUE_GAP_FACTOR = 4
"""Few gaps between independent answers are longer than 4 mean gaps."""

MIN_OVERDUE_S = 0.05


class Ejection:
    """Times out a failing target or zone, longer each time."""

    def __init__(self, initial_s: float, max_s: float) -> None:
        """Give the length of the first ejection and the longest."""
        self.initial_s = initial_s
        self.max_s = max_s
        self.next_s = initial_s
        self.ends_at: float = 0
        self.is_on_trial = False

    def eject(self, now: float) -> None:
        """Avoid from now on; a failed trial ejects for twice as long."""
        if now < self.ends_at:
            return
        if now - self.ends_at > EJECTION_RESET_S:
            self.next_s = self.initial_s
        self.ends_at = now + self.next_s
        self.next_s = min(self.next_s * 2, self.max_s)
        self.is_on_trial = True

    def reset(self) -> None:
        """Return to normal: an answer came."""
        self.is_on_trial = False
        self.ends_at = 0

    def is_active(self, now: float) -> bool:
        """Whether nothing should be sent now."""
        return now < self.ends_at


@dataclasses.dataclass(slots=True)
class ReportedLoad:
    """Load that came with the last answer."""

    load: GateLoad
    received_at: float
    sent_since: int = 0


class TargetStats:
    """Own observations of one target."""

    def __init__(self) -> None:
        """Start without observations."""
        self.reported: ReportedLoad | None = None
        self.in_flight = 0
        self.consecutive_failures = 0
        self.consecutive_unreachable = 0
        self.latency_s: float = INITIAL_LATENCY_S
        self.unavailable_until: float = 0
        self.waiting_since: float = 0
        self.ejection = Ejection(INITIAL_EJECTION_S, MAX_EJECTION_S)

    def record_sent(self, now: float) -> None:
        """Count a call on its way."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight += 1
        if self.reported:
            self.reported.sent_since += 1

    def record_ended(self) -> None:
        """Count an attempt as over, however it ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def record_load(self, load: GateLoad, now: float) -> None:
        """Keep the load that came with an answer or a refusal."""
        self.consecutive_unreachable = 0
        self.waiting_since = now
        self.reported = ReportedLoad(load, now)
        if load.draining:
            self.unavailable_until = now + DRAINING_VALID_S
        elif not load.limit:
            self.unavailable_until = now + DOWN_VALID_S

    def record_success(self, latency_s: float) -> None:
        """Note a whole answer of the target."""
        self.consecutive_failures = 0
        self.latency_s += (latency_s - self.latency_s) * LATENCY_GAIN
        self.ejection.reset()

    def record_failure(self, reached: bool, now: float) -> None:
        """Note a failed attempt; eject after several or a failed trial."""
        self.consecutive_failures += 1
        if not reached:
            self.consecutive_unreachable += 1
        on_trial = self.ejection.is_on_trial
        if on_trial or self.consecutive_failures >= FAILURES_TO_EJECT:
            self.ejection.eject(now)

    def is_unavailable(self, now: float) -> bool:
        """Whether its node said lately that it is stopping or down."""
        return now < self.unavailable_until

    def has_no_faults(self, now: float) -> bool:
        """Whether no failure, ejection or closing is known."""
        ejection = self.ejection
        if (
            self.consecutive_unreachable
            or ejection.is_on_trial
            or now < ejection.ends_at
        ):
            return False
        return now >= self.unavailable_until

    def is_answer_overdue(self, now: float) -> bool:
        """Whether answers are overdue, long before the link is given up.

        With several calls on their way one answer is due soon.
        """
        if not self.in_flight:
            return False
        due_s = self.latency_s * OVERDUE_GAP_FACTOR / self.in_flight
        return now - self.waiting_since > max(due_s, MIN_OVERDUE_S)

    def occupancy(self, announced: GateLoad | None, now: float) -> float:
        """Calls at the target relative to its limit, as far as known."""
        heard = self.reported
        if heard and now - heard.received_at <= REPORTED_LOAD_VALID_S:
            load = heard.load
            calls = load.queued + load.running + heard.sent_since
            return calls / max(1, load.limit)
        if announced:
            calls = max(announced.queued + announced.running, self.in_flight)
            return calls / max(1, announced.limit)
        return 0

    def score(self, announced: GateLoad | None, now: float) -> float:
        """Expected time at the target; lower is better.

        A target not heard of lately looks idle, so that it is tried again.
        """
        busy = IDLE_OCCUPANCY + self.occupancy(announced, now)
        return self.latency_s * busy
