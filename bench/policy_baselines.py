"""Baselines: no layer at all, and a fixed limit with a FIFO queue.

Both retry at each hop, balance at random, and know no deadline: a target
goes on with work whose caller has left.
"""

from collections import deque
from collections.abc import Callable
from functools import partial

from bench.policy_clock import Action
from bench.policy_targets import CallDownstream, RunCallback
from bench.policy_simulation import (
    SystemUnderTest,
    TargetPlacement,
    RootCallback,
    Simulation,
)

from ebonycleat.internal.process.run_outcome import RunResult
from ebonycleat.internal.request.call import Call

ATTEMPTS = 3
BACKOFF_S = 0.05


class FifoDoor:
    """Starts up to the slots, queues up to a bound, refuses the rest."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        """Start idle."""
        self.slots = slots
        self.queue_limit = queue_limit
        self.running = 0
        self.waiting: deque[Action] = deque()

    def enter(self, start: Action) -> bool:
        """Start or queue; false when full."""
        if self.running < self.slots:
            self.running += 1
            start()
            return True
        if len(self.waiting) >= self.queue_limit:
            return False
        self.waiting.append(start)
        return True

    def leave(self) -> None:
        """Free a slot for the next in line."""
        self.running -= 1
        if self.waiting:
            self.running += 1
            self.waiting.popleft()()


class BaselineHop:
    """Attempts of one call, each with the full timeout."""

    def __init__(
        self,
        system: 'BaselineSystem',
        call: Call,
        chain: tuple[str, ...],
        zone: str,
        done: Callable[[bool], None],
    ) -> None:
        """Prepare the first attempt."""
        self.system = system
        self.call = call
        self.chain = chain
        self.zone = zone
        self.done: Callable[[bool], None] | None = done
        self.attempts = 0
        self.pending = 0
        self.clock = system.simulation.clock

    def attempt(self) -> None:
        """Send to any target that claims to be up."""
        self.attempts += 1
        number = self.attempts
        self.pending = number
        self.clock.after(
            self.system.timeout_s,
            partial(self.take_end, number, RunResult.FAILED),
        )
        place = self.system.choose(self.chain[0])
        place.target.attempt_times.append(self.clock.now)
        take_end = partial(self.take_end, number)
        failing_s = self.system.simulation.failure_delay_s(
            self.zone, place.node
        )
        if failing_s is not None:
            lose = partial(take_end, RunResult.FAILED)
            self.clock.after(failing_s, lose)
            return
        delay_s = self.system.simulation.network_delay_s(self.zone, place.zone)
        self.clock.after(delay_s, partial(self.enter, place, take_end))

    def enter(self, place: TargetPlacement, take_end: RunCallback) -> None:
        """Arrive at the target's door."""
        door = self.system.doors[place.node]

        def leave(how: RunResult) -> None:  # noqa: WPS430 - callback
            take_end(how)
            door.leave()

        if not door.enter(partial(self.start, place, leave)):
            take_end(RunResult.TARGET_SHED)

    def start(self, place: TargetPlacement, leave: RunCallback) -> None:
        """Run at the target."""
        call_on: CallDownstream | None = None
        if self.chain[1:]:
            call_on = partial(self.call_on, place)
        place.target.run(self.call, call_on, leave)

    def call_on(
        self,
        place: TargetPlacement,
        call: Call,
        done: Callable[[bool], None],
    ) -> None:
        """Make the next call of the chain, with its own retries."""
        rest = self.chain[1:]
        BaselineHop(self.system, call, rest, place.zone, done).attempt()

    def take_end(self, number: int, how: RunResult) -> None:
        """Finish, or try again; ends of abandoned attempts are ignored."""
        if self.done is None or number != self.pending:
            return
        self.pending = 0
        succeeded = how is RunResult.SUCCEEDED
        if succeeded or self.attempts >= ATTEMPTS:
            done = self.done
            self.done = None
            done(succeeded)
            return
        self.clock.after(BACKOFF_S, self.attempt)


class BaselineSystem(SystemUnderTest):
    """Random balancing and per-hop retries."""

    def __init__(
        self,
        simulation: Simulation,
        timeout_s: float,
        with_limit: bool,
    ) -> None:
        """Queue up to the connections, or with a limit up to the slots."""
        super().__init__(simulation)
        self.timeout_s = timeout_s
        self.drained: set[str] = set()
        self.doors: dict[str, FifoDoor] = {}
        for place in simulation.placements.values():
            size = simulation.service_sizes[place.service]
            unlimited = size.connections - size.slots
            self.doors[place.node] = FifoDoor(
                size.slots,
                size.slots if with_limit else unlimited,
            )

    def choose(self, service: str) -> TargetPlacement:
        """Draw a target; the health endpoints all claim to be up."""
        places = self.simulation.placements_of(service)
        left = [place for place in places if place.node not in self.drained]
        return self.simulation.rng.choice(left)

    def send_root(
        self,
        call: Call,
        chain: tuple[str, ...],
        zone: str,
        done: RootCallback,
    ) -> None:
        """Carry one root request."""
        BaselineHop(self, call, chain, zone, done).attempt()

    def drain(self, node: str) -> None:
        """Take the target out of the balancer."""
        self.drained.add(node)
