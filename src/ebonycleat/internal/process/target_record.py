"""What this node has itself seen of one target, and when to avoid it."""

import dataclasses

from ebonycleat.internal.process.gate_events import GateLoad

FAILURES_TO_EJECT = 3
"""Fewer would eject healthy targets for single errors."""

FIRST_EJECTION_S = 5
LONGEST_EJECTION_S = 60
FORGIVEN_AFTER_S = 60
HEARD_VALID_S = 1
DRAINING_VALID_S = 5
"""A restarted target is used again at most this long after its last word."""

DOWN_VALID_S = 0.5
"""A node whose target is down is asked again this often."""

FIRST_LATENCY_S = 0.01
LATENCY_GAIN = 0.125
IDLE_SCORE = 0.1
OVERDUE_GAPS = 4
"""Few gaps between independent answers are longer than 4 mean gaps."""

SHORTEST_SILENCE_S = 0.05


class Ejection:
    """Times out a failing target or zone, longer each time."""

    def __init__(self, first_s: float, longest_s: float) -> None:
        """Give the length of the first ejection and the longest."""
        self.first_s = first_s
        self.longest_s = longest_s
        self.next_s = first_s
        self.until: float = 0
        self.on_trial = False

    def eject(self, now: float) -> None:
        """Avoid from now on; a failed trial ejects for twice as long."""
        if now < self.until:
            return
        if now - self.until > FORGIVEN_AFTER_S:
            self.next_s = self.first_s
        self.until = now + self.next_s
        self.next_s = min(self.next_s * 2, self.longest_s)
        self.on_trial = True

    def end_trial(self) -> None:
        """Return to normal: an answer came."""
        self.on_trial = False
        self.until = 0

    def is_active(self, now: float) -> bool:
        """Whether nothing should be sent now."""
        return now < self.until


@dataclasses.dataclass(slots=True)
class Heard:
    """Load that came with the last answer."""

    load: GateLoad
    heard_at: float
    sent_since: int = 0


class TargetRecord:
    """Own observations of one target."""

    def __init__(self) -> None:
        """Start without observations."""
        self.heard: Heard | None = None
        self.in_flight = 0
        self.failures_in_row = 0
        self.unreached_in_row = 0
        self.latency_s: float = FIRST_LATENCY_S
        self.closed_until: float = 0
        self.silent_since: float = 0
        self.ejection = Ejection(FIRST_EJECTION_S, LONGEST_EJECTION_S)

    def note_sent(self, now: float) -> None:
        """Count a call on its way."""
        if not self.in_flight:
            self.silent_since = now
        self.in_flight += 1
        if self.heard:
            self.heard.sent_since += 1

    def note_ended(self) -> None:
        """Count an attempt as over, however it ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def note_load(self, load: GateLoad, now: float) -> None:
        """Keep the load that came with an answer or a refusal."""
        self.unreached_in_row = 0
        self.silent_since = now
        self.heard = Heard(load, now)
        if load.draining:
            self.closed_until = now + DRAINING_VALID_S
        elif not load.limit:
            self.closed_until = now + DOWN_VALID_S

    def note_success(self, latency_s: float) -> None:
        """Note a whole answer of the target."""
        self.failures_in_row = 0
        self.latency_s += (latency_s - self.latency_s) * LATENCY_GAIN
        self.ejection.end_trial()

    def note_failure(self, reached: bool, now: float) -> None:
        """Note a failed attempt; eject after several or a failed trial."""
        self.failures_in_row += 1
        if not reached:
            self.unreached_in_row += 1
        on_trial = self.ejection.on_trial
        if on_trial or self.failures_in_row >= FAILURES_TO_EJECT:
            self.ejection.eject(now)

    def is_closed(self, now: float) -> bool:
        """Whether its node said lately that it is stopping or down."""
        return now < self.closed_until

    def is_calm(self, now: float) -> bool:
        """Whether no failure, ejection or closing is known."""
        ejection = self.ejection
        if self.unreached_in_row or ejection.on_trial or now < ejection.until:
            return False
        return now >= self.closed_until

    def is_silent(self, now: float) -> bool:
        """Whether answers are overdue, long before the link is given up.

        With several calls on their way one answer is due soon.
        """
        if not self.in_flight:
            return False
        due_s = self.latency_s * OVERDUE_GAPS / self.in_flight
        return now - self.silent_since > max(due_s, SHORTEST_SILENCE_S)

    def occupancy(self, announced: GateLoad | None, now: float) -> float:
        """Calls at the target relative to its limit, as far as known."""
        heard = self.heard
        if heard and now - heard.heard_at <= HEARD_VALID_S:
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
        busy = IDLE_SCORE + self.occupancy(announced, now)
        return self.latency_s * busy
