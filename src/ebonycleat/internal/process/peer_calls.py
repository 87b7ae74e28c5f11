"""Serves calls of other mesh nodes, and hands link messages to receivers."""

import itertools
from collections.abc import Callable

from ebonycleat.internal.connection.byte_account import (
    HeldKind,
    MemoryAccount,
    held_bytes_limit,
)
from ebonycleat.internal.connection.mesh_frames import (
    MAX_JOINED_BYTES,
    DroppedMessage,
)
from ebonycleat.internal.connection.mesh_link import (
    UNKNOWN_LOAD,
    LinkHandler,
    LinkPool,
    MeshLink,
)
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    CallRefusal,
    CallRequest,
    CallResponse,
    CancelCall,
    LoadReport,
)
from ebonycleat.internal.process.gate_calls import GateCall
from ebonycleat.internal.process.load_codec import MILLISECONDS_PER_S
from ebonycleat.internal.process.mesh_gate import MeshGate
from ebonycleat.internal.request.call import (
    LOWEST_PRIORITY,
    Answer,
    Call,
    CallResult,
    Priority,
    RefusedCall,
)
from ebonycleat.internal.request.refusal import Outcome, Reason

NO_ROOM_RETRY_AFTER_MS = 1000
"""Retry-After of a call for whose body there is no room; bodies take as long as
the requests that they belong to."""


class PeerCallServer:
    """Offers the calls of other nodes to the local gate.

    ``calls_by_link`` has the ids of open calls by link and message number.
    """

    def __init__(
        self, gate: MeshGate, account: MemoryAccount | None = None
    ) -> None:
        """Offer calls to ``gate``; their bodies are counted in ``account``."""
        self.gate = gate
        self.account = account or MemoryAccount(held_bytes_limit(None))
        self.call_numbers = itertools.count(1)
        self.calls_by_link: dict[MeshLink, dict[int, str]] = {}

    def message_received(
        self,
        link: MeshLink,
        message: CallRequest | CancelCall | DroppedMessage,
    ) -> None:
        """Offer a call to the gate, or cancel one.

        A call for whose body there is no room is refused as not run.
        """
        if isinstance(message, DroppedMessage):
            self.refuse_for_memory(link, message.number)
        elif isinstance(message, CallRequest):
            if self.hold_body(len(message.body)):
                self.offer(link, message)
            else:
                self.refuse_for_memory(link, message.number)
        else:
            self.cancel(link, message)

    def hold_body(self, size: int) -> bool:
        """Count a body; return False if there is no room for it.

        The link has found room for that of a large frame.
        """
        if size > MAX_JOINED_BYTES:
            self.account.hold_anyway(HeldKind.REQUESTS, size)
            return True
        return not size or self.account.hold(
            HeldKind.REQUESTS, size, is_small=True
        )

    def refuse_for_memory(self, link: MeshLink, number: int) -> None:
        """Refuse a call for whose body there is no room."""
        self.gate.log.write_limited(
            'call of another node refused: no room for its body',
            peer=link.node,
            held_bytes=self.account.held_bytes,
            limit=self.account.limit,
        )
        link.send(
            CallRefusal(
                number,
                Reason.NODE_SATURATED.value,
                has_not_run=True,
                retry_after_ms=NO_ROOM_RETRY_AFTER_MS,
                load=self.gate.load_reporter.report_for_route(''),
            ),
        )

    def offer(self, link: MeshLink, message: CallRequest) -> None:
        """Offer one call to the gate; its result goes back over the link."""
        now = self.gate.clock()
        time_left_ms = message.time_left_ms
        objective_left_ms = message.objective_left_ms
        if objective_left_ms is None:
            objective_left_ms = time_left_ms
        call = Call(
            call_id=f'{link.node}/{next(self.call_numbers)}',
            root_id=message.request_id,
            team=message.team,
            route=message.route,
            service=message.service,
            priority=Priority(min(max(message.priority, 0), LOWEST_PRIORITY)),
            idempotent=message.is_idempotent,
            deadline=now + time_left_ms / MILLISECONDS_PER_S,
            method=message.method,
            path=message.request_target,
            headers=message.headers,
            body=message.body,
            key_digest=message.key_fingerprint.hex(),
            depth=message.depth,
            objective=now + objective_left_ms / MILLISECONDS_PER_S,
            moves_left=message.moves_left,
        )
        self.calls_by_link.setdefault(link, {})[message.number] = call.call_id
        self.gate.offer(
            GateCall(
                call,
                message.request_id,
                message.host,
                message.origin_service,
                message.key_fingerprint,
            ),
            lambda result: self.finish(link, message, result),
        )

    def finish(
        self,
        link: MeshLink,
        message: CallRequest,
        result: CallResult,
    ) -> None:
        """Send back the result of a call, with the gate's present load.

        A result that cannot be encoded is replaced by a refusal, so that the
        other node does not wait for it until the deadline.
        """
        self.calls_by_link.get(link, {}).pop(message.number, None)
        self.account.release(HeldKind.REQUESTS, len(message.body))
        load = self.gate.load_reporter.report_for_route(message.route)
        if not link.send(create_reply(message.number, result, load)):
            has_not_run = (
                isinstance(result, RefusedCall)
                and result.refusal.outcome is Outcome.NOT_RUN
            )
            link.send(
                CallRefusal(
                    message.number,
                    Reason.TARGET_FAILED.value,
                    has_not_run=has_not_run,
                    retry_after_ms=0,
                    load=UNKNOWN_LOAD,
                )
            )

    def cancel(self, link: MeshLink, message: CancelCall) -> None:
        """Cancel a call whose sender no longer needs the result."""
        call_id = self.calls_by_link.get(link, {}).get(message.number)
        if call_id is not None:
            self.gate.cancel(call_id, spares_running=message.spares_running)

    def drop_link(self, link: MeshLink) -> None:
        """Cancel all calls of a link that has closed."""
        for call_id in self.calls_by_link.pop(link, {}).values():
            self.gate.cancel(call_id)


def create_reply(
    number: int, result: CallResult, load: LoadReport
) -> CallResponse | CallRefusal:
    """Create the message that answers call ``number`` of another node."""
    if isinstance(result, Answer):
        return CallResponse(
            number, result.status, result.headers, result.body, load
        )
    refusal = result.refusal
    return CallRefusal(
        number,
        refusal.reason.value,
        refusal.outcome is Outcome.NOT_RUN,
        int(refusal.retry_after_s * MILLISECONDS_PER_S),
        load,
    )


class MeshMessageRouter(LinkHandler):
    """Hands the messages that arrive on links to their receivers."""

    def __init__(self) -> None:
        """Start without receivers; they are set while the node is built."""
        self.peer_calls: PeerCallServer | None = None
        self.links: LinkPool | None = None
        self.handle_other: Callable[[MeshLink, AnyMeshMessage], None] | None = (
            None
        )

    def message_received(
        self,
        link: MeshLink,
        message: AnyMeshMessage | DroppedMessage,
    ) -> None:
        """Hand a message to the waiting call, the call server or others."""
        if isinstance(message, (CallResponse, CallRefusal)):
            link.resolve_reply(message.number, message)
        elif isinstance(message, (CallRequest, CancelCall, DroppedMessage)):
            if self.peer_calls is not None:
                self.peer_calls.message_received(link, message)
        elif self.handle_other is not None:
            self.handle_other(link, message)

    def link_silent(self, link: MeshLink) -> None:
        """Use a silent link for no new calls."""
        if self.links is not None:
            self.links.set_aside(link)

    def link_closed(self, link: MeshLink) -> None:
        """Forget a closed link, and cancel the calls that came over it."""
        if self.peer_calls is not None:
            self.peer_calls.drop_link(link)
        if self.links is not None:
            self.links.remove(link)
