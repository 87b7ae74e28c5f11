"""Complete node cores on one simulated clock.

Only the log, the network and the targets are fakes. Every message and record
is encoded and decoded in transit. All bytes that a node sends to peers are
kept, so that tests can search them.
"""

import dataclasses
import random
from collections.abc import Iterable, Mapping
from typing import Any

from bench.node_simulation_log import SimulatedLog
from bench.node_simulation_target import ResultCallback, SimulatedTarget
from bench.simulated_clock import SimulatedClock
from ebonycleat.internal.connection.peer_messages import pending_id
from ebonycleat.internal.connection.target_client import TargetResult
from ebonycleat.internal.process.effects import (
    AnswerRequest,
    AppendToLog,
    CallTarget,
    NodeEffect,
    ProbeTarget,
    ReadLog,
    SendToPeer,
)
from ebonycleat.internal.process.node_factory import (
    RandomSources,
    create_node_core,
)
from ebonycleat.internal.process.settings import (
    CallersSettings,
    LogServiceSettings,
    NodeIdentity,
    NodeSettings,
    OperatorSettings,
    PeersSettings,
    QueueSettings,
    TargetSettings,
)
from ebonycleat.internal.request.incoming import (
    OutgoingResponse,
    create_incoming_request,
    digest_key,
)

TICK_S = 0.02
SAME_ZONE_LATENCY_S = 0.0003
OTHER_ZONE_LATENCY_S = 0.001
LINK_TIMEOUT_S = 1.0
OPERATOR_KEY = 'operator-key-of-the-tests'


@dataclasses.dataclass(frozen=True, slots=True)
class NodePlacement:
    """The zone of a node and the service of its target."""

    zone: str
    service: str
    slots: int = 8
    service_s: float = 0.01


class SimulatedNode:
    """A VM with a node core and a target; performs the effects of the core.

    ``log_era`` is the era of the log that the settings name.
    """

    def __init__(
        self, simulation: 'NodeSimulation', name: str, placement: NodePlacement
    ) -> None:
        """Create the VM; ``start`` starts its node."""
        self.simulation = simulation
        self.name = name
        self.placement = placement
        self.incarnation = 0
        self.alive = False
        self.paused_until: float = 0
        self.log_era = 0
        self.target = SimulatedTarget(
            simulation.clock, placement.slots, placement.service_s
        )

    def start(self) -> None:
        """Start the node as a new incarnation without memory."""
        self.incarnation += 1
        self.alive = True
        self.core = create_node_core(
            self.settings(),
            self.incarnation,
            RandomSources(self.simulation.rng, self.simulation.rng),
            self.simulation.clock.now,
        )
        self.later(self.simulation.rng.uniform(0, TICK_S), self.tick)

    def settings(self) -> NodeSettings:
        """Return the settings of the node, as read from a file."""
        number = 7000 + list(self.simulation.placements).index(self.name)
        return NodeSettings(
            node=NodeIdentity(
                id=self.name,
                zone=self.placement.zone,
                service=self.placement.service,
            ),
            callers=CallersSettings(address='127.0.0.1', port=8000),
            peers=PeersSettings(
                address='127.0.0.1',
                port=number,
                seeds=('127.0.0.1:7000', '127.0.0.1:7001'),
            ),
            target=TargetSettings(
                host='127.0.0.1',
                port=9000,
                slots=self.placement.slots,
            ),
            log=LogServiceSettings(
                base_url='http://127.0.0.1:9200', era=self.log_era
            ),
            queue=QueueSettings(length=64),
            operators=(
                OperatorSettings(
                    name='tester',
                    key_digest=digest_key(OPERATOR_KEY),
                ),
            ),
        )

    def kill(self) -> None:
        """End the process at once and discard its memory."""
        self.alive = False
        self.incarnation += 1

    def later(self, delay_s: float, action: Any, *args: Any) -> None:
        """Run an action after a delay unless the process has ended by then."""
        self.simulation.clock.call_later(
            delay_s,
            self.run,
            self.incarnation,
            action,
            args,
        )

    def run(self, incarnation: int, action: Any, args: Any) -> None:
        """Run an action now, or after the pause if the VM is paused."""
        if not self.alive or incarnation != self.incarnation:
            return
        clock = self.simulation.clock
        if clock.now < self.paused_until:
            clock.call_at(
                self.paused_until, self.run, incarnation, action, args
            )
            return
        action(*args)

    def tick(self) -> None:
        """Tick the core and schedule the next tick."""
        self.perform(self.core.tick(self.simulation.clock.now))
        self.later(TICK_S, self.tick)

    def perform(self, effects: Iterable[NodeEffect]) -> None:
        """Perform effects of the core."""
        for effect in effects:
            match effect:
                case SendToPeer():
                    self.simulation.send(self, effect)
                case CallTarget(call=call):
                    self.target.run(
                        call, self.create_result_callback(call.call_id)
                    )
                case ProbeTarget():
                    self.later(0.001, self.handle_probe)
                case ReadLog():
                    self.simulation.log.read(self, effect)
                case AppendToLog():
                    encoded = self.core.log_codec.encode(effect.record)
                    self.simulation.log.append(self, effect, encoded)
                case AnswerRequest():
                    self.simulation.record_answer(
                        effect.request_id, effect.answer
                    )

    def create_result_callback(self, call_id: str) -> ResultCallback:
        """Create the callback with which the target reports the end of a run."""

        def report(target_result: TargetResult) -> None:  # noqa: WPS430 (callback)
            self.later(0, self.handle_target_result, call_id, target_result)

        return report

    def handle_target_result(self, call_id: str, target_result: Any) -> None:
        """Pass the result of a run to the core."""
        now = self.simulation.clock.now
        self.perform(
            self.core.handle_target_result(call_id, target_result, now)
        )

    def handle_probe(self) -> None:
        """Tell the core whether the target accepts connections."""
        now = self.simulation.clock.now
        alive = self.target.is_up()
        self.perform(self.core.handle_probe_result(now, alive=alive))

    def receive(self, sender: str, encoded: bytes) -> None:
        """Receive an encoded message from the network."""
        message = self.core.peer_codec.decode(encoded)
        now = self.simulation.clock.now
        # The transport reports an open link before the first message over it.
        self.core.handle_link_change(sender, reachable=True)
        self.perform(self.core.handle_message(sender, message, now))

    def handle_lost_link(
        self, node: str, lost_call_id: str, *, sent: bool
    ) -> None:
        """Tell the core that the link to a node is lost.

        ``lost_call_id`` is the id of the call that was lost with it, or empty.
        """
        now = self.simulation.clock.now
        self.core.handle_link_change(node, reachable=False)
        if lost_call_id:
            self.perform(
                self.core.handle_lost_call(node, lost_call_id, now, sent=sent)
            )


class NodeSimulation:
    """All VMs, the network between them and the log."""

    def __init__(
        self, placements: Mapping[str, NodePlacement], seed: int
    ) -> None:
        """Create the VMs and start their nodes."""
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.placements = dict(placements)
        self.log = SimulatedLog(self.clock, self.rng)
        self.cut_zones: set[frozenset[str]] = set()
        self.sent: list[bytes] = []
        self.answers: dict[str, tuple[float, OutgoingResponse]] = {}
        self.requests = 0
        self.nodes = {
            name: SimulatedNode(self, name, placement)
            for name, placement in self.placements.items()
        }
        for node in self.nodes.values():
            node.start()

    def run(self, seconds: float) -> None:
        """Advance the simulated clock."""
        self.clock.run_until(self.clock.now + seconds)

    def cut(self, zone: str, other_zone: str) -> None:
        """Cut two zones off from each other, so that no message arrives."""
        self.cut_zones.add(frozenset((zone, other_zone)))

    def send(self, sender: SimulatedNode, effect: SendToPeer) -> None:
        """Deliver a message, or report its loss to the sender after a delay."""
        encoded = sender.core.peer_codec.encode(effect.message)
        self.sent.append(encoded)
        lost_call_id = pending_id(effect.message)
        receiver = self.find(sender, effect.node)
        if receiver is None or not receiver.alive:
            sender.later(
                SAME_ZONE_LATENCY_S,
                lambda: sender.handle_lost_link(
                    effect.node, lost_call_id, sent=False
                ),
            )
            return
        zones = frozenset((sender.placement.zone, receiver.placement.zone))
        if zones in self.cut_zones:
            sender.later(
                LINK_TIMEOUT_S,
                lambda: sender.handle_lost_link(
                    effect.node, lost_call_id, sent=True
                ),
            )
            return
        latency_s = (
            SAME_ZONE_LATENCY_S if len(zones) == 1 else OTHER_ZONE_LATENCY_S
        )
        receiver.later(latency_s, receiver.receive, sender.name, encoded)

    def find(self, sender: SimulatedNode, name: str) -> SimulatedNode | None:
        """Find a node by its id, or by the address of a seed peer."""
        node_by_id = self.nodes.get(name)
        if node_by_id is not None:
            return node_by_id
        for node in self.nodes.values():
            peers = node.settings().peers
            if name == f'{peers.address}:{peers.port}':
                return node
        return None

    def request(
        self,
        node: str,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        **headers: str,
    ) -> str:
        """Send a request to a node and return the request id."""
        self.requests += 1
        request_id = f'request{self.requests}'
        request = create_incoming_request(
            request_id,
            method,
            path,
            {name.replace('_', '-'): text for name, text in headers.items()},
            body,
        )
        ingress = self.nodes[node]
        now = self.clock.now
        ingress.perform(ingress.core.handle_request(request, now))
        return request_id

    def submit_operator_command(
        self, node: str, text: str, operation_id: str
    ) -> str:
        """Send an operator command to a node and return the request id."""
        self.requests += 1
        request_id = f'operator{self.requests}'
        request = create_incoming_request(
            request_id,
            'POST',
            '/',
            {'authorization': f'Bearer {OPERATOR_KEY}'},
            OPERATOR_BODY % (text.encode(), operation_id.encode()),
        )
        ingress = self.nodes[node]
        now = self.clock.now
        ingress.perform(ingress.core.handle_operator_request(request, now, now))
        return request_id

    def record_answer(self, request_id: str, answer: OutgoingResponse) -> None:
        """Store an answer; raise if the request already has one."""
        if request_id in self.answers:
            raise AssertionError(f'{request_id} was answered twice')
        self.answers[request_id] = (self.clock.now, answer)

    def status(self, request_id: str) -> int:
        """Return the status of an answer, or 0 while there is none."""
        if request_id not in self.answers:
            return 0
        return int(self.answers[request_id][1].status)

    def header(self, request_id: str, name: str) -> str:
        """Return a header of an answer, or an empty string."""
        return dict(self.answers[request_id][1].headers).get(name, '')


OPERATOR_BODY = b'{"text": "%s", "operation_id": "%s"}'
