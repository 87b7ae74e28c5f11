"""Reaches the gates of all nodes, and serves the calls of other nodes."""

import dataclasses
import itertools
from collections.abc import Callable

from ebonycleat.internal.connection.mesh_link import (
    LinkHandler,
    LinkTable,
    MeshLink,
)
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    CallAnswered,
    CallRefused,
    CancelCall,
    LoadReport,
    RunCall,
)
from ebonycleat.internal.process.gate_events import GateLoad
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.mesh_gate import GateCall, MeshGate
from ebonycleat.internal.process.mesh_members import MeshMembers
from ebonycleat.internal.process.pressure import ServiceShares
from ebonycleat.internal.process.target_records import Member
from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    Priority,
    RefusedCall,
)
from ebonycleat.internal.request.mesh_run import (
    AttemptHandler,
    AttemptResult,
    GateAccess,
)
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

MILLISECONDS_PER_S = 1000
THOUSANDTHS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class OwnPlace:
    """Where this node is and what its target serves."""

    node: str
    service: str


class MeshAccess(GateAccess):
    """Offers requests to the own gate or, over a link, to another one."""

    def __init__(
        self,
        place: OwnPlace,
        gate: MeshGate,
        members: MeshMembers,
        links: LinkTable,
    ) -> None:
        """Reach the own ``gate`` directly and others over ``links``."""
        self.place = place
        self.gate = gate
        self.members = members
        self.links = links
        self.clock = gate.clock

    def members_of(self, service: str) -> tuple[Member, ...]:
        """Nodes whose targets serve the service.

        The own one comes with its load: the router would else take it for
        idle until its first answer.
        """
        members = self.members.members_of(service)
        if service != self.place.service:
            return members
        load = self.gate.gate.load(self.clock())
        return tuple(
            dataclasses.replace(member, load=load)
            if member.node == self.place.node
            else member
            for member in members
        )

    def begin_attempt(
        self,
        member: Member,
        admitted: AdmittedRequest,
        on_result: AttemptHandler,
    ) -> Callable[[], None]:
        """Offer a request to a gate; returns how to cancel it."""
        if member.node == self.place.node:
            return self.begin_here(admitted, on_result)
        attempt = RemoteAttempt(admitted, self.place, on_result)
        self.links.when_open(member.node, attempt.begin)
        return attempt.cancel

    def begin_here(
        self,
        admitted: AdmittedRequest,
        on_result: AttemptHandler,
    ) -> Callable[[], None]:
        """Offer a request to the own gate."""
        call = admitted.call
        self.gate.offer(
            GateCall(
                call,
                admitted.request_id,
                admitted.host,
                self.place.service,
                admitted.key_mark,
            ),
            lambda result: on_result(
                AttemptResult(result, self.gate.load(call.route)),
            ),
        )
        return lambda: self.gate.cancel(call.call_id)


class RemoteAttempt:
    """One request at the gate of another node."""

    def __init__(
        self,
        admitted: AdmittedRequest,
        place: OwnPlace,
        on_result: AttemptHandler,
    ) -> None:
        """Prepare the attempt."""
        self.admitted = admitted
        self.place = place
        self.on_result = on_result
        self.link: MeshLink | None = None
        self.number = 0
        self.is_cancelled = False

    def begin(self, link: MeshLink | None) -> None:
        """Send the request, or report that the node was not reached."""
        if self.is_cancelled:
            return
        call_id = self.admitted.call.call_id
        if link is None:
            refusal = refuse_not_run(
                Reason.CONNECTION_LOST,
                'the node did not accept a connection',
            )
            self.on_result(AttemptResult(RefusedCall(call_id, refusal), None))
            return
        self.link = link
        self.number = next(link.numbers)
        link.expect_reply(self.number, self.take_reply)
        link.send(self.encode(link.clock()))

    def encode(self, now: float) -> RunCall:
        """The request as the other node gets it."""
        admitted = self.admitted
        call = admitted.call
        return RunCall(
            number=self.number,
            request_id=admitted.request_id,
            team=call.team,
            route=call.route,
            service=call.service,
            origin_service=self.place.service,
            priority=call.priority,
            is_idempotent=call.idempotent,
            depth=call.depth,
            left_ms=max(0, int((call.deadline - now) * MILLISECONDS_PER_S)),
            method=call.method,
            target=call.path,
            host=admitted.host,
            headers=call.headers,
            body=call.body,
            key_mark=admitted.key_mark,
        )

    def take_reply(self, message: AnyMeshMessage | None) -> None:
        """Report the result; a lost link leaves the outcome unknown."""
        call_id = self.admitted.call.call_id
        if isinstance(message, CallAnswered):
            answer = Answer(
                call_id,
                message.status,
                message.headers,
                message.body,
            )
            self.on_result(AttemptResult(answer, read_load(message.load)))
        elif isinstance(message, CallRefused):
            refused = RefusedCall(call_id, _read_refusal(message))
            self.on_result(AttemptResult(refused, read_load(message.load)))
        else:
            refusal = refuse_outcome_unknown(
                Reason.CONNECTION_LOST,
                'the link to the node closed',
            )
            self.on_result(AttemptResult(RefusedCall(call_id, refusal), None))

    def cancel(self) -> None:
        """Tell the other node that nobody waits any more."""
        self.is_cancelled = True
        if self.link is not None:
            self.link.waiting.pop(self.number, None)
            self.link.send(CancelCall(self.number))


class PeerCalls:
    """Calls that other nodes offer to the own gate."""

    def __init__(self, gate: MeshGate) -> None:
        """Offer calls to ``gate``."""
        self.gate = gate
        self.numbers = itertools.count(1)
        self.by_link: dict[MeshLink, dict[int, str]] = {}

    def message_received(
        self,
        link: MeshLink,
        message: RunCall | CancelCall,
    ) -> None:
        """Offer or cancel a call."""
        if isinstance(message, RunCall):
            self.offer(link, message)
        else:
            self.cancel(link, message.number)

    def offer(self, link: MeshLink, message: RunCall) -> None:
        """Offer one call; its result goes back over the link."""
        now = self.gate.clock()
        call = Call(
            call_id=f'{link.node}/{next(self.numbers)}',
            root_id=message.request_id,
            team=message.team,
            route=message.route,
            service=message.service,
            priority=Priority(min(max(message.priority, 0), max(Priority))),
            idempotent=message.is_idempotent,
            deadline=now + message.left_ms / MILLISECONDS_PER_S,
            method=message.method,
            path=message.target,
            headers=message.headers,
            body=message.body,
            key_digest=message.key_mark.hex(),
            depth=message.depth,
        )
        self.by_link.setdefault(link, {})[message.number] = call.call_id
        self.gate.offer(
            GateCall(
                call,
                message.request_id,
                message.host,
                message.origin_service,
                message.key_mark,
            ),
            lambda result: self.finish(link, message, result),
        )

    def finish(
        self,
        link: MeshLink,
        message: RunCall,
        result: CallResult,
    ) -> None:
        """Send a result back, with the present load."""
        number = message.number
        self.by_link.get(link, {}).pop(number, None)
        load = write_load(self.gate.load(message.route))
        if isinstance(result, Answer):
            link.send(
                CallAnswered(
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
            CallRefused(
                number,
                refusal.reason.value,
                refusal.outcome is Outcome.NOT_RUN,
                int(refusal.retry_after_s * MILLISECONDS_PER_S),
                load,
            ),
        )

    def cancel(self, link: MeshLink, number: int) -> None:
        """Drop a call whose caller has left."""
        call_id = self.by_link.get(link, {}).pop(number, None)
        if call_id is not None:
            self.gate.cancel(call_id)

    def drop_link(self, link: MeshLink) -> None:
        """Drop all calls of a node that cannot be answered any more."""
        for call_id in self.by_link.pop(link, {}).values():
            self.gate.cancel(call_id)


class CallTraffic(LinkHandler):
    """Sorts the messages of links to those that they are for."""

    def __init__(self) -> None:
        """Start without receivers; they are set while a node is built."""
        self.calls: PeerCalls | None = None
        self.links: LinkTable | None = None
        self.others: Callable[[MeshLink, AnyMeshMessage], None] | None = None

    def message_received(
        self,
        link: MeshLink,
        message: AnyMeshMessage,
    ) -> None:
        """Hand a message on."""
        if isinstance(message, (CallAnswered, CallRefused)):
            link.take_reply(message.number, message)
        elif isinstance(message, (RunCall, CancelCall)):
            if self.calls is not None:
                self.calls.message_received(link, message)
        elif self.others is not None:
            self.others(link, message)

    def link_closed(self, link: MeshLink) -> None:
        """Forget a link and the calls that came over it."""
        if self.calls is not None:
            self.calls.drop_link(link)
        if self.links is not None:
            self.links.forget(link)


def write_load(load: GateLoad) -> LoadReport:
    """The load of a gate as other nodes get it."""
    return LoadReport(
        load.queued,
        load.running,
        load.limit,
        int(load.latency_s * MILLISECONDS_PER_S),
        load.admission_level,
        load.draining,
        tuple(
            (
                full.service,
                int(full.direct * THOUSANDTHS),
                int(full.called * THOUSANDTHS),
            )
            for full in load.shares
        ),
    )


def read_load(report: LoadReport) -> GateLoad:
    """The load of another node's gate."""
    return GateLoad(
        report.queued,
        report.running,
        report.limit,
        report.latency_ms / MILLISECONDS_PER_S,
        report.level,
        report.is_draining,
        tuple(
            ServiceShares(name, direct / THOUSANDTHS, called / THOUSANDTHS)
            for name, direct, called in report.shares
        ),
    )


def _read_refusal(message: CallRefused) -> Refusal:
    try:
        reason = Reason(message.reason)
    except ValueError:
        # A newer node's reason; whether it has run is told separately.
        reason = Reason.TARGET_FAILED
    if message.has_not_run:
        return refuse_not_run(
            reason,
            'refused by the gate',
            message.retry_after_ms / MILLISECONDS_PER_S,
        )
    return refuse_outcome_unknown(reason, 'lost at the gate')
