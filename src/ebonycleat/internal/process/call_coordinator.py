"""Coordinates the components through which calls pass in one node.

The components are the ingress, the token reservations, the dedupe components
and the gate. An output of one component is handed to the next until only
effects are left. The node's driver carries out the effects: operations on the
network, the log and the target.
"""

import collections
from collections.abc import Iterable
from typing import Any

from ebonycleat.internal.connection.peer_messages import (
    split_copy_id,
)
from ebonycleat.internal.connection.target_client import TargetResult
from ebonycleat.internal.process.call_handlers import (
    CallComponents,
    CallHandlers,
    ComponentOutput,
)
from ebonycleat.internal.process.dedupe_ingress import (
    create_dedupe_tracker,
)
from ebonycleat.internal.process.effects import (
    AnswerRequest,
    AppendToLog,
    CallTarget,
    NodeEffect,
    ProbeTarget,
    ReadLog,
    SendToPeer,
)
from ebonycleat.internal.process.ingress import (
    create_open_request,
)
from ebonycleat.internal.process.token_reservations import (
    TokenReserved,
)
from ebonycleat.internal.request.call_builder import build_call
from ebonycleat.internal.request.context import RequestContext
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.outgoing import refuse_request
from ebonycleat.internal.request.refusal import Refusal
from ebonycleat.internal.version.configuration_view import ConfigurationView


class CallCoordinator:
    """Passes events that concern calls to the components of one node.

    Each method that takes an event returns the effects to carry out.
    """

    def __init__(self, node: str, components: CallComponents) -> None:
        """Connect the components of the node with the id ``node``."""
        self.node = node
        self.handlers = CallHandlers(node, components)
        self.configured_teams: frozenset[str] = frozenset()
        self.applied_version = 0
        self.ingress = components.ingress
        self.dedupe_ingress = components.dedupe_ingress
        self.tokens = components.tokens
        self.dedupe = components.dedupe
        self.gate_service = components.gate_service
        self.metrics = components.metrics

    def request_received(
        self,
        request: IncomingRequest,
        view: ConfigurationView,
        now: float,
    ) -> list[NodeEffect]:
        """Accept a caller's request, or refuse it at once.

        A request that counts towards its team's rate waits for a token
        first.
        """
        contexts = self.gate_service.contexts
        context = contexts.resolve(request.context_id, now)
        built = build_call(request, view, context, now)
        if isinstance(built, Refusal):
            self.metrics.count_early_refusal(built)
            answer = refuse_request(request, built)
            return [AnswerRequest(request.request_id, answer)]
        parent = context if isinstance(context, RequestContext) else None
        opened = create_open_request(built.call, parent, now)
        if not built.call.idempotent:
            opened.dedupe_tracker = create_dedupe_tracker(
                opened, request.caller_attempt
            )
        self.ingress.accept(opened)
        if not built.spends_token:
            return self.process_outputs([TokenReserved(opened)], now)
        return self.process_outputs(self.tokens.reserve(opened, now), now)

    def handle_peer_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> list[NodeEffect]:
        """Handle a peer's message about a call or about rate tokens."""
        return self.process_outputs(
            self.handlers.handle_peer_message(sender, message, now), now
        )

    def handle_lost_call(
        self,
        tracked_id: str,
        now: float,
        *,
        sent: bool,
    ) -> list[NodeEffect]:
        """Handle the loss of a call, or of a copy of one: its link closed.

        ``tracked_id`` is the id of the call or copy on the link; ``sent``
        tells whether it was sent before the link closed.
        """
        call_id, copy_number = split_copy_id(tracked_id)
        if copy_number:
            return self.process_outputs(
                self.dedupe_ingress.handle_lost_copy(
                    call_id, copy_number, now, sent=sent
                ),
                now,
            )
        if call_id in self.gate_service.forwarded:
            outputs = self.gate_service.forward_lost(call_id, now, sent=sent)
            return self.process_outputs(outputs, now)
        return self.process_outputs(
            self.ingress.handle_lost_attempt(call_id, now, sent=sent),
            now,
        )

    def target_finished(
        self,
        call_id: str,
        target_result: TargetResult,
        now: float,
    ) -> list[NodeEffect]:
        """Handle the result of a call that this node's target ran."""
        outputs = self.gate_service.finish_run(call_id, target_result, now)
        return self.process_outputs(outputs, now)

    def target_probed(self, now: float, *, alive: bool) -> list[NodeEffect]:
        """Handle the result of a probe of this node's target."""
        outputs = self.gate_service.target_probed(now, alive=alive)
        return self.process_outputs(outputs, now)

    def configuration_changed(
        self,
        view: ConfigurationView,
        now: float,
    ) -> list[NodeEffect]:
        """Apply a new configuration to the gate and to queued calls.

        Queued calls whose key was withdrawn are refused.
        """
        gate = self.gate_service.gate
        weights = {name: team.rate_per_s for name, team in view.teams.items()}
        gate.set_team_rates(weights)
        self.tokens.owner.update_zone_shares(self.changed_teams(view), now)
        digests = {entry.call.key_digest for entry in gate.queue}
        effects: list[NodeEffect] = []
        for digest in sorted(digests - {''}):
            if isinstance(view.find_team_of_key(digest), Refusal):
                outputs = self.gate_service.withdraw_key(digest, now)
                effects += self.process_outputs(outputs, now)
        return effects

    def changed_teams(self, view: ConfigurationView) -> list[str]:
        """Return the teams changed or removed since the last applied view."""
        changed = {
            name
            for name, team in view.teams.items()
            if team.changed_at > self.applied_version
        }
        teams = frozenset(name for name, _ in view.teams.items())
        removed = self.configured_teams - teams
        self.configured_teams = teams
        self.applied_version = view.version
        return sorted(changed | removed)

    def tick(self, now: float) -> list[NodeEffect]:
        """Process due retries, deadlines and tokens, and queued calls."""
        outputs: list[ComponentOutput] = [
            *self.ingress.tick(now),
            *self.dedupe_ingress.tick(now),
            *self.tokens.tick(now),
            *self.dedupe.tick(now),
            *self.gate_service.tick(now),
        ]
        return self.process_outputs(outputs, now)

    def drain(self) -> None:
        """Stop accepting calls and idempotency keys; accepted calls finish."""
        self.gate_service.gate.drain()
        self.dedupe.draining = True

    def may_release_slots(self) -> bool:
        """Tell whether no call that this node runs as dedupe owner is left."""
        is_waiting = bool(self.dedupe.owner.lifecycle.waiting)
        return not (is_waiting or self.gate_service.has_dedupe_owner_calls())

    def is_idle(self) -> bool:
        """Tell whether no request is open here and no call is at the gate."""
        return not (self.ingress.requests or self.gate_service.origins)

    def process_outputs(
        self,
        outputs: Iterable[ComponentOutput],
        now: float,
    ) -> list[NodeEffect]:
        """Hand outputs on between components until only effects are left.

        Messages that are addressed to this node itself are handled directly.
        """
        effects: list[NodeEffect] = []
        pending = collections.deque(outputs)
        while pending:
            output = pending.popleft()
            if isinstance(output, SendToPeer) and output.node == self.node:
                pending += self.handlers.handle_peer_message(
                    self.node, output.message, now
                )
            elif isinstance(output, EFFECT_TYPES):
                effects.append(output)
            else:
                pending += self.handlers.handle_output(output, now)
        return effects


EFFECT_TYPES = (
    AnswerRequest,
    CallTarget,
    SendToPeer,
    AppendToLog,
    ReadLog,
    ProbeTarget,
)
