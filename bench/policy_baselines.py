"""Baseline systems: no layer, and a fixed concurrency limit with a FIFO queue.

Both retry at each hop and choose targets at random. They do not propagate
deadlines: a target continues work whose caller has given up.
"""

from collections import deque
from collections.abc import Callable
from functools import partial

from bench.policy_clock import Action
from bench.policy_simulation import (
    RootCallback,
    Simulation,
    SystemUnderTest,
    TargetPlacement,
)
from bench.policy_targets import CallDownstream, RunCallback
from ebonycleat.internal.process.run_outcome import RunResult
from ebonycleat.internal.request.call import Call

ATTEMPTS = 3
BACKOFF_S = 0.05


class FifoLimiter:
    """Runs up to ``slots`` calls, queues up to a limit and refuses the rest."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        """Start idle."""
        self.slots = slots
        self.queue_limit = queue_limit
        self.running = 0
        self.queue: deque[Action] = deque()

    def admit(self, start: Action) -> bool:
        """Start or queue a call; return False when the queue is full."""
        if self.running < self.slots:
            self.running += 1
            start()
            return True
        if len(self.queue) >= self.queue_limit:
            return False
        self.queue.append(start)
        return True

    def release(self) -> None:
        """Free a slot and start the call that has waited longest."""
        self.running -= 1
        if self.queue:
            self.running += 1
            self.queue.popleft()()


class BaselineHop:
    """All attempts of one call to one service, each with the full timeout."""

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
        """Send an attempt to any target that the balancer still lists."""
        self.attempts += 1
        number = self.attempts
        self.pending = number
        self.clock.after(
            self.system.timeout_s,
            partial(self.handle_end, number, RunResult.FAILED),
        )
        placement = self.system.choose(self.chain[0])
        placement.target.attempt_times.append(self.clock.now)
        handle_end = partial(self.handle_end, number)
        failing_s = self.system.simulation.failure_delay_s(
            self.zone, placement.node
        )
        if failing_s is not None:
            fail = partial(handle_end, RunResult.FAILED)
            self.clock.after(failing_s, fail)
            return
        delay_s = self.system.simulation.network_delay_s(
            self.zone, placement.zone
        )
        self.clock.after(
            delay_s, partial(self.handle_arrival, placement, handle_end)
        )

    def handle_arrival(
        self, placement: TargetPlacement, handle_end: RunCallback
    ) -> None:
        """Offer the attempt to the limiter of the target."""
        limiter = self.system.limiters[placement.node]

        def end_run(result: RunResult) -> None:  # noqa: WPS430 - callback
            handle_end(result)
            limiter.release()

        if not limiter.admit(partial(self.start, placement, end_run)):
            handle_end(RunResult.TARGET_SHED)

    def start(self, placement: TargetPlacement, end_run: RunCallback) -> None:
        """Run the call at the target."""
        call_downstream: CallDownstream | None = None
        if self.chain[1:]:
            call_downstream = partial(self.call_downstream, placement)
        placement.target.run(self.call, call_downstream, end_run)

    def call_downstream(
        self,
        placement: TargetPlacement,
        call: Call,
        done: Callable[[bool], None],
    ) -> None:
        """Make the call to the next service of the chain, with its own retries."""
        rest = self.chain[1:]
        BaselineHop(self.system, call, rest, placement.zone, done).attempt()

    def handle_end(self, number: int, result: RunResult) -> None:
        """Finish or retry; results of timed-out attempts are ignored."""
        if self.done is None or number != self.pending:
            return
        self.pending = 0
        succeeded = result is RunResult.SUCCEEDED
        if succeeded or self.attempts >= ATTEMPTS:
            done = self.done
            self.done = None
            done(succeeded)
            return
        self.clock.after(BACKOFF_S, self.attempt)


class BaselineSystem(SystemUnderTest):
    """System with random balancing and retries at each hop."""

    def __init__(
        self,
        simulation: Simulation,
        timeout_s: float,
        has_limit: bool,
    ) -> None:
        """Queue up to the connection limit, or with a limit up to the slots."""
        super().__init__(simulation)
        self.timeout_s = timeout_s
        self.drained: set[str] = set()
        self.limiters: dict[str, FifoLimiter] = {}
        for placement in simulation.placements.values():
            size = simulation.service_sizes[placement.service]
            queue_by_connections = size.connections - size.slots
            self.limiters[placement.node] = FifoLimiter(
                size.slots,
                size.slots if has_limit else queue_by_connections,
            )

    def choose(self, service: str) -> TargetPlacement:
        """Choose a target at random; all health checks report success."""
        placements = self.simulation.placements_of(service)
        available = [
            placement
            for placement in placements
            if placement.node not in self.drained
        ]
        return self.simulation.rng.choice(available)

    def send_root(
        self,
        call: Call,
        chain: tuple[str, ...],
        zone: str,
        done: RootCallback,
    ) -> None:
        """Send one root request."""
        BaselineHop(self, call, chain, zone, done).attempt()

    def drain(self, node: str) -> None:
        """Remove the target from the balancer."""
        self.drained.add(node)
