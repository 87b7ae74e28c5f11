"""Configuration followers of one zone on a simulated clock.

The log is kept in memory. The benchmark measures traffic with this
simulation, and tests check the decisions of the followers.
"""

import random
from collections import Counter
from typing import Any, Final

from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.log_service import LogPage, LogRecord
from ebonycleat.internal.process.configuration_follower import (
    ConfigurationFollower,
    FollowerEffect,
    ReadConfiguration,
)
from ebonycleat.internal.process.configuration_relay import (
    CONFIGURATION_MESSAGES,
)
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendToLog,
    SendToPeer,
)
from ebonycleat.internal.version.snapshot import CONFIGURATION_RECORD_TYPES

STEP_S: Final = 0.1

_RECORDS: Final = create_codec(*CONFIGURATION_RECORD_TYPES)
_MESSAGES: Final = create_codec(*CONFIGURATION_MESSAGES)


class ConfigurationSimulation:
    """The followers of a zone and the log that they read.

    Messages arrive at once. A read at the end of the log waits for a record
    as long as it allows. Nodes in ``cut_off`` reach neither the log nor peers.
    """

    def __init__(self, *nodes: str) -> None:
        """Start all nodes with an empty log."""
        self.now = 1.0
        self.records: list[LogRecord] = []
        self.first_offset = 1
        self.is_log_down = False
        self.pending_reads: list[tuple[str, ReadConfiguration, float]] = []
        self.cut_off: set[str] = set()
        self.reads: Counter[str] = Counter()
        self.bytes_sent: Counter[str] = Counter()
        self.nodes: dict[str, ConfigurationFollower] = {}
        for node in nodes:
            self.nodes[node] = self.create_follower(node)
        self.update_members()

    def create_follower(self, node: str) -> ConfigurationFollower:
        """Create a follower whose random generator is seeded with its name."""
        return ConfigurationFollower(node, random.Random(node), self.now)

    def start(self, node: str) -> None:
        """Start a new node, or restart a node without its memory."""
        self.nodes[node] = self.create_follower(node)
        self.update_members()

    def update_members(self) -> None:
        """Tell each follower the names of all nodes."""
        for follower in self.nodes.values():
            follower.update_members(tuple(self.nodes))

    def append(self, record: Any) -> int:
        """Append a record and return its offset; bytes are not encoded."""
        if not isinstance(record, bytes):
            record = _RECORDS.encode(record)
        offset = self.first_offset + len(self.records)
        self.records.append(LogRecord(offset, record))
        return offset

    def expire_before(self, offset: int) -> None:
        """Remove the records before an offset, as retention does."""
        self.records = self.records[offset - self.first_offset :]
        self.first_offset = offset

    def run(self, seconds: float) -> None:
        """Advance the clock in steps; tick the followers and answer reads."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for node, follower in self.nodes.items():
                self.perform(node, follower.tick(self.now))
            reads = tuple(self.pending_reads)
            self.pending_reads.clear()
            for node, read, since in reads:
                if self.is_waiting(read, since):
                    self.pending_reads.append((node, read, since))
                else:
                    self.reads[node] += 1
                    self.perform(node, self.answer(node, read))

    def is_waiting(self, read: ReadConfiguration, since: float) -> bool:
        """Tell whether a read still waits for the next record."""
        is_end = read.offset == self.first_offset + len(self.records)
        is_early = self.now - since < read.wait_s
        return is_end and is_early and not self.is_log_down

    def answer(
        self,
        node: str,
        read: ReadConfiguration,
    ) -> list[FollowerEffect]:
        """Answer a read, or report its failure to the follower."""
        follower = self.nodes[node]
        if self.is_log_down or node in self.cut_off:
            return follower.handle_read_failure(self.now)
        start = read.offset - self.first_offset
        if start < 0:
            return follower.handle_expired_offset(self.first_offset, self.now)
        found = tuple(self.records[start : start + read.limit])
        next_offset = read.offset + len(found)
        at_end = start + len(found) == len(self.records)
        page = LogPage(found, next_offset, self.first_offset, at_end)
        return follower.handle_page(read.offset, page, self.now)

    def perform(self, node: str, effects: list[FollowerEffect]) -> None:
        """Perform effects and the effects that follow from them."""
        queue = [(node, effect) for effect in effects]
        while queue:
            sender, effect = queue.pop(0)
            if isinstance(effect, ReadConfiguration):
                self.pending_reads.append((sender, effect, self.now))
            elif isinstance(effect, AppendToLog):
                self.append_for(sender, effect)
            elif not self.cut_off.intersection((sender, effect.node)):
                follow_ups = self.deliver(sender, effect)
                queue.extend(
                    (effect.node, follow_up) for follow_up in follow_ups
                )

    def append_for(self, node: str, effect: AppendToLog) -> None:
        """Append the record of a follower and report the result to it."""
        finished = self.nodes[node].handle_append_result
        if self.is_log_down or node in self.cut_off:
            finished(AppendFailed(effect.operation_id, False), self.now)
            return
        offset = self.append(effect.record)
        finished(AppendConfirmed(effect.operation_id, offset), self.now)

    def deliver(self, sender: str, effect: SendToPeer) -> list[FollowerEffect]:
        """Deliver an encoded and decoded copy of a message to a peer."""
        encoded = _MESSAGES.encode(effect.message)
        self.bytes_sent[sender] += len(encoded)
        message = _MESSAGES.decode(encoded)
        return self.nodes[effect.node].handle_message(sender, message, self.now)


def copy_message(message: object) -> Any:
    """Return an encoded and decoded copy of a message."""
    return _MESSAGES.decode(_MESSAGES.encode(message))
