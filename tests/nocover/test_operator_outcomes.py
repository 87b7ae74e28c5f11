"""Operators get correct answers even if log appends fail or are delayed."""

from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.connection.operator_messages import AnswerStatus
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendToLog,
)
from ebonycleat.internal.version.configuration_fold import create_fold
from tests.configuration_records import (
    codec,
    create_change_set,
    create_put_team,
)
from tests.operator_node import CREATE_TEAM_COMMAND, OperatorNode

COMMANDS = (
    'change team survey rate 1',
    'change team survey burst 2; fence node n1',
    'withdraw team survey',
    CREATE_TEAM_COMMAND,
)
# The outcome of one append. The record enters the log at once ('done', 'lost',
# 'silent'), at a later step ('late') or not at all ('never', 'refused').
# The node learns of a success ('done'), of a failure ('refused'), of an unknown
# outcome ('lost', 'late', 'never') or of nothing ('silent').
append_outcomes = st.sampled_from([
    'done',
    'lost',
    'late',
    'never',
    'refused',
    'silent',
])


class Schedule:
    """Three nodes, one log, and clients that retry until a final answer."""

    def __init__(self, data):
        self.data = data
        self.log = [codec.encode(create_change_set('first', create_put_team()))]
        self.delayed_payloads = []
        self.nodes = [OperatorNode(self.log) for _ in range(3)]
        # The number and request id of the last attempt at each change. Clients
        # ignore the answers to earlier attempts.
        self.last_attempts = {}
        self.answers = {}

    def step(self):
        node = self.data.draw(st.sampled_from(self.nodes))
        action = self.data.draw(st.sampled_from(['submit', 'read', 'wait']))
        if action == 'submit':
            effects = self.submit(node)
        elif action == 'read':
            effects = node.catch_up()
        else:
            effects = node.advance_clock(
                self.data.draw(st.sampled_from([0.5, 2, 4]))
            )
        self.perform(node, effects)
        if self.delayed_payloads and self.data.draw(st.booleans()):
            self.log.append(self.delayed_payloads.pop())

    def submit(self, node):
        number = self.data.draw(st.integers(0, len(COMMANDS) - 1))
        operation_id = f'op{number}'
        if operation_id in self.answers:
            return []
        attempt, _ = self.last_attempts.get(operation_id, (-1, ''))
        self.last_attempts[operation_id] = (attempt + 1, node.next_request_id())
        return node.submit(
            COMMANDS[number],
            operation_id,
            attempt=attempt + 1,
            wait_s=3,
        )

    def perform(self, node, effects):
        queue = list(effects)
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, AppendToLog):
                queue.extend(self.append(node, effect))
            else:
                self.handle_reply(effect)

    def handle_reply(self, reply):
        answer = reply.answer
        is_final = answer.status in {
            AnswerStatus.ACCEPTED,
            AnswerStatus.REJECTED,
        }
        operation_id = answer.operation_id
        if is_final and self.last_attempts[operation_id][1] == reply.request_id:
            self.answers[operation_id] = answer

    def append(self, node, effect):
        payload = codec.encode(effect.record)
        append_outcome = self.data.draw(append_outcomes)
        if append_outcome in {'done', 'lost', 'silent'}:
            self.log.append(payload)
        elif append_outcome == 'late':
            self.delayed_payloads.append(payload)
        if append_outcome == 'silent':
            return []
        outcome = AppendFailed(effect.operation_id, append_outcome != 'refused')
        if append_outcome == 'done':
            outcome = AppendConfirmed(effect.operation_id, len(self.log))
        return node.service.handle_append_result(outcome, node.now)


@given(st.data())
def test_final_answers_agree_with_the_final_log(data):
    """Guards against an answer that differs from the outcome in the log."""
    schedule = Schedule(data)
    for _ in range(data.draw(st.integers(1, 30))):
        schedule.step()
    fold = create_fold()
    for offset, payload in enumerate(
        schedule.log + schedule.delayed_payloads, 1
    ):
        fold.apply(offset, codec.decode(payload))
    for operation_id, answer in schedule.answers.items():
        operation = fold.view.operations.get(operation_id)
        is_accepted = operation is not None and operation.rejected is None
        assert is_accepted is (answer.status is AnswerStatus.ACCEPTED)
        if is_accepted:
            assert answer.version == operation.offset
