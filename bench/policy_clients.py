"""Open-loop clients and the results of their requests."""

import dataclasses
from collections.abc import Callable, Iterable
from functools import partial

from bench.policy_simulation import CLIENT_DELAY_S, ZONES, SystemUnderTest
from ebonycleat.internal.request.call import Call, Priority

CLIENT_RETRY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one team along one chain of services.

    A client with ``attempts`` above 1 retries and ignores ``Retry-After``.
    """

    team: str
    chain: tuple[str, ...]
    priority: Priority
    rate_per_s: float
    timeout_s: float
    attempts: int = 1


@dataclasses.dataclass(slots=True)
class RootRequest:
    """One request as its client sees it, including all attempts."""

    flow: Flow
    zone: str
    first_sent_at: float
    done_at: float | None = None
    succeeded: bool = False
    attempts: int = 0


class Clients:
    """Sends the flows of a scenario and records the results."""

    def __init__(self, system: SystemUnderTest) -> None:
        """Send requests to this system."""
        self.system = system
        self.clock = system.simulation.clock
        self.rng = system.simulation.rng
        self.requests: list[RootRequest] = []

    def send_flow(self, flow: Flow, start: float, end: float) -> None:
        """Send at a constant rate with a random phase, whatever the answers."""
        interval_s = 1 / flow.rate_per_s
        count = int((end - start) * flow.rate_per_s)
        phase_s = self.rng.uniform(0, interval_s)
        first_s = start + phase_s - self.clock.now
        self.clock.after(
            first_s, partial(self.send_request, flow, count, interval_s)
        )

    def send_request(
        self, flow: Flow, remaining: int, interval_s: float
    ) -> None:
        """Send one request and schedule the next one."""
        if remaining <= 0:
            return
        self.clock.after(
            interval_s,
            partial(self.send_request, flow, remaining - 1, interval_s),
        )
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
        done = partial(self.handle_result, request, request.attempts)
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

    def handle_result(
        self,
        request: RootRequest,
        attempt: int,
        succeeded: bool,
    ) -> None:
        """Record the result or retry; results of earlier attempts are ignored."""
        if request.done_at is not None or attempt != request.attempts:
            return
        if not succeeded and request.attempts < request.flow.attempts:
            # The retry is counted at once, so that the timeout of the attempt
            # that just failed cannot start a second retry.
            request.attempts += 1
            self.clock.after(
                CLIENT_RETRY_S,
                partial(self.retry, request),
            )
            return
        request.done_at = self.clock.now
        request.succeeded = succeeded

    def retry(self, request: RootRequest) -> None:
        """Send the retry, which ``handle_result`` has already counted."""
        request.attempts -= 1
        self.attempt(request)


def goodput_per_s(
    requests: Iterable[RootRequest],
    start: float,
    end: float,
) -> float:
    """Root requests answered successfully in the interval, per second."""
    succeeded = sum(
        request.succeeded and start <= (request.done_at or 0) < end
        for request in requests
    )
    return succeeded / (end - start)


def share_served(
    requests: Iterable[RootRequest],
    start: float,
    end: float,
    matches: Callable[[RootRequest], bool],
) -> float:
    """Share served of the matching requests sent in the interval; 1 if none."""
    results = [
        request.succeeded
        for request in requests
        if start <= request.first_sent_at < end and matches(request)
    ]
    return sum(results) / len(results) if results else 1
