"""Limits how many calls run at one target at the same time.

The slots that are declared for a target are an upper bound. A target that has
just started, lacks CPU or waits for a slow dependency is overloaded by fewer
calls, and its health endpoint reports this late or wrongly. ``AdaptiveLimit``
therefore follows the service times and refusals that the node itself observes.
"""

import abc

from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult

MIN_WINDOW_S = 0.2
"""Shorter windows have too few answers to tell a slowdown from noise."""

MIN_WINDOW_ANSWERS = 10
TOLERATED_SLOWDOWN = 1.5
"""Ratio of the service time to its baseline that counts as normal, because
service times vary between routes."""

DECREASE_FACTOR = 0.9
INCREASE_FRACTION = 0.05
TRIAL_CUT_FRACTION = 0.8
"""Once the limit is down to this fraction of its value before the cut, the
service time must have improved, or the cut is undone."""

IMPROVEMENT_RATIO = 0.95
BASELINE_SMOOTHING_FACTOR = 0.02
INITIAL_LIMIT_FRACTION = 0.125
SLOW_START_STEP = 1
"""Added to the limit for each success during a slow start. The limit of a
busy target grows by at least half per service time."""

MIN_FULL_SHARE = 0.75
"""Share of the allowed calls from which on a target counts as full when it
leaves a call without an answer."""

UNTRIED_CALLS = 5
"""Calls that run at most at a target of which this process has had no answer
yet. The target may have asked an earlier process of this node for fewer calls.
As many are added each second, because the first calls may stay unanswered."""

SILENCE_RECOVERY_S = 1.0
HEALTH_VALID_S = 2
PROBE_FAILURE_VALID_S = 0.5
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2
"""A target that has restarted gets a trial call after at most this long."""

BACKOFF_FACTOR = 2


class ConcurrencyLimit(abc.ABC):
    """Decides how many calls may run at a target, at most its slots."""

    def __init__(self, slots: int) -> None:
        """Set the slots of the target.

        Raises ``ValueError`` for less than one slot.
        """
        if slots < 1:
            raise ValueError(f'a target needs at least 1 slot, got {slots}')
        self.slots = slots

    @abc.abstractmethod
    def allowed_calls(self, now: float) -> int:
        """Return how many calls may run now; 0 while the target is down."""

    @abc.abstractmethod
    def record_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Record how one run ended."""

    @abc.abstractmethod
    def record_health(self, usable_slots: int, now: float) -> None:
        """Record the usable slots that the health endpoint reports.

        A report can only lower the limit.
        """

    @abc.abstractmethod
    def record_probe_failure(self, now: float) -> None:
        """Record that the target refused a probe's connection.

        No trial call is sent while this holds.
        """


class FixedLimit(ConcurrencyLimit):
    """Always allows the declared slots; the reference in benchmarks."""

    def allowed_calls(self, now: float) -> int:
        """Return the slots."""
        return self.slots

    def record_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Ignore the outcome."""

    def record_health(self, usable_slots: int, now: float) -> None:
        """Ignore the report."""

    def record_probe_failure(self, now: float) -> None:
        """Ignore the failure."""


class DeclaredLimit(ConcurrencyLimit):
    """Allows the declared slots, and no call while the target is unavailable.

    It fits targets whose service times say little about their load, because
    they wait for other services during most of a call. The target is
    unavailable while none is declared, and during the backoff after a crash.

    A target may leave calls without any answer when its own queue is full.
    Calls of an earlier process of this node can take its slots, so that it is
    full before all of them are in use here. Each such call lowers the limit
    below the number of calls that ran when it was sent; one call is added
    again after each ``SILENCE_RECOVERY_S`` without another.
    """

    def __init__(self, slots: int = 1) -> None:
        """Start without a target, so that no call may run."""
        super().__init__(slots)
        self.backoff = TargetBackoff()
        self.has_target = False
        self.has_answered = False
        self.untried_since: float | None = None
        self.calls_before_silence: int | None = None
        self.silent_at: float = 0

    def declare_slots(self, slots: int) -> None:
        """Allow this many calls, at least one, from now on."""
        self.slots = max(1, slots)
        self.has_target = True

    def record_response(self) -> None:
        """Record a response of the target, whatever its status."""
        self.has_answered = True

    def record_silence(self, running_when_sent: int, now: float) -> None:
        """Lower the limit after a call that got no answer at its deadline.

        Nothing is learned from a call that was sent while the target had many
        free slots: its answer was lost for another reason.
        """
        allowed = self.limit_after_silence(now)
        if running_when_sent >= allowed * MIN_FULL_SHARE:
            self.calls_before_silence = max(
                1, min(running_when_sent - 1, allowed)
            )
            self.silent_at = now

    def limit_after_silence(self, now: float) -> int:
        """Return the slots that may be used since the last silent call."""
        if self.calls_before_silence is None:
            return self.slots
        recovered = int((now - self.silent_at) / SILENCE_RECOVERY_S)
        limited = self.calls_before_silence + recovered
        if limited >= self.slots:
            self.calls_before_silence = None
        return min(limited, self.slots)

    def remove_target(self) -> None:
        """Allow no calls until slots are declared again."""
        self.has_target = False

    def reset_backoff(self) -> None:
        """Forget the failures of an earlier target at this address."""
        self.backoff = TargetBackoff()
        self.calls_before_silence = None

    def allowed_calls(self, now: float) -> int:
        """Return the slots, 1 for the trial call after a backoff, or 0.

        Until the first response they are limited by ``UNTRIED_CALLS``.
        """
        if not self.has_target:
            return 0
        limited = self.backoff.allowed_calls(now)
        if limited is not None:
            return limited
        allowed = self.limit_after_silence(now)
        if self.has_answered:
            return allowed
        return self.limit_untried(allowed, now)

    def limit_untried(self, allowed: int, now: float) -> int:
        """Return how many of the calls may run before the first response."""
        if self.untried_since is None:
            self.untried_since = now
        untried_s = now - self.untried_since
        return min(allowed, int(UNTRIED_CALLS * (1 + untried_s)))

    def record_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Back off after a crash; any other result shows a live target."""
        if outcome.result is RunResult.TARGET_CRASHED:
            self.backoff.record_crash(now)
        else:
            self.backoff.record_success()

    def record_health(self, usable_slots: int, now: float) -> None:
        """Ignore the report: such a target is not probed."""

    def record_probe_failure(self, now: float) -> None:
        """Ignore the failure: such a target is not probed."""


class ServiceTimeWindow:
    """Mean service time of the successes in the current window."""

    def __init__(self) -> None:
        """Start empty; the window begins with the first success."""
        self.started_at: float = 0
        self.count = 0
        self.total_s: float = 0

    def add(self, service_s: float, now: float) -> None:
        """Add the service time of one success, in seconds."""
        if not self.count:
            self.started_at = now
        self.count += 1
        self.total_s += service_s

    def is_complete(self, now: float) -> bool:
        """Tell whether the window has enough answers over enough time."""
        if self.count < MIN_WINDOW_ANSWERS:
            return False
        mean_s = self.total_s / self.count
        return now - self.started_at >= max(MIN_WINDOW_S, mean_s)

    def close(self) -> float:
        """Return the mean service time in seconds, and empty the window."""
        mean_s = self.total_s / self.count
        self.count = 0
        self.total_s = 0
        return mean_s


class TargetBackoff:
    """Backs off from a target that crashed, longer after each failed trial."""

    def __init__(self) -> None:
        """Start with a target that is up."""
        self.ends_at: float = 0
        self.next_backoff_s = float(INITIAL_BACKOFF_S)
        self.is_down = False

    def record_crash(self, now: float) -> None:
        """Begin a backoff, unless one is active.

        One crash fails all calls that run at the target, and counts once.
        """
        if now < self.ends_at:
            return
        self.is_down = True
        self.ends_at = now + self.next_backoff_s
        self.next_backoff_s = min(
            self.next_backoff_s * BACKOFF_FACTOR,
            MAX_BACKOFF_S,
        )

    def record_probe_failure(self, now: float) -> None:
        """Postpone the trial call; a successful probe does not end a backoff."""
        self.is_down = True
        self.ends_at = max(self.ends_at, now + PROBE_FAILURE_VALID_S)

    def record_success(self) -> None:
        """End the backoff: the target answered."""
        self.is_down = False
        self.next_backoff_s = INITIAL_BACKOFF_S

    def allowed_calls(self, now: float) -> int | None:
        """Return 0 during a backoff, 1 for the trial call, else None."""
        if not self.is_down:
            return None
        return 0 if now < self.ends_at else 1


class AdaptiveLimit(ConcurrencyLimit):
    """Lowers the limit for as long as that shortens the service time.

    A service time above the baseline can have two causes. If too many calls
    run at once, running fewer makes each of them faster, and the lower limit
    is kept. If the target waits for something else, running fewer calls only
    loses throughput: when a cut to ``TRIAL_CUT_FRACTION`` of the limit has not
    helped, the limit is restored and the longer time becomes the baseline.
    """

    def __init__(self, slots: int) -> None:
        """Start with a slow start: nothing is known about the target yet."""
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
        self.limit = max(1, self.slots * INITIAL_LIMIT_FRACTION)
        self.is_slow_start = True
        self.baseline_s = 0
        self.limit_before_cut = 0
        self.window = ServiceTimeWindow()
        # The quickest calls are answered first, so the mean of the first
        # window is too low.
        self.is_first_window_over = False

    def allowed_calls(self, now: float) -> int:
        """Return the limit in whole calls; 0 while the target is down."""
        limited = self.backoff.allowed_calls(now)
        if limited is not None:
            return limited
        allowed = min(int(self.limit), self.slots)
        if now < self.health_expires_at:
            allowed = min(allowed, self.reported_slots)
        return max(1, allowed)

    def record_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Adapt the limit; only successes count towards the service time."""
        if outcome.result is RunResult.TARGET_CRASHED:
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
        """Cap the limit for ``HEALTH_VALID_S``, at no less than one call."""
        self.reported_slots = usable_slots
        self.health_expires_at = now + HEALTH_VALID_S

    def record_probe_failure(self, now: float) -> None:
        """Send no trial call to a target that refuses connections."""
        self.backoff.record_probe_failure(now)

    def record_success(self, service_s: float, now: float) -> None:
        """Raise the limit in a slow start; evaluate each complete window."""
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
        """Lower the limit once per window, however many calls were refused."""
        self.backoff.record_success()
        if now < self.shed_window_ends_at:
            return
        self.is_slow_start = False
        self.shed_window_ends_at = now + MIN_WINDOW_S
        self.limit = max(1, min(self.limit, self.slots) * DECREASE_FACTOR)

    def evaluate_window(self, mean_s: float) -> None:
        """Raise the limit at a normal service time, else cut or restore it."""
        if not self.baseline_s or mean_s < self.baseline_s:
            self.baseline_s = mean_s
        if mean_s <= self.baseline_s * TOLERATED_SLOWDOWN:
            self.baseline_s += (
                mean_s - self.baseline_s
            ) * BASELINE_SMOOTHING_FACTOR
            self.limit_before_cut = 0
            step = max(1, self.slots * INCREASE_FRACTION)
            self.limit = min(self.slots, self.limit + step)
            return
        self.is_slow_start = False
        self.cut_or_restore(mean_s)

    def cut_or_restore(self, mean_s: float) -> None:
        """Continue a cut, or undo one that did not shorten the time.

        A cut that helped becomes the starting point of the next.
        """
        if not self.limit_before_cut:
            self.limit_before_cut = self.limit
            self.service_time_before_cut_s = mean_s
        if self.limit > self.limit_before_cut * TRIAL_CUT_FRACTION:
            self.limit = max(1, self.limit * DECREASE_FACTOR)
        elif mean_s > self.service_time_before_cut_s * IMPROVEMENT_RATIO:
            self.limit = self.limit_before_cut
            self.baseline_s = mean_s
            self.limit_before_cut = 0
        else:
            self.limit_before_cut = self.limit
            self.service_time_before_cut_s = mean_s


def create_adaptive_limit(slots: int) -> ConcurrencyLimit:
    """Create the limit that nodes use; it begins with a slow start."""
    return AdaptiveLimit(slots)


def create_fixed_limit(slots: int) -> ConcurrencyLimit:
    """Create a limit that is always the declared slots."""
    return FixedLimit(slots)
