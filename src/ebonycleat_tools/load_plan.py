"""What a load run sends and when: decided before the first request."""

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
Rate: TypeAlias = Annotated[
    float,
    Meta(ge=0.001, le=1e6, description='requests per second, 0.001 or more'),
]
Duration: TypeAlias = Annotated[
    float,
    Meta(ge=0, le=86400, description='seconds, 0 to 86400'),
]
# Repeats are drawn from the latest keys, as clients repeat what just failed.
REPEATABLE_MARKERS = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestTemplate:
    """One kind of request; ``weight`` is its share within its team.

    ``priority`` names the class in the results; the node decides by its own
    routes. With ``idempotency_keys`` each request carries a key, and
    ``repeat_share`` of them repeat a recent one.
    """

    path: Annotated[
        str,
        Meta(pattern=r'^/[!-~]*\Z', description='a path from a slash on'),
    ]
    method: Annotated[
        str,
        Meta(pattern=r'^[A-Z]{1,16}\Z', description='an HTTP method'),
    ] = 'GET'
    weight: Rate = 1
    priority: Literal['critical', 'high', 'normal', 'low', 'lowest'] = 'normal'
    body_bytes: Annotated[
        int,
        Meta(ge=0, le=2**26, description='bytes, 0 to 67108864'),
    ] = 0
    idempotency_keys: bool = False
    repeat_share: Share = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamLoad:
    """The load of one team; its key is read from a file or the environment.

    ``retry``: ``none``; ``honour`` waits for Retry-After and repeats only
    what is safe; ``hard`` repeats everything at once.
    """

    name: Name
    rate_per_s: Rate
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
        """Refuse plans that send nothing or leave the key open."""
        if not self.requests:
            raise ValueError('at least one entry in requests')
        if self.key_file and self.key_variable:
            raise ValueError('either key_file or key_variable')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Surge:
    """Multiplies the rate for a time; ``team`` empty means all teams."""

    start_s: Duration
    duration_s: Duration
    factor: Rate
    team: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportSettings:
    """Files to write; an empty name writes none."""

    json_file: str = ''
    html_file: str = ''
    bucket_s: Seconds = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """The whole plan file of ``ebonycleat-load``.

    ``threads`` bounds the requests in flight. The marker of a request is
    sent as the query ``load``; ``check_echo`` expects it back in a JSON
    answer, as the target stand-in sends it.
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
        """Refuse plans without a place to send to."""
        if not self.addresses:
            raise ValueError('at least one entry in addresses')
        if not self.teams:
            raise ValueError('at least one entry in teams')


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request, due ``at_s`` seconds after the start of the run."""

    at_s: float
    team: TeamLoad
    request: RequestTemplate
    marker: str
    address_index: int

    @property
    def idempotency_key(self) -> str:
        """The key to send, or an empty text for none."""
        return self.marker if self.request.idempotency_keys else ''


class MissingApiKey(Exception):
    """A team's key is not where the plan says."""


def read_key(team: TeamLoad) -> str:
    """Read the key of one team; empty for teams that use open routes."""
    if team.key_variable:
        key = os.environ.get(team.key_variable, '').strip()
        if not key:
            raise MissingApiKey(
                f'set the variable {team.key_variable} to the key of '
                f'team {team.name}',
            )
        return key
    if not team.key_file:
        return ''
    try:
        return pathlib.Path(team.key_file).read_text('utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise MissingApiKey(f'the key of team {team.name}: {error}') from error


def plan_requests(plan: LoadPlan, run_id: str) -> Iterator[PlannedRequest]:
    """All requests of a run in the order of their times.

    ``run_id`` keeps the idempotency keys of two runs apart; it has no part
    in the times and the mix, which the seed decides.
    """
    return heapq.merge(
        *(_plan_team(plan, team, run_id) for team in plan.teams),
        key=_due_time,
    )


def _due_time(planned: PlannedRequest) -> float:
    return planned.at_s


def _plan_team(
    plan: LoadPlan,
    team: TeamLoad,
    run_id: str,
) -> Iterator[PlannedRequest]:
    # Each team has its own generator: a change to one team's load leaves
    # the load of the others as it was.
    rng = random.Random(f'{plan.seed} {team.name}')
    weights = [request.weight for request in team.requests]
    markers: dict[RequestTemplate, collections.deque[str]] = {}
    at_s = float()
    for number in itertools.count(1):
        at_s += _next_gap_s(plan, team, at_s, rng)
        if at_s >= plan.duration_s:
            return
        request = rng.choices(team.requests, weights)[0]
        recent = markers.setdefault(
            request,
            collections.deque(maxlen=REPEATABLE_MARKERS),
        )
        marker = _choose_marker(request, recent, rng)
        if not marker:
            marker = f'{run_id}-{team.name}-{number}'
            recent.append(marker)
        address_index = rng.randrange(len(plan.addresses))
        yield PlannedRequest(at_s, team, request, marker, address_index)


def _choose_marker(
    request: RequestTemplate,
    recent: Sequence[str],
    rng: random.Random,
) -> str:
    repeats = request.idempotency_keys and rng.random() < request.repeat_share
    return rng.choice(recent) if repeats and recent else ''


def _next_gap_s(
    plan: LoadPlan,
    team: TeamLoad,
    at_s: float,
    rng: random.Random,
) -> float:
    rate_per_s = team.rate_per_s
    for surge in plan.surges:
        in_time = surge.start_s <= at_s < surge.start_s + surge.duration_s
        if in_time and surge.team in {'', team.name}:
            rate_per_s *= surge.factor
    if team.arrivals == 'even':
        return 1 / rate_per_s
    return rng.expovariate(rate_per_s)
