"""Usage of a target by teams with and without a rate."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.process.gate_decisions import DispatchCall
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.process.team_usage import TeamUsage
from tests.cover.call_builders import make_call
from tests.cover.test_gate import make_gate

RATES = st.dictionaries(
    st.sampled_from(('a', 'b', 'c', '')),
    st.floats(0, allow_nan=False, allow_infinity=False),
)


def use(rates, **used):
    """Return the usage after calls of some teams were dispatched."""
    usage = TeamUsage()
    usage.weights.set_rates(rates)
    for team, cost in used.items():
        usage.record_dispatch(team, cost, now=0)
    return usage


@pytest.mark.parametrize('is_draining', [False, True])
def test_a_full_gate_queues_calls_of_teams_without_a_rate(is_draining):
    """Guards against an error that closes the link of all other calls.

    The weights of all teams that had used the target were 0, and a call that
    had to wait was compared with their share.
    """
    gate = make_gate()
    gate.set_team_rates({'a': 0, 'b': 0})
    for team in ('a', 'b'):
        gate.offer(make_call(team, team=team), 0)
        gate.finish_run(team, RunOutcome(RunResult.SUCCEEDED, 0.1), 0)
    running = make_call('running')
    assert gate.offer(running, 0) == [DispatchCall(running)]
    if is_draining:
        gate.drain()
    assert len(gate.offer(make_call('waiting', team='b'), 0)) == is_draining
    assert len(gate.queue) == (not is_draining)


def test_teams_without_a_rate_are_not_over_their_share_beside_one_with_a_rate():
    """Guards against teams that wait behind all others whatever they use."""
    usage = use({'a': 0, 'b': 0, 'c': 50}, a=4, b=4, c=4)
    for team in ('a', 'b', 'c'):
        assert not usage.is_over_share(team, 0)


def test_a_team_without_a_rate_that_uses_most_is_over_its_share():
    """Guards against teams that crowd out others because they have no rate."""
    usage = use({'a': 0, 'b': 50}, a=9, b=2)
    assert usage.is_over_share('a', 0)
    assert not usage.is_over_share('b', 0)


@given(
    rates=RATES,
    used=st.dictionaries(
        st.sampled_from(('a', 'b', 'c')), st.floats(0.1, 100), min_size=1
    ),
)
def test_no_rates_make_all_teams_exceed_their_shares(rates, used):
    """Guards against rates for which a share cannot be computed."""
    usage = use(rates, **used)
    over = {team for team in used if usage.is_over_share(team, 0)}
    assert over < used.keys()
