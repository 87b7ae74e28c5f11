"""Many nodes' ownership and budget decisions on one paused clock."""

import random
from collections.abc import Callable

from bench.fake_log import FakeLog
from bench.fake_network import FakeNetwork
from bench.fleet_node import FleetNode
from bench.fleet_shape import FleetShape, ZoneShares
from bench.history import Admission, History, BudgetChange, SlotUse
from bench.paused_clock import PausedClock
from ebonycleat.internal.process.effects import SendToPeer
from ebonycleat.internal.process.ownership import SlotId
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.process.team_tokens import Token

PROBE_S = 0.05


class Fleet:
    """Nodes, log, network and the record of what they did."""

    def __init__(
        self,
        shape: FleetShape,
        zone_shares: ZoneShares,
        rng: random.Random,
        delay_s: Callable[[str, str], float],
    ) -> None:
        """Build a fleet of stopped nodes."""
        self.shape = shape
        self.zone_shares = zone_shares
        self.rng = rng
        self.clock = PausedClock()
        self.log = FakeLog(self.clock, rng)
        self.network = FakeNetwork(self.clock, rng, delay_s)
        self.history = History()
        self.cut_from_log: set[str] = set()
        self.nodes = {
            name: FleetNode(self, name) for name in sorted(shape.zone_of)
        }
        self.member_of = {
            name: Member(name, zone, shape.services_at(name))
            for name, zone in shape.zone_of.items()
        }
        self.sent: list[tuple[str, SendToPeer]] | None = None

    def start(self) -> None:
        """Start all nodes, and look at their leases from then on."""
        for node in self.nodes.values():
            node.start()
        self.record_usable_slots()

    def send(self, sender: str, effect: SendToPeer) -> None:
        """Send a peer message; what a node sends itself arrives as well."""
        receiver = self.nodes[effect.node]
        if sender == effect.node:
            receiver.later(0, receiver.receive, sender, effect.message)
            return
        if self.sent is not None:
            self.sent.append((sender, effect))
        self.network.send(
            sender,
            effect.node,
            receiver.handle_delivery,
            effect.message,
        )

    def members_seen_by(self, node: FleetNode) -> tuple[Member, ...]:
        """Return the members that answer a node, but for its suspects."""
        cuts = self.network.cuts
        return tuple(
            self.member_of[name]
            for name, other in self.nodes.items()
            if other.alive
            and name not in node.suspects
            and other.paused_until <= self.clock.now
            and (not cuts or self.network.is_reachable(node.name, name))
        )

    def change_zone_shares(self, parts: ZoneShares, spread_s: float) -> None:
        """Bring a configuration into force, node by node."""
        self.zone_shares = parts
        for node in self.nodes.values():
            if node.alive:
                delay_s = self.rng.uniform(0, spread_s)
                node.later(delay_s, self._adopt, node, parts)

    def spend_token(self, node: FleetNode, token: Token) -> bool:
        """Spend a token, and record the admission if that succeeds."""
        spent = node.holder.spend(token, node.now())
        if spent:
            self.history.admissions.append(
                Admission(self.clock.now, token.team, node.name),
            )
        node.schedule_holder_tick()
        return spent

    def record_use(self, node: FleetNode, slot: SlotId) -> None:
        """Record that a node uses a slot now."""
        epoch = node.engine.lease_manager.leases[slot].epoch
        self.history.uses.append(
            SlotUse(self.clock.now, slot, node.name, epoch),
        )

    def record_usable_slots(self) -> None:
        """Record for each slot who could use it at this moment."""
        for node in self.nodes.values():
            if not node.alive or self.clock.now < node.paused_until:
                continue
            for slot in node.engine.lease_manager.leases:
                if node.engine.is_usable(slot, node.now()):
                    self.record_use(node, slot)
        self.clock.call_later(PROBE_S, self.record_usable_slots)

    def record_budgets(self) -> None:
        """Record the highest rate and burst of each team still in use."""
        teams = {team for table in self.zone_shares.values() for team in table}
        for team in sorted(teams):
            zone_parts = [
                self._highest_part(zone, team) for zone in self.zone_shares
            ]
            self.history.budget_changes.append(
                BudgetChange(
                    self.clock.now,
                    team,
                    sum(rate_per_s for rate_per_s, _ in zone_parts),
                    sum(burst for _, burst in zone_parts),
                ),
            )

    def _highest_part(self, zone: str, team: str) -> tuple[float, float]:
        parts = [
            node.zone_shares[zone].get(team, (0, 0))
            for node in self.nodes.values()
            if node.zone == zone
        ]
        rates, bursts = zip(*parts, strict=True)
        return max(rates), max(bursts)

    def _adopt(self, node: FleetNode, parts: ZoneShares) -> None:
        node.zone_shares = parts
        node.owner.update_zone_shares(parts[node.zone], node.now())
        self.record_budgets()
