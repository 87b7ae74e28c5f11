"""Followers of one zone on a paused clock, with a log in memory."""

import random

from ebonycleat.internal.connection.log_service import LogPage, LogRecord
from ebonycleat.internal.process.config_follower import (
    ConfigurationFollower,
    ReadConfiguration,
)
from ebonycleat.internal.process.effects import (
    AppendDone,
    AppendFailed,
    AppendToLog,
)
from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.process.config_relay import CONFIGURATION_MESSAGES
from tests.configuration_records import codec

STEP_S = 0.1
MESSAGES = create_codec(*CONFIGURATION_MESSAGES)


class World:
    def __init__(self, *nodes):
        self.now = 1.0
        self.records = []
        self.first_offset = 1
        self.is_log_down = False
        self.reads = []
        self.waiting = []
        self.silent = set()
        self.nodes = {}
        for node in nodes:
            self.start(node)

    def start(self, node):
        rng = random.Random(node)
        self.nodes[node] = ConfigurationFollower(node, rng, self.now)
        for follower in self.nodes.values():
            follower.members_changed(tuple(self.nodes))

    def append(self, record):
        payload = record if isinstance(record, bytes) else codec.encode(record)
        offset = self.first_offset + len(self.records)
        self.records.append(LogRecord(offset, payload))
        return offset

    def forget_before(self, offset):
        self.records = self.records[offset - self.first_offset :]
        self.first_offset = offset

    def page(self, offset, limit):
        start = offset - self.first_offset
        found = tuple(self.records[start : start + limit])
        end = self.first_offset + len(self.records)
        next_offset = found[-1].offset + 1 if found else offset
        at_end = next_offset == end
        return LogPage(found, next_offset, self.first_offset, at_end)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for node, follower in self.nodes.items():
                self.carry_out_all(node, follower.tick(self.now))
            waiting = tuple(self.waiting)
            self.waiting.clear()
            for node, read in waiting:
                self.reads.append(node)
                effects = self.answer(node, read)
                self.carry_out_all(node, effects)

    def carry_out_all(self, node, effects):
        queue = [(node, effect) for effect in effects]
        while queue:
            sender, effect = queue.pop(0)
            if isinstance(effect, ReadConfiguration):
                self.waiting.append((sender, effect))
            elif sender not in self.silent:
                queue.extend(self.carry_out(sender, effect))

    def carry_out(self, node, effect):
        if isinstance(effect, AppendToLog):
            return self.carry_out_append(self.nodes[node], effect)
        if effect.node in self.silent or effect.node not in self.nodes:
            return []
        message = codec_copy(effect.message)
        peer = self.nodes[effect.node]
        return [
            (effect.node, later)
            for later in peer.peer_message(node, message, self.now)
        ]

    def carry_out_append(self, follower, effect):
        if self.is_log_down:
            result = AppendFailed(effect.operation_id, False)
        else:
            offset = self.append(effect.record)
            result = AppendDone(effect.operation_id, offset)
        follower.append_finished(result, self.now)
        return []

    def answer(self, node, read):
        follower = self.nodes[node]
        if self.is_log_down or node in self.silent:
            return follower.log_failed(self.now)
        if read.offset < self.first_offset:
            return follower.log_expired(self.first_offset, self.now)
        page = self.page(read.offset, read.limit)
        return follower.log_answered(read.offset, page, self.now)


def codec_copy(message):
    """Return the message as a peer decodes it."""
    return MESSAGES.decode(MESSAGES.encode(message))
