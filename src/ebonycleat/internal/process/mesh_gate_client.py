"""Offers requests to the gates of mesh nodes, the local one included."""

import dataclasses

import msgspec

from ebonycleat.internal.connection.byte_account import HeldKind
from ebonycleat.internal.connection.mesh_link import (
    LinkPool,
    MeshLink,
)
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    CallRefusal,
    CallRequest,
    CallResponse,
    CancelCall,
)
from ebonycleat.internal.process.gate_calls import GateCall
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.load_codec import (
    MAX_TIME_MS,
    MILLISECONDS_PER_S,
    decode_load,
    limit_figure,
)
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.mesh_gate import MeshGate
from ebonycleat.internal.process.mesh_members import MeshMembers
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    RefusedCall,
)
from ebonycleat.internal.request.mesh_request_run import (
    AttemptHandler,
    AttemptResult,
    GateClient,
    OpenAttempt,
)
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)


@dataclasses.dataclass(frozen=True, slots=True)
class LocalNode:
    """Id of this node, and the service that its target runs."""

    node: str
    service: str


class MeshGateClient(GateClient):
    """Offers requests to the local gate, or over a link to a remote one."""

    def __init__(
        self,
        local_node: LocalNode,
        gate: MeshGate,
        members: MeshMembers,
        links: LinkPool,
    ) -> None:
        """Use the local ``gate`` directly and others over ``links``."""
        self.local_node = local_node
        self.gate = gate
        self.members = members
        self.links = links
        self.clock = gate.clock
        self.loaded_from: tuple[tuple[Member, ...], GateLoad] | None = None
        self.loaded_members: tuple[Member, ...] = ()

    def members_of(self, service: str) -> tuple[Member, ...]:
        """Return the members whose targets run the service.

        The local member has its load set, because the router would otherwise
        take the local target for idle until its first answer. While the load is
        the same, so is the returned tuple, of which the router then knows more.
        """
        members = self.members.members_of(service)
        if service != self.local_node.service:
            return members
        # No route is needed: the router does not use the shares of the load.
        load = self.gate.load_reporter.load_for_route('')
        known = self.loaded_from
        if known is None or known[0] is not members or known[1] is not load:
            self.loaded_from = (members, load)
            self.loaded_members = tuple(
                msgspec.structs.replace(member, load=load)
                if member.node == self.local_node.node
                else member
                for member in members
            )
        return self.loaded_members

    def start_attempt(
        self,
        member: Member,
        admitted: AdmittedRequest,
        on_result: AttemptHandler,
    ) -> OpenAttempt:
        """Offer a request to the gate of a member."""
        if member.node == self.local_node.node:
            return self.start_local_attempt(admitted, on_result)
        attempt = RemoteAttempt(admitted, self.local_node, on_result)
        self.links.request_link(member.node, attempt.send)
        return attempt

    def start_local_attempt(
        self,
        admitted: AdmittedRequest,
        on_result: AttemptHandler,
    ) -> OpenAttempt:
        """Offer a request to the local gate."""
        attempt = LocalAttempt(admitted.call, self.gate, on_result)
        self.gate.offer(
            GateCall(
                admitted.call,
                admitted.request_id,
                admitted.host,
                self.local_node.service,
                admitted.key_fingerprint,
            ),
            attempt.handle_result,
        )
        return attempt


class LocalAttempt(OpenAttempt):
    """One attempt to run a request through the gate of this node.

    A call that cannot be cancelled keeps its body after the connection of its
    caller has released it: ``kept_bytes`` are counted until the call ends.
    """

    def __init__(
        self, call: Call, gate: MeshGate, on_result: AttemptHandler
    ) -> None:
        """Prepare the attempt; ``on_result`` gets its one result."""
        self.call = call
        self.gate = gate
        self.on_result = on_result
        self.kept_bytes = 0

    def handle_result(self, result: CallResult) -> None:
        """Report the result with the load of the gate."""
        if self.kept_bytes:
            self.gate.pool.account.release(HeldKind.REQUESTS, self.kept_bytes)
        load = self.gate.load_reporter.load_for_route(self.call.route)
        self.on_result(AttemptResult(result, load))

    def cancel(self) -> None:
        """Cancel the call, unless it must not be cancelled."""
        self.gate.cancel(self.call.call_id)
        if self.call.call_id in self.gate.pending_calls:
            self.kept_bytes = len(self.call.body)
            self.gate.pool.account.hold_anyway(
                HeldKind.REQUESTS, self.kept_bytes
            )

    def withdraw(self) -> None:
        """Take the call out of the queue; a running one goes on."""
        self.gate.cancel(self.call.call_id, spares_running=True)


class RemoteAttempt(OpenAttempt):
    """One attempt to run a request through the gate of another node."""

    def __init__(
        self,
        admitted: AdmittedRequest,
        local_node: LocalNode,
        on_result: AttemptHandler,
    ) -> None:
        """Prepare the attempt; ``send`` starts it once the link is open."""
        self.admitted = admitted
        self.local_node = local_node
        self.on_result = on_result
        self.link: MeshLink | None = None
        self.request_number = 0
        self.is_cancelled = False

    def send(self, link: MeshLink | None) -> None:
        """Send the request, or report that no link to the node opened."""
        if self.is_cancelled:
            return
        if link is None:
            self.report_unsent('no link to the node could be opened')
            return
        self.link = link
        self.request_number = next(link.request_numbers)
        link.expect_reply(
            self.request_number,
            self.handle_reply,
            waits_in_silence=not self.admitted.call.idempotent,
        )
        if not link.send(self.create_message(link.clock())):
            link.forget_reply(self.request_number)
            self.report_unsent('the request could not be written to the link')

    def report_unsent(self, detail: str) -> None:
        """Report that nothing of the request was sent."""
        refusal = refuse_not_run(Reason.CONNECTION_LOST, detail)
        call_id = self.admitted.call.call_id
        self.on_result(AttemptResult(RefusedCall(call_id, refusal), None))

    def create_message(self, now: float) -> CallRequest:
        """Create the message that offers the request to the other node."""
        admitted = self.admitted
        call = admitted.call
        return CallRequest(
            number=self.request_number,
            request_id=admitted.request_id,
            team=call.team,
            route=call.route,
            service=call.service,
            origin_service=self.local_node.service,
            priority=call.priority,
            is_idempotent=call.idempotent,
            depth=call.depth,
            time_left_ms=max(
                0, int((call.deadline - now) * MILLISECONDS_PER_S)
            ),
            method=call.method,
            request_target=call.path,
            host=admitted.host,
            headers=call.headers,
            body=call.body,
            key_fingerprint=admitted.key_fingerprint,
            objective_left_ms=int((call.objective - now) * MILLISECONDS_PER_S)
            if call.objective < call.deadline
            else None,
            moves_left=call.moves_left,
        )

    def handle_reply(self, message: AnyMeshMessage | None) -> None:
        """Report the result; if the link closed, the outcome is unknown."""
        call_id = self.admitted.call.call_id
        if isinstance(message, CallResponse):
            answer = Answer(
                call_id,
                message.status,
                message.headers,
                message.body,
            )
            self.on_result(AttemptResult(answer, decode_load(message.load)))
        elif isinstance(message, CallRefusal):
            refused = RefusedCall(call_id, _read_refusal(message))
            self.on_result(AttemptResult(refused, decode_load(message.load)))
        else:
            refusal = refuse_outcome_unknown(
                Reason.CONNECTION_LOST,
                'the link to the node closed before its answer came',
            )
            self.on_result(AttemptResult(RefusedCall(call_id, refusal), None))

    def cancel(self) -> None:
        """Cancel the attempt, also at the other node if it was sent."""
        self.is_cancelled = True
        if self.link is not None:
            self.link.forget_reply(self.request_number)
            self.link.send(CancelCall(self.request_number))

    def withdraw(self) -> None:
        """Take the call out of the other node's queue, which replies then."""
        if self.link is not None:
            self.link.send(CancelCall(self.request_number, spares_running=True))
            return
        self.is_cancelled = True
        self.report_unsent('the node ends before a link to the other was open')


def _read_refusal(message: CallRefusal) -> Refusal:
    try:
        reason = Reason(message.reason)
    except ValueError:
        # A reason that only newer versions know. Whether the request has run
        # is a separate field.
        reason = Reason.TARGET_FAILED
    if reason is Reason.WITHDRAWN_KEY:
        # The gate's configuration may be older than this entry's. Only the
        # entry tells a caller that its key is not valid.
        reason = Reason.STALE_CONFIGURATION
    if message.has_not_run:
        return refuse_not_run(
            reason,
            "refused by the gate of the target's node",
            limit_figure(message.retry_after_ms, MAX_TIME_MS)
            / MILLISECONDS_PER_S,
        )
    return refuse_outcome_unknown(
        reason,
        'the request may have run at a target that sent no complete answer',
    )
