"""Shares of teams in what an entry admits, with a manual clock."""

import collections
import random
from unittest import mock

import pytest

from ebonycleat.internal.process.admission.fair_shares import (
    UNLIMITED_LEVEL,
    TeamShares,
    find_fair_level,
)
from ebonycleat.internal.process.backpressure import AdmissibleShares
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.mesh_entry import MeshEntry
from ebonycleat.internal.process.mesh_metrics import MeshMetrics
from ebonycleat.internal.process.route_call_counts import RouteCallCounts
from ebonycleat.internal.process.team_weights import TeamWeights
from tests.mesh_fakes import ManualClock, create_call


@pytest.mark.parametrize(
    ('demands', 'capacity', 'level'),
    [
        ([(4, 1), (2, 1)], 3, 1.5),
        ([(9, 1), (1, 1), (1, 1)], 6, 4),
        ([(9, 1), (9, 3)], 8, 2),
        ([], 0, UNLIMITED_LEVEL),
        # Guards against a division by zero: subtracting the large weight from
        # the sum leaves nothing of the small one.
        ([(1, 1e20), (9, 1)], 5, 4),
    ],
)
def test_what_some_teams_do_not_use_goes_to_others(demands, capacity, level):
    """Guards against unused shares, and against weights that do not count."""
    assert find_fair_level(demands, capacity) == level


def admit(usual, hot_factor, share, *, has_unlimited=True):
    """Return the admitted part of each team over 20 s, of all, and the log.

    Weights are the usual rates. The service can take ``share`` of the load.
    """
    clock, rng = ManualClock(), random.Random(7)
    counts, metrics = RouteCallCounts(), MeshMetrics()
    components = mock.Mock(call_counts=counts, clock=clock, metrics=metrics)
    components.tokens.rng.uniform.return_value = 1
    entry = MeshEntry(components)
    rates = usual | {'unlimited': 0}
    entry.backpressure.weights.set_rates(rates if has_unlimited else usual)
    load = usual | {'hot': usual['hot'] * hot_factor}
    sent, admitted = collections.Counter(), collections.Counter()
    shares = (AdmissibleShares('deep', 1, share),)
    while clock.now < 120:
        clock.now += rng.expovariate(sum(load.values()))
        team = rng.choices(list(load), list(load.values()))[0]
        call = create_call(clock, route='map', team=team)
        request = AdmittedRequest(call, 'id', 'host', b'', 2, call.deadline, '')
        entry.backpressure.record_shares(request, shares, clock.now)
        sent[team] += 1
        admitted[team] += entry.check_backpressure(request) is None
    parts = {team: admitted[team] / sent[team] for team in usual}
    lines = components.log.write_limited.call_args_list
    limited = [line.kwargs for line in lines if 'team' in line.args[0]]
    return parts, admitted.total() / sent.total(), limited


@pytest.mark.parametrize(
    ('hot_factor', 'share', 'least'), [(1, 0.5, 0.4), (7.5, 1.2 / 3.17, 0.9)]
)
@pytest.mark.parametrize('teams', [4, 100])
def test_a_hot_team_does_not_take_the_room_of_others(
    teams, hot_factor, share, least
):
    """Guards against one team at 7.5 times its usual that others pay for.

    It also guards against shares that leave capacity idle, and against a log
    that floods or names no team.
    """
    usual = {f't{number}': 40 / teams for number in range(teams)} | {'hot': 20}
    parts, total, limited = admit(usual, hot_factor, share)
    others = sum(parts.values()) - parts['hot']
    assert total == pytest.approx(share, rel=0.1)
    assert others / teams > least
    logged = [line['team'] for line in limited].count('hot')
    assert logged <= 2
    assert logged or hot_factor == 1


def test_a_team_without_requests_is_forgotten():
    """Guards against shares kept for teams that ask for nothing."""
    weights = TeamWeights()
    weights.set_rates({'a': 5, 'b': 0})
    assert weights.weight('b') == weights.weight('unknown') == 5
    shares = TeamShares(weights)
    shares.count('a', 4, 0)
    shares.count('b', 4, 0)
    assert shares.fraction('a', 0.5, 0) == pytest.approx(0.5)
    shares.count('a', 4, 2.5)
    assert shares.fraction('a', 0.9, 2.5) == pytest.approx(0.9)
    assert list(shares.demands) == ['a']
    assert shares.describe('deep', 'a', 0.95, 2.5) is None
    assert shares.describe('deep', 'a', 1.1, 2.5).calls_per_s > 2


def test_a_request_that_causes_no_calls_is_granted():
    """Guards against a division by zero that closes the caller's connection.

    The calls that a route causes are averaged and sent in thousandths, so they
    can become 0.
    """
    shares = TeamShares(TeamWeights())
    shares.count('a', 0, now=0)
    assert shares.fraction('a', 0.5, now=0) == 1
    shares.count('b', 0, now=0.5)
    assert shares.fraction('b', 0.5, now=0.5) == 1


def test_teams_that_all_have_rates_share_a_class_evenly():
    """Guards against refusals by the few requests that an entry sees of a team.

    The rates bound what one team takes from others.
    """
    usual = {f't{number}': 4 for number in range(10)} | {'hot': 20}
    parts, total, limited = admit(usual, 1.6, 0.5, has_unlimited=False)
    assert total == pytest.approx(0.5, rel=0.05)
    assert parts['hot'] == pytest.approx(0.5, abs=0.1)
    assert not limited
