"""One request over several gates: repeats, refusals, final answers."""

import asyncio
import random

import pytest

from ebonycleat import Answer, Outcome, Reason, Refusal
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.retry_budget import (
    RetryBudgetLimits,
    RetryBudget,
    divide_retry_limits,
)
from ebonycleat.internal.process.router import create_router
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import RefusedCall
from ebonycleat.internal.request.mesh_request_run import (
    AttemptResult,
    GateClient,
    MeshRequestRun,
)
from ebonycleat.internal.request.refusal import (
    refuse_not_run,
    refuse_outcome_unknown,
)
from tests.mesh_fakes import ManualClock, create_call

LOAD = GateLoad(0, 1, 4, 0.01, 1280, draining=False)
MEMBERS = tuple(Member(f'node-{number}', 'a') for number in range(6))


class ScriptedGates(GateClient):
    """Gates that end each attempt with the next result of a script."""

    def __init__(self, clock, results):
        self.clock = clock
        self.results = list(results)
        self.offered = []
        self.cancelled = 0

    def members_of(self, service):
        return MEMBERS

    def start_attempt(self, member, admitted, on_result):
        self.offered.append(member.node)
        if self.results:
            result = self.results.pop(0)
            load = None if result is LOST else LOAD
            on_result(AttemptResult(result, load))
        return self.cancel

    def cancel(self):
        self.cancelled += 1


def answer(status=200):
    return Answer('call', status)


def not_run(reason=Reason.DRAINING):
    return RefusedCall('call', refuse_not_run(reason, retry_after_s=1))


def unknown(reason=Reason.TARGET_FAILED):
    return RefusedCall('call', refuse_outcome_unknown(reason))


LOST = unknown(Reason.CONNECTION_LOST)


def play(*results, attempts=2, budget=None, then=None, **options):
    """Run one request; returns its end, the gates and the run."""
    clock = ManualClock()
    gates = ScriptedGates(clock, results)
    ends = []

    async def run_once():
        call = create_call(clock, **options)
        run = MeshRequestRun(
            AdmittedRequest(call, 'id', 'host', b'', attempts, call.deadline),
            gates,
            create_router('a', 'node-0', random.Random(1)),
            budget or RetryBudget(),
            lambda load: None,
            lambda _, result: ends.append(result),
        )
        run.start()
        if then:
            then(run)
        run.stop_timer()

    asyncio.run(run_once())
    return ends, gates


def test_an_answer_ends_the_request():
    """Guards against a second run after an answer."""
    ends, gates = play(answer(500))
    assert ends[0].status == 500
    assert len(gates.offered) == 1


def test_a_refusal_by_a_gate_costs_no_repeat():
    """Guards against refusals that use up the attempts of a route."""
    empty = RetryBudget(RetryBudgetLimits(0, 0, 0, 0))
    ends, gates = play(
        not_run(),
        not_run(),
        answer(),
        attempts=1,
        budget=empty,
        idempotent=False,
    )
    assert isinstance(ends[0], Answer)
    assert len(set(gates.offered)) == 3


def test_an_unrepeatable_request_is_never_sent_again():
    """Guards against a deposit that is made twice."""
    ends, gates = play(unknown(), answer(), idempotent=False)
    assert ends[0].outcome is Outcome.UNKNOWN
    assert len(gates.offered) == 1


def test_an_idempotent_request_is_repeated_at_another_gate():
    """Guards against a failure that another target would have avoided."""
    ends, gates = play(unknown(), answer())
    assert isinstance(ends[0], Answer)
    assert len(set(gates.offered)) == 2


def test_repeats_end_with_the_attempts_of_the_route():
    """Guards against more targets than the operator allows."""
    ends, gates = play(unknown(), unknown(), answer(), attempts=2)
    assert len(gates.offered) == 2
    assert ends[0].outcome is Outcome.UNKNOWN


def test_repeats_end_with_the_budget():
    """Guards against retries that multiply in an outage."""
    empty = RetryBudget(RetryBudgetLimits(0, 0, 0, 0))
    _, gates = play(unknown(), answer(), budget=empty)
    assert len(gates.offered) == 1


def test_not_run_is_never_claimed_after_a_send():
    """Guards against a promise that a target may have broken."""
    ends, _ = play(unknown(), not_run(), not_run(), not_run())
    assert ends[0].outcome is Outcome.UNKNOWN


def test_gates_that_are_full_are_not_all_asked():
    """Guards against overload that each refusal makes worse."""
    full = not_run(Reason.QUEUE_FULL)
    ends, gates = play(full, full, full, answer())
    assert len(gates.offered) == 2
    assert ends[0].reason is Reason.QUEUE_FULL


@pytest.mark.parametrize(
    'reason',
    [Reason.WITHDRAWN_KEY, Reason.DEADLINE, Reason.CRASH_SUSPECT],
)
def test_a_refusal_that_holds_everywhere_is_final(reason):
    """Guards against a withdrawn key that is tried gate by gate."""
    _, gates = play(not_run(reason), answer())
    assert len(gates.offered) == 1


def test_the_end_of_the_time_answers_at_once_and_cancels():
    """Guards against callers that are kept past their route's time."""
    ends, gates = play(then=MeshRequestRun.expire)
    assert ends[0].reason is Reason.DEADLINE
    assert ends[0].outcome is Outcome.UNKNOWN
    assert gates.cancelled == 1


def test_a_caller_that_left_gets_no_answer_and_its_run_ends():
    """Guards against work for callers that are gone."""
    ends, gates = play(then=MeshRequestRun.cancel)
    assert not ends
    assert gates.cancelled == 1


def test_a_lost_link_leaves_the_outcome_unknown():
    """Guards against a cut that is taken for a refusal."""
    ends, _ = play(LOST, idempotent=False)
    assert isinstance(ends[0], Refusal)
    assert ends[0].outcome is Outcome.UNKNOWN


@pytest.mark.parametrize('count', [1, 13, 83, 17_000])
def test_all_nodes_together_stay_within_the_fleet_s_retry_budget(count):
    """Guards against a slack that each node takes for its own."""
    bounds = divide_retry_limits(0.2, 48, 10, count)
    saved = bounds.max_balance * count
    earned = bounds.min_retries_per_s * 10 * count
    # Each node may hold one whole repeat, or none could ever be made.
    assert saved + earned <= max(48, count + 48 / 4)
