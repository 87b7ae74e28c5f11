"""The decision logic of one node behind a synchronous interface.

Inputs are method calls that carry the current time, outputs are effects for a
driver to carry out. The core performs no I/O and reads no clock, so tests can
run many nodes on a simulated clock.
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
    LogReadResult,
    NodeEffect,
    ReadLog,
)
from ebonycleat.internal.process.fence_writer import FenceWriter
from ebonycleat.internal.process.log_streams import CoreComponents, LogStreams
from ebonycleat.internal.process.membership_component import (
    MEMBER_MESSAGES,
)
from ebonycleat.internal.process.node_codecs import (
    SUSPECT_RECORDS,
    create_peer_codec,
)
from ebonycleat.internal.process.operator_service import OperatorReply
from ebonycleat.internal.process.ownership_sync import (
    OWNERSHIP_SYNC_MESSAGES,
)
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.operator_http import render_operator_answer
from ebonycleat.internal.request.outgoing import refuse_request
from ebonycleat.internal.request.refusal import Reason, refuse_not_run

# Interval at which ownership, membership and configuration are advanced; calls
# and tokens are advanced at every tick.
CONTROL_TICK_S = 0.1
# Longest wait for the release of slots, so that a graceful stop ends even if
# the log is unavailable.
MAX_RELEASE_WAIT_S = 3.0

CoreOutput: TypeAlias = (
    ComponentOutput | ReadLog | ReadConfiguration | OperatorReply
)


class NodeCore:
    """Dispatches inputs to the components of a node and collects effects.

    All times are in seconds on the clock of the driver.
    """

    def __init__(self, node: str, components: CoreComponents) -> None:
        """Connect the components of ``node``."""
        self.node = node
        self.configuration = components.configuration
        self.members = components.members
        self.ownership = components.ownership
        self.ownership_sync = components.ownership_sync
        self.call_coordinator = components.call_coordinator
        self.fence_writer = FenceWriter(node, components.ownership.engine.fold)
        self.suspects = (
            components.call_coordinator.gate_service.suspects.suspects
        )
        self.state_changes = components.state_changes
        self.log_streams = LogStreams(components)
        self.next_control_tick_at: float = 0
        self.draining = False
        self.release_deadline: float = 0
        self.peer_codec = create_peer_codec()
        self.log_codec = self.log_streams.codec

    def handle_request(
        self,
        request: IncomingRequest,
        now: float,
    ) -> list[NodeEffect]:
        """Start a caller's request, or refuse it if the node cannot serve."""
        if self.draining:
            refusal = refuse_not_run(
                Reason.DRAINING,
                'this node is about to stop; send the request to another node',
                retry_after_s=1,
            )
        elif self.configuration.ready:
            view = self.configuration.view
            effects = self.call_coordinator.request_received(request, view, now)
            return self.collect_effects(effects, now)
        else:
            refusal = refuse_not_run(
                Reason.NO_CONFIGURATION,
                'this node has not read its configuration yet; retry later or '
                'send the request to another node',
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

        ``issued_at`` is shown in the history of changes, in seconds since the
        Unix epoch.
        """
        outputs = self.configuration.handle_operator_request(
            request, now, issued_at
        )
        return self.collect_effects(outputs, now)

    def handle_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> list[NodeEffect]:
        """Handle one message from a peer."""
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
        """Resolve a call to ``node`` after the link to it closed.

        ``sent`` tells whether the call had been sent, so that the peer may
        have started it.
        """
        effects = self.call_coordinator.handle_lost_call(
            call_id, now, sent=sent
        )
        return self.collect_effects(effects, now)

    def handle_probe_result(
        self, now: float, *, alive: bool
    ) -> list[NodeEffect]:
        """Handle the result of a probe of the target."""
        effects = self.call_coordinator.target_probed(now, alive=alive)
        return self.collect_effects(effects, now)

    def handle_link_change(self, node: str, *, reachable: bool) -> None:
        """Record that the link to a node was lost or works again."""
        self.members.handle_link_change(node, reachable=reachable)

    def handle_target_result(
        self,
        call_id: str,
        target_result: TargetResult,
        now: float,
    ) -> list[NodeEffect]:
        """Handle the result of a call that was dispatched to the target."""
        effects = self.call_coordinator.target_finished(
            call_id, target_result, now
        )
        return self.collect_effects(effects, now)

    def handle_read_result(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[NodeEffect]:
        """Handle the result of a read of the log."""
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
        """Handle the result of an append to the log."""
        return self.collect_effects(
            self.log_streams.handle_append_result(append_result, now), now
        )

    def tick(self, now: float) -> list[NodeEffect]:
        """Return effects that are due by time; call it about every 20 ms."""
        outputs: list[CoreOutput] = list(self.call_coordinator.tick(now))
        if now >= self.next_control_tick_at:
            self.next_control_tick_at = now + CONTROL_TICK_S
            outputs.extend(self.control_tick(now))
        return self.collect_effects(outputs, now)

    def drain(self, now: float) -> list[NodeEffect]:
        """Stop accepting requests.

        Accepted calls are finished; then the node releases its slots.
        """
        self.draining = True
        self.state_changes.record('draining')
        self.release_deadline = now + MAX_RELEASE_WAIT_S
        self.call_coordinator.drain()
        return self.collect_effects(self.members.start_draining(now), now)

    def is_drained(self, now: float) -> bool:
        """Tell whether the process may end.

        Calls are always finished. Slots are released through the log. If that
        takes longer than ``MAX_RELEASE_WAIT_S``, the process may end without
        it, and other nodes claim the slots after their leases have expired.
        """
        released = (
            self.ownership.has_released_all() or now >= self.release_deadline
        )
        return self.call_coordinator.is_idle() and released

    def address_of(self, node: str) -> tuple[str, int] | None:
        """Return host and port of a peer, or None if they are unknown."""
        return self.members.address_of(node)

    def is_serving(self) -> bool:
        """Tell whether the node accepts requests."""
        return self.configuration.ready and not self.draining

    def configuration_version(self) -> int:
        """Return the version of the configuration in force at this node."""
        return self.configuration.view.version

    def control_tick(self, now: float) -> list[CoreOutput]:
        """Advance the components for which ``CONTROL_TICK_S`` is enough."""
        outputs: list[CoreOutput] = []
        outputs.extend(self.log_streams.tick(now))
        load = self.call_coordinator.gate_service.gate.current_load(now)
        outputs.extend(self.members.tick(load, now))
        self.state_changes.record_member_changes(
            self.members.membership.pop_changes(),
        )
        live = self.members.pop_changed_live_members(now)
        if live is not None:
            self.configuration.update_members(live, now)
            self.ownership_sync.update_members(live)
            self.fence_writer.update_members(live)
            outputs.extend(self.ownership.update_members(live, now))
        if self.draining and self.call_coordinator.may_release_slots():
            outputs.extend(self.ownership.stop(now))
        outputs.extend(self.ownership.tick(now))
        outputs.extend(self.ownership_sync.tick(now))
        outputs.extend(self.fence_writer.tick(now))
        outputs.extend(self.suspects.tick(now))
        outputs.extend(self.configuration.tick(now))
        return outputs

    def dispatch_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> Iterable[CoreOutput]:
        """Pass a peer message to the component that handles its type."""
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
        return self.call_coordinator.handlers.handle_peer_message(
            sender, message, now
        )

    def collect_effects(
        self,
        outputs: Iterable[CoreOutput],
        now: float,
    ) -> list[NodeEffect]:
        """Turn the outputs of components into effects for the driver.

        Records the stream of each append, and passes a changed configuration
        on to the components that depend on it.
        """
        effects: list[NodeEffect] = []
        for effect in self.call_coordinator.process_outputs(
            self.convert_outputs(outputs), now
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
            changed = self.call_coordinator.configuration_changed(view, now)
            effects.extend(changed)
        return effects

    def convert_outputs(self, outputs: Iterable[CoreOutput]) -> Iterable[Any]:
        """Convert outputs that only one component uses into effects."""
        for output in outputs:
            if isinstance(output, ReadConfiguration):
                yield ReadLog(
                    LogStream.CONFIGURATION,
                    output.offset,
                    output.limit,
                    output.wait_s,
                )
            elif isinstance(output, OperatorReply):
                answer = render_operator_answer(output.answer)
                yield AnswerRequest(output.request_id, answer)
            else:
                yield output
