"""Open-loop clients, and what became of their requests."""

import dataclasses
from collections.abc import Callable, Iterable
from functools import partial

from bench.policy_simulation import CLIENT_DELAY_S, ZONES, SystemUnderTest

from ebonycleat.internal.request.call import Call, Priority

CLIENT_RETRY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one team along one chain of services.

    ``attempts`` above 1 are made by clients that ignore Retry-After.
    """

    team: str
    chain: tuple[str, ...]
    priority: Priority
    rate_per_s: float
    timeout_s: float
    attempts: int = 1


@dataclasses.dataclass(slots=True)
class RootRequest:
    """One request as its client sees it, over all its attempts."""

    flow: Flow
    zone: str
    first_sent_at: float
    done_at: float | None = None
    succeeded: bool = False
    attempts: int = 0


class Clients:
    """Sends the flows of a scenario and keeps the results."""

    def __init__(self, system: SystemUnderTest) -> None:
        """Send through this system."""
        self.system = system
        self.clock = system.simulation.clock
        self.rng = system.simulation.rng
        self.requests: list[RootRequest] = []

    def send_flow(self, flow: Flow, start: float, end: float) -> None:
        """Ask at an even rate with a random phase, whatever happens."""
        gap_s = 1 / flow.rate_per_s
        count = int((end - start) * flow.rate_per_s)
        phase_s = self.rng.uniform(0, gap_s)
        first_s = start + phase_s - self.clock.now
        self.clock.after(first_s, partial(self.ask, flow, count, gap_s))

    def ask(self, flow: Flow, left: int, gap_s: float) -> None:
        """Make one request and schedule the next."""
        if left <= 0:
            return
        self.clock.after(gap_s, partial(self.ask, flow, left - 1, gap_s))
        request = RootRequest(flow, self.rng.choice(ZONES), self.clock.now)
        self.requests.append(request)
        self.attempt(request)

    def attempt(self, request: RootRequest) -> None:
        """Send one attempt with its own timeout."""
        request.attempts += 1
        flow = request.flow
        root_id = f'{self.rng.getrandbits(64):x}'
        call = Call(
            call_id=root_id,
            root_id=root_id,
            team=flow.team,
            route=flow.chain[0],
            service=flow.chain[0],
            priority=flow.priority,
            idempotent=True,
            deadline=self.clock.now + flow.timeout_s,
            method='GET',
            path='/',
        )
        done = partial(self.take_end, request, request.attempts)
        timeout = partial(done, succeeded=False)
        self.clock.after(flow.timeout_s, timeout)
        send = partial(
            self.system.send_root,
            call,
            flow.chain,
            request.zone,
            done,
        )
        self.clock.after(CLIENT_DELAY_S, send)

    def take_end(
        self,
        request: RootRequest,
        attempt: int,
        succeeded: bool,
    ) -> None:
        """Note success, or try again; late ends are ignored."""
        if request.done_at is not None or attempt != request.attempts:
            return
        if not succeeded and request.attempts < request.flow.attempts:
            # Counts up at once, so that the timeout of the attempt that
            # just failed cannot start a second retry.
            request.attempts += 1
            self.clock.after(
                CLIENT_RETRY_S,
                partial(self.attempt_again, request),
            )
            return
        request.done_at = self.clock.now
        request.succeeded = succeeded

    def attempt_again(self, request: RootRequest) -> None:
        """Send the attempt that was already counted."""
        request.attempts -= 1
        self.attempt(request)


def goodput_per_s(
    requests: Iterable[RootRequest],
    start: float,
    end: float,
) -> float:
    """Whole requests answered in the interval, per second."""
    good = sum(
        request.succeeded and start <= (request.done_at or 0) < end
        for request in requests
    )
    return good / (end - start)


def share_served(
    requests: Iterable[RootRequest],
    start: float,
    end: float,
    matches: Callable[[RootRequest], bool],
) -> float:
    """Share of the matching requests asked in the interval; 1 if none."""
    asked = [
        request.succeeded
        for request in requests
        if start <= request.first_sent_at < end and matches(request)
    ]
    return sum(asked) / len(asked) if asked else 1
