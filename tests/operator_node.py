"""The operator service of one node, with a log held in memory by the test."""

import itertools
import random

from ebonycleat.internal.connection.log_service import LogPage, LogRecord
from ebonycleat.internal.connection.operator_messages import (
    NodeRow,
    OperatorRequest,
    RefusalRow,
)
from ebonycleat.internal.process.configuration_follower import (
    ConfigurationFollower,
)
from ebonycleat.internal.process.effects import AppendToLog
from ebonycleat.internal.process.operator_answers import NodeStatus
from ebonycleat.internal.process.operator_service import OperatorService
from tests.configuration_records import codec, sha256_hex

CREATE_TEAM_COMMAND = 'create team survey rate 10 burst 5 zones a, b'
KIM_KEY_DIGEST = sha256_hex("kim's key")


class FakeNodeStatus(NodeStatus):
    def list_nodes(self):
        return (NodeRow('n1', 'a', 'map', 'live'),)

    def list_refusals(self):
        return (
            RefusalRow('survey', 'map', 'CRITICAL', 'a', 'over-rate', 2),
            RefusalRow('survey', 'tile', 'LOW', 'a', 'shed', 3),
            RefusalRow('other', 'map', 'CRITICAL', 'a', 'shed', 4),
        )


class OperatorNode:
    """The operator service of one node that reads a log shared with others."""

    node_numbers = itertools.count()

    def __init__(self, log):
        self.name = f'node{next(self.node_numbers)}'
        self.log = log
        self.now = 1.0
        self.request_count = 0
        self.follower = ConfigurationFollower('n1', random.Random(1), 0)
        self.service = OperatorService(
            {KIM_KEY_DIGEST: 'kim'}, self.follower, FakeNodeStatus()
        )
        self.catch_up()

    def catch_up(self):
        """Read the log to its end, and return the effects of the next tick."""
        records = tuple(
            LogRecord(offset, payload)
            for offset, payload in enumerate(self.log, 1)
        )
        page = LogPage(records, len(records) + 1, 1, at_end=True)
        self.follower.handle_page(1, page, self.now)
        return self.service.tick(self.now)

    def next_request_id(self):
        return f'{self.name}-{self.request_count}'

    def submit(self, text, operation_id='op', **fields):
        request_id = self.next_request_id()
        self.request_count += 1
        request = OperatorRequest(text, operation_id, **fields)
        return self.service.submit(
            request_id, KIM_KEY_DIGEST, request, self.now, 5.0
        )

    def append_to_log(self, effect):
        assert isinstance(effect, AppendToLog)
        self.log.append(codec.encode(effect.record))

    def submit_and_append(self, text, operation_id='op', **fields):
        """Submit a command, append its change to the log, return the answer."""
        effects = self.submit(text, operation_id, **fields)
        if isinstance(effects[0], AppendToLog):
            self.append_to_log(effects[0])
            effects = self.catch_up()
        return effects[0].answer

    def advance_clock(self, seconds):
        self.now += seconds
        return self.service.tick(self.now)
