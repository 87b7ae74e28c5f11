"""A simulated node that performs the decisions of its dedupe owner."""

import dataclasses
import functools
import random
from collections.abc import Callable, Iterable

import msgspec

from bench.dedupe_ownership import FakeOwnership, Heartbeat
from bench.dedupe_simulation import (
    CLOCK_DRIFT,
    HEARTBEAT_S,
    LEASE_DURATION_S,
    Action,
    Clock,
    FakeLog,
    Faults,
    NodeClock,
    NodeLeases,
    SlotLease,
)
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.dedupe_tenure import Tenure
from ebonycleat.internal.process.effects import AppendResult, AppendToLog
from ebonycleat.internal.process.id_lifecycle import DedupeEvent, OfferCall
from ebonycleat.internal.process.started_log import GroupCommit, StartedGroup
from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    RefusedCall,
)
from ebonycleat.internal.request.dedupe_tracker import (
    CopyNotTaken,
    CopyRecipient,
    DedupeAsk,
    OwnerAnswer,
)
from ebonycleat.internal.request.refusal import (
    Reason,
    refuse_not_run,
    refuse_outcome_unknown,
)

TICK_S = 0.05

GATE_REFUSAL_PROBABILITY = 0.15

TARGET_FAILURE_PROBABILITY = 0.1

OwnerReply = OwnerAnswer | CopyNotTaken

RecordRun = Callable[[Call], bytes]

ReplyToIngress = Callable[[OwnerReply], None]


@dataclasses.dataclass(frozen=True)
class SimulationContext:
    """The objects that all nodes of one simulation share."""

    clock: Clock
    faults: Faults
    log: FakeLog
    rng: random.Random
    record_run: RecordRun
    reply: ReplyToIngress


class SlotClient:
    """What one incarnation knows of its own slots and of other owners."""

    def __init__(self, node: 'DedupeNode') -> None:
        """Start without slots and without knowledge of owners."""
        self.node = node
        self.leases = NodeLeases()
        self.last_unflagged_heartbeat: dict[int, int] = {}
        self.recipients: dict[int, CopyRecipient] = {}

    def handle_claim_accepted(self, tenure: Tenure) -> None:
        """Become the owner of a slot after the log accepted the claim."""
        held = self.leases.held.get(tenure.slot)
        if held is not None and held.epoch > tenure.epoch:
            return
        now = self.node.clock.now
        if held is not None:
            self.node.perform(
                self.node.owner.handle_slot_lost(tenure.slot, now)
            )
        wait_s = (
            0 if tenure.never_owned else LEASE_DURATION_S * (1 + CLOCK_DRIFT)
        )
        self.leases.held[tenure.slot] = SlotLease(tenure.epoch, now + wait_s)
        self.last_unflagged_heartbeat.pop(tenure.slot, None)
        self.node.perform(self.node.owner.handle_slot_gained(tenure, now))

    def handle_renewal_accepted(
        self, tenure: Tenure, former_epoch: int
    ) -> None:
        """Adopt the epoch of an accepted renewal of a slot that is still held."""
        held = self.leases.held.get(tenure.slot)
        if held is None or held.epoch != former_epoch:
            # A node reads the log in order and would have read its claim first,
            # so the renewal is handled as a claim.
            self.handle_claim_accepted(tenure)
            return
        held.epoch = tenure.epoch
        held.acknowledged_flag = False
        now = self.node.clock.now
        first_epoch = self.node.owner.tenures[tenure.slot].first_epoch
        same_tenure = dataclasses.replace(tenure, first_epoch=first_epoch)
        self.node.perform(self.node.owner.handle_slot_gained(same_tenure, now))

    def handle_slot_lost(self, slot: int, epoch: int) -> None:
        """Give up a slot that another node has claimed."""
        held = self.leases.held.get(slot)
        if held is not None and held.epoch <= epoch:
            self.leases.held.pop(slot)
            self.node.perform(
                self.node.owner.handle_slot_lost(slot, self.node.clock.now)
            )

    def update_recipient(self, slot: int, recipient: CopyRecipient) -> None:
        """Store the owner of a slot, to which the ingress sends copies."""
        known_recipient = self.recipients.get(slot)
        if known_recipient is None or known_recipient.epoch < recipient.epoch:
            self.recipients[slot] = recipient

    def handle_heartbeat_ack(self, heartbeat: Heartbeat) -> None:
        """Extend the lease after the witnesses acknowledged a heartbeat."""
        held = self.leases.held.get(heartbeat.slot)
        if held is None or held.epoch != heartbeat.epoch:
            return
        held.lease_until = max(
            held.lease_until, heartbeat.sent_at + LEASE_DURATION_S
        )
        # A later heartbeat without the flag may already have cleared the flag.
        if (
            heartbeat.unlogged
            and heartbeat.number
            > self.last_unflagged_heartbeat.get(heartbeat.slot, 0)
        ):
            held.acknowledged_flag = True

    def heartbeat(self) -> None:
        """Send one heartbeat per slot; schedule the next heartbeats."""
        for slot, held in self.leases.held.items():
            flag = self.node.owner.needs_unlogged_flag(
                slot, self.node.clock.now
            )
            if not flag:
                held.acknowledged_flag = False
            if self.node.ownership is not None:
                self.node.ownership.heartbeat(
                    self.node,
                    slot,
                    epoch=held.epoch,
                    unlogged=flag,
                )
        self.node.later(HEARTBEAT_S, self.heartbeat)


class FakeGate:
    """The gate and the target of one node, with random refusals and failures."""

    def __init__(self, node: 'DedupeNode') -> None:
        """Create the gate of a node."""
        self.node = node

    def offer(self, call: Call) -> None:
        """Queue a call for a random time, or refuse it."""
        rng = self.node.context.rng
        if rng.random() < GATE_REFUSAL_PROBABILITY:
            refusal = refuse_not_run(Reason.QUEUE_FULL)
            refused_call = RefusedCall(call.call_id, refusal)
            self.node.later(0.01, self._finish, refused_call)
            return
        queue_s = rng.choice((0, 0.01, 0.2, 2))
        self.node.later(queue_s, self._dispatch, call)

    def _dispatch(self, call: Call) -> None:
        if not self.node.owner.may_dispatch(call.call_id, self.node.clock.now):
            refusal = refuse_not_run(Reason.DEDUPE_UNAVAILABLE)
            self._finish(RefusedCall(call.call_id, refusal))
            return
        body = self.node.context.record_run(call)
        rng = self.node.context.rng
        call_result: CallResult = Answer(call.call_id, 200, body=body)
        if rng.random() < TARGET_FAILURE_PROBABILITY:
            failure = refuse_outcome_unknown(Reason.TARGET_FAILED)
            call_result = RefusedCall(call.call_id, failure)
        self.node.later(rng.choice((0.005, 0.05, 1)), self._finish, call_result)

    def _finish(self, call_result: CallResult) -> None:
        now = self.node.clock.now
        self.node.perform(
            self.node.owner.finish_run(call_result.call_id, call_result, now)
        )


class DedupeNode:
    """A node with its log client, gate and target."""

    def __init__(self, name: str, context: SimulationContext) -> None:
        """Create the node; ``start`` starts its periodic work."""
        self.name = name
        self.context = context
        rng = context.rng
        self.clock = NodeClock(
            context.clock,
            rng.uniform(0, 1000),
            rng.uniform(0.996, 1.004),
        )
        self.incarnation = 0
        self.crashed = True
        self.heartbeats = 0
        self.ownership: FakeOwnership | None = None
        self.reset()

    def reset(self) -> None:
        """Discard all memory and become a new incarnation."""
        self.incarnation += 1
        self.slots = SlotClient(self)
        self.gate = FakeGate(self)
        self.log_offset = 0
        commit = GroupCommit(self.name, self.incarnation, 'payment')
        self.owner = DedupeOwner(commit, self.slots.leases)

    def start(self) -> None:
        """Start the periodic work of the current incarnation."""
        self.crashed = False
        for periodic_work in (self._tick, self.slots.heartbeat, self._read_log):
            self.later(self.context.rng.uniform(0, TICK_S), periodic_work)

    def crash(self, down_s: float) -> None:
        """Discard all memory; restart as a new incarnation after ``down_s``."""
        self.crashed = True
        self.reset()
        self.context.clock.after(down_s, self.start)

    def run(
        self,
        incarnation: int,
        action: Action,
        *arguments: object,
    ) -> None:
        """Run an event, or postpone it to the end of a pause of the VM."""
        if self.crashed or incarnation != self.incarnation:
            return
        clock = self.context.clock
        resumes_at = self.context.faults.end_of('paused', self.name)
        if resumes_at > clock.now:
            pause_s = resumes_at - clock.now
            clock.after(pause_s, self.run, incarnation, action, *arguments)
            return
        action(*arguments)

    def later(
        self,
        delay_s: float,
        action: Action,
        *arguments: object,
    ) -> None:
        """Run an event after a delay unless the node crashes before."""
        incarnation = self.incarnation
        self.context.clock.after(
            delay_s,
            self.run,
            incarnation,
            action,
            *arguments,
        )

    def receive(self, ask: DedupeAsk, time_left_s: float) -> None:
        """Receive a copy of a call from the network."""
        self.run(self.incarnation, self._handle_ask, ask, time_left_s)

    def perform(self, events: Iterable[DedupeEvent]) -> None:
        """Perform the events of the owner."""
        for event in events:
            if isinstance(event, AppendToLog):
                self._append(event)
            elif isinstance(event, OfferCall):
                self.gate.offer(event.call)
            else:
                self.context.reply(event)

    def _handle_ask(self, ask: DedupeAsk, time_left_s: float) -> None:
        now = self.clock.now
        call = msgspec.structs.replace(ask.call, deadline=now + time_left_s)
        local_ask = dataclasses.replace(ask, call=call)
        self.perform(self.owner.handle_ask(local_ask, now))

    def _append(self, effect: AppendToLog) -> None:
        reply = functools.partial(
            self.run, self.incarnation, self._handle_append_result
        )
        self.context.log.append(effect, reply)

    def _handle_append_result(self, append_result: AppendResult) -> None:
        self.perform(
            self.owner.handle_append_result(append_result, self.clock.now)
        )

    def _tick(self) -> None:
        self.perform(self.owner.tick(self.clock.now))
        self.later(TICK_S, self._tick)

    def _read_log(self) -> None:
        apply_page = functools.partial(
            self.run,
            self.incarnation,
            self._apply_page,
            self.clock.now,
        )
        self.context.log.read(self.log_offset, apply_page)

    def _apply_page(
        self,
        started_at: float,
        groups: tuple[StartedGroup, ...],
        next_offset: int,
        at_end: bool,
    ) -> None:
        self.log_offset = next_offset
        now = self.clock.now
        self.perform(
            self.owner.apply_started_page(
                groups, started_at, now, at_end=at_end
            ),
        )
        self.later(TICK_S, self._read_log)
