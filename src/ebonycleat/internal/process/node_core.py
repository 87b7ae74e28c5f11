"""All decisions of one node behind one synchronous interface.

Any driver can run many nodes on one paused clock: inputs are typed calls
with the time, outputs are effects.
"""

from collections.abc import Iterable
from typing import Any, TypeAlias

from ebonycleat.internal.connection.lease_messages import LEASE_MESSAGES
from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.connection.target_client import TargetResult
from ebonycleat.internal.process.call_handlers import ComponentOutput
from ebonycleat.internal.process.configuration_follower import ReadConfiguration
from ebonycleat.internal.process.configuration_relay import (
    CONFIGURATION_MESSAGES,
)
from ebonycleat.internal.process.effects import (
    AnswerRequest,
    AppendResult,
    AppendToLog,
    NodeEffect,
    ReadLog,
    LogReadResult,
)
from ebonycleat.internal.process.fence_writer import FenceWriter
from ebonycleat.internal.process.membership_component import (
    MEMBER_MESSAGES,
)
from ebonycleat.internal.process.operator_service import OperatorReply
from ebonycleat.internal.process.ownership_sync import (
    OWNERSHIP_SYNC_MESSAGES,
)
from ebonycleat.internal.process.log_streams import CoreComponents, LogStreams
from ebonycleat.internal.process.node_codecs import (
    SUSPECT_RECORDS,
    create_peer_codec,
)
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.operator_http import render_operator_answer
from ebonycleat.internal.request.outgoing import refuse_request
from ebonycleat.internal.request.refusal import Reason, refuse_not_run

# Ownership, membership and configuration advance in steps of this length;
# calls and tokens at every tick.
CONTROL_TICK_S = 0.1
# A planned stop must end although the log is down.
MAX_RELEASE_WAIT_S = 3.0

CoreOutput: TypeAlias = (
    ComponentOutput | ReadLog | ReadConfiguration | OperatorReply
)


class NodeCore:
    """Decisions of one node; holds no socket, thread or clock."""

    def __init__(self, node: str, parts: CoreComponents) -> None:
        """Connect the parts of ``node``."""
        self.node = node
        self.configuration = parts.configuration
        self.members = parts.members
        self.ownership = parts.ownership
        self.ownership_sync = parts.ownership_sync
        self.call_flow = parts.call_flow
        self.fence_writer = FenceWriter(node, parts.ownership.engine.fold)
        self.suspects = parts.call_flow.gate_service.suspects.suspects
        self.state_changes = parts.state_changes
        self.log_streams = LogStreams(parts)
        self.slow_tick_at: float = 0
        self.draining = False
        self.release_deadline: float = 0
        self.peer_codec = create_peer_codec()
        self.log_codec = self.log_streams.codec

    def handle_request(
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
            return self.collect_effects(effects, now)
        else:
            refusal = refuse_not_run(
                Reason.NO_CONFIGURATION,
                'this node has not read its configuration yet',
                retry_after_s=1,
            )
        answer = refuse_request(request, refusal)
        return [AnswerRequest(request.request_id, answer)]

    def handle_operator_request(
        self,
        request: IncomingRequest,
        now: float,
        issued_at: float,
    ) -> list[NodeEffect]:
        """Start an operator's request.

        ``issued_at`` is in seconds since the Unix epoch, for the history.
        """
        steps = self.configuration.handle_operator_request(
            request, now, issued_at
        )
        return self.collect_effects(steps, now)

    def handle_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> list[NodeEffect]:
        """Take one message from a peer."""
        return self.collect_effects(
            self.dispatch_message(sender, message, now), now
        )

    def handle_lost_call(
        self,
        node: str,
        call_id: str,
        now: float,
        *,
        sent: bool,
    ) -> list[NodeEffect]:
        """Resolve a call to ``node`` whose link closed."""
        effects = self.call_flow.handle_lost_call(call_id, now, sent=sent)
        return self.collect_effects(effects, now)

    def handle_probe_result(
        self, now: float, *, alive: bool
    ) -> list[NodeEffect]:
        """Take the result of a probe of the target."""
        effects = self.call_flow.target_probed(now, alive=alive)
        return self.collect_effects(effects, now)

    def handle_link_change(self, node: str, *, reachable: bool) -> None:
        """Note that the link to a node was lost or works again."""
        self.members.handle_link_change(node, reachable=reachable)

    def handle_target_result(
        self,
        call_id: str,
        target_result: TargetResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of a call that the target ran."""
        effects = self.call_flow.target_finished(call_id, target_result, now)
        return self.collect_effects(effects, now)

    def handle_read_result(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of a read."""
        stream = read_result.request.stream
        if stream is LogStream.CONFIGURATION:
            return self.collect_effects(
                self.configuration.handle_read_result(read_result, now),
                now,
            )
        return self.collect_effects(
            self.log_streams.handle_read_result(read_result, now), now
        )

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of an append."""
        return self.collect_effects(
            self.log_streams.handle_append_result(append_result, now), now
        )

    def tick(self, now: float) -> list[NodeEffect]:
        """Let everything that waits for time advance; call it each 10 ms."""
        steps: list[CoreOutput] = list(self.call_flow.tick(now))
        if now >= self.slow_tick_at:
            self.slow_tick_at = now + CONTROL_TICK_S
            steps.extend(self.control_tick(now))
        return self.collect_effects(steps, now)

    def drain(self, now: float) -> list[NodeEffect]:
        """Take no new work; accepted work ends, then slots are released."""
        self.draining = True
        self.state_changes.record('draining')
        self.release_deadline = now + MAX_RELEASE_WAIT_S
        self.call_flow.drain()
        return self.collect_effects(self.members.start_draining(now), now)

    def is_drained(self, now: float) -> bool:
        """Tell whether the process may end.

        Calls are always waited for. Slots are released through the log; when
        that takes too long, others take them over once the leases have ended.
        """
        released = (
            self.ownership.has_released_all() or now >= self.release_deadline
        )
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

    def control_tick(self, now: float) -> list[CoreOutput]:
        """Let control advance."""
        steps: list[CoreOutput] = []
        steps.extend(self.log_streams.tick(now))
        load = self.call_flow.gate_service.gate.current_load(now)
        steps.extend(self.members.tick(load, now))
        self.state_changes.record_member_changes(
            self.members.membership.pop_changes(),
        )
        live = self.members.pop_changed_live_members(now)
        if live is not None:
            self.configuration.update_members(live, now)
            self.ownership_sync.update_members(live)
            self.fence_writer.update_members(live)
            steps.extend(self.ownership.update_members(live, now))
        if self.draining and self.call_flow.may_release_slots():
            steps.extend(self.ownership.stop(now))
        steps.extend(self.ownership.tick(now))
        steps.extend(self.ownership_sync.tick(now))
        steps.extend(self.fence_writer.tick(now))
        steps.extend(self.suspects.tick(now))
        steps.extend(self.configuration.tick(now))
        return steps

    def dispatch_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> Iterable[CoreOutput]:
        """Hand a message to the part that it is for."""
        if isinstance(message, OWNERSHIP_SYNC_MESSAGES):
            return self.ownership_sync.handle_message(sender, message)
        if isinstance(message, LEASE_MESSAGES):
            return self.ownership.handle_message(sender, message, now)
        if isinstance(message, SUSPECT_RECORDS):
            self.suspects.handle_record(message, now)
            return ()
        if isinstance(message, MEMBER_MESSAGES):
            return self.members.handle_message(message, now)
        if isinstance(message, CONFIGURATION_MESSAGES):
            return self.configuration.handle_message(sender, message, now)
        return self.call_flow.handlers.handle_peer_message(sender, message, now)

    def collect_effects(
        self,
        steps: Iterable[CoreOutput],
        now: float,
    ) -> list[NodeEffect]:
        """Turn steps into effects; note which stream each append is for."""
        effects: list[NodeEffect] = []
        for effect in self.call_flow.process_outputs(
            self.convert_outputs(steps), now
        ):
            if isinstance(effect, AppendToLog):
                self.log_streams.record_append(effect)
            effects.append(effect)
        view = self.configuration.pop_changed_view()
        if view is not None:
            self.state_changes.record(
                'configuration in force',
                version=view.version,
            )
            self.members.update_configuration(view)
            self.fence_writer.update_configuration(view)
            changed = self.call_flow.configuration_changed(view, now)
            effects.extend(changed)
        return effects

    def convert_outputs(self, steps: Iterable[CoreOutput]) -> Iterable[Any]:
        """Put the steps of single parts into the common form."""
        for step in steps:
            if isinstance(step, ReadConfiguration):
                yield ReadLog(
                    LogStream.CONFIGURATION,
                    step.offset,
                    step.limit,
                    step.wait_s,
                )
            elif isinstance(step, OperatorReply):
                answer = render_operator_answer(step.answer)
                yield AnswerRequest(step.request_id, answer)
            else:
                yield step
