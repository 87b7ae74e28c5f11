"""Operators are told the truth about their changes, whatever the log does."""

import random

import pytest

from ebonycleat.internal.connection.log_service import LogPage, LogRecord
from ebonycleat.internal.connection.operator_messages import (
    AnswerStatus,
    NodeRow,
    OperatorRequest,
    RefusalRow,
)
from ebonycleat.internal.process.config_follower import ConfigurationFollower
from ebonycleat.internal.process.effects import (
    AppendDone,
    AppendFailed,
    AppendToLog,
)
from ebonycleat.internal.process.operator_answers import NodeFacts
from ebonycleat.internal.process.operator_service import (
    APPEND_REPEAT_S,
    OperatorReply,
    OperatorService,
)
from ebonycleat.internal.version.records import RejectionReason
from tests.configuration_records import codec, digest_of

CREATE = 'create team survey rate 10 burst 5 zones a, b'
KIM = digest_of("kim's key")


class Facts(NodeFacts):
    def nodes(self):
        return (NodeRow('n1', 'a', 'map', 'live'),)

    def refusals(self):
        return (
            RefusalRow('survey', 'map', 'CRITICAL', 'a', 'over-rate', 2),
            RefusalRow('survey', 'tile', 'LOW', 'a', 'shed', 3),
            RefusalRow('other', 'map', 'CRITICAL', 'a', 'shed', 4),
        )


class Node:
    """One node and its part of a shared log."""

    def __init__(self, log):
        self.log = log
        self.now = 1.0
        self.tickets = 0
        self.follower = ConfigurationFollower('n1', random.Random(1), 0)
        self.service = OperatorService({KIM: 'kim'}, self.follower, Facts())
        self.catch_up()

    def catch_up(self):
        """Read to the end and return the replies that this leads to."""
        records = tuple(
            LogRecord(offset, payload)
            for offset, payload in enumerate(self.log, 1)
        )
        page = LogPage(records, len(records) + 1, 1, at_end=True)
        self.follower.log_answered(1, page, self.now)
        return self.service.tick(self.now)

    def submit(self, text, operation_id='op', **fields):
        self.tickets += 1
        request = OperatorRequest(text, operation_id, **fields)
        ticket = f'ticket{self.tickets}'
        return self.service.submit(ticket, KIM, request, self.now, 5.0)

    def append(self, effect):
        assert isinstance(effect, AppendToLog)
        self.log.append(codec.encode(effect.record))

    def ask(self, text, operation_id='op', **fields):
        """Submit, let the log work, and return the one answer."""
        effects = self.submit(text, operation_id, **fields)
        if isinstance(effects[0], AppendToLog):
            self.append(effects[0])
            effects = self.catch_up()
        return effects[0].answer

    def wait(self, seconds):
        self.now += seconds
        return self.service.tick(self.now)


def test_only_known_operators_are_heard():
    """Guards against changes by whoever reaches the node."""
    node = Node([])
    request = OperatorRequest(CREATE, 'op')
    for digest in ('', digest_of('other'), 'ключ', KIM.upper()):
        reply = node.service.submit('t', digest, request, 1, 1)[0]
        assert reply.answer.status is AnswerStatus.UNAUTHORISED
    assert not node.service.open_requests


def test_the_loser_of_a_race_is_told_which_change_won():
    """Guards against two operators who both believe that they won."""
    log = []
    first, second = Node(log), Node(log)
    assert first.ask(CREATE).status is AnswerStatus.ACCEPTED
    second.catch_up()
    winning = first.submit('change team survey rate 20', 'win')
    losing = second.submit('change team survey rate 30', 'lose')
    first.append(winning[0])
    second.append(losing[0])
    won = first.catch_up()[0].answer
    lost = second.catch_up()[0].answer
    assert (won.status, won.version) == (AnswerStatus.ACCEPTED, 2)
    assert lost.status is AnswerStatus.REJECTED
    assert lost.rejected.reason is RejectionReason.CONFLICT
    assert lost.lost_to.operation_id == 'win'
    assert lost.lost_to.changes == (
        'put team survey rate 20 burst 5 zones a=1, b=1',
    )
    assert first.follower.view.team('survey').rate_per_s == 20


def test_a_lost_append_answer_leads_to_the_true_outcome():
    """Guards against a second copy that is answered as a conflict."""
    node = Node([])
    effect = node.submit(CREATE)[0]
    failed = AppendFailed('op', may_have_taken_effect=True)
    assert node.service.append_finished(failed, node.now) == []
    second = node.wait(APPEND_REPEAT_S)[0]
    assert second == effect
    node.append(effect)
    node.append(second)
    replies = node.catch_up()
    assert [reply.answer.status for reply in replies] == [
        AnswerStatus.ACCEPTED,
    ]
    assert replies[0].answer.version == 1


def test_a_change_sent_again_to_another_node_takes_effect_once():
    """Guards against a rejection of a change that is in force."""
    log = []
    first, second = Node(log), Node(log)
    lost = first.submit(CREATE)[0]
    again = second.submit(CREATE, attempt=1)[0]
    first.append(lost)
    second.append(again)
    answer = second.catch_up()[0].answer
    assert (answer.status, answer.version) == (AnswerStatus.ACCEPTED, 1)
    third = Node(log).submit(CREATE, attempt=2)[0]
    assert third.answer == answer


def test_a_repeated_attempt_is_never_rejected_before_the_log_decides():
    """Guards against "rejected" while an earlier copy is on its way."""
    node = Node([])
    node.ask(CREATE)
    text = 'change team nobody rate 1'
    assert node.ask(text, 'first').status is AnswerStatus.REJECTED
    assert node.submit(text, 'again', attempt=1, wait_s=3) == []
    reply = node.wait(3)[0]
    assert reply.answer.status is AnswerStatus.UNKNOWN


@pytest.mark.parametrize(
    ('attempt', 'results', 'status'),
    [
        (0, [AppendFailed('op', False)], AnswerStatus.REJECTED),
        (1, [AppendFailed('op', False)], AnswerStatus.UNKNOWN),
        (0, [AppendFailed('op', True)], AnswerStatus.UNKNOWN),
        (0, [AppendDone('op', 1)], AnswerStatus.UNKNOWN),
        (0, [], AnswerStatus.UNKNOWN),
    ],
)
def test_rejected_without_the_log_is_said_only_if_nothing_was_appended(
    attempt,
    results,
    status,
):
    """Guards against "nothing changed" about a change that may come."""
    node = Node([])
    node.submit(CREATE, attempt=attempt, wait_s=0.2)
    for result in results:
        assert node.service.append_finished(result, node.now) == []
    replies = node.wait(0.2)
    assert isinstance(replies[0], OperatorReply)
    assert replies[0].answer.status is status
    assert replies[0].answer.operation_id == 'op'
    assert node.wait(60) == []


def test_a_dry_run_tells_the_verdict_and_changes_nothing():
    """Guards against a trial that leaves a trace."""
    log = []
    node = Node(log)
    node.ask(CREATE)
    good = node.ask('dry run change team survey rate 7', '')
    bad = node.ask(f'dry run {CREATE}', '')
    assert good.status is AnswerStatus.DONE
    assert bad.status is AnswerStatus.REJECTED
    assert bad.lost_to.operation_id == 'op'
    assert len(log) == 1


def test_steps_of_one_change_see_the_steps_before_them():
    """Guards against a block that must be cut into several changes."""
    node = Node([])
    text = f'{CREATE}; create key {KIM} for team survey; change team survey '
    answer = node.ask(f'{text} burst 9')
    assert answer.status is AnswerStatus.ACCEPTED
    assert node.follower.view.team('survey').burst == 9
    again = node.ask(f'withdraw key {KIM}; {text} burst 9', 'op2')
    assert again.status is AnswerStatus.REJECTED
    assert again.rejected.subject == 'team:survey'


def test_given_versions_replace_those_of_the_view():
    """Guards against an operator who acts on an old listing."""
    node = Node([])
    node.ask(CREATE)
    stale = (('team:survey', 0),)
    answer = node.ask('withdraw team survey', 'op2', expected=stale)
    assert answer.rejected.reason is RejectionReason.CONFLICT


def test_a_node_that_is_behind_sends_the_operator_on():
    """Guards against answers from a configuration of long ago."""
    node = Node([])
    assert node.submit('show teams', at_least_version=1, wait_s=1) == []
    assert node.wait(1)[0].answer.status is AnswerStatus.NOT_READY
    assert node.submit('wait for 1') == []
    assert node.ask(CREATE).status is AnswerStatus.DONE


def test_queries_are_answered_as_typed_data():
    """Guards against listings that lack what is in force."""
    node = Node([])
    node.ask(f'{CREATE}; create key {KIM} for team survey')
    assert node.ask('show teams').teams[0].team == 'survey'
    assert node.ask('show keys of team survey').keys[0].digest == KIM
    assert node.ask('show keys of team other').keys == ()
    assert node.ask('show nodes').nodes == Facts().nodes()
    by_reason = node.ask('show refusals').refusals
    assert [(row.group, row.count) for row in by_reason] == [
        ('shed', 7),
        ('over-rate', 2),
    ]
    by_team = node.ask('show refusals by team').refusals
    assert [row.group for row in by_team] == ['survey', 'other']
    history = node.ask('show history').history
    assert (history[0].operator, history[0].change_count) == ('kim', 2)
    assert node.ask('show change op').history == history
    assert node.ask('show change none').status is AnswerStatus.UNKNOWN
    assert 'Retry-After' in node.ask('explain refusal over-rate').message
    assert node.ask('shwo teams').status is AnswerStatus.INVALID
