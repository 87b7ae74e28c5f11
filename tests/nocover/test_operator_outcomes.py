"""Whatever the log and the network do, operators are told the truth."""

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
    create_change_set,
    codec,
    create_put_team,
)
from tests.operator_node import CREATE_TEAM_COMMAND, OperatorNode

TEXTS = (
    'change team survey rate 1',
    'change team survey burst 2; fence node n1',
    'withdraw team survey',
    CREATE_TEAM_COMMAND,
)
# What becomes of one append: whether its record is in the log at once,
# later or never, and what the node hears of it.
fates = st.sampled_from(['done', 'lost', 'late', 'never', 'refused', 'silent'])


class Schedule:
    """Three nodes, one log, and clients that send again when in doubt."""

    def __init__(self, data):
        self.data = data
        self.log = [codec.encode(create_change_set('first', create_put_team()))]
        self.late = []
        self.nodes = [OperatorNode(self.log) for _ in range(3)]
        # Of each change the last attempt, whose answer the client awaits.
        self.awaited = {}
        self.answers = {}

    def step(self):
        node = self.data.draw(st.sampled_from(self.nodes))
        move = self.data.draw(st.sampled_from(['submit', 'read', 'wait']))
        if move == 'submit':
            effects = self.submit(node)
        elif move == 'read':
            effects = node.catch_up()
        else:
            effects = node.advance_clock(
                self.data.draw(st.sampled_from([0.5, 2, 4]))
            )
        self.carry_out(node, effects)
        if self.late and self.data.draw(st.booleans()):
            self.log.append(self.late.pop())

    def submit(self, node):
        number = self.data.draw(st.integers(0, len(TEXTS) - 1))
        operation_id = f'op{number}'
        if operation_id in self.answers:
            return []
        attempt, _ = self.awaited.get(operation_id, (-1, ''))
        self.awaited[operation_id] = (attempt + 1, node.next_request_id())
        return node.submit(
            TEXTS[number],
            operation_id,
            attempt=attempt + 1,
            wait_s=3,
        )

    def carry_out(self, node, effects):
        queue = list(effects)
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, AppendToLog):
                queue.extend(self.append(node, effect))
            else:
                self.take_reply(effect)

    def take_reply(self, reply):
        answer = reply.answer
        is_final = answer.status in {
            AnswerStatus.ACCEPTED,
            AnswerStatus.REJECTED,
        }
        operation_id = answer.operation_id
        if is_final and self.awaited[operation_id][1] == reply.request_id:
            self.answers[operation_id] = answer

    def append(self, node, effect):
        payload = codec.encode(effect.record)
        fate = self.data.draw(fates)
        if fate in {'done', 'lost', 'silent'}:
            self.log.append(payload)
        elif fate == 'late':
            self.late.append(payload)
        if fate == 'silent':
            return []
        outcome = AppendFailed(effect.operation_id, fate != 'refused')
        if fate == 'done':
            outcome = AppendConfirmed(effect.operation_id, len(self.log))
        return node.service.handle_append_result(outcome, node.now)


@given(st.data())
def test_answers_agree_with_the_log_in_the_end(data):
    """Guards against "rejected" or "accepted" about the opposite outcome."""
    schedule = Schedule(data)
    for _ in range(data.draw(st.integers(1, 30))):
        schedule.step()
    fold = create_fold()
    for offset, payload in enumerate(schedule.log + schedule.late, 1):
        fold.apply(offset, codec.decode(payload))
    for operation_id, answer in schedule.answers.items():
        decided = fold.view.operations.get(operation_id)
        is_accepted = decided is not None and decided.rejected is None
        assert is_accepted is (answer.status is AnswerStatus.ACCEPTED)
        if is_accepted:
            assert answer.version == decided.offset
