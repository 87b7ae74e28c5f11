"""Prevents one request from crashing several targets in turn.

Every request that was running when a target crashed is a suspect. A suspect
runs only at one node of the service, chosen by rendezvous hashing, and there
only one suspect runs at a time. A second crash then identifies the request
that causes them, and other suspects are cleared as soon as they finish. What a
node knows is a set of crashes for each fingerprint, so the order in which
records arrive does not matter.
"""

import dataclasses
import enum
from collections.abc import Sequence
from typing import TypeAlias

import xxhash

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendResult,
    AppendToLog,
    Effect,
    SendToPeer,
)
from ebonycleat.internal.process.suspect_memory import (
    ClearedDeath,
    SuspectMemory,
    SuspectsCleared,
    TargetDied,
)
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)

# A request that is suspected of this number of crashes is refused.
MIN_CRASHES_TO_REFUSE = 2

REFUSAL_DURATION_S = 600

RETRY_INTERVAL_S = 1

# Maximum number of records whose append is not confirmed; they were sent to the
# peers as well.
MAX_PENDING_APPENDS = 64


class SuspectAdmission(enum.Enum):
    """Whether the gate may dispatch a call now."""

    RUN = 'run'
    # Another suspect is running; ask again when a call finishes or on a tick.
    WAIT = 'wait'


@dataclasses.dataclass(frozen=True, slots=True)
class RunAtNode:
    """The call is a suspect and may run only at this node."""

    node: str


SuspectDecision: TypeAlias = SuspectAdmission | RunAtNode | Refusal

SuspectRecord: TypeAlias = TargetDied | SuspectsCleared


def fingerprint_call(call: Call) -> int:
    """Hash the parts of a call that are equal in two sends of one request."""
    parts = (call.team, call.route, call.method, call.path)
    digest = xxhash.xxh64()
    for part in (*(text.encode() for text in parts), call.body):
        # Without the lengths, calls whose concatenated parts are equal would
        # have equal fingerprints.
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.intdigest()


class CrashSuspects:
    """Decides for one node which calls may run after target crashes."""

    def __init__(self, node: str, incarnation: int, service: str) -> None:
        """Start without suspects."""
        self.node = node
        self.incarnation = incarnation
        self.service = service
        self.memory = SuspectMemory(REFUSAL_DURATION_S)
        self.running: dict[str, int] = {}
        self.running_suspect = ''
        self.record_count = 0
        self.pending_appends: dict[str, AppendToLog] = {}
        self.retry_at: dict[str, float] = {}

    def admit(
        self,
        call: Call,
        live_nodes: Sequence[str],
        now: float,
    ) -> SuspectDecision:
        """Decide on a call at its dispatch; ``RUN`` counts it as running.

        ``live_nodes`` are the nodes of the service that may run calls.
        """
        fingerprint = fingerprint_call(call)
        crashes = self.memory.find_uncleared_crashes(fingerprint, now)
        if len(crashes) >= MIN_CRASHES_TO_REFUSE:
            return refuse_not_run(
                Reason.CRASH_SUSPECT,
                'targets crashed while they ran this request; change it before '
                'it is sent again',
                retry_after_s=REFUSAL_DURATION_S,
            )
        if crashes:
            chosen = max(
                live_nodes, key=_NodePreference(fingerprint), default=self.node
            )
            if chosen != self.node:
                return RunAtNode(chosen)
            if self.running_suspect:
                return SuspectAdmission.WAIT
            self.running_suspect = call.call_id
        self.running[call.call_id] = fingerprint
        return SuspectAdmission.RUN

    def finish_run(
        self,
        call_id: str,
        peers: Sequence[str],
        now: float,
        *,
        answered: bool,
    ) -> list[Effect]:
        """End a run; an answer clears the request of its crashes."""
        fingerprint = self.running.pop(call_id, None)
        if call_id == self.running_suspect:
            self.running_suspect = ''
        if fingerprint is None or not answered:
            return []
        crashes = self.memory.find_uncleared_crashes(fingerprint, now)
        if not crashes:
            return []
        cleared = tuple(
            ClearedDeath(fingerprint, crash) for crash in sorted(crashes)
        )
        operation_id = self._next_operation_id()
        return self._publish(
            SuspectsCleared(operation_id, self.service, cleared),
            peers,
            now,
        )

    def handle_target_crash(
        self,
        peers: Sequence[str],
        now: float,
    ) -> list[Effect]:
        """Make every request that was running a suspect."""
        fingerprints = tuple(sorted(set(self.running.values())))
        self.running.clear()
        self.running_suspect = ''
        if not fingerprints:
            return []
        operation_id = self._next_operation_id()
        return self._publish(
            TargetDied(operation_id, self.service, fingerprints),
            peers,
            now,
        )

    def handle_record(self, record: SuspectRecord, now: float) -> None:
        """Apply a record from a peer or from the ``suspects`` stream."""
        if record.service == self.service:
            self.memory.apply_record(record, now)

    def handle_append_result(
        self, append_result: AppendResult, now: float
    ) -> None:
        """Forget a record that is in the log, or schedule a retry."""
        if isinstance(append_result, AppendConfirmed):
            self.pending_appends.pop(append_result.operation_id, None)
            self.retry_at.pop(append_result.operation_id, None)
        elif append_result.operation_id in self.pending_appends:
            self.retry_at[append_result.operation_id] = now + RETRY_INTERVAL_S

    def tick(self, now: float) -> list[Effect]:
        """Remove expired suspects and repeat failed appends."""
        self.memory.expire(now)
        due_ids = [
            operation_id
            for operation_id, retry_at in self.retry_at.items()
            if retry_at <= now
        ]
        for due_id in due_ids:
            self.retry_at.pop(due_id)
        return [self.pending_appends[operation_id] for operation_id in due_ids]

    def _publish(
        self,
        record: SuspectRecord,
        peers: Sequence[str],
        now: float,
    ) -> list[Effect]:
        self.memory.apply_record(record, now)
        append = AppendToLog(LogStream.SUSPECTS, record, record.operation_id)
        self.pending_appends[record.operation_id] = append
        if len(self.pending_appends) > MAX_PENDING_APPENDS:
            oldest = next(iter(self.pending_appends))
            self.pending_appends.pop(oldest)
            self.retry_at.pop(oldest, None)
        # Peers are also sent the record directly: the log may be unavailable,
        # and the request may be sent again within milliseconds.
        messages = [SendToPeer(peer, record) for peer in peers]
        return [
            append,
            *(message for message in messages if message.node != self.node),
        ]

    def _next_operation_id(self) -> str:
        self.record_count += 1
        return f'{self.node}/{self.incarnation}/suspect/{self.record_count}'


class _NodePreference:
    """Sort key: rendezvous hash of a node for a fingerprint."""

    def __init__(self, fingerprint: int) -> None:
        self.fingerprint = fingerprint

    def __call__(self, node: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(
            node.encode(), seed=self.fingerprint
        ), node
