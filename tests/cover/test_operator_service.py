"""Outcomes that operators are told, also if appends fail or are repeated."""

import msgspec
import pytest

from ebonycleat.internal.connection.operator_messages import (
    AnswerStatus,
    OperatorAnswer,
    OperatorRequest,
)
from ebonycleat.internal.process.effects import AppendConfirmed, AppendFailed
from ebonycleat.internal.process.operator_service import (
    APPEND_REPEAT_S,
    OperatorReply,
)
from ebonycleat.internal.request.operator_http import (
    read_operator_request,
    render_operator_answer,
)
from ebonycleat.internal.version.records import RejectionReason
from tests.configuration_records import sha256_hex
from tests.operator_node import (
    CREATE_TEAM_COMMAND,
    KIM_KEY_DIGEST,
    FakeNodeStatus,
    OperatorNode,
)


def test_only_known_operators_are_authorised():
    """Guards against changes by anyone who can connect to the node."""
    node = OperatorNode([])
    request = OperatorRequest(CREATE_TEAM_COMMAND, 'op')
    for digest in ('', sha256_hex('other'), 'ключ', KIM_KEY_DIGEST.upper()):
        reply = node.service.submit('t', digest, request, 1, 1)[0]
        assert reply.answer.status is AnswerStatus.UNAUTHORISED
    assert not node.service.pending_requests


def test_the_loser_of_a_race_is_told_which_change_won():
    """Guards against two operators who both believe their change applies."""
    log = []
    first, second = OperatorNode(log), OperatorNode(log)
    assert (
        first.submit_and_append(CREATE_TEAM_COMMAND).status
        is AnswerStatus.ACCEPTED
    )
    second.catch_up()
    winning = first.submit('change team survey rate 20', 'win')
    losing = second.submit('change team survey rate 30', 'lose')
    first.append_to_log(winning[0])
    second.append_to_log(losing[0])
    won = first.catch_up()[0].answer
    lost = second.catch_up()[0].answer
    assert (won.status, won.version) == (AnswerStatus.ACCEPTED, 2)
    assert lost.status is AnswerStatus.REJECTED
    assert lost.rejected.reason is RejectionReason.CONFLICT
    assert lost.lost_to.operation_id == 'win'
    assert lost.lost_to.changes == (
        'put team survey rate 20 burst 5 zones a=1, b=1',
    )
    assert first.follower.view.find_team('survey').rate_per_s == 20


def test_a_lost_append_answer_leads_to_the_true_outcome():
    """Guards against answering a second copy of a change as a conflict."""
    node = OperatorNode([])
    effect = node.submit(CREATE_TEAM_COMMAND)[0]
    failed = AppendFailed('op', may_have_taken_effect=True)
    assert node.service.handle_append_result(failed, node.now) == []
    second = node.advance_clock(APPEND_REPEAT_S)[0]
    assert second == effect
    node.append_to_log(effect)
    node.append_to_log(second)
    replies = node.catch_up()
    assert [reply.answer.status for reply in replies] == [
        AnswerStatus.ACCEPTED,
    ]
    assert replies[0].answer.version == 1


def test_a_change_sent_again_to_another_node_takes_effect_once():
    """Guards against a rejection of a change that is in force."""
    log = []
    first, second = OperatorNode(log), OperatorNode(log)
    lost = first.submit(CREATE_TEAM_COMMAND)[0]
    again = second.submit(CREATE_TEAM_COMMAND, attempt=1)[0]
    first.append_to_log(lost)
    second.append_to_log(again)
    answer = second.catch_up()[0].answer
    assert (answer.status, answer.version) == (AnswerStatus.ACCEPTED, 1)
    third = OperatorNode(log).submit(CREATE_TEAM_COMMAND, attempt=2)[0]
    assert third.answer == answer


def test_a_repeated_attempt_is_never_rejected_before_the_log_decides():
    """Guards against "rejected" while an earlier copy may still be appended."""
    node = OperatorNode([])
    node.submit_and_append(CREATE_TEAM_COMMAND)
    text = 'change team nobody rate 1'
    assert node.submit_and_append(text, 'first').status is AnswerStatus.REJECTED
    assert node.submit(text, 'again', attempt=1, wait_s=3) == []
    reply = node.advance_clock(3)[0]
    assert reply.answer.status is AnswerStatus.UNKNOWN


@pytest.mark.parametrize(
    ('attempt', 'results', 'status'),
    [
        (0, [AppendFailed('op', False)], AnswerStatus.REJECTED),
        (1, [AppendFailed('op', False)], AnswerStatus.UNKNOWN),
        (0, [AppendFailed('op', True)], AnswerStatus.UNKNOWN),
        (0, [AppendConfirmed('op', 1)], AnswerStatus.UNKNOWN),
        (0, [], AnswerStatus.UNKNOWN),
    ],
)
def test_a_change_not_seen_in_the_log_is_rejected_only_if_never_appended(
    attempt,
    results,
    status,
):
    """Guards against "rejected" for a change that may still take effect."""
    node = OperatorNode([])
    node.submit(CREATE_TEAM_COMMAND, attempt=attempt, wait_s=0.2)
    for result in results:
        assert node.service.handle_append_result(result, node.now) == []
    replies = node.advance_clock(0.2)
    assert isinstance(replies[0], OperatorReply)
    assert replies[0].answer.status is status
    assert replies[0].answer.operation_id == 'op'
    assert node.advance_clock(60) == []


def test_a_dry_run_reports_the_outcome_and_changes_nothing():
    """Guards against a dry run that appends to the log."""
    log = []
    node = OperatorNode(log)
    node.submit_and_append(CREATE_TEAM_COMMAND)
    good = node.submit_and_append('dry run change team survey rate 7', '')
    bad = node.submit_and_append(f'dry run {CREATE_TEAM_COMMAND}', '')
    assert good.status is AnswerStatus.DONE
    assert bad.status is AnswerStatus.REJECTED
    assert bad.lost_to.operation_id == 'op'
    assert len(log) == 1


def test_steps_of_one_change_see_the_steps_before_them():
    """Guards against having to split dependent steps into several changes."""
    node = OperatorNode([])
    text = (
        f'{CREATE_TEAM_COMMAND}; create key {KIM_KEY_DIGEST} for team survey; '
        'change team survey '
    )
    answer = node.submit_and_append(f'{text} burst 9')
    assert answer.status is AnswerStatus.ACCEPTED
    assert node.follower.view.find_team('survey').burst == 9
    again = node.submit_and_append(
        f'withdraw key {KIM_KEY_DIGEST}; {text} burst 9', 'op2'
    )
    assert again.status is AnswerStatus.REJECTED
    assert again.rejected.subject == 'team:survey'


def test_versions_given_by_the_operator_replace_those_of_the_view():
    """Guards against changes that are based on an outdated listing."""
    node = OperatorNode([])
    node.submit_and_append(CREATE_TEAM_COMMAND)
    stale = (('team:survey', 0),)
    answer = node.submit_and_append(
        'withdraw team survey', 'op2', expected=stale
    )
    assert answer.rejected.reason is RejectionReason.CONFLICT


def test_a_node_whose_view_is_behind_answers_not_ready():
    """Guards against answers from an outdated configuration."""
    node = OperatorNode([])
    assert node.submit('show teams', at_least_version=1, wait_s=1) == []
    assert node.advance_clock(1)[0].answer.status is AnswerStatus.NOT_READY
    assert node.submit('wait for 1') == []
    assert (
        node.submit_and_append(CREATE_TEAM_COMMAND).status is AnswerStatus.DONE
    )


def test_queries_are_answered_as_typed_data():
    """Guards against listings that lack what is in force."""
    node = OperatorNode([])
    node.submit_and_append(
        f'{CREATE_TEAM_COMMAND}; create key {KIM_KEY_DIGEST} for team survey'
    )
    assert node.submit_and_append('show teams').teams[0].team == 'survey'
    assert (
        node.submit_and_append('show keys of team survey').keys[0].digest
        == KIM_KEY_DIGEST
    )
    assert node.submit_and_append('show keys of team other').keys == ()
    assert (
        node.submit_and_append('show nodes').nodes
        == FakeNodeStatus().list_nodes()
    )
    by_reason = node.submit_and_append('show refusals').refusals
    assert [(row.group, row.count) for row in by_reason] == [
        ('shed', 7),
        ('over-rate', 2),
    ]
    by_team = node.submit_and_append('show refusals by team').refusals
    assert [row.group for row in by_team] == ['survey', 'other']
    history = node.submit_and_append('show history').history
    assert (history[0].operator, history[0].change_count) == ('kim', 2)
    assert node.submit_and_append('show change op').history == history
    assert (
        node.submit_and_append('show change none').status
        is AnswerStatus.UNKNOWN
    )
    assert (
        'Retry-After'
        in node.submit_and_append('explain refusal over-rate').message
    )
    assert node.submit_and_append('shwo teams').status is AnswerStatus.INVALID


DEEPLY_NESTED = b'[' * 100_000
DEEPLY_NESTED_FIELD = b'{"text":"help","more":%s' % DEEPLY_NESTED


@pytest.mark.parametrize(
    'body',
    [b'', b'{}', DEEPLY_NESTED, b'{"text":1}', DEEPLY_NESTED_FIELD],
)
def test_an_invalid_request_body_gets_an_answer(body):
    """Guards against a traceback caused by an invalid request body."""
    answer = read_operator_request(body)
    rendered = render_operator_answer(answer)
    assert rendered.status == 400
    assert msgspec.json.decode(rendered.body, type=OperatorAnswer) == answer


def test_requests_and_answers_survive_a_round_trip():
    """Guards against fields that are encoded but not decoded."""
    request = OperatorRequest(
        CREATE_TEAM_COMMAND, 'op', 1, (('team:x', 2),), 3, 4
    )
    assert read_operator_request(msgspec.json.encode(request)) == request
    node = OperatorNode([])
    node.submit_and_append(
        f'{CREATE_TEAM_COMMAND}; create key {KIM_KEY_DIGEST} for team survey'
    )
    for text in (
        'show teams',
        'show keys',
        'show history',
        f'dry run {CREATE_TEAM_COMMAND}',
    ):
        answer = node.submit_and_append(text)
        encoded = render_operator_answer(answer).body
        assert msgspec.json.decode(encoded, type=OperatorAnswer) == answer
