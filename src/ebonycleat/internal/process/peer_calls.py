"""Serves the calls of other nodes, and sorts what comes in on links."""

import itertools
from collections.abc import Callable

from ebonycleat.internal.connection.mesh_link import (
    LinkHandler,
    LinkPool,
    MeshLink,
)
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    CallResponse,
    CallRefusal,
    CancelCall,
    CallRequest,
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
)
from ebonycleat.internal.request.refusal import Outcome


class PeerCallServer:
    """Calls that other nodes offer to the own gate."""

    def __init__(self, gate: MeshGate) -> None:
        """Offer calls to ``gate``."""
        self.gate = gate
        self.call_numbers = itertools.count(1)
        self.calls_by_link: dict[MeshLink, dict[int, str]] = {}

    def message_received(
        self,
        link: MeshLink,
        message: CallRequest | CancelCall,
    ) -> None:
        """Offer or cancel a call."""
        if isinstance(message, CallRequest):
            self.offer(link, message)
        else:
            self.cancel(link, message.number)

    def offer(self, link: MeshLink, message: CallRequest) -> None:
        """Offer one call; its result goes back over the link."""
        now = self.gate.clock()
        call = Call(
            call_id=f'{link.node}/{next(self.call_numbers)}',
            root_id=message.request_id,
            team=message.team,
            route=message.route,
            service=message.service,
            priority=Priority(min(max(message.priority, 0), LOWEST_PRIORITY)),
            idempotent=message.is_idempotent,
            deadline=now + message.time_left_ms / MILLISECONDS_PER_S,
            method=message.method,
            path=message.request_target,
            headers=message.headers,
            body=message.body,
            key_digest=message.key_fingerprint.hex(),
            depth=message.depth,
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
        """Send a result back, with the present load."""
        number = message.number
        self.calls_by_link.get(link, {}).pop(number, None)
        load = self.gate.load_reporter.report_for_route(message.route)
        if isinstance(result, Answer):
            link.send(
                CallResponse(
                    number,
                    result.status,
                    result.headers,
                    result.body,
                    load,
                ),
            )
            return
        refusal = result.refusal
        link.send(
            CallRefusal(
                number,
                refusal.reason.value,
                refusal.outcome is Outcome.NOT_RUN,
                int(refusal.retry_after_s * MILLISECONDS_PER_S),
                load,
            ),
        )

    def cancel(self, link: MeshLink, number: int) -> None:
        """Drop a call whose caller has left."""
        call_id = self.calls_by_link.get(link, {}).pop(number, None)
        if call_id is not None:
            self.gate.cancel(call_id)

    def drop_link(self, link: MeshLink) -> None:
        """Drop all calls of a node that cannot be answered any more."""
        for call_id in self.calls_by_link.pop(link, {}).values():
            self.gate.cancel(call_id)


class MeshMessageRouter(LinkHandler):
    """Sorts the messages of links to those that they are for."""

    def __init__(self) -> None:
        """Start without receivers; they are set while a node is built."""
        self.peer_calls: PeerCallServer | None = None
        self.links: LinkPool | None = None
        self.handle_other: Callable[[MeshLink, AnyMeshMessage], None] | None = (
            None
        )

    def message_received(
        self,
        link: MeshLink,
        message: AnyMeshMessage,
    ) -> None:
        """Hand a message on."""
        if isinstance(message, (CallResponse, CallRefusal)):
            link.resolve_reply(message.number, message)
        elif isinstance(message, (CallRequest, CancelCall)):
            if self.peer_calls is not None:
                self.peer_calls.message_received(link, message)
        elif self.handle_other is not None:
            self.handle_other(link, message)

    def link_closed(self, link: MeshLink) -> None:
        """Forget a link and the calls that came over it."""
        if self.peer_calls is not None:
            self.peer_calls.drop_link(link)
        if self.links is not None:
            self.links.remove(link)
