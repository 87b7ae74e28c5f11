"""The checker of a soak sees each kind of broken promise."""

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

PROMISES = GuaranteeLimits(
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
    """One request that ran and was answered, and nothing else."""
    history = History()
    history.ended_at = 100
    add(history, 'id-1')
    return history


def add(history, request_id, sent_at=1, **options):
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
    run(history, request_id, began_at=sent_at + 0.05)


def run(history, request_id, **options):
    fields = {
        'request_id': request_id,
        'path': '/renew/1',
        'team': 'shop',
        'instance': 'i-1',
        'began_at': 1.05,
    }
    history.runs.append(ObservedRun(**(fields | options)))


def refuse_what_ran(history):
    history.sent_requests['id-1'].status = 503


def answer_for_another(history):
    history.sent_requests['id-1'].body = expected_body('id-2')


def answer_of_another_target(history):
    history.sent_requests['id-1'].signature = 'i-2'


def run_after_withdrawal(history):
    history.withdrawal_times['key'] = 2
    add(history, 'late', sent_at=8)


def run_over_the_rate(history):
    for number in range(70):
        add(history, f'more-{number}', sent_at=3 + number / 100)


def leave_unanswered(history):
    history.sent_requests['id-1'].ended_at = None
    history.sent_requests['id-1'].status = 0


def never_recover(history):
    for number in range(8):
        add(history, f'after-{number}', sent_at=50 + number, status=502)


@pytest.mark.parametrize(
    ('word', 'mutate'),
    [
        ('twice', lambda history: run(history, 'id-1')),
        ('unsent', lambda history: run(history, 'id-9')),
        ('changed', lambda history: run(history, 'id-1', team='other')),
        ('changed', lambda history: run(history, 'id-1', path='/')),
        ('false refusal', refuse_what_ran),
        ('foreign answer', answer_for_another),
        ('foreign answer', answer_of_another_target),
        ('withdrawn key', run_after_withdrawal),
        ('over rate', run_over_the_rate),
        ('no answer', leave_unanswered),
        ('not recovered', never_recover),
    ],
)
def test_each_broken_promise_is_found(word, mutate):
    """Guards against a soak that passes whatever nodes do."""
    history = create_history()
    assert not find_violations(history, PROMISES)
    mutate(history)
    found = find_violations(history, PROMISES)
    assert any(line.startswith(word) for line in found), found


def test_a_disturbed_node_may_leave_a_request_unanswered():
    """Guards against faults of the soak that are taken for the node's."""
    history = create_history()
    leave_unanswered(history)
    history.fault_windows.append(FaultWindow(0, 0, 4))
    assert not find_violations(history, PROMISES)


def test_a_request_that_may_repeat_may_have_run_before_its_refusal():
    """Guards against a promise that was never made."""
    history = create_history()
    refuse_what_ran(history)
    history.sent_requests['id-1'].is_idempotent = True
    assert not find_violations(history, PROMISES)
