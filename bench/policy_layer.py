"""System with the layer: real decision classes, simulated transport."""

import dataclasses
import random
from collections.abc import Callable, Mapping
from functools import partial

import msgspec

from bench.policy_hop import Hop, HopNode, HopReply, ReplyCallback
from bench.policy_simulation import (
    RootCallback,
    Simulation,
    SystemUnderTest,
    TargetPlacement,
)
from bench.policy_targets import CallDownstream
from ebonycleat.internal.process.gate import create_gate
from ebonycleat.internal.process.gate_decisions import (
    DispatchCall,
    GateDecision,
)
from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.process.retry_policy import RetryPolicy
from ebonycleat.internal.process.router import create_router
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.context import (
    RequestContext,
    create_context_registry,
)
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_outcome_unknown,
)
from ebonycleat.internal.request.retry_ledger import RetryLedger

TICK_S = 0.02
PROBE_S = 0.25
QUEUE_PER_SLOT = 2


@dataclasses.dataclass(slots=True)
class ReceivedCall:
    """A call received by a node, from its arrival at the gate to its answer."""

    call: Call
    chain: tuple[str, ...]
    reply: ReplyCallback
    context: str = ''
    started_at: float = 0


class LayerNode(HopNode):
    """One node: gate, router, contexts and retries in front of one target."""

    def __init__(
        self,
        system: 'LayerSystem',
        placement: TargetPlacement,
        rng: random.Random,
    ) -> None:
        """Create the decision objects of the node and start its timers."""
        self.system = system
        self.clock = system.simulation.clock
        self.placement = placement
        slots = placement.target.slots
        self.gate = create_gate(
            slots,
            slots * QUEUE_PER_SLOT,
            placement.zone,
            rng,
        )
        self.router = create_router(placement.zone, placement.node, rng)
        self.budget = RetryBudget()
        self.policy = RetryPolicy(self.budget, rng)
        self.contexts = create_context_registry(slots, rng)
        self.received: dict[str, ReceivedCall] = {}
        self.clock.after(rng.uniform(0, TICK_S), self.tick)
        self.clock.after(rng.uniform(0, PROBE_S), self.probe)

    def members_of(self, service: str) -> list[Member]:
        """List the members of a service."""
        return self.system.members[service]

    def send(
        self,
        member: Member,
        call: Call,
        chain: tuple[str, ...],
        handle_reply: ReplyCallback,
    ) -> None:
        """Send one attempt to a member; its reply goes to ``handle_reply``."""
        zone = self.placement.zone
        self.system.send(zone, member, call, chain, handle_reply)

    def tick(self) -> None:
        """Run the periodic work of the gate."""
        self.apply_decisions(self.gate.tick(self.clock.now))
        self.clock.after(TICK_S, self.tick)

    def probe(self) -> None:
        """Probe the target by a connection, which shows only whether it listens."""
        if not self.placement.target.alive:
            self.gate.limit.record_probe_failure(self.clock.now)
        self.clock.after(PROBE_S, self.probe)

    def receive(self, received: ReceivedCall) -> None:
        """Offer a call from the network to the gate."""
        self.received[received.call.call_id] = received
        self.apply_decisions(self.gate.offer(received.call, self.clock.now))

    def apply_decisions(self, decisions: list[GateDecision]) -> None:
        """Carry out the decisions of the gate."""
        for decision in decisions:
            received = self.received[decision.call.call_id]
            if isinstance(decision, DispatchCall):
                self.start(received)
            else:
                self.received.pop(decision.call.call_id)
                unused_retries = decision.call.retry_allowance
                self.send_answer(received, decision.refusal, unused_retries)

    def start(self, received: ReceivedCall) -> None:
        """Run a call at the target, under a new context."""
        received.started_at = self.clock.now
        received.context = self.contexts.open(received.call)
        rest = received.chain[1:]
        call_downstream: CallDownstream | None = None
        if rest:
            call_downstream = partial(
                self.call_downstream, received.context, rest
            )
        self.placement.target.run(
            received.call,
            call_downstream,
            partial(self.handle_run_end, received),
        )

    def call_downstream(
        self,
        context_id: str,
        chain: tuple[str, ...],
        call: Call,
        done: Callable[[bool], None],
    ) -> None:
        """Make a downstream call of the target under the context of its call."""
        context = self.contexts.resolve(context_id, self.clock.now)
        if not isinstance(context, RequestContext):
            done(False)
            return
        child = msgspec.structs.replace(
            context.call,
            call_id=f'{call.call_id}.',
            service=chain[0],
            route=chain[0],
            depth=context.child_depth,
        )

        def child_done(refusal: Refusal | None) -> None:  # noqa: WPS430
            context.end_child(child.call_id, self.clock.now)
            if refusal:
                context.record_downstream_refusal(refusal)
            done(refusal is None)

        context.start_child(child.call_id, self.clock.now)
        Hop(self, child, chain, context.ledger, child_done).attempt()

    def handle_run_end(self, received: ReceivedCall, result: RunResult) -> None:
        """Free the slot and send the answer."""
        now = self.clock.now
        call_id = received.call.call_id
        self.received.pop(call_id)
        closed = self.contexts.close(received.context)
        refusal: Refusal | None = None
        if result is not RunResult.SUCCEEDED:
            refusal = closed.downstream_refusal or refuse_outcome_unknown(
                Reason.TARGET_FAILED,
            )
        service_s = now - received.started_at
        outcome = RunOutcome(result, service_s, closed.waited_s)
        decisions = self.gate.finish_run(call_id, outcome, now)
        self.send_answer(received, refusal, closed.retries_unused)
        self.apply_decisions(decisions)

    def send_answer(
        self,
        received: ReceivedCall,
        refusal: Refusal | None,
        unused_retries: int,
    ) -> None:
        """Send the answer together with the load of this node."""
        load = self.gate.current_load(self.clock.now)
        received.reply(HopReply(refusal, unused_retries, load))


class LayerSystem(SystemUnderTest):
    """All nodes of a site with the layer."""

    def __init__(
        self,
        simulation: Simulation,
        retry_limit: int,
        weights: Mapping[str, float],
    ) -> None:
        """Create one node per target."""
        super().__init__(simulation)
        self.retry_limit = retry_limit
        self.members: dict[str, list[Member]] = {}
        self.nodes: dict[str, LayerNode] = {}
        for placement in simulation.placements.values():
            member = Member(placement.node, placement.zone)
            self.members.setdefault(placement.service, []).append(member)
            node_rng = random.Random(simulation.rng.getrandbits(64))
            node = LayerNode(self, placement, node_rng)
            node.gate.set_team_rates(weights)
            self.nodes[placement.node] = node

    def send_root(
        self,
        call: Call,
        chain: tuple[str, ...],
        zone: str,
        done: RootCallback,
    ) -> None:
        """Send to a reachable node of the service, preferably in the same zone."""
        reachable = [
            placement
            for placement in self.simulation.placements_of(chain[0])
            if placement.node not in self.simulation.unreachable_since
        ]
        same_zone = [
            placement for placement in reachable if placement.zone == zone
        ]
        entry = self.simulation.rng.choice(same_zone or reachable)
        ledger = RetryLedger(self.retry_limit)

        def report_result(refusal: Refusal | None) -> None:  # noqa: WPS430
            done(refusal is None)

        hop = Hop(self.nodes[entry.node], call, chain, ledger, report_result)
        hop.attempt()

    def send(
        self,
        zone: str,
        member: Member,
        call: Call,
        chain: tuple[str, ...],
        handle_reply: ReplyCallback,
    ) -> None:
        """Send an attempt to a node over the simulated network."""
        clock = self.simulation.clock
        placement = self.simulation.placements[member.node]
        placement.target.attempt_times.append(clock.now)
        failing_s = self.simulation.failure_delay_s(zone, member.node)
        if failing_s is not None:
            lost = refuse_outcome_unknown(Reason.CONNECTION_LOST)
            clock.after(
                failing_s,
                partial(handle_reply, HopReply(lost, 0, None)),
            )
            return
        delay_s = self.simulation.network_delay_s(zone, member.zone)
        send_reply = partial(self.send_reply, zone, member, handle_reply)
        received = ReceivedCall(call, chain, send_reply)
        node = self.nodes[member.node]
        clock.after(delay_s, partial(node.receive, received))

    def send_reply(
        self,
        zone: str,
        member: Member,
        handle_reply: ReplyCallback,
        reply: HopReply,
    ) -> None:
        """Send a reply back; it is lost if the link was cut in the meantime."""
        delay_s = self.simulation.network_delay_s(zone, member.zone)
        failing_s = self.simulation.failure_delay_s(zone, member.node)
        if failing_s is not None:
            lost = refuse_outcome_unknown(Reason.CONNECTION_LOST)
            reply = HopReply(lost, 0, None)
            delay_s = failing_s
        self.simulation.clock.after(delay_s, partial(handle_reply, reply))

    def drain(self, node: str) -> None:
        """Begin the planned stop of a target: its gate drains."""
        layer_node = self.nodes[node]
        layer_node.gate.drain()
