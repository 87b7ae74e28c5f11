"""The layer under test: real decision classes, simulated transport."""

import dataclasses
import random
from collections.abc import Callable, Mapping
from functools import partial

import msgspec

from bench.policy_hop import Hop, HopNode, HopReply, ReplyCallback
from bench.policy_targets import CallDownstream
from bench.policy_simulation import (
    SystemUnderTest,
    TargetPlacement,
    RootCallback,
    Simulation,
)
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
from ebonycleat.internal.request.retry_ledger import RetryLedger
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_outcome_unknown,
)

TICK_S = 0.02
PROBE_S = 0.25
QUEUE_PER_SLOT = 2


@dataclasses.dataclass(slots=True)
class ReceivedCall:
    """A call at the gate of the node that may run it."""

    call: Call
    chain: tuple[str, ...]
    reply: ReplyCallback
    context: str = ''
    started_at: float = 0


class LayerNode(HopNode):
    """One node: gate, router, contexts and retries around one target."""

    def __init__(
        self,
        system: 'LayerSystem',
        place: TargetPlacement,
        rng: random.Random,
    ) -> None:
        """Build the decision objects of the node."""
        self.system = system
        self.clock = system.simulation.clock
        self.place = place
        slots = place.target.slots
        self.gate = create_gate(
            slots,
            slots * QUEUE_PER_SLOT,
            place.zone,
            rng,
        )
        self.router = create_router(place.zone, place.node, rng)
        self.budget = RetryBudget()
        self.policy = RetryPolicy(self.budget, rng)
        self.contexts = create_context_registry(slots, rng)
        self.received: dict[str, ReceivedCall] = {}
        self.clock.after(rng.uniform(0, TICK_S), self.tick)
        self.clock.after(rng.uniform(0, PROBE_S), self.probe)

    def members_of(self, service: str) -> list[Member]:
        """Members of a service."""
        return self.system.members[service]

    def send(
        self,
        member: Member,
        call: Call,
        chain: tuple[str, ...],
        take_reply: ReplyCallback,
    ) -> None:
        """Carry one attempt to a member and its reply back."""
        zone = self.place.zone
        self.system.send(zone, member, call, chain, take_reply)

    def tick(self) -> None:
        """Drive the gate's timer."""
        self.apply(self.gate.tick(self.clock.now))
        self.clock.after(TICK_S, self.tick)

    def probe(self) -> None:
        """Connect to the target, which shows only whether it listens."""
        if not self.place.target.alive:
            self.gate.limit.record_probe_failure(self.clock.now)
        self.clock.after(PROBE_S, self.probe)

    def receive(self, received: ReceivedCall) -> None:
        """Offer a call that came over the network."""
        self.received[received.call.call_id] = received
        self.apply(self.gate.offer(received.call, self.clock.now))

    def apply(self, events: list[GateDecision]) -> None:
        """Carry out what the gate decided."""
        for event in events:
            received = self.received[event.call.call_id]
            if isinstance(event, DispatchCall):
                self.start(received)
            else:
                self.received.pop(event.call.call_id)
                unused = event.call.retry_allowance
                self.answer(received, event.refusal, unused)

    def start(self, received: ReceivedCall) -> None:
        """Run a call at the target."""
        received.started_at = self.clock.now
        received.context = self.contexts.open(received.call)
        rest = received.chain[1:]
        call_on: CallDownstream | None = None
        if rest:
            call_on = partial(self.call_on, received.context, rest)
        self.place.target.run(
            received.call,
            call_on,
            partial(self.run_ended, received),
        )

    def call_on(
        self,
        context_text: str,
        chain: tuple[str, ...],
        call: Call,
        done: Callable[[bool], None],
    ) -> None:
        """Send the target's further call under its context."""
        context = self.contexts.resolve(context_text, self.clock.now)
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

    def run_ended(self, received: ReceivedCall, how: RunResult) -> None:
        """Free the slot and answer."""
        now = self.clock.now
        call_id = received.call.call_id
        self.received.pop(call_id)
        closed = self.contexts.close(received.context)
        refusal: Refusal | None = None
        if how is not RunResult.SUCCEEDED:
            refusal = closed.downstream_refusal or refuse_outcome_unknown(
                Reason.TARGET_FAILED,
            )
        service_s = now - received.started_at
        outcome = RunOutcome(how, service_s, closed.waited_s)
        events = self.gate.finish_run(call_id, outcome, now)
        self.answer(received, refusal, closed.retries_unused)
        self.apply(events)

    def answer(
        self,
        received: ReceivedCall,
        refusal: Refusal | None,
        unused: int,
    ) -> None:
        """Send the answer with the load of this node."""
        load = self.gate.current_load(self.clock.now)
        received.reply(HopReply(refusal, unused, load))


class LayerSystem(SystemUnderTest):
    """All nodes of a site."""

    def __init__(
        self,
        simulation: Simulation,
        retry_limit: int,
        weights: Mapping[str, float],
    ) -> None:
        """Build one node beside each target."""
        super().__init__(simulation)
        self.retry_limit = retry_limit
        self.members: dict[str, list[Member]] = {}
        self.nodes: dict[str, LayerNode] = {}
        for place in simulation.placements.values():
            member = Member(place.node, place.zone)
            self.members.setdefault(place.service, []).append(member)
            node_rng = random.Random(simulation.rng.getrandbits(64))
            node = LayerNode(self, place, node_rng)
            node.gate.set_team_weights(weights)
            self.nodes[place.node] = node

    def send_root(
        self,
        call: Call,
        chain: tuple[str, ...],
        zone: str,
        done: RootCallback,
    ) -> None:
        """Enter at a reachable node of the service, in the zone if any."""
        reachable = [
            place
            for place in self.simulation.placements_of(chain[0])
            if place.node not in self.simulation.unreachable_since
        ]
        near = [place for place in reachable if place.zone == zone]
        entry = self.simulation.rng.choice(near or reachable)
        ledger = RetryLedger(self.retry_limit)

        def answer(refusal: Refusal | None) -> None:  # noqa: WPS430
            done(refusal is None)

        hop = Hop(self.nodes[entry.node], call, chain, ledger, answer)
        hop.attempt()

    def send(
        self,
        zone: str,
        member: Member,
        call: Call,
        chain: tuple[str, ...],
        take_reply: ReplyCallback,
    ) -> None:
        """Carry an attempt to a node, and its reply back."""
        clock = self.simulation.clock
        place = self.simulation.placements[member.node]
        place.target.attempt_times.append(clock.now)
        failing_s = self.simulation.failure_delay_s(zone, member.node)
        if failing_s is not None:
            lost = refuse_outcome_unknown(Reason.CONNECTION_LOST)
            clock.after(
                failing_s,
                partial(take_reply, HopReply(lost, 0, None)),
            )
            return
        delay_s = self.simulation.network_delay_s(zone, member.zone)
        back = partial(self.send_back, zone, member, take_reply)
        received = ReceivedCall(call, chain, back)
        node = self.nodes[member.node]
        clock.after(delay_s, partial(node.receive, received))

    def send_back(
        self,
        zone: str,
        member: Member,
        take_reply: ReplyCallback,
        reply: HopReply,
    ) -> None:
        """Carry a reply; it is lost when the link was cut meanwhile."""
        delay_s = self.simulation.network_delay_s(zone, member.zone)
        failing_s = self.simulation.failure_delay_s(zone, member.node)
        if failing_s is not None:
            lost = refuse_outcome_unknown(Reason.CONNECTION_LOST)
            reply = HopReply(lost, 0, None)
            delay_s = failing_s
        self.simulation.clock.after(delay_s, partial(take_reply, reply))

    def drain(self, node: str) -> None:
        """Begin a planned stop of a target."""
        layer_node = self.nodes[node]
        layer_node.gate.drain()
