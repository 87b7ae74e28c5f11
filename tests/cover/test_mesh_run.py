"""One request sent to several gates: retries, refusals, final answers."""

import asyncio
import random

import pytest

from ebonycleat import Answer, Outcome, Reason, Refusal
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.retry_budget import (
    RetryBudget,
    RetryBudgetLimits,
    divide_retry_limits,
)
from ebonycleat.internal.process.router import create_router
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import RefusedCall
from ebonycleat.internal.request.mesh_request_run import (
    AttemptResult,
    GateClient,
    MeshRequestRun,
    OpenAttempt,
)
from ebonycleat.internal.request.refusal import (
    refuse_not_run,
    refuse_outcome_unknown,
)
from tests.mesh_fakes import ManualClock, create_call

LOAD = GateLoad(0, 1, 4, 0.01, 1280, draining=False)
MEMBERS = tuple(Member(f'node-{number}', 'a') for number in range(6))


class ScriptedGates(GateClient, OpenAttempt):
    """Gates that end each attempt with the next result of a script.

    An attempt that is withdrawn ends with ``withdrawn_result``.
    """

    withdrawn_result = None

    def __init__(self, clock, results):
        self.clock = clock
        self.results = list(results)
        self.offered = []
        self.cancelled = 0

    def members_of(self, service):
        return MEMBERS

    def start_attempt(self, member, admitted, on_result):
        self.offered.append(member.node)
        self.on_result = on_result
        if self.results:
            result = self.results.pop(0)
            load = None if result is CONNECTION_LOST else LOAD
            on_result(AttemptResult(result, load))
        return self

    def cancel(self):
        self.cancelled += 1

    def withdraw(self):
        if self.withdrawn_result is not None:
            self.on_result(AttemptResult(self.withdrawn_result, LOAD))


def make_answer(status=200):
    return Answer('call', status)


def make_not_run(reason=Reason.DRAINING):
    return RefusedCall('call', refuse_not_run(reason, retry_after_s=1))


def make_unknown(reason=Reason.TARGET_FAILED):
    return RefusedCall('call', refuse_outcome_unknown(reason))


CONNECTION_LOST = make_unknown(Reason.CONNECTION_LOST)


def run_request(
    *results,
    attempts=2,
    budget=None,
    after_start=None,
    withdrawn_result=None,
    **options,
):
    """Run one request; return its final results and the gates."""
    clock = ManualClock()
    gates = ScriptedGates(clock, results)
    gates.withdrawn_result = withdrawn_result
    final_results = []

    async def run_once():
        call = create_call(clock, **options)
        run = MeshRequestRun(
            AdmittedRequest(call, 'id', 'host', b'', attempts, call.deadline),
            gates,
            create_router('a', 'node-0', random.Random(1)),
            budget or RetryBudget(),
            lambda load: None,
            lambda _, result: final_results.append(result),
        )
        run.start()
        if after_start:
            after_start(run)
        run.stop_timer()

    asyncio.run(run_once())
    return final_results, gates


@pytest.mark.parametrize(
    ('earlier', 'withdrawn', 'reason'),
    [
        ((), 'waits', Reason.EVACUATED),
        ((), 'runs', Reason.TARGET_FAILED),
        (('runs',), 'waits', Reason.TARGET_FAILED),
    ],
)
def test_a_withdrawn_request_is_answered_by_whether_it_has_run(
    earlier, withdrawn, reason
):
    """Guards against a request without an answer at the end of a node.

    It must not be offered to another gate, and "not run" must be true.
    """
    results = {
        'waits': make_not_run(Reason.CANCELLED),
        'runs': make_unknown(),
    }
    final_results, gates = run_request(
        *(results[one] for one in earlier),
        withdrawn_result=results[withdrawn],
        after_start=lambda run: run.withdraw(refuse_not_run(Reason.EVACUATED)),
    )
    assert [result.reason for result in final_results] == [reason]
    assert len(gates.offered) == len(earlier) + 1


def test_an_answer_to_a_withdrawn_request_is_passed_on():
    """Guards against an answer that is replaced by a refusal."""
    final_results, _ = run_request(
        withdrawn_result=make_answer(),
        after_start=lambda run: run.withdraw(refuse_not_run(Reason.EVACUATED)),
    )
    assert isinstance(final_results[0], Answer)


def test_an_answer_ends_the_request():
    """Guards against running a request again after an answer."""
    final_results, gates = run_request(make_answer(500))
    assert final_results[0].status == 500
    assert len(gates.offered) == 1


def test_a_refusal_by_a_gate_uses_up_no_retry():
    """Guards against refusals that use up the attempts of a route."""
    empty_budget = RetryBudget(RetryBudgetLimits(0, 0, 0, 0))
    final_results, gates = run_request(
        make_not_run(),
        make_not_run(),
        make_answer(),
        attempts=1,
        budget=empty_budget,
        idempotent=False,
    )
    assert isinstance(final_results[0], Answer)
    assert len(set(gates.offered)) == 3


def test_a_non_idempotent_request_is_never_sent_again():
    """Guards against a deposit that is made twice."""
    final_results, gates = run_request(
        make_unknown(), make_answer(), idempotent=False
    )
    assert final_results[0].outcome is Outcome.UNKNOWN
    assert len(gates.offered) == 1


def test_an_idempotent_request_is_retried_at_another_gate():
    """Guards against a failure that another target would have avoided."""
    final_results, gates = run_request(make_unknown(), make_answer())
    assert isinstance(final_results[0], Answer)
    assert len(set(gates.offered)) == 2


def test_retries_end_with_the_attempt_limit_of_the_route():
    """Guards against more attempts than the operator allows."""
    final_results, gates = run_request(
        make_unknown(), make_unknown(), make_answer(), attempts=2
    )
    assert len(gates.offered) == 2
    assert final_results[0].outcome is Outcome.UNKNOWN


def test_retries_end_when_the_retry_budget_is_empty():
    """Guards against retries that multiply in an outage."""
    empty_budget = RetryBudget(RetryBudgetLimits(0, 0, 0, 0))
    _, gates = run_request(make_unknown(), make_answer(), budget=empty_budget)
    assert len(gates.offered) == 1


def test_not_run_is_never_claimed_after_a_send():
    """Guards against "not run" for a request that a target may have run."""
    final_results, _ = run_request(
        make_unknown(), make_not_run(), make_not_run(), make_not_run()
    )
    assert final_results[0].outcome is Outcome.UNKNOWN


def test_a_request_tries_at_most_two_full_gates():
    """Guards against refusals that spread an overload to all gates."""
    full = make_not_run(Reason.QUEUE_FULL)
    final_results, gates = run_request(full, full, full, make_answer())
    assert len(gates.offered) == 2
    assert final_results[0].reason is Reason.QUEUE_FULL


@pytest.mark.parametrize(
    'reason',
    [
        Reason.WITHDRAWN_KEY,
        Reason.DEADLINE,
        Reason.CRASH_SUSPECT,
        Reason.UNSENDABLE,
    ],
)
def test_a_refusal_that_any_gate_would_give_is_final(reason):
    """Guards against trying a withdrawn key at gate after gate."""
    _, gates = run_request(make_not_run(reason), make_answer())
    assert len(gates.offered) == 1


def test_a_passed_deadline_ends_the_request_and_cancels_its_attempt():
    """Guards against callers that wait past the time-out of their route."""
    final_results, gates = run_request(after_start=MeshRequestRun.expire)
    assert final_results[0].reason is Reason.DEADLINE
    assert final_results[0].outcome is Outcome.UNKNOWN
    assert gates.cancelled == 1


def test_a_caller_that_left_gets_no_answer_and_its_attempt_is_cancelled():
    """Guards against work for callers that are gone."""
    final_results, gates = run_request(after_start=MeshRequestRun.cancel)
    assert not final_results
    assert gates.cancelled == 1


def test_a_lost_link_leaves_the_outcome_unknown():
    """Guards against treating a lost link as a refusal."""
    final_results, _ = run_request(CONNECTION_LOST, idempotent=False)
    assert isinstance(final_results[0], Refusal)
    assert final_results[0].outcome is Outcome.UNKNOWN


@pytest.mark.parametrize('count', [1, 13, 83, 17_000])
def test_all_nodes_together_stay_within_the_retry_budget_of_the_fleet(count):
    """Guards against a fleet-wide allowance that each node uses in full."""
    limits = divide_retry_limits(0.2, 48, 10, count)
    total_balance = limits.max_balance * count
    total_earned = limits.min_retries_per_s * 10 * count
    # Each node may save up one whole retry; otherwise it could never retry.
    assert total_balance + total_earned <= max(48, count + 48 / 4)
