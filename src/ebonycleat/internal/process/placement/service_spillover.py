"""Spillover of one entry: recent reports, stored decisions and credits.

A decision is made at most every ``UPDATE_S`` for each service, and only when a
call needs it. Calls use the stored fraction through a credit: each call adds
the fraction, and a call that leaves takes 1. A threshold would make all
entries of a zone switch at once.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable, Sequence

from ebonycleat.internal.process.placement.zone_spillover import (
    Spillover,
    ZoneLoad,
    decide_spillover,
    sum_zone_load,
)
from ebonycleat.internal.process.target_stats import TargetStats
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import Call

UPDATE_S = 0.1
COUNT_S = 1.0
"""Targets are counted by zone this often; it takes 60 µs for 1,000."""

TRIAL_S = 0.25
"""While the load of another zone is needed and its last report is older than
this, the zone gets a single call this often. A last report that told a zone
short would otherwise keep calls from it as long as it is valid."""

CALLS_PER_TRIAL = 25
"""At most one in so many calls is a trial, so that entries with few calls do
not send a large part of them away."""

MAX_REPORTS_PER_ZONE = 16
"""Reports of a zone that a decision sums, the most recent ones. They bound its
cost; the load of the zone is extrapolated from them."""

MAX_SERVICES = 1024
MAX_ZONES = 64
MAX_CREDIT = 2.0
OBJECTIVE_SMOOTHING_FACTOR = 0.05
OBJECTIVE_VALID_S = 60.0
"""A service without calls that have a latency objective is placed without
spillover after this time."""

OUTDATED_S = 3.0
"""A decision that no call has needed for this long is dropped: the demand that
it followed from has ended."""

CHANGE_TO_REPORT = 0.1
BEGIN_TO_REPORT = 0.02
"""Smaller fractions come and go with single reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class SpilloverChange:
    """Spillover of a service that began, ended or changed notably.

    ``fraction_before`` is the fraction last reported, ``objective_s`` the mean
    latency objective of the service's calls.
    """

    service: str
    fraction: float
    fraction_before: float
    own: ZoneLoad
    shares: dict[str, float]
    objective_s: float


SpilloverListener = Callable[[SpilloverChange], None]


class ServiceSpillover:
    """Spillover of one service at one entry.

    ``objective_s`` is the moving mean of the time that calls have until their
    objective. ``stats_by_zone`` has, by zone and node, the targets that
    answered last, in the order of their answers.
    """

    def __init__(self, service: str, objective_s: float, credit: float) -> None:
        """Start without a decision; ``credit`` differs between entries."""
        self.service = service
        self.objective_s = objective_s
        self.credit = credit
        self.objective_seen_at: float = 0
        self.updated_at: float | None = None
        self.counted_at: float | None = None
        self.targets_by_zone: dict[str, int] = {}
        self.stats_by_zone: dict[str, dict[str, TargetStats]] = {}
        self.trial_zones: list[str] = []
        self.trial_times: dict[str, float] = {}
        self.calls_since_trial = CALLS_PER_TRIAL
        self.decision = Spillover()
        self.own: ZoneLoad | None = None
        self.has_no_reports = True
        self.reported_fraction: float = 0

    def record_objective(self, left_s: float, now: float) -> None:
        """Record the time that a call has until its objective."""
        self.objective_seen_at = now
        self.objective_s += (
            max(0, left_s) - self.objective_s
        ) * OBJECTIVE_SMOOTHING_FACTOR

    def record_report(self, member: Member, stats: TargetStats) -> None:
        """Record that a target's load came with an answer."""
        recent = self.stats_by_zone.get(member.zone)
        if recent is None:
            if len(self.stats_by_zone) >= MAX_ZONES:
                return
            recent = {}
            self.stats_by_zone[member.zone] = recent
        recent.pop(member.node, None)
        recent[member.node] = stats
        if len(recent) > MAX_REPORTS_PER_ZONE:
            recent.pop(next(iter(recent)))

    def is_due(self, now: float) -> bool:
        """Tell whether the decision is outdated."""
        return self.updated_at is None or now - self.updated_at >= UPDATE_S

    def update(self, zone: str, members: Sequence[Member], now: float) -> None:
        """Decide anew for an entry in ``zone``; ``members`` may get calls."""
        if self.counted_at is None or now - self.counted_at >= COUNT_S:
            self.counted_at = now
            self.targets_by_zone = collections.Counter(
                member.zone for member in members
            )
        own = self.sum_zone(zone, now)
        others = [
            self.sum_zone(other, now)
            for other in self.targets_by_zone
            if other != zone
        ]
        elapsed_s = 0 if self.updated_at is None else now - self.updated_at
        if elapsed_s > OUTDATED_S:
            self.decision = Spillover()
        self.updated_at = now
        self.own = own
        self.decision = decide_spillover(
            self.decision, own, others, self.objective_s, elapsed_s
        )
        # Nothing is known then on which a choice could be based.
        self.has_no_reports = not own.is_known and not self.decision.shares
        self.plan_trials(others, now)

    def sum_zone(self, zone: str, now: float) -> ZoneLoad:
        """Sum the load of a zone from its most recent reports."""
        recent = self.stats_by_zone.get(zone, {})
        return sum_zone_load(
            zone,
            self.service,
            self.targets_by_zone.get(zone, 0),
            [stats.reported for stats in recent.values() if stats.reported],
            now,
        )

    def reported_at(self, zone: str) -> float:
        """Return when the last report of a zone came."""
        recent = self.stats_by_zone.get(zone)
        if not recent:
            return -math.inf
        stats = next(reversed(recent.values()))
        return stats.reported.received_at if stats.reported else -math.inf

    def plan_trials(self, others: Sequence[ZoneLoad], now: float) -> None:
        """Choose the zones that get a single call to learn their load."""
        self.trial_zones = []
        if not self.decision.needs_other_zones:
            return
        for other in others:
            tried_at = self.trial_times.get(other.zone)
            is_due = tried_at is None or now - tried_at >= TRIAL_S
            if is_due and now - self.reported_at(other.zone) >= TRIAL_S:
                self.trial_zones.append(other.zone)

    def take_trial(self, now: float) -> str | None:
        """Return a zone of ``trial_zones`` that gets this call as a trial.

        Returns None while trials would be too large a part of all calls.
        """
        self.calls_since_trial += 1
        if self.calls_since_trial < CALLS_PER_TRIAL:
            return None
        self.calls_since_trial = 0
        zone = self.trial_zones.pop()
        if len(self.trial_times) >= MAX_ZONES:
            self.trial_times.clear()
        self.trial_times[zone] = now
        return zone

    def take_leave(self) -> bool:
        """Add the fraction to the credit; take 1 if the call leaves."""
        self.credit = min(MAX_CREDIT, self.credit + self.decision.fraction)
        if self.credit < 1 or not self.decision.fraction:
            return False
        self.credit -= 1
        return True

    def fraction_at(self, now: float) -> float:
        """Return the fraction of calls that leaves the zone."""
        if self.updated_at is None or now - self.updated_at > OUTDATED_S:
            return 0
        return self.decision.fraction

    def is_notable(self) -> bool:
        """Tell whether the fraction differs notably from the reported one."""
        fraction = self.decision.fraction
        before = self.reported_fraction
        if not before:
            return fraction > BEGIN_TO_REPORT
        return not fraction or abs(fraction - before) > CHANGE_TO_REPORT


class SpilloverTable:
    """Spillover of all services whose calls have a latency objective.

    ``on_change`` gets each notable change. Unless it ``is_enabled``, all
    services are placed as by earlier versions.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Start without services, for an entry in ``zone``."""
        self.is_enabled = True
        self.zone = zone
        self.rng = rng
        self.by_service: dict[str, ServiceSpillover] = {}
        self.on_change: SpilloverListener = ignore_change

    def find(self, call: Call, now: float) -> ServiceSpillover | None:
        """Return the spillover of a call's service, None if it has none.

        Only services with a latency objective have one; others are placed as
        by earlier versions.
        """
        if not self.is_enabled:
            return None
        spillover = self.by_service.get(call.service)
        if call.objective < call.deadline:
            if spillover is None:
                spillover = self.create(call, now)
            spillover.record_objective(call.objective - now, now)
        elif spillover is not None:
            if now - spillover.objective_seen_at > OBJECTIVE_VALID_S:
                self.by_service.pop(call.service)
                return None
        return spillover

    def create(self, call: Call, now: float) -> ServiceSpillover:
        """Start the spillover of a service; the oldest may be dropped."""
        if len(self.by_service) >= MAX_SERVICES:
            self.by_service.pop(next(iter(self.by_service)))
        spillover = ServiceSpillover(
            call.service, max(0, call.objective - now), self.rng.random()
        )
        self.by_service[call.service] = spillover
        return spillover

    def record_report(self, member: Member, stats: TargetStats) -> None:
        """Record a report of a target, if its service has a spillover."""
        spillover = self.by_service.get(member.service)
        if spillover is not None:
            spillover.record_report(member, stats)

    def update(
        self,
        spillover: ServiceSpillover,
        members: Sequence[Member],
        now: float,
    ) -> None:
        """Decide anew for a service and report a notable change."""
        spillover.update(self.zone, members, now)
        if spillover.own is None or not spillover.is_notable():
            return
        decision = spillover.decision
        before = spillover.reported_fraction
        spillover.reported_fraction = decision.fraction
        self.on_change(
            SpilloverChange(
                spillover.service,
                decision.fraction,
                before,
                spillover.own,
                dict(decision.shares),
                spillover.objective_s,
            ),
        )


def ignore_change(change: SpilloverChange) -> None:
    """Do nothing: the default of ``on_change``."""
