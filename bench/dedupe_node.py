"""One node of the paused world: it carries out dedupe decisions."""

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
    SlotLease,
    NodeClock,
    NodeLeases,
)
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.id_lifecycle import DedupeEvent, OfferCall
from ebonycleat.internal.process.dedupe_tenure import Tenure
from ebonycleat.internal.process.effects import AppendResult, AppendToLog
from ebonycleat.internal.process.started_log import GroupCommit, StartedGroup
from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    RefusedCall,
)
from ebonycleat.internal.request.dedupe_tracker import (
    OwnerAnswer,
    CopyNotTaken,
    DedupeAsk,
    CopyRecipient,
)
from ebonycleat.internal.request.refusal import (
    Reason,
    refuse_not_run,
    refuse_outcome_unknown,
)

TICK_S = 0.05

GATE_REFUSES = 0.15

TARGET_FAILS = 0.1

OwnerReply = OwnerAnswer | CopyNotTaken

RunRecorder = Callable[[Call], bytes]

ReplyToIngress = Callable[[OwnerReply], None]


@dataclasses.dataclass(frozen=True)
class SimulationContext:
    """What every node of one world shares."""

    clock: Clock
    faults: Faults
    log: FakeLog
    rng: random.Random
    record_run: RunRecorder
    reply: ReplyToIngress


class SlotClient:
    """What one incarnation knows of slots: its own and other owners."""

    def __init__(self, node: 'DedupeNode') -> None:
        """Know nothing."""
        self.node = node
        self.leases = NodeLeases()
        self.last_unflagged_heartbeat: dict[int, int] = {}
        self.recipients: dict[int, CopyRecipient] = {}

    def handle_claim_accepted(self, tenure: Tenure) -> None:
        """Learn that a claim of this node was accepted."""
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
        """Learn that a renewal was accepted; the slot was never lost."""
        held = self.leases.held.get(tenure.slot)
        if held is None or held.epoch != former_epoch:
            # The log is read in order, so the gain would have come first.
            self.handle_claim_accepted(tenure)
            return
        held.epoch = tenure.epoch
        held.acknowledged_flag = False
        now = self.node.clock.now
        first_epoch = self.node.owner.tenures[tenure.slot].first_epoch
        same = dataclasses.replace(tenure, first_epoch=first_epoch)
        self.node.perform(self.node.owner.handle_slot_gained(same, now))

    def handle_slot_lost(self, slot: int, epoch: int) -> None:
        """Learn that another node owns the slot."""
        held = self.leases.held.get(slot)
        if held is not None and held.epoch <= epoch:
            self.leases.held.pop(slot)
            self.node.perform(
                self.node.owner.handle_slot_lost(slot, self.node.clock.now)
            )

    def update_recipient(self, slot: int, view: CopyRecipient) -> None:
        """Learn as an ingress who owns a slot."""
        known = self.recipients.get(slot)
        if known is None or known.epoch < view.epoch:
            self.recipients[slot] = view

    def handle_heartbeat_ack(self, beat: Heartbeat) -> None:
        """Take the acknowledgement of the witnesses."""
        held = self.leases.held.get(beat.slot)
        if held is None or held.epoch != beat.epoch:
            return
        held.lease_until = max(
            held.lease_until, beat.sent_at + LEASE_DURATION_S
        )
        # A later heartbeat without the flag may already have cleared it.
        if beat.unlogged and beat.number > self.last_unflagged_heartbeat.get(
            beat.slot, 0
        ):
            held.acknowledged_flag = True

    def heartbeat(self) -> None:
        """Send one heartbeat for each slot, and again."""
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
    """The gate and the target of one node."""

    def __init__(self, node: 'DedupeNode') -> None:
        """Admit to the target of the node."""
        self.node = node

    def offer(self, call: Call) -> None:
        """Queue the call, or refuse it."""
        rng = self.node.context.rng
        if rng.random() < GATE_REFUSES:
            refusal = refuse_not_run(Reason.QUEUE_FULL)
            shed = RefusedCall(call.call_id, refusal)
            self.node.later(0.01, self._finish, shed)
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
        ran: CallResult = Answer(call.call_id, 200, body=body)
        if rng.random() < TARGET_FAILS:
            lost = refuse_outcome_unknown(Reason.TARGET_FAILED)
            ran = RefusedCall(call.call_id, lost)
        self.node.later(rng.choice((0.005, 0.05, 1)), self._finish, ran)

    def _finish(self, ran: CallResult) -> None:
        now = self.node.clock.now
        self.node.perform(self.node.owner.finish_run(ran.call_id, ran, now))


class DedupeNode:
    """A node with its log client, its gate and its target."""

    def __init__(self, name: str, context: SimulationContext) -> None:
        """Create the node; ``start`` makes it run."""
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
        """Forget everything, as a restart does."""
        self.incarnation += 1
        self.slots = SlotClient(self)
        self.gate = FakeGate(self)
        self.log_offset = 0
        commit = GroupCommit(self.name, self.incarnation, 'payment')
        self.owner = DedupeOwner(commit, self.slots.leases)

    def start(self) -> None:
        """Run as a new incarnation."""
        self.crashed = False
        for routine in (self._tick, self.slots.heartbeat, self._read_log):
            self.later(self.context.rng.uniform(0, TICK_S), routine)

    def crash(self, down_s: float) -> None:
        """Lose all memory; come back as a new incarnation."""
        self.crashed = True
        self.reset()
        self.context.clock.after(down_s, self.start)

    def run(
        self,
        incarnation: int,
        action: Action,
        *arguments: object,
    ) -> None:
        """Run an event, after the pause if the VM is paused."""
        if self.crashed or incarnation != self.incarnation:
            return
        clock = self.context.clock
        wake_at = self.context.faults.end_of('paused', self.name)
        if wake_at > clock.now:
            pause_s = wake_at - clock.now
            clock.after(pause_s, self.run, incarnation, action, *arguments)
            return
        action(*arguments)

    def later(
        self,
        delay_s: float,
        action: Action,
        *arguments: object,
    ) -> None:
        """Run an event later, unless the node crashes before."""
        incarnation = self.incarnation
        self.context.clock.after(
            delay_s,
            self.run,
            incarnation,
            action,
            *arguments,
        )

    def receive(self, ask: DedupeAsk, time_left_s: float) -> None:
        """Take one copy from the network, after a pause if there is one."""
        self.run(self.incarnation, self._begin, ask, time_left_s)

    def perform(self, events: Iterable[DedupeEvent]) -> None:
        """Do what the decisions ask for."""
        for event in events:
            if isinstance(event, AppendToLog):
                self._append(event)
            elif isinstance(event, OfferCall):
                self.gate.offer(event.call)
            else:
                self.context.reply(event)

    def _begin(self, ask: DedupeAsk, time_left_s: float) -> None:
        now = self.clock.now
        call = msgspec.structs.replace(ask.call, deadline=now + time_left_s)
        here = dataclasses.replace(ask, call=call)
        self.perform(self.owner.handle_ask(here, now))

    def _append(self, effect: AppendToLog) -> None:
        reply = functools.partial(self.run, self.incarnation, self._confirm)
        self.context.log.append(effect, reply)

    def _confirm(self, append: AppendResult) -> None:
        self.perform(self.owner.handle_append_result(append, self.clock.now))

    def _tick(self) -> None:
        self.perform(self.owner.tick(self.clock.now))
        self.later(TICK_S, self._tick)

    def _read_log(self) -> None:
        take = functools.partial(
            self.run,
            self.incarnation,
            self._take_page,
            self.clock.now,
        )
        self.context.log.read(self.log_offset, take)

    def _take_page(
        self,
        began: float,
        groups: tuple[StartedGroup, ...],
        following: int,
        at_end: bool,
    ) -> None:
        self.log_offset = following
        now = self.clock.now
        self.perform(
            self.owner.apply_started_page(groups, began, now, at_end=at_end),
        )
        self.later(TICK_S, self._read_log)
