"""A simulated node that performs its ownership and budget decisions."""

import functools
import math
from collections.abc import Callable, Iterable
from typing import Any

from bench.fake_log import RecordPage
from bench.fleet_vm import FleetVm
from ebonycleat.internal.connection.grant_messages import (
    GrantAsk,
    GrantDenied,
    GrantGiven,
)
from ebonycleat.internal.process.budget_owner import BudgetOwner
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendResult,
    AppendToLog,
    Effect,
    SendToPeer,
)
from ebonycleat.internal.process.grant_holder import GrantHolder
from ebonycleat.internal.process.ownership_engine import (
    create_ownership_engine,
)
from ebonycleat.internal.process.rendezvous import find_budget_slot
from ebonycleat.internal.process.slot_claims import OwnershipSettings
from ebonycleat.internal.process.slot_ownership import SlotGained
from ebonycleat.internal.process.team_token_queue import (
    TokenGranted,
    TokenRefused,
)
from ebonycleat.internal.process.team_tokens import Token
from ebonycleat.internal.request.refusal import Refusal

Admitted = Callable[[Token], None]
Refused = Callable[[Refusal], None]


class FleetNode(FleetVm):
    """A node with an ownership engine, a budget owner and a grant holder."""

    def start(self) -> None:
        """Start the node as a new incarnation without memory."""
        shape = self.fleet.shape
        self.incarnation += 1
        self.alive = True
        self.zone_shares = self.fleet.zone_shares
        settings = OwnershipSettings(
            self.name,
            self.zone,
            self.incarnation,
            shape.services_at(self.name),
            shape.slots_per_scope,
        )
        self.engine = create_ownership_engine(settings, self.now())
        self.owner = BudgetOwner(self.engine, self.slot_of, self.zone_share_of)
        others = [zone for zone in shape.zones if zone != self.zone]
        zones = [self.zone, *others]
        self.holder = GrantHolder(
            self.name,
            self.incarnation,
            lambda: zones,
            self.owner_in,
        )
        self.next_holder_tick_at = math.inf
        self.pending_calls: dict[tuple[str, int], tuple[Admitted, Refused]] = {}
        self.later(self.fleet.rng.uniform(0, shape.tick_s), self.tick)
        self.later(0, self.poll_log)
        self.fleet.record_budgets()

    def owner_in(self, zone: str, team: str) -> str | None:
        """Return the owner of a team's slot in a zone according to the log."""
        per_scope = self.fleet.shape.slots_per_scope
        return self.engine.owner_of(find_budget_slot(zone, team, per_scope))

    def stop(self) -> None:
        """Begin a planned stop of the node."""
        self.perform(self.engine.stop(self.now()))

    def tick(self) -> None:
        """Tick the engine and update its members; schedule the next tick."""
        members = self.fleet.members_seen_by(self)
        if members != self.engine.claims.members:
            self.perform(self.engine.update_members(members, self.now()))
        self.perform(self.engine.tick(self.now()))
        self.later(self.fleet.shape.tick_s / self.clock_rate, self.tick)

    def poll_log(self) -> None:
        """Read the log and schedule the next read."""
        self.read_log()
        self.later(self.fleet.shape.log_poll_s, self.poll_log)

    def read_log(self) -> None:
        """Read one page after the engine's offset unless cut off from the log."""
        if self.name in self.fleet.cut_from_log:
            return
        self.fleet.log.read(
            self.engine.fold.applied_offset + 1,
            functools.partial(
                self.run,
                self.incarnation,
                self.apply_page,
                self.now(),
            ),
        )

    def apply_page(self, started_at: float, page: RecordPage) -> None:
        """Apply a page; read the next one at once if there is more."""
        records, at_end = page
        self.perform(
            self.engine.apply_log_page(started_at, records, at_end, self.now()),
        )
        if not at_end:
            self.read_log()

    def handle_delivery(self, sender: str, message: Any) -> None:
        """Receive a message with the incarnation that runs now."""
        self.run(self.incarnation, self.receive, sender, message)

    def receive(self, sender: str, message: Any) -> None:
        """Pass a peer message to the owner, the holder or the engine."""
        if isinstance(message, GrantAsk):
            answer = self.owner.handle_ask(message, self.now())
            if isinstance(answer, GrantGiven):
                self.fleet.record_use(self, self.slot_of(message.team))
            if answer is not None:
                self.perform([SendToPeer(sender, answer)])
        elif isinstance(message, (GrantGiven, GrantDenied)):
            self.holder.handle_answer(message, self.now())
            self.perform_holder_events()
        else:
            self.perform(
                self.engine.handle_message(sender, message, self.now())
            )

    def perform(self, effects: Iterable[Effect]) -> None:
        """Perform effects; report gained and lost slots to the budget owner."""
        for change in self.engine.take_changes():
            if isinstance(change, SlotGained):
                self.owner.handle_slot_gained(change, self.now())
            else:
                self.owner.handle_slot_lost(change.slot)
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self.fleet.send(self.name, effect)
            else:
                self.append(effect)

    def append(self, effect: AppendToLog) -> None:
        """Append to the log unless cut off from it."""
        if self.name in self.fleet.cut_from_log:
            return
        self.fleet.log.append(
            effect,
            functools.partial(
                self.run,
                self.incarnation,
                self.handle_append_result,
            ),
        )

    def handle_append_result(self, outcome: AppendResult) -> None:
        """Pass the result of an append to the engine."""
        self.perform(self.engine.handle_append_result(outcome, self.now()))
        if isinstance(outcome, AppendConfirmed):
            self.read_log()

    def admit(
        self,
        team: str,
        admitted: Admitted,
        refused: Refused,
    ) -> None:
        """Reserve a token for a call; call ``admitted`` or ``refused`` then."""
        outcome = self.holder.reserve_token(team, self.now())
        if isinstance(outcome, Token):
            admitted(outcome)
        elif isinstance(outcome, Refusal):
            refused(outcome)
        else:
            key = (team, outcome.ticket)
            self.pending_calls[key] = (admitted, refused)
        self.perform_holder_events()

    def perform_holder_events(self) -> None:
        """Perform the events of the holder and schedule its next tick."""
        for event in self.holder.drain_events():
            if isinstance(event, SendToPeer):
                self.fleet.send(self.name, event)
            elif isinstance(event, TokenGranted):
                admitted, _ = self.pending_calls.pop((
                    event.token.team,
                    event.ticket,
                ))
                admitted(event.token)
            elif isinstance(event, TokenRefused):
                _, refused = self.pending_calls.pop((event.team, event.ticket))
                refused(event.refusal)
        self.schedule_holder_tick()

    def schedule_holder_tick(self) -> None:
        """Schedule the holder's next tick if none is due before it."""
        tick_at = self.holder.next_tick_at(self.now())
        if tick_at < self.next_holder_tick_at:
            self.next_holder_tick_at = tick_at
            delay_s = max(tick_at - self.now(), 0) / self.clock_rate
            # The margin keeps rounding errors from making the tick too early.
            self.later(delay_s + 1e-6, self.tick_holder, tick_at)

    def tick_holder(self, scheduled_at: float) -> None:
        """Tick the holder unless an earlier tick has been scheduled meanwhile.

        A superseded tick must not schedule another one, since the number of
        scheduled ticks would grow.
        """
        if scheduled_at != self.next_holder_tick_at:
            return
        self.next_holder_tick_at = math.inf
        self.holder.tick(self.now())
        self.perform_holder_events()
