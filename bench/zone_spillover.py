"""Spillover between zones: a simulation of the loop, and cost of the decision.

``python -m bench.zone_spillover`` prints for several sites how long calls wait
and how many leave their zone with each way of choosing targets, and then the
time of one decision at 10, 100 and 1,000 candidates.
"""

import collections
import dataclasses
import enum
import itertools
import math
import random
import statistics
import sys
import timeit
from collections.abc import Sequence
from functools import partial

from bench.policy_clock import SimulatedClock
from ebonycleat.internal.process.backpressure import GateBackpressure
from ebonycleat.internal.process.entry_backpressure import ReportedShares
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.router import (
    PlacementRequest,
    Router,
    create_router,
)
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import Call, Priority

SERVICE = 'map'
SLOTS = 8
SERVICE_S = 0.08
SLOWEST = 2.5
ZONE_DELAY_S = 0.002
REPORT_DELAY_S = 0.15
"""Loads reach the entries this much after the answers that carried them."""

SWING_S = 17
DURATION_S = 3 * SWING_S
DEADLINE_S = 2
OBJECTIVE_S = 0.4
SAMPLE_S = 0.25
LOAD = 0.8
CANDIDATE_COUNTS = (10, 100, 1000)


class Choice(enum.Enum):
    """How entries choose targets."""

    STAY = 'stay in the zone'
    MARKS = 'fixed marks'
    SPILLOVER = 'spillover'


@dataclasses.dataclass(frozen=True, slots=True)
class SiteShape:
    """A simulated site.

    ``swing`` is the amplitude of the zones' demand, and ``skew`` by how much
    the mean demand of the first zone exceeds that of all zones. ``refuses``
    tells whether entries refuse calls as gates ask them to.
    """

    zones: int
    targets_per_zone: int
    swing: float
    skew: float = 0
    refuses: bool = True


@dataclasses.dataclass(slots=True)
class QueuedTarget:
    """A target with slots and a queue in order of arrival."""

    run_s: float
    backpressure: GateBackpressure
    refuses: bool
    running: int = 0
    queue: collections.deque['SimulatedCall'] = dataclasses.field(
        default_factory=collections.deque
    )

    def measure_load(self) -> GateLoad:
        """Return the load that answers carry."""
        shares = None
        if self.refuses:
            shares = self.backpressure.published_shares(SERVICE)
        return GateLoad(
            len(self.queue),
            self.running,
            SLOTS,
            self.run_s,
            1280,
            draining=False,
            shares=tuple(filter(None, [shares])),
            service_s=self.run_s,
        )

    def change_running(self, change: int, now: float) -> None:
        """Count a call that starts (1) or ends (-1)."""
        self.running += change
        self.backpressure.direct.change_running(change, now)
        if change < 0:
            self.backpressure.direct.record_served(self.run_s)
        if self.backpressure.is_update_due(now):
            self.backpressure.update(len(self.queue), 0, SLOTS, now)


@dataclasses.dataclass(frozen=True, slots=True)
class SimulatedCall:
    """A call on its way; ``entry`` is the node that sent it."""

    entry: str
    member: Member
    sent_at: float


class SpilloverSite:
    """Zones whose nodes are entries with a target each.

    ``waits`` are the seconds from the sending of a call to its start, and
    ``late_calls`` those that ended after their objective.
    ``flows`` counts the calls by time, zone of the entry and of the target.
    """

    def __init__(self, shape: SiteShape, choice: Choice, seed: int) -> None:
        """Create the nodes; speeds differ between and within zones."""
        self.shape = shape
        self.choice = choice
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.targets: dict[str, QueuedTarget] = {}
        self.members: list[Member] = []
        self.routers: dict[str, Router] = {}
        count = shape.zones * shape.targets_per_zone
        for number in range(count):
            zone = 'abcdef'[number % shape.zones]
            node = f'{zone}{number}'
            slowness = 1 + (SLOWEST - 1) * number / (count - 1)
            self.targets[node] = QueuedTarget(
                SERVICE_S * slowness, GateBackpressure(0), shape.refuses
            )
            self.members.append(Member(node, zone, service=SERVICE))
            self.routers[node] = create_router(
                zone, node, random.Random(seed + number)
            )
        self.waits: list[float] = []
        self.late_calls = 0
        self.arrived = 0
        self.refused = 0
        self.shares: dict[str, ReportedShares] = {}
        self.credits: dict[str, float] = collections.defaultdict(float)
        self.flows: collections.Counter[tuple[int, str, str]] = (
            collections.Counter()
        )
        self.fractions: list[dict[str, float]] = []

    def run(self, end: float) -> None:
        """Simulate ``end`` seconds."""
        for member in self.members:
            self.clock.after(
                self.rng.random() / 10, partial(self.arrive, member)
            )
        self.sample()
        self.clock.run_until(end)

    def rate_of(self, member: Member) -> float:
        """Return the calls a second that arrive at an entry now."""
        capacity = sum(SLOTS / target.run_s for target in self.targets.values())
        zone_number = ord(member.zone) - ord('a')
        turn = self.clock.now / SWING_S + zone_number / self.shape.zones
        swing = 1 + self.shape.swing * math.sin(2 * math.pi * turn)
        skew = self.shape.skew
        if zone_number:
            skew /= 1 - self.shape.zones
        return LOAD * capacity * swing * (1 + skew) / len(self.members)

    def arrive(self, entry: Member) -> None:
        """Send one call from an entry, and schedule the next one."""
        now = self.clock.now
        next_s = self.rng.expovariate(self.rate_of(entry))
        self.clock.after(next_s, partial(self.arrive, entry))
        self.arrived += 1
        if self.is_refused(entry.node):
            self.refused += 1
            return
        router = self.routers[entry.node]
        members = self.members
        if self.choice is Choice.STAY:
            members = [near for near in members if near.zone == entry.zone]
        has_objective = self.choice is Choice.SPILLOVER
        call = create_call(now, OBJECTIVE_S if has_objective else math.inf)
        chosen = router.choose(PlacementRequest(call, members), now)
        if not isinstance(chosen, Member):
            return
        router.record_sent(chosen, now)
        self.flows[int(now), entry.zone, chosen.zone] += 1
        delay_s = 0 if chosen.zone == entry.zone else ZONE_DELAY_S
        sent = SimulatedCall(entry.node, chosen, now)
        self.clock.after(delay_s, partial(self.queue_call, sent))

    def is_refused(self, entry: str) -> bool:
        """Tell whether the entry refuses a call, by the shares of gates."""
        shares = self.shares.get(entry)
        if shares is None:
            return False
        credit = (
            self.credits[entry] + shares.current('', 1, self.clock.now).direct
        )
        self.credits[entry] = credit - (credit >= 1)
        return credit < 1

    def queue_call(self, sent: SimulatedCall) -> None:
        """Queue a call at its target."""
        target = self.targets[sent.member.node]
        target.queue.append(sent)
        self.start_calls(target)

    def start_calls(self, target: QueuedTarget) -> None:
        """Start calls while slots are free."""
        while target.queue and target.running < SLOTS:
            sent = target.queue.popleft()
            target.change_running(1, self.clock.now)
            self.waits.append(self.clock.now - sent.sent_at)
            run_s = target.run_s * self.rng.uniform(0.5, 1.5)
            self.clock.after(run_s, partial(self.end_call, sent))

    def end_call(self, sent: SimulatedCall) -> None:
        """Free the slot, and send the answer with the load."""
        target = self.targets[sent.member.node]
        target.change_running(-1, self.clock.now)
        self.late_calls += self.clock.now - sent.sent_at > OBJECTIVE_S
        self.start_calls(target)
        load = target.measure_load()
        self.clock.after(REPORT_DELAY_S, partial(self.report, sent, load))

    def report(self, sent: SimulatedCall, load: GateLoad) -> None:
        """Record an answer at the entry."""
        now = self.clock.now
        latency_s = now - sent.sent_at
        self.routers[sent.entry].record_answer(
            sent.member, load, latency_s, now
        )
        if not load.shares and sent.entry in self.shares:
            self.shares[sent.entry].add_unlimited_sample()
        for reported in load.shares:
            shares = self.shares.setdefault(
                sent.entry,
                ReportedShares(reported.direct, reported.called, now),
            )
            shares.add_sample(reported, '', now)

    def sample(self) -> None:
        """Record the mean fraction of each zone's entries."""
        by_zone: dict[str, list[float]] = {}
        for member in self.members:
            table = self.routers[member.node].spillover.by_service
            fraction = (
                table[SERVICE].decision.fraction if SERVICE in table else 0
            )
            by_zone.setdefault(member.zone, []).append(fraction)
        self.fractions.append({
            zone: statistics.fmean(fractions)
            for zone, fractions in by_zone.items()
        })
        self.clock.after(SAMPLE_S, self.sample)

    def share_leaving(self) -> float:
        """Return the share of all calls that left their zone."""
        left = sum(
            count
            for (_, origin, zone), count in self.flows.items()
            if origin != zone
        )
        return left / max(1, self.flows.total())

    def share_exchanged(self, since_s: int) -> float:
        """Return the share of calls that zones sent each other both ways.

        Flows of one second count as at the same time.
        """
        exchanged = sum(
            min(count, self.flows[second, zone, origin])
            for (second, origin, zone), count in tuple(self.flows.items())
            if origin != zone and second >= since_s
        )
        return exchanged / max(1, self.flows.total())


def create_call(now: float, objective_s: float) -> Call:
    """Create a call that arrives now."""
    return Call(
        call_id='',
        root_id='',
        team='',
        route='',
        service=SERVICE,
        priority=Priority.NORMAL,
        idempotent=True,
        deadline=now + DEADLINE_S,
        method='GET',
        path='/',
        objective=now + objective_s,
    )


def run_site(
    shape: SiteShape, choice: Choice, seed: int, end: float
) -> SpilloverSite:
    """Simulate a site for ``end`` seconds."""
    site = SpilloverSite(shape, choice, seed)
    site.run(end)
    return site


def time_decision(candidates: int) -> float:
    """Return the microseconds of one decision over so many candidates."""
    members = [
        Member(f'{zone}{number}', zone, service=SERVICE)
        for number in range(candidates // 2)
        for zone in 'ab'
    ]
    router = create_router('a', '', random.Random(1))
    spillover = router.spillover.create(create_call(0, OBJECTIVE_S), 0)
    load = GateLoad(4, 8, SLOTS, SERVICE_S, 1280, draining=False, pace=2)
    for member in members:
        router.record_refusal(member, load, 0)
    spillover.update('a', members, 0)
    rounds = 2000
    # Within one second, in which the targets are not counted again.
    passed_s = timeit.timeit(
        lambda: spillover.update('a', members, 0.5), number=rounds
    )
    return passed_s / rounds * 1_000_000


def describe_runs(
    shape: SiteShape, choice: Choice, seeds: Sequence[int]
) -> str:
    """Simulate a site with several seeds; return one line of figures."""
    sites = [run_site(shape, choice, seed, DURATION_S) for seed in seeds]
    waits = sorted(itertools.chain.from_iterable(site.waits for site in sites))
    arrived = sum(site.arrived for site in sites)
    late = sum(site.late_calls for site in sites) / arrived
    refused = sum(site.refused for site in sites) / arrived
    leaving = statistics.fmean(site.share_leaving() for site in sites)
    exchanged = statistics.fmean(
        site.share_exchanged(SWING_S) for site in sites
    )
    return (
        f'{shape.zones} zones x {shape.targets_per_zone}, swing {shape.swing}, '
        f'skew {shape.skew}, '
        f'{"with" if shape.refuses else "no"} refusals, {choice.value}: late {late:.3f}, '
        f'refused {refused:.3f}, '
        f'wait mean {statistics.fmean(waits) * 1000:.0f} ms, '
        f'p95 {waits[len(waits) * 95 // 100] * 1000:.0f} ms, '
        f'leaving {leaving:.3f}, both ways {exchanged:.4f}'
    )


def list_shapes() -> list[SiteShape]:
    """Return the sites to simulate."""
    demands = ((0, 0), (0.5, 0), (0, 0.5))
    return [
        SiteShape(zones, targets, *demand, refuses)
        for refuses, zones, targets, demand in itertools.product(
            (False, True), (2, 3), (1, 5), demands
        )
    ]


def main(seeds: Sequence[int]) -> None:
    """Print the figures."""
    out = sys.stdout
    for shape, choice in itertools.product(list_shapes(), Choice):
        out.write(f'{describe_runs(shape, choice, seeds)}\n')
    for candidates in CANDIDATE_COUNTS:
        decision_us = time_decision(candidates)
        out.write(f'{candidates} candidates: {decision_us:.0f} us\n')


if __name__ == '__main__':
    main((1, 2))
