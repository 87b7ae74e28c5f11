"""A simulated fleet of nodes that own slots and divide budgets."""

import random
from collections.abc import Callable

from bench.fake_log import FakeLog
from bench.fake_network import FakeNetwork
from bench.fleet_node import FleetNode
from bench.fleet_shape import FleetShape, ZoneShares
from bench.history import Admission, BudgetChange, History, SlotUse
from bench.simulated_clock import SimulatedClock
from ebonycleat.internal.process.effects import SendToPeer
from ebonycleat.internal.process.ownership import SlotId
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.process.team_tokens import Token

USABLE_SLOTS_INTERVAL_S = 0.05


class Fleet:
    """Nodes, log and network on one simulated clock, with a history."""

    def __init__(
        self,
        shape: FleetShape,
        zone_shares: ZoneShares,
        rng: random.Random,
        delay_s: Callable[[str, str], float],
    ) -> None:
        """Create a fleet whose nodes are not started yet."""
        self.shape = shape
        self.zone_shares = zone_shares
        self.rng = rng
        self.clock = SimulatedClock()
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
        """Start all nodes and the periodic record of their usable slots."""
        for node in self.nodes.values():
            node.start()
        self.record_usable_slots()

    def send(self, sender: str, effect: SendToPeer) -> None:
        """Send a peer message; a node's message to itself is always delivered."""
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
        """Return the members that answer a node and that it does not suspect."""
        cuts = self.network.cuts
        return tuple(
            self.member_of[name]
            for name, other in self.nodes.items()
            if other.alive
            and name not in node.suspects
            and other.paused_until <= self.clock.now
            and (not cuts or self.network.is_reachable(node.name, name))
        )

    def change_zone_shares(self, shares: ZoneShares, spread_s: float) -> None:
        """Apply new zone shares to each node at a random time."""
        self.zone_shares = shares
        for node in self.nodes.values():
            if node.alive:
                delay_s = self.rng.uniform(0, spread_s)
                node.later(delay_s, self._apply_zone_shares, node, shares)

    def spend_token(self, node: FleetNode, token: Token) -> bool:
        """Spend a token; record the admission if the token was valid."""
        is_spent = node.holder.spend(token, node.now())
        if is_spent:
            self.history.admissions.append(
                Admission(self.clock.now, token.team, node.name),
            )
        node.schedule_holder_tick()
        return is_spent

    def record_use(self, node: FleetNode, slot: SlotId) -> None:
        """Record that a node can use a slot now."""
        epoch = node.engine.lease_manager.leases[slot].epoch
        self.history.uses.append(
            SlotUse(self.clock.now, slot, node.name, epoch),
        )

    def record_usable_slots(self) -> None:
        """Record which nodes can use which slots now, and schedule this again."""
        for node in self.nodes.values():
            if not node.alive or self.clock.now < node.paused_until:
                continue
            for slot in node.engine.lease_manager.leases:
                if node.engine.is_usable(slot, node.now()):
                    self.record_use(node, slot)
        self.clock.call_later(USABLE_SLOTS_INTERVAL_S, self.record_usable_slots)

    def record_budgets(self) -> None:
        """Record each team's sum over zones of the highest share in use."""
        teams = {team for table in self.zone_shares.values() for team in table}
        for team in sorted(teams):
            highest_shares = [
                self._highest_share(zone, team) for zone in self.zone_shares
            ]
            self.history.budget_changes.append(
                BudgetChange(
                    self.clock.now,
                    team,
                    sum(rate_per_s for rate_per_s, _ in highest_shares),
                    sum(burst for _, burst in highest_shares),
                ),
            )

    def _highest_share(self, zone: str, team: str) -> tuple[float, float]:
        shares = [
            node.zone_shares[zone].get(team, (0, 0))
            for node in self.nodes.values()
            if node.zone == zone
        ]
        rates, bursts = zip(*shares, strict=True)
        return max(rates), max(bursts)

    def _apply_zone_shares(self, node: FleetNode, shares: ZoneShares) -> None:
        node.zone_shares = shares
        node.owner.update_zone_shares(shares[node.zone], node.now())
        self.record_budgets()
