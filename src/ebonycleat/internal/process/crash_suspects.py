"""Keeps one request from crashing target after target.

Every request that was running when a target died is suspect. A suspect runs
only at one node of the service, chosen by rendezvous hash, and there one
suspect at a time: a second death then names the guilty one, and innocents
are cleared as soon as they finish. What a node knows is a set of deaths per
fingerprint, so it does not depend on the order in which records arrive.
"""

import dataclasses
import enum
from collections.abc import Sequence
from typing import TypeAlias

import xxhash

from ebonycleat.internal.connection.log_service import Stream
from ebonycleat.internal.process.effects import (
    AppendDone,
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

# From this number of deaths on a request is refused.
MIN_CRASHES_TO_REFUSE = 2

REFUSAL_DURATION_S = 600

RETRY_INTERVAL_S = 1

# Records that wait for the log; peers have them already.
MAX_UNLOGGED = 64


class SuspectAdmission(enum.Enum):
    """Whether the gate may dispatch a call now."""

    RUN = 'run'
    # Another suspect runs; ask again when a call finishes or on a tick.
    WAIT = 'wait'


@dataclasses.dataclass(frozen=True, slots=True)
class RunAtNode:
    """The call is suspect and may run only at this node."""

    node: str


SuspectDecision: TypeAlias = SuspectAdmission | RunAtNode | Refusal

SuspectRecord: TypeAlias = TargetDied | SuspectsCleared


def fingerprint_call(call: Call) -> int:
    """Hash what two sends of one request have in common."""
    parts = (call.team, call.route, call.method, call.path)
    digest = xxhash.xxh64()
    for part in (*(text.encode() for text in parts), call.body):
        # Lengths keep the parts apart.
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.intdigest()


class CrashSuspects:
    """The decisions of one node about its own target."""

    def __init__(self, node: str, incarnation: int, service: str) -> None:
        """Suspect nobody."""
        self.node = node
        self.incarnation = incarnation
        self.service = service
        self.memory = SuspectMemory(REFUSAL_DURATION_S)
        self.running: dict[str, int] = {}
        self.running_suspect = ''
        self.records = 0
        self.pending_appends: dict[str, AppendToLog] = {}
        self.retry_at: dict[str, float] = {}

    def admit(
        self,
        call: Call,
        live_nodes: Sequence[str],
        now: float,
    ) -> SuspectDecision:
        """Decide at the moment of the dispatch; RUN counts it as running.

        ``live_nodes`` are the nodes of the service that may get work.
        """
        mark = fingerprint_call(call)
        deaths = self.memory.find_blamed_crashes(mark, now)
        if len(deaths) >= MIN_CRASHES_TO_REFUSE:
            return refuse_not_run(
                Reason.CRASH_SUSPECT,
                'targets died while they ran this request',
                retry_after_s=REFUSAL_DURATION_S,
            )
        if deaths:
            chosen = max(live_nodes, key=_Rank(mark), default=self.node)
            if chosen != self.node:
                return RunAtNode(chosen)
            if self.running_suspect:
                return SuspectAdmission.WAIT
            self.running_suspect = call.call_id
        self.running[call.call_id] = mark
        return SuspectAdmission.RUN

    def finish_run(
        self,
        call_id: str,
        peers: Sequence[str],
        now: float,
        *,
        answered: bool,
    ) -> list[Effect]:
        """End a run; an answer clears the request of its deaths."""
        mark = self.running.pop(call_id, None)
        if call_id == self.running_suspect:
            self.running_suspect = ''
        if mark is None or not answered:
            return []
        deaths = self.memory.find_blamed_crashes(mark, now)
        if not deaths:
            return []
        cleared = tuple(ClearedDeath(mark, death) for death in sorted(deaths))
        operation_id = self._next_id()
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
        """Suspect every request that was running."""
        marks = tuple(sorted(set(self.running.values())))
        self.running.clear()
        self.running_suspect = ''
        if not marks:
            return []
        operation_id = self._next_id()
        return self._publish(
            TargetDied(operation_id, self.service, marks),
            peers,
            now,
        )

    def handle_record(self, record: SuspectRecord, now: float) -> None:
        """Take a record from a peer or from the ``suspects`` stream."""
        if record.service == self.service:
            self.memory.apply_record(record, now)

    def handle_append_result(self, append: AppendResult, now: float) -> None:
        """Forget what the log has; the rest is appended again."""
        if isinstance(append, AppendDone):
            self.pending_appends.pop(append.operation_id, None)
            self.retry_at.pop(append.operation_id, None)
        elif append.operation_id in self.pending_appends:
            self.retry_at[append.operation_id] = now + RETRY_INTERVAL_S

    def tick(self, now: float) -> list[Effect]:
        """Forget what is too old, repeat appends that failed."""
        self.memory.expire(now)
        due = [
            operation_id
            for operation_id, retry_at in self.retry_at.items()
            if retry_at <= now
        ]
        for late in due:
            self.retry_at.pop(late)
        return [self.pending_appends[operation_id] for operation_id in due]

    def _publish(
        self,
        record: SuspectRecord,
        peers: Sequence[str],
        now: float,
    ) -> list[Effect]:
        self.memory.apply_record(record, now)
        append = AppendToLog(Stream.SUSPECTS, record, record.operation_id)
        self.pending_appends[record.operation_id] = append
        if len(self.pending_appends) > MAX_UNLOGGED:
            oldest = next(iter(self.pending_appends))
            self.pending_appends.pop(oldest)
            self.retry_at.pop(oldest, None)
        # Peers are told directly: the log may be down, and a second send
        # of the request may arrive within milliseconds.
        told = [SendToPeer(peer, record) for peer in peers]
        return [append, *(one for one in told if one.node != self.node)]

    def _next_id(self) -> str:
        self.records += 1
        return f'{self.node}/{self.incarnation}/suspect/{self.records}'


class _Rank:
    """Sort key: rendezvous hash of a fingerprint and a node."""

    def __init__(self, mark: int) -> None:
        self.mark = mark

    def __call__(self, node: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(node.encode(), seed=self.mark), node
