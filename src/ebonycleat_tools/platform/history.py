"""What callers and targets saw in a run, and which promises it breaks.

The checker knows nothing of how nodes work: it compares what was sent, what
ran and what was answered.
"""

import bisect
import collections
import dataclasses
from collections.abc import Iterable

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""These answers promise that the request has not run and never will."""

LATE_BY_S = 1.0
"""How long after its time-out a request may have no answer. The machine of a
soak is shared, so this is twice what the platform allows."""

SUCCESS = 200
WINDOWS_CHECKED = 200
"""Starts of windows for each team: at 25 requests a second over 30 s there is
one about every 0.15 s, short against the window of 5 s."""


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One request of a caller, and what it got; times are in seconds."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRun:
    """One run as the target saw it."""

    request_id: str
    path: str
    team: str
    instance: str
    began_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class FaultWindow:
    """A time in which a node, or with -1 every node, was disturbed."""

    node: int
    began_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class GuaranteeLimits:
    """The figures that a run is checked against."""

    rate_per_s: float
    burst: float
    rate_window_s: float
    rate_tolerance_share: float
    rate_tolerance_requests: float
    withdrawal_limit_s: float
    recovery_limit_s: float
    min_success_share: float


class History:
    """Everything that callers and targets saw."""

    def __init__(self) -> None:
        """Start empty."""
        self.sent_requests: dict[str, SentRequest] = {}
        self.runs: list[ObservedRun] = []
        self.fault_windows: list[FaultWindow] = []
        self.withdrawal_times: dict[str, float] = {}
        self.ended_at: float = 0

    def runs_by_id(self) -> dict[str, list[ObservedRun]]:
        """The runs of each request."""
        found: dict[str, list[ObservedRun]] = collections.defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found


def find_violations(history: History, promises: GuaranteeLimits) -> list[str]:
    """One line for each broken promise, with the request that shows it."""
    runs = history.runs_by_id()
    return [
        *_check_runs(history, runs),
        *_check_answers(history, runs),
        *_check_keys(history, promises),
        *_check_rates(history, promises),
        *_check_times(history),
        *_check_recovery(history, promises),
    ]


def _check_runs(
    history: History,
    runs: dict[str, list[ObservedRun]],
) -> Iterable[str]:
    for request_id, seen in runs.items():
        sent = history.sent_requests.get(request_id)
        if sent is None:
            yield f'unsent: {request_id} ran and no caller had sent it'
            continue
        if any(one.path != sent.path for one in seen):
            yield f'changed: {request_id} ran with another path'
        if any(one.team != sent.team for one in seen):
            yield f'changed: {request_id} ran for another team'
        if len(seen) > 1 and not sent.is_idempotent:
            yield f'twice: {request_id} ran {len(seen)} times'


def _check_answers(
    history: History,
    runs: dict[str, list[ObservedRun]],
) -> Iterable[str]:
    for sent in history.sent_requests.values():
        name = sent.request_id
        seen = runs.get(name, [])
        if sent.status == SUCCESS:
            yield from _check_success(sent, seen)
        elif seen and sent.status in NOT_RUN_STATUSES:
            if not sent.is_idempotent:
                yield f'false refusal: {name} got {sent.status} and has run'


def _check_success(sent: SentRequest, seen: list[ObservedRun]) -> Iterable[str]:
    if sent.signature not in {one.instance for one in seen}:
        yield f'foreign answer: {sent.request_id} has no such run'
    if sent.body != expected_body(sent.request_id):
        yield f'foreign answer: {sent.request_id} has another body'


def expected_body(request_id: str) -> bytes:
    """The body that a target answers a request with."""
    return f'by {request_id}'.encode()


def _check_keys(history: History, promises: GuaranteeLimits) -> Iterable[str]:
    for run in history.runs:
        sent = history.sent_requests.get(run.request_id)
        if sent is None:
            continue
        withdrawn_at = history.withdrawal_times.get(sent.key)
        if withdrawn_at is None:
            continue
        if sent.sent_at > withdrawn_at + promises.withdrawal_limit_s:
            late_s = sent.sent_at - withdrawn_at
            yield (
                f'withdrawn key: {run.request_id} was sent {late_s:.2f} s '
                'after the withdrawal and ran'
            )


class TeamRuns:
    """When the requests of one team were sent, and when they began to run."""

    def __init__(self) -> None:
        """Start without runs."""
        self.sent_times: list[float] = []
        self.times: list[tuple[float, float]] = []

    def add(self, sent_at: float, began_at: float) -> None:
        """Add one run."""
        bisect.insort(self.sent_times, sent_at)
        self.times.append((sent_at, began_at))

    def count(self, start: float, end: float) -> int:
        """Runs of requests that were both sent and begun between these."""
        return sum(
            sent_at >= start and began_at <= end
            for sent_at, began_at in self.times
        )

    def window_starts(self) -> list[float]:
        """Starts of windows to look at, about 200 of them."""
        step = max(1, len(self.sent_times) // WINDOWS_CHECKED)
        return self.sent_times[::step]


def _check_rates(history: History, promises: GuaranteeLimits) -> Iterable[str]:
    """Look at windows that start with a request, by team."""
    allowed = promises.rate_per_s * promises.rate_window_s + promises.burst
    allowed *= 1 + promises.rate_tolerance_share
    allowed += promises.rate_tolerance_requests
    teams: dict[str, TeamRuns] = collections.defaultdict(TeamRuns)
    for run in history.runs:
        sent = history.sent_requests.get(run.request_id)
        if sent is not None:
            teams[sent.team].add(sent.sent_at, run.began_at)
    for name, team in teams.items():
        most = max(
            team.count(start, start + promises.rate_window_s)
            for start in team.window_starts()
        )
        if most > allowed:
            yield (
                f'over rate: {name} ran {most} requests in one window, '
                f'allowed are {allowed:.0f}'
            )


def _check_times(history: History) -> Iterable[str]:
    for sent in history.sent_requests.values():
        due_at = sent.sent_at + sent.timeout_s + LATE_BY_S
        is_open = sent.ended_at is None or sent.ended_at > due_at
        if sent.is_cancelled or due_at > history.ended_at or not is_open:
            continue
        if not _is_disturbed(history, sent.node, sent.sent_at, due_at):
            yield f'no answer: {sent.request_id} waited past its time-out'


def _is_disturbed(
    history: History,
    node: int,
    began_at: float,
    ended_at: float,
) -> bool:
    return any(
        one.node in {-1, node}
        and one.began_at <= ended_at
        and one.ended_at >= began_at
        for one in history.fault_windows
    )


def _check_recovery(
    history: History, promises: GuaranteeLimits
) -> Iterable[str]:
    calm_from = promises.recovery_limit_s + max(
        (one.ended_at for one in history.fault_windows),
        default=0,
    )
    calm = [
        sent
        for sent in history.sent_requests.values()
        if sent.sent_at > calm_from
        and sent.sent_at + sent.timeout_s < history.ended_at
        and sent.key not in history.withdrawal_times
        and not sent.is_cancelled
    ]
    served = sum(sent.status == SUCCESS for sent in calm)
    if served < len(calm) * promises.min_success_share:
        yield (
            f'not recovered: {served} of {len(calm)} requests were served '
            f'later than {promises.recovery_limit_s} s after the last fault'
        )
