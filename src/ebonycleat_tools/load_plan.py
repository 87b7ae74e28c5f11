"""Plan of a load run: which requests are sent, and when.

The plan and its seed determine the requests; answers have no influence.
"""

import collections
import dataclasses
import heapq
import itertools
import os
import pathlib
import random
from collections.abc import Iterator, Sequence
from typing import Annotated, Literal, TypeAlias

from msgspec import Meta

from ebonycleat.internal.process.settings import (
    Name,
    PeerAddress,
    PositiveInt,
    Seconds,
)

Share: TypeAlias = Annotated[
    float,
    Meta(ge=0, le=1, description='a share from 0 to 1'),
]
PositiveNumber: TypeAlias = Annotated[
    float,
    Meta(ge=0.001, le=1e6, description='a number from 0.001 to 1000000'),
]
Duration: TypeAlias = Annotated[
    float,
    Meta(ge=0, le=86400, description='seconds, 0 to 86400'),
]
# Repeated Idempotency-Keys are drawn from the latest keys of a request template,
# at most this many, because clients repeat requests that have just failed.
RECENT_KEY_COUNT = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestTemplate:
    """One kind of request; ``weight`` is relative to the others of its team.

    ``priority`` only labels the requests in the results, as their class; the
    node takes the priority from its own routes. With ``idempotency_keys`` each
    request carries an Idempotency-Key, and the share ``repeat_share`` of the
    requests repeats a recent key.
    """

    path: Annotated[
        str,
        Meta(pattern=r'^/[!-~]*\Z', description='a path from a slash on'),
    ]
    method: Annotated[
        str,
        Meta(pattern=r'^[A-Z]{1,16}\Z', description='an HTTP method'),
    ] = 'GET'
    weight: PositiveNumber = 1
    priority: Literal['critical', 'high', 'normal', 'low', 'lowest'] = 'normal'
    body_bytes: Annotated[
        int,
        Meta(ge=0, le=2**26, description='bytes, 0 to 67108864'),
    ] = 0
    idempotency_keys: bool = False
    repeat_share: Share = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamLoad:
    """The load of one team; its API key is in a file or the environment.

    ``retry`` says which refused requests are sent again: ``none``; ``honour``
    waits for Retry-After and repeats only requests that are safe to repeat;
    ``hard`` repeats every refused request without a pause.
    """

    name: Name
    rate_per_s: PositiveNumber
    requests: tuple[RequestTemplate, ...]
    key_file: str = ''
    key_variable: str = ''
    arrivals: Literal['poisson', 'even'] = 'poisson'
    retry: Literal['none', 'honour', 'hard'] = 'none'
    retry_limit: Annotated[
        int,
        Meta(ge=0, le=1000, description='a whole number, 0 to 1000'),
    ] = 3

    def __post_init__(self) -> None:
        """Reject plans without requests or with two sources for the key."""
        if not self.requests:
            raise ValueError('at least one entry in requests')
        if self.key_file and self.key_variable:
            raise ValueError('either key_file or key_variable, not both')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Surge:
    """Multiplies the request rate for a time; no ``team`` means all teams."""

    start_s: Duration
    duration_s: Duration
    factor: PositiveNumber
    team: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportSettings:
    """Names of the report files (empty: not written); length of a bucket."""

    json_file: str = ''
    html_file: str = ''
    bucket_s: Seconds = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """The whole plan file of ``ebonycleat-load``.

    ``threads`` limits the requests in flight. Each request carries a marker
    in the query parameter ``load``. With ``check_echo`` the JSON answer must
    echo this marker, as the target stand-in does.
    """

    addresses: tuple[PeerAddress, ...]
    duration_s: Duration
    teams: tuple[TeamLoad, ...]
    surges: tuple[Surge, ...] = ()
    report: ReportSettings = ReportSettings()
    threads: PositiveInt = 64
    timeout_s: Seconds = 10
    check_echo: bool = False
    seed: int = 1

    def __post_init__(self) -> None:
        """Reject plans without addresses or teams."""
        if not self.addresses:
            raise ValueError('at least one entry in addresses')
        if not self.teams:
            raise ValueError('at least one entry in teams')


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request, to be sent ``at_s`` seconds after the start of the run."""

    at_s: float
    team: TeamLoad
    request: RequestTemplate
    marker: str
    address_index: int

    @property
    def idempotency_key(self) -> str:
        """The Idempotency-Key to send; empty if the request carries none."""
        return self.marker if self.request.idempotency_keys else ''


class MissingApiKey(Exception):
    """The API key of a team cannot be read from the source in the plan."""


def read_key(team: TeamLoad) -> str:
    """Return the API key of a team; empty for a team without a key.

    Such a team can only use routes that are open to all. Raises
    ``MissingApiKey``.
    """
    if team.key_variable:
        key = os.environ.get(team.key_variable, '').strip()
        if not key:
            raise MissingApiKey(
                f'set the environment variable {team.key_variable} '
                f'to the API key of team {team.name}',
            )
        return key
    if not team.key_file:
        return ''
    try:
        return pathlib.Path(team.key_file).read_text('utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise MissingApiKey(
            f'cannot read the API key of team {team.name}: {error}',
        ) from error


def plan_requests(plan: LoadPlan, run_id: str) -> Iterator[PlannedRequest]:
    """Yield all requests of a run in the order of their times.

    ``run_id`` is part of each marker, so that two runs do not share
    Idempotency-Keys. Times and choice of requests depend on the seed only.
    """
    return heapq.merge(
        *(_plan_team(plan, team, run_id) for team in plan.teams),
        key=_get_time,
    )


def _get_time(planned: PlannedRequest) -> float:
    return planned.at_s


def _plan_team(
    plan: LoadPlan,
    team: TeamLoad,
    run_id: str,
) -> Iterator[PlannedRequest]:
    # Each team has its own random generator, so that a change to the load of
    # one team does not change the load of the others.
    rng = random.Random(f'{plan.seed} {team.name}')
    weights = [request.weight for request in team.requests]
    recent_markers_by_request: dict[
        RequestTemplate, collections.deque[str]
    ] = {}
    at_s = float()
    for number in itertools.count(1):
        at_s += _draw_gap_s(plan, team, at_s, rng)
        if at_s >= plan.duration_s:
            return
        request = rng.choices(team.requests, weights)[0]
        recent = recent_markers_by_request.setdefault(
            request,
            collections.deque(maxlen=RECENT_KEY_COUNT),
        )
        marker = _choose_recent_marker(request, recent, rng)
        if not marker:
            marker = f'{run_id}-{team.name}-{number}'
            recent.append(marker)
        address_index = rng.randrange(len(plan.addresses))
        yield PlannedRequest(at_s, team, request, marker, address_index)


def _choose_recent_marker(
    request: RequestTemplate,
    recent: Sequence[str],
    rng: random.Random,
) -> str:
    is_repeat = request.idempotency_keys and rng.random() < request.repeat_share
    return rng.choice(recent) if is_repeat and recent else ''


def _draw_gap_s(
    plan: LoadPlan,
    team: TeamLoad,
    at_s: float,
    rng: random.Random,
) -> float:
    rate_per_s = team.rate_per_s
    for surge in plan.surges:
        is_active = surge.start_s <= at_s < surge.start_s + surge.duration_s
        if is_active and surge.team in {'', team.name}:
            rate_per_s *= surge.factor
    if team.arrivals == 'even':
        return 1 / rate_per_s
    return rng.expovariate(rate_per_s)
