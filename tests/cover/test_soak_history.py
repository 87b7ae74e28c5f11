"""The checker of a soak test finds each kind of broken guarantee."""

import pytest

from ebonycleat_tools.platform.history import (
    FaultWindow,
    GuaranteeLimits,
    History,
    ObservedRun,
    SentRequest,
    expected_body,
    find_violations,
)

LIMITS = GuaranteeLimits(
    rate_per_s=10,
    burst=5,
    rate_window_s=5,
    rate_tolerance_share=0.1,
    rate_tolerance_requests=4,
    withdrawal_limit_s=5,
    recovery_limit_s=8,
    min_success_share=0.25,
)


def create_history():
    """Return a history of one request that ran and was answered."""
    history = History()
    history.ended_at = 100
    add_request(history, 'id-1')
    return history


def add_request(history, request_id, sent_at=1, **options):
    fields = {
        'request_id': request_id,
        'path': '/renew/1',
        'team': 'shop',
        'key': 'key',
        'is_idempotent': False,
        'node': 0,
        'sent_at': sent_at,
        'timeout_s': 2,
        'ended_at': sent_at + 0.1,
        'status': 200,
        'signature': 'i-1',
        'body': expected_body(request_id),
    }
    history.sent_requests[request_id] = SentRequest(**(fields | options))
    add_run(history, request_id, began_at=sent_at + 0.05)


def add_run(history, request_id, **options):
    fields = {
        'request_id': request_id,
        'path': '/renew/1',
        'team': 'shop',
        'instance': 'i-1',
        'began_at': 1.05,
    }
    history.runs.append(ObservedRun(**(fields | options)))


def refuse_executed_request(history):
    history.sent_requests['id-1'].status = 503


def return_answer_to_another_request(history):
    history.sent_requests['id-1'].body = expected_body('id-2')


def return_answer_of_another_target(history):
    history.sent_requests['id-1'].signature = 'i-2'


def add_run_after_withdrawal(history):
    history.withdrawal_times['key'] = 2
    add_request(history, 'late', sent_at=8)


def add_runs_over_the_rate(history):
    for number in range(70):
        add_request(history, f'more-{number}', sent_at=3 + number / 100)


def remove_answer(history):
    history.sent_requests['id-1'].ended_at = None
    history.sent_requests['id-1'].status = 0


def cut_off_by_a_planned_stop(history):
    history.sent_requests['id-1'].status = 0
    history.fault_windows += [
        FaultWindow(0, 0.5, 1.1, is_planned_stop=True),
        FaultWindow(0, 1.1, 5),
    ]


def add_failures_after_recovery_time(history):
    for number in range(8):
        add_request(history, f'after-{number}', sent_at=50 + number, status=502)


@pytest.mark.parametrize(
    ('violation', 'mutate'),
    [
        ('twice', lambda history: add_run(history, 'id-1')),
        ('unsent', lambda history: add_run(history, 'id-9')),
        ('changed', lambda history: add_run(history, 'id-1', team='other')),
        ('changed', lambda history: add_run(history, 'id-1', path='/')),
        ('changed', lambda history: add_run(history, 'id-1', checksum=7)),
        ('false refusal', refuse_executed_request),
        ('foreign answer', return_answer_to_another_request),
        ('foreign answer', return_answer_of_another_target),
        ('withdrawn key', add_run_after_withdrawal),
        ('over rate', add_runs_over_the_rate),
        ('no answer', remove_answer),
        ('cut by a stop', cut_off_by_a_planned_stop),
        ('not recovered', add_failures_after_recovery_time),
    ],
)
def test_each_kind_of_violation_is_found(violation, mutate):
    """Guards against a soak test that passes whatever the nodes do."""
    history = create_history()
    assert not find_violations(history, LIMITS)
    mutate(history)
    found = find_violations(history, LIMITS)
    assert any(line.startswith(violation) for line in found), found


def test_a_node_under_a_fault_may_leave_a_request_unanswered():
    """Guards against blaming a node for a fault that the soak test injected."""
    history = create_history()
    remove_answer(history)
    history.fault_windows.append(FaultWindow(0, 0, 4))
    assert not find_violations(history, LIMITS)


@pytest.mark.parametrize('node', [-1, 0, 1])
def test_a_fault_beside_a_planned_stop_may_cost_an_answer(node):
    """Guards against blaming a stop for what happened to the run's target."""
    history = create_history()
    history.node_by_instance['i-1'] = 1
    cut_off_by_a_planned_stop(history)
    history.fault_windows.append(FaultWindow(node, 0.9, 1))
    assert not find_violations(history, LIMITS)


def test_an_idempotent_request_may_have_run_before_its_refusal():
    """Guards against checking a guarantee that was never given."""
    history = create_history()
    refuse_executed_request(history)
    history.sent_requests['id-1'].is_idempotent = True
    assert not find_violations(history, LIMITS)
