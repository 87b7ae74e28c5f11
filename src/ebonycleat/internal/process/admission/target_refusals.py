"""What entries should admit when a target refuses calls by itself.

A target may refuse a part of its calls although slots are free. A request that
makes several calls in a row there fails at the first refusal that cannot be
retried, and other services have worked for it in vain. With a probability p of
a refusal, one call needs p / (1 - p) extra arrivals and a request with n calls
n p / (1 - p), but the extra arrivals of a service are limited to a fifth of its
requests. So up to p = 1/6 retries make up for all refusals, and beyond that a
call succeeds with q = (1 - p) * 1.2 and a request with q^n: 0.13 for p = 0.5 and
n = 4. ``share_to_finish`` computes from this which share to admit.

If a target refuses because it lacks room, fewer calls lead to fewer refusals.
``FittingShare`` finds the share at which it refuses little.
"""

import enum
import math

MAX_EXTRA_ARRIVALS = 0.2
"""Part of a service's requests that may be sent to it again."""

MEMORY_S = 0.6
"""Time constant with which answers and refusals are forgotten. Shares recover
within 2 s after the last refusal, of which the way to the entries takes part."""

IGNORED_REFUSALS = 1.0
CERTAIN_REFUSALS = 4.0
"""Refusals within ``MEMORY_S`` that change nothing, and from which on their part
counts in full."""

MIN_FINISHED_PART = 0.5
"""If fewer requests than this part finish, the admitted share falls in
proportion. While most finish, refusing some would only lose them."""

TOLERATED_PART = 1 / 6
"""Part of refusals that the retries allowed make up for."""

TRIAL_PHASE_S = 1.0
"""Duration of each phase of a trial. It is longer than the way of a share to the
entries and of their calls to the target."""

MIN_TRIAL_SHARE = 0.5
"""A trial cuts the share to the part that was accepted. If the target lacks room
it then refuses none, and otherwise no more than needed is lost."""

MAX_CUT = 0.9
"""If more than this part of the former calls comes after the cut, for instance
since the load rose, nothing can be concluded and the cut counts as in vain."""

MIN_TRIAL_PAUSE_S = 5.0
MAX_TRIAL_PAUSE_S = 60.0
"""Time after a trial in vain until the next, doubled each time."""

MIN_FITTING_SHARE = 0.05
PROBING_RISE_PER_S = 1.2
QUIET_PART = 0.08
QUIET_RISE_PER_S = 4.0
"""Factors by which a share that fits rises each second: slowly while some calls
are refused, because the share is near its limit then, and quickly once less than
``QUIET_PART`` is. From a quarter it reaches all calls in 1 s."""

TRUNCATION_FACTOR = 0.5
"""Calls that are made at once are not cut short by a refusal among them, which
``finished_part`` cannot know. They finish at least this part of q^m."""


class TargetRefusals:
    """Decaying counts of the answers and refusals of one target.

    ``totals`` counts refusals and all responses without decay.
    """

    def __init__(self) -> None:
        """Start without counts."""
        self.refused: float = 0
        self.answered: float = 0
        self.totals = (0, 0)

    def record(self, *, is_refused: bool) -> None:
        """Count a response of the target."""
        if is_refused:
            self.refused += 1
        else:
            self.answered += 1
        refused, responses = self.totals
        self.totals = (refused + is_refused, responses + 1)

    def decay(self, elapsed_s: float) -> None:
        """Forget a part of the counts after ``elapsed_s``."""
        factor = math.exp(-elapsed_s / MEMORY_S)
        self.refused *= factor
        self.answered *= factor

    @property
    def refused_part(self) -> float:
        """Part of arrivals that the target refuses, 0 for a few refusals."""
        certainty = (self.refused - IGNORED_REFUSALS) / (
            CERTAIN_REFUSALS - IGNORED_REFUSALS
        )
        if certainty <= 0:
            return 0
        part = self.refused / (self.refused + self.answered)
        return part * min(1, certainty)


class TrialPhase(enum.Enum):
    """What a ``FittingShare`` does.

    ``IDLE``: the target does not refuse, or the last trial was in vain.
    ``OBSERVING``: measures the part that is refused without a cut. ``CUTTING``:
    has lowered the share, and waits for the effect. ``MEASURING``: measures
    again. ``FOLLOWING``: the cut helped, so the share follows the refusals.
    """

    IDLE = enum.auto()
    OBSERVING = enum.auto()
    CUTTING = enum.auto()
    MEASURING = enum.auto()
    FOLLOWING = enum.auto()


CUT_PHASES = frozenset((TrialPhase.CUTTING, TrialPhase.MEASURING))


class FittingShare:
    """Share of the offered load of which a target refuses little.

    A target may refuse calls for lack of room that its slots do not show. Then
    fewer calls lead to fewer refusals, and a share can be found that fits. Or
    it refuses whatever comes; then a cut only loses calls. A trial tells which:
    the share is cut, and restored if the refused part has hardly fallen.
    """

    def __init__(self, refusals: TargetRefusals) -> None:
        """Start with all calls admitted."""
        self.refusals = refusals
        self.share: float = 1
        self.phase = TrialPhase.IDLE
        self.phase_ends_at: float = 0
        self.pause_s = MIN_TRIAL_PAUSE_S
        self.totals_at_begin = (0, 0)
        self.before_cut = (0, 0)

    def update(self, elapsed_s: float, now: float) -> None:
        """Adapt the share to the refusals of the last ``elapsed_s``."""
        refused_part = self.refusals.refused_part
        is_refusing = refused_part > TOLERATED_PART
        if self.phase in CUT_PHASES and not is_refusing:
            # The cut has helped, or the refusals have ended.
            self.begin(TrialPhase.FOLLOWING, now)
        if self.phase is TrialPhase.FOLLOWING:
            self.follow(refused_part, elapsed_s, now)
        elif self.phase is TrialPhase.IDLE:
            if is_refusing and now >= self.phase_ends_at:
                self.begin(TrialPhase.OBSERVING, now)
        elif now >= self.phase_ends_at:
            self.end_phase(is_refusing, now)

    def begin(self, phase: TrialPhase, now: float) -> None:
        """Begin a phase of a trial."""
        self.phase = phase
        self.phase_ends_at = now + TRIAL_PHASE_S
        self.totals_at_begin = self.refusals.totals

    def end_phase(self, is_refusing: bool, now: float) -> None:
        """End a phase of a trial, and begin the next."""
        if self.phase is TrialPhase.CUTTING:
            self.begin(TrialPhase.MEASURING, now)
        elif self.phase is TrialPhase.MEASURING:
            if has_cut_helped(self.before_cut, self.count_phase()):
                self.begin(TrialPhase.FOLLOWING, now)
            else:
                self.abandon(now)
        elif is_refusing:
            self.before_cut = self.count_phase()
            refused, responses = self.before_cut
            self.share = max(MIN_TRIAL_SHARE, 1 - refused / max(1, responses))
            self.begin(TrialPhase.CUTTING, now)
        else:
            self.phase = TrialPhase.IDLE

    def count_phase(self) -> tuple[int, int]:
        """Return the refusals and all responses since the phase began."""
        refused, responses = self.refusals.totals
        refused_at_begin, responses_at_begin = self.totals_at_begin
        return refused - refused_at_begin, responses - responses_at_begin

    def abandon(self, now: float) -> None:
        """Restore the share after a cut in vain; wait longer each time."""
        self.share = 1
        self.phase = TrialPhase.IDLE
        self.phase_ends_at = now + self.pause_s
        self.pause_s = min(MAX_TRIAL_PAUSE_S, self.pause_s * 2)

    def follow(self, refused_part: float, elapsed_s: float, now: float) -> None:
        """Lower the share while calls are refused, else raise it."""
        if refused_part > TOLERATED_PART:
            accepted = (1 - refused_part) / (1 - TOLERATED_PART)
            self.share *= math.pow(
                max(MIN_FITTING_SHARE, accepted), elapsed_s / MEMORY_S
            )
            if self.share < MIN_FITTING_SHARE:
                self.abandon(now)
            return
        is_quiet = refused_part < QUIET_PART
        rise = QUIET_RISE_PER_S if is_quiet else PROBING_RISE_PER_S
        self.share *= math.pow(rise, elapsed_s)
        if self.share >= 1:
            self.share = 1
            self.phase = TrialPhase.IDLE
            self.phase_ends_at = now
            self.pause_s = MIN_TRIAL_PAUSE_S


def has_cut_helped(before: tuple[int, int], after: tuple[int, int]) -> bool:
    """Tell whether refusals depend on the load, from two phases.

    Both have the refusals and all responses of equally long phases. A target
    that lacks room accepts as many calls as before the cut; another one refuses
    the same part. The nearer of the two is taken for true.
    """
    refused_before, responses_before = before
    refused_after, responses_after = after
    if not responses_after or responses_after > responses_before * MAX_CUT:
        return False
    part_before = refused_before / responses_before
    accepted_before = responses_before - refused_before
    part_without_room = max(0, 1 - accepted_before / responses_after)
    limit = (part_before + part_without_room) / 2
    return refused_after / responses_after < limit


def finished_part(accepted: float, calls: float) -> float:
    """Return the part of requests of which all calls succeed.

    ``accepted`` is the part of calls that targets accept, without retries, and
    ``calls`` the mean number of calls that a request makes. No call follows
    a refused one, so ``calls`` is less than the n of a request that finishes:
    m = (1 - q^n) / (1 - q) for calls in a row, and hence q^n = 1 - m (1 - q).
    """
    succeeding = accepted * (1 + min(1 - accepted, MAX_EXTRA_ARRIVALS))
    in_a_row = 1 - calls * (1 - succeeding)
    return max(in_a_row, math.pow(succeeding, calls) * TRUNCATION_FACTOR)


def share_to_finish(accepted: float, calls: float) -> float:
    """Return the share of requests to admit, given what can be finished."""
    return min(1, finished_part(accepted, calls) / MIN_FINISHED_PART)
