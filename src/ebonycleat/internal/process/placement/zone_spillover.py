"""Decides which fraction of a service's calls leaves the zone of an entry.

The decision is a feedback loop on the wait in the entry's own zone. Nothing is
asked of other nodes: the inputs are the loads that came with answers. Each
entry decides for itself, and all entries of a zone see nearly the same loads,
so their fractions agree.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from ebonycleat.internal.process.backpressure import (
    BACKLOG_DRAIN_S,
    DESIRED_UTILISATION,
    MIN_SHARE,
    UNLIMITED_SHARE,
)
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.placement.expected_delay import (
    REPORTED_LOAD_VALID_S,
)
from ebonycleat.internal.process.placement.target_pace import decay_pace
from ebonycleat.internal.process.target_stats import ReportedLoad

SMOOTHING_S = 1.0
"""Time constant of the fraction and of its division among zones. Reports are
up to some hundred milliseconds old; a loop as fast as that would oscillate."""

DRAIN_S = 1.5
"""A backlog beyond the one to keep is sent away within about this time. With
3 s, 1 to 5% more of all calls missed their objective in the simulation."""

LOAD_SMOOTHING_S = 0.5
"""Time constant of the loads of zones. Single reports vary by several calls;
the fraction follows the smaller of two figures, which such noise would lower
on average."""

MAX_STEP_S = 0.5
"""Longest step of the loop. After a longer pause the last wait is outdated."""

ROUND_TRIP_S = 0.005
"""Allowance for the round trip to another zone. It is a constant because the
smallest observed latencies mix routes of 15 ms and of 480 ms and targets of
unequal speed: their difference says little about the network."""

MARGIN_S = 0.01
"""Delay that leaving must save beyond the round trip, as calls between zones
cost money."""

OBJECTIVE_SHARE = 0.25
"""Part of the time between service time and objective that calls may wait on
average before some leave. With 0.5, 1 to 3% more of all calls missed their
objective in the simulation, and up to a fifth fewer left."""

HOLD_SHARE = 0.5
"""While calls leave, the wait is held at this part of the wait at which
leaving begins. The distance between both is the hysteresis around zero."""

RESERVED_SHARE = 0.1
"""Part of another zone's slots that is not counted as available, for changes
of its own demand while reports are on their way."""

RESERVED_FROM_REFUSED_SHARE = 0.05
"""The same for calls that entries of the own zone would refuse. With 0.1, up to
2.5% more of all calls were lost in the simulation."""

FULL_SHARE = 0.85
"""The own zone counts as full from this part of its slots on. Holding all slots
in use would need a long queue, as arrivals vary."""

BEGIN_SHARE = 1.1
"""Calls that entries refuse begin to leave from this offered share on, and the
less the own zone exceeds it, the more slots must be free in others. Gates ask
for refusals from ``DESIRED_UTILISATION`` on, which random arrivals reach now
and then at 0.8. With 0.92, three zones with equal demand exchanged 23% instead
of 1% of their calls in the simulation, and as many were lost."""

EASE_PER_S = 0.03
"""Fall of the fraction while the zone is full and calls wait less than they
may. Gates ask entries to refuse calls only a little above this load."""

MIN_USED_SHARE = 0.05
"""Bound of the used part of the own zone's slots in divisions."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Load of one zone's targets of one service, from recent reports.

    ``targets`` counts all targets, ``reported`` those with a recent report.
    ``demand`` is the number of calls at the targets, ``capacity`` their slots,
    and ``rate_per_s`` how many calls they finish a second when all slots are
    used; the three are extrapolated to the targets without a report. They are
    0 without any report. ``age_s`` is the age of the oldest report.
    ``admitted`` is the share of calls that the gates ask entries to admit.
    """

    zone: str
    targets: int
    reported: int = 0
    demand: float = 0
    capacity: float = 0
    rate_per_s: float = 0
    age_s: float = 0
    admitted: float = 1

    @property
    def is_known(self) -> bool:
        """Whether a target with slots has a recent report."""
        return self.rate_per_s > 0

    @property
    def service_s(self) -> float:
        """Mean time of a call at a target, without waiting."""
        return self.capacity / self.rate_per_s

    @property
    def wait_s(self) -> float:
        """Expected wait of a new call."""
        return max(0, self.demand - self.capacity) / self.rate_per_s

    @property
    def used_share(self) -> float:
        """Part of the slots that calls occupy, at most 1."""
        return min(1, self.demand / self.capacity)

    @property
    def offered_share(self) -> float:
        """Slots that all calls need, also refused ones, as a share of all.

        It is measured as gates do (``GateBackpressure``).
        """
        backlog_share = self.wait_s / BACKLOG_DRAIN_S
        return (self.used_share + backlog_share) / self.admitted

    @property
    def free_per_s(self) -> float:
        """Calls a second beyond the present ones; negative with a backlog."""
        # What a zone refuses to its own callers is no room for others.
        used = self.used_share / self.admitted
        free = 1 - RESERVED_SHARE - used - self.wait_s / DRAIN_S
        return free * self.rate_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Spillover:
    """Decision for one service at one time.

    ``fraction`` of the calls leaves the zone. ``shares`` divides them among
    the zones that may get any. ``free`` has the smoothed ``free_per_s`` of
    zones. ``wait_s`` is the
    wait in the own zone, and ``begin_s`` the one at which calls begin to
    leave.
    """

    fraction: float = 0
    shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    free: Mapping[str, float] = dataclasses.field(default_factory=dict)
    wait_s: float = 0
    begin_s: float = 0
    offered_share: float = 0
    is_refusing: bool = False

    @property
    def excess_share(self) -> float:
        """Part of the calls that gates ask entries to refuse.

        Gates do so from ``DESIRED_UTILISATION`` on. A refused call misses its
        objective, so calls leave instead where others have free slots.
        """
        if not self.is_refusing:
            return 0
        return 1 - DESIRED_UTILISATION / max(
            DESIRED_UTILISATION, self.offered_share
        )

    @property
    def avoids_refusals(self) -> bool:
        """Whether calls leave, or begin to, because entries refuse them.

        Once calls leave, the fraction falls with the offered load and not at
        once when it is below ``BEGIN_SHARE``.
        """
        return self.is_refusing and (
            self.fraction > 0 or self.offered_share > BEGIN_SHARE
        )

    @property
    def is_short(self) -> bool:
        """Whether calls in the own zone wait or are refused too much."""
        is_waiting = 0 < self.begin_s < self.wait_s
        return is_waiting or (
            self.is_refusing and self.offered_share > BEGIN_SHARE
        )

    @property
    def needs_other_zones(self) -> bool:
        """Whether the loads of other zones matter now."""
        return self.fraction > 0 or self.is_short


def sum_zone_load(
    zone: str,
    service: str,
    targets: int,
    reports: Iterable[ReportedLoad],
    now: float,
) -> ZoneLoad:
    """Sum the recent ``reports`` of a zone that has so many ``targets``."""
    recent = [
        report
        for report in reports
        if now - report.received_at <= REPORTED_LOAD_VALID_S
    ]
    serving = [report for report in recent if report.load.limit]
    rate_per_s = sum_rates(serving, now)
    if not rate_per_s:
        return ZoneLoad(zone, targets, len(recent))
    calls = sum(
        report.load.queued + report.load.running + report.sent_since
        for report in serving
    )
    scale = max(1, targets / len(recent))
    return ZoneLoad(
        zone,
        targets,
        len(recent),
        calls * scale,
        sum(report.load.limit for report in serving) * scale,
        rate_per_s * scale,
        now - min(report.received_at for report in recent),
        sum(admitted_share(report.load, service) for report in serving)
        / len(serving),
    )


def admitted_share(load: GateLoad, service: str) -> float:
    """Return the share of calls that a gate asks entries to admit."""
    if not load.shares or load.shares[0].service != service:
        return 1
    return max(MIN_SHARE, min(load.shares[0].direct, load.shares[0].called))


def sum_rates(serving: Sequence[ReportedLoad], now: float) -> float:
    """Return how many calls these targets finish a second with all slots.

    Targets whose service time is not known count like the others.
    """
    capacity = 0
    timed_capacity = 0
    rate_per_s: float = 0
    for report in serving:
        limit = report.load.limit
        capacity += limit
        run_s = expected_run_s(report.load, now - report.received_at)
        if run_s:
            timed_capacity += limit
            rate_per_s += limit / run_s
    return rate_per_s * capacity / max(1, timed_capacity)


def expected_run_s(load: GateLoad, age_s: float) -> float:
    """Return how long a call runs at a target now, 0 if it is not known.

    The reported pace decays to 1 with the age of the report. Nodes of an older
    version report no service time, only one with the queue's delay.
    """
    service_s = load.service_s
    if not service_s:
        service_s = load.latency_s / (1 + load.queued / load.limit)
    return service_s * decay_pace(load.pace, age_s)


def decide_spillover(
    previous: Spillover,
    own: ZoneLoad,
    others: Sequence[ZoneLoad],
    objective_s: float,
    elapsed_s: float,
) -> Spillover:
    """Decide anew, ``elapsed_s`` after the decision before.

    Calls should be answered within ``objective_s``. Zones without a recent
    report get nothing.
    """
    known = [other for other in others if other.is_known]
    free = smooth_free(previous, known, elapsed_s)
    step = min(elapsed_s, MAX_STEP_S) / SMOOTHING_S
    if not own.targets:
        return Spillover(1, move_shares(previous, known, free, step), free)
    if not own.is_known:
        # Without a report of the own zone nothing says that calls must leave.
        fraction = previous.fraction * (1 - step)
        return Spillover(fraction, previous.shares, free)
    present = Spillover(
        previous.fraction,
        previous.shares,
        free,
        own.wait_s,
        wait_to_begin(own, known, objective_s),
        smooth(previous.offered_share, own.offered_share, elapsed_s),
        own.admitted < UNLIMITED_SHARE
        or (previous.is_refusing and previous.fraction > 0),
    )
    room = find_room(present, own, known, objective_s)
    fraction = previous.fraction
    if not known:
        fraction *= 1 - step
    elif fraction or (present.is_short and max(room.values(), default=0) > 0):
        change = min(
            own_change(present, own, previous.wait_s, elapsed_s),
            room_change(present, own, known, room) * step,
        )
        fraction = min(1, max(0, fraction + change))
    shares = move_shares(previous, known, room, step)
    return dataclasses.replace(present, fraction=fraction, shares=shares)


def smooth_free(
    previous: Spillover, known: Sequence[ZoneLoad], elapsed_s: float
) -> Mapping[str, float]:
    """Move the free capacity of each zone towards the reported one."""
    return {
        other.zone: smooth(
            previous.free.get(other.zone, other.free_per_s),
            other.free_per_s,
            elapsed_s,
        )
        for other in known
    }


def smooth(before: float, reported: float, elapsed_s: float) -> float:
    """Move a moving mean towards a reported figure."""
    return before + (reported - before) * min(1, elapsed_s / LOAD_SMOOTHING_S)


def find_room(
    present: Spillover,
    own: ZoneLoad,
    known: Sequence[ZoneLoad],
    objective_s: float,
) -> Mapping[str, float]:
    """Return the calls a second that each zone may get for which that pays.

    The figure is negative for a zone that gets too many calls already.

    A zone whose calls wait less than the ones here has room for the
    difference even if its slots are in use, as long as its calls keep their
    objective. Calls that would be refused here get free slots only. Two zones
    never have room for each other: neither while both are full, nor for
    waits, as only one of them can wait less.
    """
    room: dict[str, float] = {}
    withheld: float = 0
    if present.is_refusing:
        # The nearer the own zone is to having free slots itself, the more must
        # others have, lest zones that are equally full send to each other.
        withheld = max(0, BEGIN_SHARE - present.offered_share)
        withheld += RESERVED_FROM_REFUSED_SHARE - RESERVED_SHARE
    for other in known:
        saved_s = own.wait_s - leaving_cost_s(own, other)
        slack_s = max(0, objective_s - other.service_s)
        if saved_s > 0 or (slack_s and present.avoids_refusals):
            shifted = max(0, min(saved_s, slack_s)) / DRAIN_S
            more = (shifted - withheld) * other.rate_per_s
            room[other.zone] = present.free[other.zone] + more
    return room


def leaving_cost_s(own: ZoneLoad, other: ZoneLoad) -> float:
    """Return the delay that must be saved for leaving to pay.

    That the other zone's targets are faster is no reason to leave while the
    own ones are free, but that they are slower is one to stay.
    """
    slower_s = max(0, other.service_s - own.service_s)
    return ROUND_TRIP_S + MARGIN_S + slower_s


def wait_to_begin(
    own: ZoneLoad, known: Sequence[ZoneLoad], objective_s: float
) -> float:
    """Return the wait in the own zone at which calls begin to leave."""
    least_cost_s = min(
        (leaving_cost_s(own, other) for other in known),
        default=ROUND_TRIP_S + MARGIN_S,
    )
    slack_s = max(0, objective_s - own.service_s)
    # The wait that is held must itself exceed the cost.
    return max(OBJECTIVE_SHARE * slack_s, least_cost_s / HOLD_SHARE)


def own_change(
    present: Spillover, own: ZoneLoad, wait_before_s: float, elapsed_s: float
) -> float:
    """Return the change of the fraction that the own zone asks for.

    The growth of the wait tells by how much arrivals exceed the capacity,
    and free slots by how much they fall short of it. While entries refuse
    calls, the offered load tells both.
    """
    is_recent = elapsed_s <= MAX_STEP_S
    elapsed_s = min(elapsed_s, MAX_STEP_S)
    kept = max(MIN_USED_SHARE, 1 - present.fraction)
    hold_s = present.begin_s * HOLD_SHARE
    excess = (own.wait_s - hold_s) / DRAIN_S
    if present.is_refusing:
        # The growth of the wait would count twice. Slots that are free because
        # entries refuse calls are not spare.
        grown_s: float = 0
        used = max(own.used_share, present.offered_share)
        excess = max(excess, present.excess_share or -EASE_PER_S)
    else:
        grown_s = own.wait_s - wait_before_s if is_recent else 0
        used = own.used_share
    free = max(0, FULL_SHARE - used) / max(MIN_USED_SHARE, used)
    return kept * (grown_s + elapsed_s * (excess - free)) / SMOOTHING_S


def room_change(
    present: Spillover,
    own: ZoneLoad,
    known: Sequence[ZoneLoad],
    room: Mapping[str, float],
) -> float:
    """Return by how much the fraction may change for the room elsewhere.

    If leaving pays nowhere, the fraction falls to zero: in one time constant
    if calls would take as long elsewhere, else more slowly, as calls that
    arrive at random make a zone short for some hundred milliseconds at a time.
    Calls that would be refused here leave as far as others have free slots:
    if these are too few, the fraction falls by the calls that are too many.
    """
    total = sum(part for part in room.values() if part > 0)
    if total:
        return min(1, total / own.rate_per_s)
    if room and present.is_refusing:
        return max(-present.fraction, max(room.values()) / own.rate_per_s)
    least_s = min(other.wait_s + leaving_cost_s(own, other) for other in known)
    return -present.fraction * min(1, least_s / max(least_s, own.wait_s))


def move_shares(
    previous: Spillover,
    known: Sequence[ZoneLoad],
    room: Mapping[str, float],
    step: float,
) -> Mapping[str, float]:
    """Move the shares of zones towards their parts of the ``room``.

    If no zone has any, the last shares stay; without those, all capacity
    counts.
    """
    # Shares of the last time that calls left are outdated.
    before = previous.shares if previous.fraction else {}
    parts = {zone: part for zone, part in room.items() if part > 0}
    if not parts and before:
        zones = {other.zone for other in known}
        return {zone: before[zone] for zone in before if zone in zones}
    if not parts:
        parts = {other.zone: other.rate_per_s for other in known}
    total = sum(parts.values())
    if not before:
        return {zone: part / total for zone, part in parts.items()}
    moved: dict[str, float] = {}
    for other in known:
        share = before.get(other.zone, 0)
        share += (parts.get(other.zone, 0) / total - share) * step
        moved[other.zone] = share
    return moved
