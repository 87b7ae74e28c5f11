"""Moves calls between the ingress, the gate and the peers of one node.

The outputs of one part are the inputs of another until only effects for the
shell are left.
"""

import collections
from collections.abc import Iterable
from typing import Any

from ebonycleat.internal.connection.peer_messages import (
    split_copy_id,
)
from ebonycleat.internal.connection.target_client import TargetResult
from ebonycleat.internal.process.call_handlers import (
    CallHandlers,
    CallComponents,
    ComponentOutput,
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
from ebonycleat.internal.process.dedupe_ingress import (
    create_idempotent_send,
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
    """The path of calls through one node."""

    def __init__(self, node: str, parts: CallComponents) -> None:
        """Connect the parts of ``node``."""
        self.node = node
        self.handlers = CallHandlers(node, parts)
        self.configured_teams: frozenset[str] = frozenset()
        self.applied_version = 0
        self.ingress = parts.ingress
        self.dedupe_sends = parts.dedupe_sends
        self.tokens = parts.tokens
        self.dedupe = parts.dedupe
        self.gate_service = parts.gate_service
        self.metrics = parts.metrics

    def request_received(
        self,
        request: IncomingRequest,
        view: ConfigurationView,
        now: float,
    ) -> list[NodeEffect]:
        """Admit a caller's request, or refuse it at once."""
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
            opened.dedupe_tracker = create_idempotent_send(
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
        """Take a message about a call or about tokens from a peer."""
        return self.process_outputs(
            self.handlers.handle_peer_message(sender, message, now), now
        )

    def handle_lost_call(
        self,
        tracked: str,
        now: float,
        *,
        sent: bool,
    ) -> list[NodeEffect]:
        """Resolve a call, or a copy of one, whose link closed."""
        call_id, copy_number = split_copy_id(tracked)
        if copy_number:
            return self.process_outputs(
                self.dedupe_sends.handle_lost_copy(
                    call_id, copy_number, now, sent=sent
                ),
                now,
            )
        if call_id in self.gate_service.forwarded:
            steps = self.gate_service.forward_lost(call_id, now, sent=sent)
            return self.process_outputs(steps, now)
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
        """Take the result of a call that this node's target ran."""
        steps = self.gate_service.finish_run(call_id, target_result, now)
        return self.process_outputs(steps, now)

    def target_probed(self, now: float, *, alive: bool) -> list[NodeEffect]:
        """Take the result of a probe of this node's target."""
        steps = self.gate_service.target_probed(now, alive=alive)
        return self.process_outputs(steps, now)

    def configuration_changed(
        self,
        view: ConfigurationView,
        now: float,
    ) -> list[NodeEffect]:
        """Apply a new version to queued calls and to the gate."""
        gate = self.gate_service.gate
        weights = {name: team.rate_per_s for name, team in view.teams.items()}
        gate.set_team_weights(weights)
        self.tokens.owner.update_zone_shares(self.changed_teams(view), now)
        digests = {entry.call.key_digest for entry in gate.queue}
        effects: list[NodeEffect] = []
        for digest in sorted(digests - {''}):
            if isinstance(view.find_team_of_key(digest), Refusal):
                steps = self.gate_service.withdraw_key(digest, now)
                effects += self.process_outputs(steps, now)
        return effects

    def changed_teams(self, view: ConfigurationView) -> list[str]:
        """List the teams that differ from the view applied last."""
        changed = {
            name
            for name, team in view.teams.items()
            if team.changed_at > self.applied_version
        }
        teams = frozenset(name for name, _ in view.teams.items())
        gone = self.configured_teams - teams
        self.configured_teams = teams
        self.applied_version = view.version
        return sorted(changed | gone)

    def tick(self, now: float) -> list[NodeEffect]:
        """Let retries, deadlines, tokens and the queue advance."""
        steps: list[ComponentOutput] = [
            *self.ingress.tick(now),
            *self.dedupe_sends.tick(now),
            *self.tokens.tick(now),
            *self.dedupe.tick(now),
            *self.gate_service.tick(now),
        ]
        return self.process_outputs(steps, now)

    def drain(self) -> None:
        """Take no new calls and no new ids; accepted ones finish."""
        self.gate_service.gate.drain()
        self.dedupe.draining = True

    def may_release_slots(self) -> bool:
        """Tell whether no id waits or runs under this node's slots."""
        is_waiting = bool(self.dedupe.owner.lifecycle.waiting)
        return not (is_waiting or self.gate_service.has_dedupe_owner_calls())

    def is_idle(self) -> bool:
        """Tell whether no request waits here and no call runs here."""
        return not (self.ingress.requests or self.gate_service.origins)

    def process_outputs(
        self,
        steps: Iterable[ComponentOutput],
        now: float,
    ) -> list[NodeEffect]:
        """Pass outputs on within the node until only effects are left."""
        effects: list[NodeEffect] = []
        waiting = collections.deque(steps)
        while waiting:
            step = waiting.popleft()
            if isinstance(step, SendToPeer) and step.node == self.node:
                waiting += self.handlers.handle_peer_message(
                    self.node, step.message, now
                )
            elif isinstance(step, EFFECT_TYPES):
                effects.append(step)
            else:
                waiting += self.handlers.handle_output(step, now)
        return effects


EFFECT_TYPES = (
    AnswerRequest,
    CallTarget,
    SendToPeer,
    AppendToLog,
    ReadLog,
    ProbeTarget,
)
