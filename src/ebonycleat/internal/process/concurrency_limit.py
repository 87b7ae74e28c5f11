"""How many calls may run at one target at the same time.

The slots of a target are an upper bound that its owner declares. A target
that is cold, starved of CPU or waiting for a slow dependency can run fewer
calls well, and its health endpoint is too late or wrong to tell. The limit
therefore follows the service times and refusals that the node sees itself.
"""

import abc

from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult

MIN_WINDOW_S = 0.2
"""Shorter windows hold too few answers to tell noise from a slowdown."""

MIN_WINDOW_ANSWERS = 10
TOLERATED_SLOWDOWN = 1.5
"""Service times vary by route; smaller ratios are taken for normal."""

DECREASE_FACTOR = 0.9
INCREASE_SHARE = 0.05
TRIAL_CUT_SHARE = 0.8
"""After this cut the service time must have improved, or the cut is undone."""

IMPROVEMENT_RATIO = 0.95
BASELINE_GAIN = 0.02
INITIAL_LIMIT_SHARE = 0.125
SLOW_START_STEP = 1
"""Slots gained per success: the limit grows by half per service time."""

HEALTH_VALID_S = 2
PROBE_FAILURE_VALID_S = 0.5
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2
"""A restarted target is noticed at most this long after it is back."""

BACKOFF_FACTOR = 2


class ConcurrencyLimit(abc.ABC):
    """Decides how many calls may run; never more than the slots."""

    def __init__(self, slots: int) -> None:
        """Declare the slots of the target, at least one."""
        if slots < 1:
            raise ValueError(f'a target needs at least 1 slot, not {slots}')
        self.slots = slots

    @abc.abstractmethod
    def allowed_calls(self, now: float) -> int:
        """Count of calls that may run now; zero while the target is down."""

    @abc.abstractmethod
    def record_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Learn how one run ended."""

    @abc.abstractmethod
    def record_health(self, usable_slots: int, now: float) -> None:
        """Learn what the health endpoint claims; it can only lower."""

    @abc.abstractmethod
    def record_probe_failure(self, now: float) -> None:
        """Learn that the target refuses connections; no trial call then."""


class FixedLimit(ConcurrencyLimit):
    """Always the declared slots; the baseline in benchmarks."""

    def allowed_calls(self, now: float) -> int:
        """Return the slots."""
        return self.slots

    def record_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Ignore the outcome."""

    def record_health(self, usable_slots: int, now: float) -> None:
        """Ignore the claim."""

    def record_probe_failure(self, now: float) -> None:
        """Ignore the probe."""


class DeclaredLimit(ConcurrencyLimit):
    """The declared slots, and nothing while the target is down or absent.

    Fits targets whose service times say little about their load, because
    they wait for other services during most of a call.
    """

    def __init__(self, slots: int = 1) -> None:
        """Start without a target: no call may run."""
        super().__init__(slots)
        self.backoff = TargetBackoff()
        self.has_target = False

    def declare_slots(self, slots: int) -> None:
        """Run this many calls from now on."""
        self.slots = max(1, slots)
        self.has_target = True

    def remove_target(self) -> None:
        """Run no calls until slots are declared again."""
        self.has_target = False

    def reset_backoff(self) -> None:
        """Forget the failures of an earlier target at this address."""
        self.backoff = TargetBackoff()

    def allowed_calls(self, now: float) -> int:
        """Return the slots, one during a trial, zero without a target."""
        if not self.has_target:
            return 0
        paused = self.backoff.allowed_calls(now)
        return self.slots if paused is None else paused

    def record_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Pause after a death; any answer shows that the target lives."""
        if outcome.result is RunResult.TARGET_DIED:
            self.backoff.record_crash(now)
        else:
            self.backoff.record_success()

    def record_health(self, usable_slots: int, now: float) -> None:
        """Ignore the claim; the target is not probed."""

    def record_probe_failure(self, now: float) -> None:
        """Ignore the probe; the target is not probed."""


class ServiceTimeWindow:
    """Mean service time of the successes in the current window."""

    def __init__(self) -> None:
        """Start empty; the first answer opens the window."""
        self.started_at: float = 0
        self.count = 0
        self.total_s: float = 0

    def add(self, service_s: float, now: float) -> None:
        """Add one success."""
        if not self.count:
            self.started_at = now
        self.count += 1
        self.total_s += service_s

    def is_complete(self, now: float) -> bool:
        """Whether the window holds enough answers over enough time."""
        if self.count < MIN_WINDOW_ANSWERS:
            return False
        mean_s = self.total_s / self.count
        return now - self.started_at >= max(MIN_WINDOW_S, mean_s)

    def close(self) -> float:
        """Return the mean in seconds and start over."""
        mean_s = self.total_s / self.count
        self.count = 0
        self.total_s = 0
        return mean_s


class TargetBackoff:
    """Keeps calls from a target that just died, for growing pauses."""

    def __init__(self) -> None:
        """Start with a target that is up."""
        self.ends_at: float = 0
        self.next_backoff_s = float(INITIAL_BACKOFF_S)
        self.is_down = False

    def record_crash(self, now: float) -> None:
        """Begin a pause, unless one runs (calls die together)."""
        if now < self.ends_at:
            return
        self.is_down = True
        self.ends_at = now + self.next_backoff_s
        self.next_backoff_s = min(
            self.next_backoff_s * BACKOFF_FACTOR,
            MAX_BACKOFF_S,
        )

    def record_probe_failure(self, now: float) -> None:
        """Put the trial call off; probes alone never end a pause."""
        self.is_down = True
        self.ends_at = max(self.ends_at, now + PROBE_FAILURE_VALID_S)

    def record_success(self) -> None:
        """End the caution: the target answered."""
        self.is_down = False
        self.next_backoff_s = INITIAL_BACKOFF_S

    def allowed_calls(self, now: float) -> int | None:
        """Zero during a pause, one for the trial call, else no opinion."""
        if not self.is_down:
            return None
        return 0 if now < self.ends_at else 1


class AdaptiveLimit(ConcurrencyLimit):
    """Cuts the limit while cutting shortens the service time.

    A service time above the baseline has two causes. If too many calls run
    at once, running fewer makes each faster, and the lower limit is kept. If
    the target waits for something else, running fewer only loses throughput:
    once a cut to ``TRIAL_CUT_SHARE`` has not helped, the longer time becomes the
    baseline and the limit returns to where it was.
    """

    def __init__(self, slots: int) -> None:
        """Start cold: nothing is known about the target yet."""
        super().__init__(slots)
        self.limit: float = 0
        self.window = ServiceTimeWindow()
        self.backoff = TargetBackoff()
        self.baseline_s: float = 0
        self.limit_before_cut: float = 0
        self.service_time_before_cut_s: float = 0
        self.shed_window_ends_at: float = 0
        self.reported_slots = slots
        self.health_expires_at: float = 0
        self.begin_slow_start()

    def begin_slow_start(self) -> None:
        """Begin a slow start, as after a restart of the target."""
        self.limit = max(1, self.slots * INITIAL_LIMIT_SHARE)
        self.is_slow_start = True
        self.baseline_s = 0
        self.limit_before_cut = 0
        self.window = ServiceTimeWindow()
        # The quickest calls answer first, so the first window is too fast.
        self.is_first_window_over = False

    def allowed_calls(self, now: float) -> int:
        """Whole calls allowed now, between 0 (down) and the slots."""
        paused = self.backoff.allowed_calls(now)
        if paused is not None:
            return paused
        whole = min(int(self.limit), self.slots)
        if now < self.health_expires_at:
            whole = min(whole, self.reported_slots)
        return max(1, whole)

    def record_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Adapt; only successes count towards the service time."""
        if outcome.result is RunResult.TARGET_DIED:
            self.backoff.record_crash(now)
            self.begin_slow_start()
        elif outcome.result is RunResult.TARGET_SHED:
            self.cut_after_shed(now)
        elif outcome.result is RunResult.SUCCEEDED:
            self.record_success(outcome.own_service_s, now)
        else:
            # An error answer still shows that the process is alive.
            self.backoff.record_success()

    def record_health(self, usable_slots: int, now: float) -> None:
        """Cap the limit for ``HEALTH_VALID_S``; one call always may run."""
        self.reported_slots = usable_slots
        self.health_expires_at = now + HEALTH_VALID_S

    def record_probe_failure(self, now: float) -> None:
        """Send no call to a target that refuses connections."""
        self.backoff.record_probe_failure(now)

    def record_success(self, service_s: float, now: float) -> None:
        """Grow during slow start, and judge each complete window."""
        self.backoff.record_success()
        if self.is_slow_start:
            self.limit = min(self.slots, self.limit + SLOW_START_STEP)
            self.is_slow_start = self.limit < self.slots
        self.window.add(service_s, now)
        if self.window.is_complete(now):
            mean_s = self.window.close()
            if self.is_first_window_over:
                self.evaluate_window(mean_s)
            self.is_first_window_over = True

    def cut_after_shed(self, now: float) -> None:
        """Cut once per window, however many calls the target refused."""
        self.backoff.record_success()
        if now < self.shed_window_ends_at:
            return
        self.is_slow_start = False
        self.shed_window_ends_at = now + MIN_WINDOW_S
        self.limit = max(1, min(self.limit, self.slots) * DECREASE_FACTOR)

    def evaluate_window(self, mean_s: float) -> None:
        """Raise, cut, or undo a cut that did not help."""
        if not self.baseline_s or mean_s < self.baseline_s:
            self.baseline_s = mean_s
        if mean_s <= self.baseline_s * TOLERATED_SLOWDOWN:
            self.baseline_s += (mean_s - self.baseline_s) * BASELINE_GAIN
            self.limit_before_cut = 0
            step = max(1, self.slots * INCREASE_SHARE)
            self.limit = min(self.slots, self.limit + step)
            return
        self.is_slow_start = False
        self.cut_or_restore(mean_s)

    def cut_or_restore(self, mean_s: float) -> None:
        """Continue a cut while it shortens the service time."""
        if not self.limit_before_cut:
            self.limit_before_cut = self.limit
            self.service_time_before_cut_s = mean_s
        if self.limit > self.limit_before_cut * TRIAL_CUT_SHARE:
            self.limit = max(1, self.limit * DECREASE_FACTOR)
        elif mean_s > self.service_time_before_cut_s * IMPROVEMENT_RATIO:
            self.limit = self.limit_before_cut
            self.baseline_s = mean_s
            self.limit_before_cut = 0
        else:
            self.limit_before_cut = self.limit
            self.service_time_before_cut_s = mean_s


def create_adaptive_limit(slots: int) -> ConcurrencyLimit:
    """Build the limit that nodes use; it starts cold."""
    return AdaptiveLimit(slots)


def create_fixed_limit(slots: int) -> ConcurrencyLimit:
    """Build a limit that never moves."""
    return FixedLimit(slots)
