"""History of a soak test, as callers and targets observed it; its checker.

The checker finds violations of the guarantees that the nodes give. It does
not depend on how nodes work: it only compares the requests that were sent, the
runs at the targets and the answers.
"""

import bisect
import collections
import dataclasses
from collections.abc import Iterable

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Answers with these statuses guarantee that the request did not run and never
will."""

ANSWER_TOLERANCE_S = 1.0
"""How long after its time-out a request may be answered. This is twice what
the platform allows, because a soak test shares its machine."""

SUCCESS = 200
CHECKED_WINDOWS = 200
"""About this many rate windows are checked for each team. At 25 requests per
second over 30 s a window starts about every 0.15 s, which is short compared
with the length of a window, 5 s."""


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One request of a caller, and its answer; times are in seconds.

    ``status`` is 0 and ``ended_at`` is None if there is no answer yet.
    ``signature`` names the instance of the target that answered, and
    ``sent_checksum`` is the CRC-32 of the body that was sent.
    """

    request_id: str
    path: str
    team: str
    key: str
    is_idempotent: bool
    node: int
    sent_at: float
    timeout_s: float
    ended_at: float | None = None
    status: int = 0
    signature: str = ''
    body: bytes = b''
    is_cancelled: bool = False
    sent_checksum: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRun:
    """One run of a request, as the target observed it."""

    request_id: str
    path: str
    team: str
    instance: str
    began_at: float
    checksum: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FaultWindow:
    """A time during which a fault affected a node, or all nodes for -1.

    The window of a planned stop ends with the process; that it starts again is
    another window.
    """

    node: int
    began_at: float
    ended_at: float
    is_planned_stop: bool = False

    def overlaps(self, began_at: float, ended_at: float) -> bool:
        """Tell whether the window has a moment of the given time."""
        return self.began_at <= ended_at and self.ended_at >= began_at


@dataclasses.dataclass(frozen=True, slots=True)
class GuaranteeLimits:
    """The limits that a soak test is checked against.

    Within ``rate_window_s`` a team may run as many requests as ``rate_per_s``
    and ``burst`` allow, plus both tolerances. A withdrawn key may be accepted
    for ``withdrawal_limit_s``. Later than ``recovery_limit_s`` after the last
    fault, at least ``min_success_share`` of the requests must succeed.
    """

    rate_per_s: float
    burst: float
    rate_window_s: float
    rate_tolerance_share: float
    rate_tolerance_requests: float
    withdrawal_limit_s: float
    recovery_limit_s: float
    min_success_share: float


class History:
    """Everything that callers and targets observed in a soak test."""

    def __init__(self) -> None:
        """Create an empty history."""
        self.sent_requests: dict[str, SentRequest] = {}
        self.runs: list[ObservedRun] = []
        self.node_by_instance: dict[str, int] = {}
        self.fault_windows: list[FaultWindow] = []
        self.withdrawal_times: dict[str, float] = {}
        self.ended_at: float = 0
        self.own_ends: list[str] = []

    def runs_by_id(self) -> dict[str, list[ObservedRun]]:
        """Return the runs of each request."""
        runs_by_id: dict[str, list[ObservedRun]] = collections.defaultdict(list)
        for run in self.runs:
            runs_by_id[run.request_id].append(run)
        return runs_by_id


def find_violations(history: History, limits: GuaranteeLimits) -> list[str]:
    """Return one line for each violation, with the request that shows it."""
    runs = history.runs_by_id()
    return [
        *_check_runs(history, runs),
        *_check_answers(history, runs),
        *_check_withdrawn_keys(history, limits),
        *_check_rates(history, limits),
        *_check_timeouts(history),
        *_check_planned_stops(history, runs),
        *_check_recovery(history, limits),
        *history.own_ends,
    ]


def _check_runs(
    history: History,
    runs: dict[str, list[ObservedRun]],
) -> Iterable[str]:
    for request_id, observed_runs in runs.items():
        sent = history.sent_requests.get(request_id)
        if sent is None:
            yield f'unsent: {request_id} ran but no caller had sent it'
            continue
        for difference in _find_differences(sent, observed_runs):
            yield f'changed: {request_id} ran {difference}'
        if len(observed_runs) > 1 and not sent.is_idempotent:
            yield f'twice: {request_id} ran {len(observed_runs)} times'


def _find_differences(
    sent: SentRequest, observed_runs: list[ObservedRun]
) -> Iterable[str]:
    if any(run.path != sent.path for run in observed_runs):
        yield 'with another path'
    if any(run.team != sent.team for run in observed_runs):
        yield 'for another team'
    if any(run.checksum != sent.sent_checksum for run in observed_runs):
        yield 'with another body'


def _check_answers(
    history: History,
    runs: dict[str, list[ObservedRun]],
) -> Iterable[str]:
    for sent in history.sent_requests.values():
        name = sent.request_id
        observed_runs = runs.get(name, [])
        if sent.status == SUCCESS:
            yield from _check_success(sent, observed_runs)
        elif observed_runs and sent.status in NOT_RUN_STATUSES:
            if not sent.is_idempotent:
                yield f'false refusal: {name} got {sent.status} but has run'


def _check_success(
    sent: SentRequest, observed_runs: list[ObservedRun]
) -> Iterable[str]:
    if sent.signature not in {run.instance for run in observed_runs}:
        yield f'foreign answer: {sent.request_id} did not run at that target'
    if sent.body != expected_body(sent.request_id):
        yield f'foreign answer: {sent.request_id} got the wrong body'


def expected_body(request_id: str) -> bytes:
    """Return the body with which a target answers a request."""
    return f'by {request_id}'.encode()


def _check_withdrawn_keys(
    history: History, limits: GuaranteeLimits
) -> Iterable[str]:
    for run in history.runs:
        sent = history.sent_requests.get(run.request_id)
        if sent is None:
            continue
        withdrawn_at = history.withdrawal_times.get(sent.key)
        if withdrawn_at is None:
            continue
        if sent.sent_at > withdrawn_at + limits.withdrawal_limit_s:
            late_s = sent.sent_at - withdrawn_at
            yield (
                f'withdrawn key: {run.request_id} was sent {late_s:.2f} s '
                'after the withdrawal but ran'
            )


class _TeamRuns:
    """Times at which the requests of a team were sent and began to run."""

    def __init__(self) -> None:
        """Create an empty list of runs."""
        self.sorted_sent_times: list[float] = []
        self.run_times: list[tuple[float, float]] = []

    def add(self, sent_at: float, began_at: float) -> None:
        """Add one run."""
        bisect.insort(self.sorted_sent_times, sent_at)
        self.run_times.append((sent_at, began_at))

    def count(self, start: float, end: float) -> int:
        """Count the runs that were both sent and begun between two times."""
        return sum(
            sent_at >= start and began_at <= end
            for sent_at, began_at in self.run_times
        )

    def window_starts(self) -> list[float]:
        """Return the starts of about ``CHECKED_WINDOWS`` windows to check."""
        step = max(1, len(self.sorted_sent_times) // CHECKED_WINDOWS)
        return self.sorted_sent_times[::step]


def _check_rates(history: History, limits: GuaranteeLimits) -> Iterable[str]:
    """Check rate windows of each team; each starts when a request was sent."""
    max_allowed = limits.rate_per_s * limits.rate_window_s + limits.burst
    max_allowed *= 1 + limits.rate_tolerance_share
    max_allowed += limits.rate_tolerance_requests
    teams: dict[str, _TeamRuns] = collections.defaultdict(_TeamRuns)
    for run in history.runs:
        sent = history.sent_requests.get(run.request_id)
        if sent is not None:
            teams[sent.team].add(sent.sent_at, run.began_at)
    for name, team in teams.items():
        max_count = max(
            team.count(start, start + limits.rate_window_s)
            for start in team.window_starts()
        )
        if max_count > max_allowed:
            yield (
                f'over rate: {name} ran {max_count} requests in one window, '
                f'the limit is {max_allowed:.0f}'
            )


def _check_timeouts(history: History) -> Iterable[str]:
    for sent in history.sent_requests.values():
        due_at = sent.sent_at + sent.timeout_s + ANSWER_TOLERANCE_S
        is_late = sent.ended_at is None or sent.ended_at > due_at
        if sent.is_cancelled or due_at > history.ended_at or not is_late:
            continue
        if not _is_affected_by_fault(history, sent.node, sent.sent_at, due_at):
            yield f'no answer: {sent.request_id} got none within its time-out'


def _is_affected_by_fault(
    history: History,
    node: int,
    began_at: float,
    ended_at: float,
) -> bool:
    return any(
        window.node in {-1, node} and window.overlaps(began_at, ended_at)
        for window in history.fault_windows
    )


def _check_planned_stops(
    history: History,
    runs: dict[str, list[ObservedRun]],
) -> Iterable[str]:
    for sent in history.sent_requests.values():
        observed_runs = runs.get(sent.request_id)
        if sent.status or sent.is_cancelled or not observed_runs:
            continue
        stop = _find_planned_stop(history, sent)
        if stop is None:
            continue
        if not _has_unplanned_fault(history, sent, observed_runs, stop):
            yield (
                f'cut by a stop: {sent.request_id} ran but its connection '
                'ended without an answer'
            )


def _find_planned_stop(
    history: History, sent: SentRequest
) -> FaultWindow | None:
    """Return the planned stop of the node during a request, None if none."""
    ended_at = history.ended_at if sent.ended_at is None else sent.ended_at
    return next(
        (
            window
            for window in history.fault_windows
            if window.is_planned_stop
            and window.node == sent.node
            and window.overlaps(sent.sent_at, ended_at)
        ),
        None,
    )


def _has_unplanned_fault(
    history: History,
    sent: SentRequest,
    observed_runs: list[ObservedRun],
    stop: FaultWindow,
) -> bool:
    """Tell whether a fault, up to the end of a stop, affected a request."""
    nodes = {-1, sent.node}
    nodes.update(
        history.node_by_instance.get(run.instance, -1) for run in observed_runs
    )
    return any(
        window.node in nodes
        and window.began_at < stop.ended_at
        and window.ended_at >= sent.sent_at
        for window in history.fault_windows
        if not window.is_planned_stop
    )


def _check_recovery(history: History, limits: GuaranteeLimits) -> Iterable[str]:
    recovered_at = limits.recovery_limit_s + max(
        (window.ended_at for window in history.fault_windows),
        default=0,
    )
    later_requests = [
        sent
        for sent in history.sent_requests.values()
        if sent.sent_at > recovered_at
        and sent.sent_at + sent.timeout_s < history.ended_at
        and sent.key not in history.withdrawal_times
        and not sent.is_cancelled
    ]
    success_count = sum(sent.status == SUCCESS for sent in later_requests)
    if success_count < len(later_requests) * limits.min_success_share:
        yield (
            f'not recovered: {success_count} of {len(later_requests)} '
            'requests were answered with success when sent '
            f'later than {limits.recovery_limit_s} s after the last fault'
        )
