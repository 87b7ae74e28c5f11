"""All decisions of one node behind one synchronous interface.

Any driver can run many nodes on one paused clock: inputs are typed calls
with the time, outputs are effects.
"""

from collections.abc import Iterable
from typing import Any, TypeAlias

from ebonycleat.internal.connection.lease_messages import LEASE_MESSAGES
from ebonycleat.internal.connection.log_service import Stream
from ebonycleat.internal.connection.target_client import TargetResult
from ebonycleat.internal.process.call_steps import FlowStep
from ebonycleat.internal.process.config_follower import ReadConfiguration
from ebonycleat.internal.process.config_relay import CONFIGURATION_MESSAGES
from ebonycleat.internal.process.effects import (
    AnswerRequest,
    AppendResult,
    AppendToLog,
    NodeEffect,
    ReadLog,
    ReadResult,
)
from ebonycleat.internal.process.fence_writer import FenceWriter
from ebonycleat.internal.process.members_part import (
    MEMBER_MESSAGES,
)
from ebonycleat.internal.process.operator_service import OperatorReply
from ebonycleat.internal.process.ownership_sync import (
    OWNERSHIP_SYNC_MESSAGES,
)
from ebonycleat.internal.process.streams_part import CoreParts, StreamsPart
from ebonycleat.internal.process.wire_codecs import (
    SUSPECT_RECORDS,
    create_peer_codec,
)
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.operator_http import render_operator_answer
from ebonycleat.internal.request.outgoing import refuse_request
from ebonycleat.internal.request.refusal import Reason, refuse_not_run

# Ownership, membership and configuration advance in steps of this length;
# calls and tokens at every tick.
SLOW_TICK_S = 0.1
# A planned stop must end although the log is down.
RELEASE_TIME_S = 3.0

CoreStep: TypeAlias = FlowStep | ReadLog | ReadConfiguration | OperatorReply


class NodeCore:
    """Decisions of one node; holds no socket, thread or clock."""

    def __init__(self, node: str, parts: CoreParts) -> None:
        """Connect the parts of ``node``."""
        self.node = node
        self.configuration = parts.configuration
        self.members = parts.members
        self.ownership = parts.ownership
        self.ownership_sync = parts.ownership_sync
        self.call_flow = parts.call_flow
        self.fences = FenceWriter(node, parts.ownership.engine.fold)
        self.suspects = parts.call_flow.gate_service.suspects.suspects
        self.state_changes = parts.state_changes
        self.streams = StreamsPart(parts)
        self.slow_tick_at: float = 0
        self.draining = False
        self.release_until: float = 0
        self.peer_codec = create_peer_codec()
        self.log_codec = self.streams.codec

    def request_received(
        self,
        request: IncomingRequest,
        now: float,
    ) -> list[NodeEffect]:
        """Start a caller's request."""
        if self.draining:
            refusal = refuse_not_run(
                Reason.DRAINING,
                'this node is about to stop; send to another one',
                retry_after_s=1,
            )
        elif self.configuration.ready:
            view = self.configuration.view
            effects = self.call_flow.request_received(request, view, now)
            return self.perform(effects, now)
        else:
            refusal = refuse_not_run(
                Reason.NO_CONFIGURATION,
                'this node has not read its configuration yet',
                retry_after_s=1,
            )
        answer = refuse_request(request, refusal)
        return [AnswerRequest(request.request_id, answer)]

    def operator_request(
        self,
        request: IncomingRequest,
        now: float,
        issued_at: float,
    ) -> list[NodeEffect]:
        """Start an operator's request.

        ``issued_at`` is in seconds since the Unix epoch, for the history.
        """
        steps = self.configuration.operator_request(request, now, issued_at)
        return self.perform(steps, now)

    def message_received(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> list[NodeEffect]:
        """Take one message from a peer."""
        return self.perform(self.take_message(sender, message, now), now)

    def call_lost(
        self,
        node: str,
        call_id: str,
        now: float,
        *,
        sent: bool,
    ) -> list[NodeEffect]:
        """Resolve a call to ``node`` whose link closed."""
        effects = self.call_flow.call_lost(call_id, now, sent=sent)
        return self.perform(effects, now)

    def target_probed(self, now: float, *, alive: bool) -> list[NodeEffect]:
        """Take the result of a probe of the target."""
        effects = self.call_flow.target_probed(now, alive=alive)
        return self.perform(effects, now)

    def link_changed(self, node: str, *, reachable: bool) -> None:
        """Note that the link to a node was lost or works again."""
        self.members.link_changed(node, reachable=reachable)

    def target_finished(
        self,
        call_id: str,
        target_result: TargetResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of a call that the target ran."""
        effects = self.call_flow.target_finished(call_id, target_result, now)
        return self.perform(effects, now)

    def log_read(
        self,
        read_result: ReadResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of a read."""
        stream = read_result.wanted.stream
        if stream is Stream.CONFIGURATION:
            return self.perform(
                self.configuration.log_read(read_result, now),
                now,
            )
        return self.perform(self.streams.read_ended(read_result, now), now)

    def append_finished(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of an append."""
        return self.perform(self.streams.append_ended(append_result, now), now)

    def tick(self, now: float) -> list[NodeEffect]:
        """Let everything that waits for time advance; call it each 10 ms."""
        steps: list[CoreStep] = list(self.call_flow.tick(now))
        if now >= self.slow_tick_at:
            self.slow_tick_at = now + SLOW_TICK_S
            steps.extend(self.slow_tick(now))
        return self.perform(steps, now)

    def drain(self, now: float) -> list[NodeEffect]:
        """Take no new work; accepted work ends, then slots are released."""
        self.draining = True
        self.state_changes.note('draining')
        self.release_until = now + RELEASE_TIME_S
        self.call_flow.drain()
        return self.perform(self.members.leave(now), now)

    def is_drained(self, now: float) -> bool:
        """Tell whether the process may end.

        Calls are always waited for. Slots are released through the log; when
        that takes too long, others take them over once the leases have ended.
        """
        released = self.ownership.has_released_all() or now >= self.release_until
        return self.call_flow.is_idle() and released

    def address_of(self, node: str) -> tuple[str, int] | None:
        """Where the peer listens, if that is known."""
        return self.members.address_of(node)

    def is_serving(self) -> bool:
        """Tell whether requests are taken."""
        return self.configuration.ready and not self.draining

    def configuration_version(self) -> int:
        """Return the version in force at this node."""
        return self.configuration.view.version

    def slow_tick(self, now: float) -> list[CoreStep]:
        """Let control advance."""
        steps: list[CoreStep] = []
        steps.extend(self.streams.tick(now))
        load = self.call_flow.gate_service.gate.load(now)
        steps.extend(self.members.tick(load, now))
        self.state_changes.note_members(
            self.members.membership.take_changes(),
        )
        live = self.members.take_changes(now)
        if live is not None:
            self.configuration.members_changed(live, now)
            self.ownership_sync.update_members(live)
            self.fences.update_members(live)
            steps.extend(self.ownership.update_members(live, now))
        if self.draining and self.call_flow.may_release_slots():
            steps.extend(self.ownership.stop(now))
        steps.extend(self.ownership.tick(now))
        steps.extend(self.ownership_sync.tick(now))
        steps.extend(self.fences.tick(now))
        steps.extend(self.suspects.tick(now))
        steps.extend(self.configuration.tick(now))
        return steps

    def take_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> Iterable[CoreStep]:
        """Hand a message to the part that it is for."""
        if isinstance(message, OWNERSHIP_SYNC_MESSAGES):
            return self.ownership_sync.handle_message(sender, message)
        if isinstance(message, LEASE_MESSAGES):
            return self.ownership.handle_message(sender, message, now)
        if isinstance(message, SUSPECT_RECORDS):
            self.suspects.handle_record(message, now)
            return ()
        if isinstance(message, MEMBER_MESSAGES):
            return self.members.receive(message, now)
        if isinstance(message, CONFIGURATION_MESSAGES):
            return self.configuration.peer_message(sender, message, now)
        return self.call_flow.steps.take_message(sender, message, now)

    def perform(
        self,
        steps: Iterable[CoreStep],
        now: float,
    ) -> list[NodeEffect]:
        """Turn steps into effects; note which stream each append is for."""
        effects: list[NodeEffect] = []
        for effect in self.call_flow.settle(self.translate(steps), now):
            if isinstance(effect, AppendToLog):
                self.streams.append_started(effect)
            effects.append(effect)
        view = self.configuration.take_new_view()
        if view is not None:
            self.state_changes.note(
                'configuration in force',
                version=view.version,
            )
            self.members.configuration_changed(view)
            self.fences.update_configuration(view)
            changed = self.call_flow.configuration_changed(view, now)
            effects.extend(changed)
        return effects

    def translate(self, steps: Iterable[CoreStep]) -> Iterable[Any]:
        """Put the steps of single parts into the common form."""
        for step in steps:
            if isinstance(step, ReadConfiguration):
                yield ReadLog(
                    Stream.CONFIGURATION,
                    step.offset,
                    step.limit,
                    step.wait_s,
                )
            elif isinstance(step, OperatorReply):
                answer = render_operator_answer(step.answer)
                yield AnswerRequest(step.ticket, answer)
            else:
                yield step
