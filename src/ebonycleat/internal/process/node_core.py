"""All decisions of one node behind one synchronous interface.

Any driver can run many nodes on one paused clock: inputs are typed calls
with the time, outputs are effects.
"""

import dataclasses
import random
from typing import Any

from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.connection.log_service import Stream
from ebonycleat.internal.connection.messages import (
    CALL_MESSAGES,
    LINK_MESSAGES,
)
from ebonycleat.internal.connection.target_client import TargetResult
from ebonycleat.internal.process.announced_members import (
    AnnouncedMembers,
    Announcement,
)
from ebonycleat.internal.process.call_flow import CallFlow
from ebonycleat.internal.process.config_follower import (
    ConfigurationFollower,
    FollowerEffect,
    ReadConfiguration,
)
from ebonycleat.internal.process.config_relay import CONFIGURATION_MESSAGES
from ebonycleat.internal.process.effects import (
    AnswerRequest,
    AppendResult,
    AppendToLog,
    NodeEffect,
    PageRead,
    ReadLog,
    ReadResult,
    StreamExpired,
)
from ebonycleat.internal.process.gate import create_gate
from ebonycleat.internal.process.gate_service import GateService
from ebonycleat.internal.process.ingress import Ingress
from ebonycleat.internal.process.metrics import create_metrics
from ebonycleat.internal.process.request_metrics import RequestMetrics
from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.process.retry_policy import RetryPolicy
from ebonycleat.internal.process.router import create_router
from ebonycleat.internal.process.settings import NodeSettings
from ebonycleat.internal.process.stream_cursor import StreamCursor
from ebonycleat.internal.request.context import create_context_registry
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.outgoing import render_refusal
from ebonycleat.internal.request.refusal import Reason, refuse_not_run
from ebonycleat.internal.version.snapshot import CONFIGURATION_RECORDS

CONTEXTS_PER_SLOT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRandom:
    """Random numbers of a node.

    ``secrets`` makes contexts that nobody may guess, so a running node
    passes ``random.SystemRandom``; tests pass seeded generators for both.
    """

    choices: random.Random
    secrets: random.Random


class NodeCore:
    """Decisions of one node; holds no socket, thread or clock."""

    def __init__(
        self,
        announcement: Announcement,
        follower: ConfigurationFollower,
        members: AnnouncedMembers,
        call_flow: CallFlow,
        rng: random.Random,
    ) -> None:
        """Put the parts together; they share the node's random numbers."""
        self.announcement = announcement
        self.node = announcement.node
        self.follower = follower
        self.members = members
        self.call_flow = call_flow
        self.members_cursor = StreamCursor(Stream.MEMBERS, rng)
        self.peer_codec = create_codec(
            *LINK_MESSAGES,
            *CALL_MESSAGES,
            *CONFIGURATION_MESSAGES,
        )
        self.log_codec = create_codec(*CONFIGURATION_RECORDS, Announcement)
        self.applied_version = 0
        self.announced = False

    def request_received(
        self,
        request: IncomingRequest,
        now: float,
    ) -> list[NodeEffect]:
        """Start a caller's request."""
        if self.follower.ready:
            view = self.follower.view
            return self.call_flow.request_received(request, view, now)
        refusal = refuse_not_run(
            Reason.NO_CONFIGURATION,
            'this node has not read its configuration yet',
            retry_after_s=1,
        )
        answer = render_refusal(request.request_id, refusal)
        return [AnswerRequest(request.request_id, answer)]

    def message_received(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> list[NodeEffect]:
        """Take one message from a peer."""
        if isinstance(message, CALL_MESSAGES):
            return self.call_flow.peer_message(sender, message, now)
        effects = self.follower.peer_message(sender, message, now)
        return self.configuration_effects(effects, now)

    def call_lost(
        self,
        node: str,
        call_id: str,
        now: float,
        *,
        sent: bool,
    ) -> list[NodeEffect]:
        """Resolve a call to ``node`` whose link closed."""
        return self.call_flow.call_lost(call_id, now, sent=sent)

    def target_finished(
        self,
        call_id: str,
        target_result: TargetResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of a call that the target ran."""
        return self.call_flow.target_finished(call_id, target_result, now)

    def log_read(
        self,
        read_result: ReadResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of a read."""
        if read_result.wanted.stream is Stream.CONFIGURATION:
            effects = self.configuration_read(read_result, now)
            return self.configuration_effects(effects, now)
        self.members_cursor.read_ended(read_result, now)
        if isinstance(read_result, PageRead):
            for record in read_result.page.records:
                self.apply_announcement(record.payload)
        return list(self.members_cursor.tick(now))

    def append_finished(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of an append."""
        self.follower.append_finished(append_result, now)
        return []

    def tick(self, now: float) -> list[NodeEffect]:
        """Let everything that waits for time advance."""
        effects = self.call_flow.tick(now)
        effects += self.members_cursor.tick(now)
        effects += self.announce_once()
        return [
            *effects,
            *self.configuration_effects(self.follower.tick(now), now),
        ]

    def drain(self, now: float) -> list[NodeEffect]:
        """Take no new work; what runs goes on to its end."""
        leaving = dataclasses.replace(self.announcement, leaving=True)
        operation_id = f'leave-{self.node}-{leaving.incarnation}'
        return [
            *self.call_flow.drain(now),
            AppendToLog(Stream.MEMBERS, leaving, operation_id),
        ]

    def is_drained(self) -> bool:
        """Tell whether no call runs or waits here any more."""
        return self.call_flow.is_idle()

    def address_of(self, node: str) -> tuple[str, int] | None:
        """Where the peer listens, if that is known."""
        known = self.members.by_node.get(node)
        return None if known is None else (known.host, known.port)

    def is_serving(self) -> bool:
        """Tell whether requests are taken."""
        return self.follower.ready

    def configuration_version(self) -> int:
        """Return the version in force at this node."""
        return self.follower.view.version

    def announce_once(self) -> list[NodeEffect]:
        """Announce this node when it starts."""
        if self.announced:
            return []
        self.announced = True
        operation_id = f'announce-{self.node}-{self.announcement.incarnation}'
        return [AppendToLog(Stream.MEMBERS, self.announcement, operation_id)]

    def apply_announcement(self, payload: bytes) -> None:
        """Take one record of the members stream; unreadable ones are skipped."""
        try:
            record = self.log_codec.decode(payload)
        except MalformedMessage:
            return
        if isinstance(record, Announcement):
            self.members.apply(record)

    def configuration_read(
        self,
        read_result: ReadResult,
        now: float,
    ) -> list[FollowerEffect]:
        """Hand the result of a read to the follower."""
        offset = read_result.wanted.offset
        match read_result:
            case PageRead(page=page):
                return self.follower.log_answered(offset, page, now)
            case StreamExpired(first_offset=first_offset):
                return self.follower.log_expired(first_offset, now)
        return self.follower.log_failed(now)

    def configuration_effects(
        self,
        effects: list[FollowerEffect],
        now: float,
    ) -> list[NodeEffect]:
        """Translate the follower's effects and apply a new version."""
        translated: list[NodeEffect] = [
            _as_log_read(effect)
            if isinstance(effect, ReadConfiguration)
            else effect
            for effect in effects
        ]
        view = self.follower.view
        if view.version == self.applied_version:
            return translated
        self.applied_version = view.version
        return translated + self.call_flow.configuration_changed(view, now)


def create_node_core(
    settings: NodeSettings,
    incarnation: int,
    randomness: NodeRandom,
    now: float,
) -> NodeCore:
    """Build all decisions of a node from its settings.

    ``now`` is in seconds on the clock that the driver passes in later.
    """
    identity = settings.node
    members = AnnouncedMembers()
    announcement = Announcement(
        node=identity.id,
        incarnation=incarnation,
        zone=identity.zone,
        service=identity.service,
        host=settings.peers.address,
        port=settings.peers.port,
        slots=settings.target.slots,
    )
    members.apply(announcement)
    return NodeCore(
        announcement,
        ConfigurationFollower(identity.id, randomness.choices, now),
        members,
        _create_call_flow(settings, members, randomness),
        randomness.choices,
    )


def _create_call_flow(
    settings: NodeSettings,
    members: AnnouncedMembers,
    randomness: NodeRandom,
) -> CallFlow:
    identity = settings.node
    rng = randomness.choices
    slots = settings.target.slots
    gate = create_gate(slots, settings.queue.length, identity.zone, rng)
    contexts = create_context_registry(
        slots * CONTEXTS_PER_SLOT, randomness.secrets
    )
    metrics = create_metrics(settings.statsd)
    return CallFlow(
        identity.id,
        Ingress(
            members,
            create_router(identity.zone, identity.id, rng),
            RetryPolicy(RetryBudget(), rng),
        ),
        GateService(gate, contexts, identity.zone),
        RequestMetrics(metrics, identity.zone),
    )


def _as_log_read(effect: ReadConfiguration) -> ReadLog:
    return ReadLog(
        Stream.CONFIGURATION,
        effect.offset,
        effect.limit,
        effect.wait_s,
    )
