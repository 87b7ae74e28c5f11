"""Sends planned requests at their times, whether or not answers come.

The load is open: a slow system gets as many requests as a fast one, and a
request that had to wait for a free thread has waited.
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
# Used when a refusal gives no advice, or a date that needs a wall clock.
DEFAULT_RETRY_AFTER_S = 1
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Task:
    """One attempt; ``due_at`` and ``number`` order the waiting ones."""

    due_at: float
    number: int
    attempt: int = dataclasses.field(compare=False)
    planned: PlannedRequest = dataclasses.field(compare=False)


class LoadRunner:
    """Runs one plan once."""

    def __init__(
        self,
        plan: LoadPlan,
        clients: Sequence[TargetClient],
        key_by_team: Mapping[str, str],
        clock: Callable[[], float],
    ) -> None:
        """There is one client for each address of the plan."""
        self.plan = plan
        self.clients = clients
        self.key_by_team = key_by_team
        self.clock = clock
        self.results = LoadResults(plan.report.bucket_s)
        self.changed = threading.Condition()
        self.waiting: list[_Task] = []
        self.in_flight = 0
        self.number = 0
        self.started_at = float()

    def run(self, planned: Iterator[PlannedRequest]) -> LoadResults:
        """Send everything; returns when the last answer is in."""
        self.started_at = self.clock()
        self._wait_for_next(planned)
        with ThreadPoolExecutor(self.plan.threads) as threads:
            task = self._take_due()
            while task is not None:
                if task.attempt == 1:
                    self._wait_for_next(planned)
                attempt = threads.submit(self._attempt, task)
                attempt.add_done_callback(_log_failure)
                task = self._take_due()
        return self.results

    def _wait_for_next(self, planned: Iterator[PlannedRequest]) -> None:
        following = next(planned, None)
        if following is not None:
            self._add(self.started_at + following.at_s, 1, following)

    def _add(
        self,
        due_at: float,
        attempt: int,
        planned: PlannedRequest,
    ) -> None:
        with self.changed:
            self.number += 1
            task = _Task(due_at, self.number, attempt, planned)
            heapq.heappush(self.waiting, task)
            self.changed.notify_all()

    def _take_due(self) -> _Task | None:
        """Wait for the next attempt; None when there will be no more."""
        with self.changed:
            while self.waiting or self.in_flight:
                if not self.waiting:
                    self.changed.wait()
                    continue
                left_s = self.waiting[0].due_at - self.clock()
                if left_s <= 0:
                    self.in_flight += 1
                    return heapq.heappop(self.waiting)
                self.changed.wait(left_s)
        return None

    def _attempt(self, task: _Task) -> None:
        with self._counted_in_flight():
            planned = task.planned
            group = (planned.team.name, planned.request.priority)
            if task.attempt == 1:
                delay_s = self.clock() - task.due_at
                self.results.record_offered_request(
                    group, planned.at_s, delay_s
                )
            result = self._send(planned)
            now = self.clock()
            self.results.record_attempt(group, planned.at_s, result)
            if _will_retry(task, result):
                wait_s = _retry_wait_s(planned, result)
                self._add(now + wait_s, task.attempt + 1, planned)
            else:
                latency_s = now - self.started_at - planned.at_s
                self.results.record_completion(
                    group,
                    planned.at_s,
                    result,
                    latency_s,
                )

    @contextlib.contextmanager
    def _counted_in_flight(self) -> Iterator[None]:
        try:
            yield
        finally:
            self._end_flight()

    def _end_flight(self) -> None:
        with self.changed:
            self.in_flight -= 1
            self.changed.notify_all()

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

    ``results`` can be read under its lock while the load runs.
    """
    with contextlib.ExitStack() as stack:
        clients = [
            stack.enter_context(
                create_target_client(*split_address(address), plan.threads),
            )
            for address in plan.addresses
        ]
        runner = LoadRunner(plan, clients, key_by_team, clock)
        runner.results = results or runner.results
        return runner.run(plan_requests(plan, run_id))


def classify_result(
    result: TargetResult, expected_marker: str
) -> AttemptResult:
    """Say what one result means to a client that can only see HTTP."""
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
    if expected_marker and _echoed_marker(result.body) != expected_marker:
        return AttemptResult('wrong')
    return AttemptResult('answered')


def _log_failure(attempt: Future[None]) -> None:
    error = attempt.exception()
    if error is not None:
        logger.error('an attempt was not counted', exc_info=error)


def _echoed_marker(body: bytes) -> object:
    try:
        return json.loads(body)['query']['load']
    except (ValueError, KeyError, TypeError):
        return None


def _read_retry_after_s(text: str) -> float:
    try:
        return min(max(float(text), 0), DEFAULT_RETRY_AFTER_S * 60)
    except ValueError:
        return 0


def _will_retry(task: _Task, result: AttemptResult) -> bool:
    team = task.planned.team
    if result.kind != 'refused' or task.attempt > team.retry_limit:
        return False
    if team.retry == 'honour':
        return (
            result.outcome == NOT_RUN
            or task.planned.request.method in SAFE_METHODS
            or bool(task.planned.idempotency_key)
        )
    return team.retry == 'hard'


def _retry_wait_s(planned: PlannedRequest, result: AttemptResult) -> float:
    if planned.team.retry == 'hard':
        return 0
    return result.retry_after_s or DEFAULT_RETRY_AFTER_S
