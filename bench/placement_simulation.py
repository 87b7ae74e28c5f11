"""Simulates several entries that spread calls over targets of uneven speed.

The decisions are those of the real ``Router``; targets, gates and links are
simulated. Each gate has one queue in order of arrival, and each answer
carries the load of the gate at that moment.
"""

import collections
import dataclasses
import random
from collections.abc import Callable, Sequence

from bench.simulated_clock import SimulatedClock
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.placement.target_load import (
    TargetLoadTracker,
)
from ebonycleat.internal.process.router import Router
from ebonycleat.internal.process.target_stats_table import Member

SHORT_S = 0.015
LONG_S = 0.48
LONG_SHARE = 0.2
MEAN_SERVICE_S = SHORT_S * (1 - LONG_SHARE) + LONG_S * LONG_SHARE

HOP_S = 0.001
SLOTS = 8
ADMIT_ALL_LEVEL = 1280
WARM_UP_CALLS = 1000
"""Calls at the start that are not measured: the entries know no speeds yet."""

RouterFactory = Callable[[random.Random], Router]


@dataclasses.dataclass(slots=True)
class SimulatedCall:
    """One call; times are in seconds of the simulated clock."""

    number: int
    router: Router
    route: str
    service_s: float
    sent_at: float
    queued_at: float = 0


class SimulatedTarget:
    """A target of some speed and its gate; times divide by the speed."""

    def __init__(self, member: Member, speed: float) -> None:
        """Start idle."""
        self.member = member
        self.speed = speed
        self.waiting: collections.deque[SimulatedCall] = collections.deque()
        self.running = 0
        self.arrived = 0
        self.tracker = TargetLoadTracker()

    def load(self, route: str) -> GateLoad:
        """Return the load that goes with an answer on a route."""
        return GateLoad(
            len(self.waiting),
            self.running,
            SLOTS,
            0,
            ADMIT_ALL_LEVEL,
            draining=False,
            service_s=self.tracker.service_s(route),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementFigures:
    """Means over all measured calls in seconds, and shares of the targets."""

    mean_wait_s: float
    mean_latency_s: float
    shares: tuple[float, ...]


class PlacementSimulation:
    """Sends calls with random gaps through the routers of several entries."""

    def __init__(
        self,
        speeds: Sequence[float],
        create: RouterFactory,
        seed: int,
        entries: int = 4,
    ) -> None:
        """Create a target for each of ``speeds`` and ``entries`` routers."""
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.targets = {
            f'target-{number}': SimulatedTarget(
                Member(f'target-{number}', 'a', service='maps'), speed
            )
            for number, speed in enumerate(speeds)
        }
        self.members = [target.member for target in self.targets.values()]
        self.routers = [
            create(random.Random(seed + number)) for number in range(entries)
        ]
        self.waits: list[float] = []
        self.latencies: list[float] = []

    def run(self, calls: int, utilisation: float) -> PlacementFigures:
        """Send calls that use this part of the capacity of all targets."""
        capacity = sum(target.speed for target in self.targets.values())
        rate = utilisation * capacity * SLOTS / MEAN_SERVICE_S
        sent_at: float = 0
        for number in range(calls):
            sent_at += self.rng.expovariate(rate)
            self.clock.call_at(sent_at, self.send, number)
        self.clock.run_until(sent_at + 60)
        return PlacementFigures(
            sum(self.waits) / len(self.waits),
            sum(self.latencies) / len(self.latencies),
            tuple(target.arrived / calls for target in self.targets.values()),
        )

    def send(self, number: int) -> None:
        """Let the router of a random entry choose the target of a call."""
        rng = self.rng
        router = rng.choice(self.routers)
        is_long = rng.random() < LONG_SHARE
        route = 'long' if is_long else 'short'
        usual_s = LONG_S if is_long else SHORT_S
        service_s = usual_s * rng.uniform(0.5, 1.5)
        now = self.clock.now
        member = router.choose_of_two(self.members, now)
        router.record_sent(member, now)
        self.clock.call_later(
            HOP_S,
            self.arrive,
            self.targets[member.node],
            SimulatedCall(number, router, route, service_s, now),
        )

    def arrive(self, target: SimulatedTarget, call: SimulatedCall) -> None:
        """Queue a call at the gate of its target, or start it."""
        call.queued_at = self.clock.now
        target.arrived += 1
        target.waiting.append(call)
        if target.running < SLOTS:
            self.start(target)

    def start(self, target: SimulatedTarget) -> None:
        """Start the call that has waited longest."""
        call = target.waiting.popleft()
        target.running += 1
        if call.number >= WARM_UP_CALLS:
            self.waits.append(self.clock.now - call.queued_at)
        taken_s = call.service_s / target.speed
        self.clock.call_later(taken_s, self.end, target, call, taken_s)

    def end(
        self, target: SimulatedTarget, call: SimulatedCall, taken_s: float
    ) -> None:
        """Answer a call, and start the next one."""
        now = self.clock.now
        target.running -= 1
        target.tracker.record_run(call.route, taken_s, 1, now)
        if target.waiting:
            self.start(target)
        load = target.load(call.route)
        self.clock.call_later(HOP_S, self.record_answer, target, call, load)

    def record_answer(
        self, target: SimulatedTarget, call: SimulatedCall, load: GateLoad
    ) -> None:
        """Let the entry of a call learn from its answer."""
        now = self.clock.now
        latency_s = now - call.sent_at
        if call.number >= WARM_UP_CALLS:
            self.latencies.append(latency_s)
        call.router.record_answer(
            target.member, load, latency_s, now, call.route
        )
