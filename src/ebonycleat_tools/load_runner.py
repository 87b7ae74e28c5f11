"""Sends planned requests at their times, whether or not answers arrive.

The load is open-loop: a slow system gets as many requests as a fast one. The
time for which a request waits for a free thread is part of its latency.
"""

import contextlib
import dataclasses
import heapq
import http
import json
import logging
import threading
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import Future, ThreadPoolExecutor

from ebonycleat.internal.connection.target_client import (
    TargetClient,
    TargetResponse,
    TargetResult,
    create_target_client,
)
from ebonycleat.internal.process.settings import split_address
from ebonycleat_tools.load_plan import (
    LoadPlan,
    PlannedRequest,
    plan_requests,
)
from ebonycleat_tools.load_results import AttemptResult, LoadResults

MS_PER_S = 1000
NOT_RUN = 'not-run'
# Used when a refusal has no Retry-After header, or one that holds a date: only
# numbers of seconds are read, because a date needs a wall clock.
DEFAULT_RETRY_AFTER_S = 1
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _ScheduledAttempt:
    """One attempt; the queue is ordered by ``due_at``, then ``sequence``."""

    due_at: float
    sequence: int
    attempt_number: int = dataclasses.field(compare=False)
    planned: PlannedRequest = dataclasses.field(compare=False)


class LoadRunner:
    """Sends the requests of one plan, once."""

    def __init__(
        self,
        plan: LoadPlan,
        clients: Sequence[TargetClient],
        key_by_team: Mapping[str, str],
        clock: Callable[[], float],
    ) -> None:
        """``clients`` has one client for each address of the plan."""
        self.plan = plan
        self.clients = clients
        self.key_by_team = key_by_team
        self.clock = clock
        self.results = LoadResults(plan.report.bucket_s)
        self.condition = threading.Condition()
        self.queue: list[_ScheduledAttempt] = []
        self.in_flight = 0
        self.sequence = 0
        self.started_at = float()

    def run(self, planned: Iterator[PlannedRequest]) -> LoadResults:
        """Send all requests; returns when the last answer has arrived."""
        self.started_at = self.clock()
        self._enqueue_next(planned)
        with ThreadPoolExecutor(self.plan.threads) as executor:
            scheduled = self._take_due()
            while scheduled is not None:
                if scheduled.attempt_number == 1:
                    self._enqueue_next(planned)
                future = executor.submit(self._run_attempt, scheduled)
                future.add_done_callback(_log_failure)
                scheduled = self._take_due()
        return self.results

    def _enqueue_next(self, planned: Iterator[PlannedRequest]) -> None:
        upcoming = next(planned, None)
        if upcoming is not None:
            self._enqueue(self.started_at + upcoming.at_s, 1, upcoming)

    def _enqueue(
        self,
        due_at: float,
        attempt_number: int,
        planned: PlannedRequest,
    ) -> None:
        with self.condition:
            self.sequence += 1
            scheduled = _ScheduledAttempt(
                due_at, self.sequence, attempt_number, planned
            )
            heapq.heappush(self.queue, scheduled)
            self.condition.notify_all()

    def _take_due(self) -> _ScheduledAttempt | None:
        """Wait until the next attempt is due and return it.

        Returns None when no attempt is queued or in flight: an attempt in
        flight may still queue a retry.
        """
        with self.condition:
            while self.queue or self.in_flight:
                if not self.queue:
                    self.condition.wait()
                    continue
                remaining_s = self.queue[0].due_at - self.clock()
                if remaining_s <= 0:
                    self.in_flight += 1
                    return heapq.heappop(self.queue)
                self.condition.wait(remaining_s)
        return None

    def _run_attempt(self, scheduled: _ScheduledAttempt) -> None:
        with self._tracking_in_flight():
            planned = scheduled.planned
            group = (planned.team.name, planned.request.priority)
            if scheduled.attempt_number == 1:
                delay_s = self.clock() - scheduled.due_at
                self.results.record_offered_request(
                    group, planned.at_s, delay_s
                )
            result = self._send(planned)
            now = self.clock()
            self.results.record_attempt(group, planned.at_s, result)
            if _should_retry(scheduled, result):
                wait_s = _retry_wait_s(planned, result)
                self._enqueue(
                    now + wait_s, scheduled.attempt_number + 1, planned
                )
            else:
                latency_s = now - self.started_at - planned.at_s
                self.results.record_completion(
                    group,
                    planned.at_s,
                    result,
                    latency_s,
                )

    @contextlib.contextmanager
    def _tracking_in_flight(self) -> Iterator[None]:
        try:
            yield
        finally:
            self._decrement_in_flight()

    def _decrement_in_flight(self) -> None:
        with self.condition:
            self.in_flight -= 1
            self.condition.notify_all()

    def _send(self, planned: PlannedRequest) -> AttemptResult:
        timeout_ms = int(self.plan.timeout_s * MS_PER_S)
        headers = [('Ebonycleat-Timeout-Ms', str(timeout_ms))]
        key = self.key_by_team.get(planned.team.name, '')
        if key:
            headers.append(('Authorization', f'Bearer {key}'))
        if planned.idempotency_key:
            headers.append(('Idempotency-Key', planned.idempotency_key))
        path = planned.request.path
        separator = '&' if '?' in path else '?'
        result = self.clients[planned.address_index].send(
            planned.request.method,
            f'{path}{separator}load={planned.marker}',
            tuple(headers),
            b'x' * planned.request.body_bytes,
            self.plan.timeout_s,
        )
        expected = planned.marker if self.plan.check_echo else ''
        return classify_result(result, expected)


def run_load(
    plan: LoadPlan,
    key_by_team: Mapping[str, str],
    run_id: str,
    clock: Callable[[], float] = time.monotonic,
    results: LoadResults | None = None,
) -> LoadResults:
    """Run a plan; ``run_id`` must differ between runs against one system.

    The caller can pass ``results`` and read it under its lock while the load
    runs.
    """
    with contextlib.ExitStack() as stack:
        clients = [
            stack.enter_context(
                create_target_client(
                    *split_address(address), plan.threads, keeps_unnamed=True
                ),
            )
            for address in plan.addresses
        ]
        runner = LoadRunner(plan, clients, key_by_team, clock)
        runner.results = results or runner.results
        return runner.run(plan_requests(plan, run_id))


def classify_result(
    result: TargetResult, expected_marker: str
) -> AttemptResult:
    """Classify the result of one attempt by what an HTTP client can see."""
    if not isinstance(result, TargetResponse):
        return AttemptResult(
            'refused',
            f'client-{result.kind.value}',
            result.outcome.value,
        )
    headers = {name.lower(): text for name, text in result.headers}
    reason = headers.get('ebonycleat-reason')
    if reason:
        return AttemptResult(
            'refused',
            reason,
            headers.get('ebonycleat-outcome', 'unknown'),
            _read_retry_after_s(headers.get('retry-after', '')),
        )
    if result.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return AttemptResult('error', str(result.status))
    if expected_marker and _read_echoed_marker(result.body) != expected_marker:
        return AttemptResult('wrong')
    return AttemptResult('answered')


def _log_failure(future: Future[None]) -> None:
    error = future.exception()
    if error is not None:
        logger.error('an attempt was not counted', exc_info=error)


def _read_echoed_marker(body: bytes) -> object:
    try:
        return json.loads(body)['query']['load']
    except (ValueError, KeyError, TypeError):
        return None


def _read_retry_after_s(text: str) -> float:
    """Return the seconds of Retry-After, 0 to 60; 0 if it is not a number."""
    try:
        return min(max(float(text), 0), DEFAULT_RETRY_AFTER_S * 60)
    except ValueError:
        return 0


def _should_retry(scheduled: _ScheduledAttempt, result: AttemptResult) -> bool:
    team = scheduled.planned.team
    if result.kind != 'refused' or scheduled.attempt_number > team.retry_limit:
        return False
    if team.retry == 'honour':
        return (
            result.outcome == NOT_RUN
            or scheduled.planned.request.method in SAFE_METHODS
            or bool(scheduled.planned.idempotency_key)
        )
    return team.retry == 'hard'


def _retry_wait_s(planned: PlannedRequest, result: AttemptResult) -> float:
    if planned.team.retry == 'hard':
        return 0
    return result.retry_after_s or DEFAULT_RETRY_AFTER_S
