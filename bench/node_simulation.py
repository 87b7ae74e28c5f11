"""Whole nodes on one paused clock, with small fakes at their interfaces.

The log, the network and the targets are the only fakes. Every message and
record is encoded and decoded on its way, and all bytes that leave a node are
kept, so that a check can search them.
"""

import dataclasses
import random
from collections.abc import Iterable, Mapping
from typing import Any

from bench.node_simulation_log import SimulatedLog
from bench.node_simulation_target import ResultCallback, SimulatedTarget
from bench.paused_clock import PausedClock
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
SAME_ZONE_S = 0.0003
OTHER_ZONE_S = 0.001
SILENCE_S = 1.0
OPERATOR_KEY = 'operator-key-of-the-tests'


@dataclasses.dataclass(frozen=True, slots=True)
class NodePlacement:
    """Where one node runs and what its target serves."""

    zone: str
    service: str
    slots: int = 8
    service_s: float = 0.01


class SimulatedNode:
    """One VM: a node core, its target, and the driver around them."""

    def __init__(
        self, world: 'NodeSimulation', name: str, placement: NodePlacement
    ) -> None:
        """Create the VM; ``start`` starts its node."""
        self.world = world
        self.name = name
        self.placement = placement
        self.incarnation = 0
        self.alive = False
        self.paused_until: float = 0
        self.target = SimulatedTarget(
            world.clock, placement.slots, placement.service_s
        )

    def start(self) -> None:
        """Start a node without memory."""
        self.incarnation += 1
        self.alive = True
        self.core = create_node_core(
            self.settings(),
            self.incarnation,
            RandomSources(self.world.rng, self.world.rng),
            self.world.clock.now,
        )
        self.later(self.world.rng.uniform(0, TICK_S), self.tick)

    def settings(self) -> NodeSettings:
        """Settings of the node, as a file would give them."""
        number = 7000 + list(self.world.placements).index(self.name)
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
            log=LogServiceSettings(base_url='http://127.0.0.1:9200'),
            queue=QueueSettings(length=64),
            operators=(
                OperatorSettings(
                    name='tester',
                    key_digest=digest_key(OPERATOR_KEY),
                ),
            ),
        )

    def kill(self) -> None:
        """End the process at once; its memory is gone."""
        self.alive = False
        self.incarnation += 1

    def later(self, delay_s: float, action: Any, *args: Any) -> None:
        """Run an action on this VM unless its process has ended by then."""
        self.world.clock.call_later(
            delay_s,
            self.run,
            self.incarnation,
            action,
            args,
        )

    def run(self, incarnation: int, action: Any, args: Any) -> None:
        """Run an action now, or when a pause is over."""
        if not self.alive or incarnation != self.incarnation:
            return
        clock = self.world.clock
        if clock.now < self.paused_until:
            clock.call_at(
                self.paused_until, self.run, incarnation, action, args
            )
            return
        action(*args)

    def tick(self) -> None:
        """Let the core advance."""
        self.perform(self.core.tick(self.world.clock.now))
        self.later(TICK_S, self.tick)

    def perform(self, effects: Iterable[NodeEffect]) -> None:
        """Carry out what the core decided."""
        for effect in effects:
            match effect:
                case SendToPeer():
                    self.world.send(self, effect)
                case CallTarget(call=call):
                    self.target.run(call, self.reporter_of(call.call_id))
                case ProbeTarget():
                    self.later(0.001, self.handle_probe)
                case ReadLog():
                    self.world.log.read(self, effect)
                case AppendToLog():
                    encoded = self.core.log_codec.encode(effect.record)
                    self.world.log.append(self, effect, encoded)
                case AnswerRequest():
                    self.world.record_answer(effect.request_id, effect.answer)

    def reporter_of(self, call_id: str) -> ResultCallback:
        """Make what the target calls at the end of one run."""

        def report(ended: TargetResult) -> None:  # noqa: WPS430 (callback)
            self.later(0, self.handle_target_result, call_id, ended)

        return report

    def handle_target_result(self, call_id: str, ended: Any) -> None:
        """ResultCallback the end of a run to the core."""
        now = self.world.clock.now
        self.perform(self.core.handle_target_result(call_id, ended, now))

    def handle_probe(self) -> None:
        """ResultCallback whether the target accepts connections."""
        now = self.world.clock.now
        alive = self.target.is_up()
        self.perform(self.core.handle_probe_result(now, alive=alive))

    def receive(self, sender: str, encoded: bytes) -> None:
        """Take one message from the network."""
        message = self.core.peer_codec.decode(encoded)
        now = self.world.clock.now
        # A message comes over an open link, as the transport reports it.
        self.core.handle_link_change(sender, reachable=True)
        self.perform(self.core.handle_message(sender, message, now))

    def handle_lost_link(self, node: str, lost: str, *, sent: bool) -> None:
        """Learn that the link to a node is gone."""
        now = self.world.clock.now
        self.core.handle_link_change(node, reachable=False)
        if lost:
            self.perform(self.core.handle_lost_call(node, lost, now, sent=sent))


class NodeSimulation:
    """All VMs, the network between them and the log."""

    def __init__(
        self, placements: Mapping[str, NodePlacement], seed: int
    ) -> None:
        """Create the VMs and start a node on each."""
        self.rng = random.Random(seed)
        self.clock = PausedClock()
        self.placements = dict(placements)
        self.log = SimulatedLog(self.clock, self.rng)
        self.cut_zones: set[frozenset[str]] = set()
        self.sent: list[bytes] = []
        self.answers: dict[str, tuple[float, OutgoingResponse]] = {}
        self.requests = 0
        self.nodes = {
            name: SimulatedNode(self, name, place)
            for name, place in self.placements.items()
        }
        for node in self.nodes.values():
            node.start()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.run_until(self.clock.now + seconds)

    def cut(self, one: str, other: str) -> None:
        """Cut two zones off from each other; nothing arrives."""
        self.cut_zones.add(frozenset((one, other)))

    def send(self, sender: SimulatedNode, effect: SendToPeer) -> None:
        """Deliver a message, or let the sender notice that it is lost."""
        encoded = sender.core.peer_codec.encode(effect.message)
        self.sent.append(encoded)
        lost = pending_id(effect.message)
        receiver = self.find(sender, effect.node)
        if receiver is None or not receiver.alive:
            sender.later(
                SAME_ZONE_S,
                lambda: sender.handle_lost_link(effect.node, lost, sent=False),
            )
            return
        zones = frozenset((sender.placement.zone, receiver.placement.zone))
        if zones in self.cut_zones:
            sender.later(
                SILENCE_S,
                lambda: sender.handle_lost_link(effect.node, lost, sent=True),
            )
            return
        latency_s = SAME_ZONE_S if len(zones) == 1 else OTHER_ZONE_S
        receiver.later(latency_s, receiver.receive, sender.name, encoded)

    def find(self, sender: SimulatedNode, name: str) -> SimulatedNode | None:
        """Find a node by its id, or by its address as a seed peer."""
        named = self.nodes.get(name)
        if named is not None:
            return named
        for node in self.nodes.values():
            address = node.settings().peers
            if name == f'{address.address}:{address.port}':
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
        """Send a request to a node now; return its id."""
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
        """Send an operator's command to a node now; return the request."""
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
        """Keep an answer; a second one to the same request is a fault."""
        if request_id in self.answers:
            raise AssertionError(f'{request_id} was answered twice')
        self.answers[request_id] = (self.clock.now, answer)

    def status(self, request_id: str) -> int:
        """Status of an answer, 0 while there is none."""
        if request_id not in self.answers:
            return 0
        return int(self.answers[request_id][1].status)

    def header(self, request_id: str, name: str) -> str:
        """One header of an answer."""
        return dict(self.answers[request_id][1].headers).get(name, '')


OPERATOR_BODY = b'{"text": "%s", "operation_id": "%s"}'
