"""A node of a mesh: its parts, and how they hear of each other."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from ebonycleat.internal.connection.http_listener import (
    HttpListener,
    ListenerLimits,
)
from ebonycleat.internal.connection.mesh_link import LinkTable, MeshLink
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    Hello,
    TokensExchange,
    TokensGiven,
)
from ebonycleat.internal.connection.mesh_ports import (
    Heartbeat,
    PlatformPorts,
    TargetWord,
    UnreadableWord,
)
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.decision_log import (
    create_decision_log,
)
from ebonycleat.internal.process.mesh_access import MeshAccess, OwnPlace
from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    MeshMembers,
)
from ebonycleat.internal.process.mesh_metrics import MeshMetrics
from ebonycleat.internal.process.mesh_parts import (
    NodeKnowledge,
    NodeTools,
    build_duties,
    build_entry,
    build_gate,
)
from ebonycleat.internal.process.mesh_settings import MeshSettings
from ebonycleat.internal.process.peer_calls import CallTraffic, PeerCalls
from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.retry_budget import (
    RetryBudget,
    divide_retry_bounds,
)
from ebonycleat.internal.version.mesh_configuration import ConfigurationIndex


class MeshNode:
    """All parts of one node, on one loop."""

    def __init__(
        self,
        settings: MeshSettings,
        tools: NodeTools,
    ) -> None:
        """Build a node that serves nothing yet."""
        self.settings = settings
        self.tools = tools
        self.address = settings.peers.text
        self.stopping = asyncio.Event()
        self.has_waiter = asyncio.Event()
        self.known = NodeKnowledge(
            ConfigurationHolder(settings.bounds.key_withdrawal_s),
            MeshMembers(),
            NodeQuotas(),
            RetryBudget(),
        )
        self.traffic = CallTraffic()
        self.links = LinkTable(
            self.traffic,
            Hello(self.address, settings.service),
            tools.clock,
        )
        self.duties = build_duties(settings, tools, self.known, self.links)
        self.gate = build_gate(settings, tools, self.known)
        self.entry = build_entry(
            settings,
            tools,
            self.known,
            MeshAccess(
                OwnPlace(self.address, settings.service),
                self.gate,
                self.known.members,
                self.links,
            ),
            self.duties.exchanger,
        )
        self.listener = HttpListener(
            self.entry,
            ListenerLimits(),
            tools.clock,
        )
        self.connect_parts()

    def connect_parts(self) -> None:
        """Let the parts hear of each other."""
        pressure = self.entry.pressure
        self.gate.told.full_behind = lambda route: pressure.full_behind_target(
            route,
            self.tools.clock(),
        )
        self.gate.on_crash = self.want_record
        self.traffic.calls = PeerCalls(self.gate)
        self.traffic.links = self.links
        self.traffic.others = self.message_received
        self.known.holder.listeners.append(self.configuration_changed)
        self.duties.follower.on_members = self.members_changed
        self.duties.exchanger.on_waiting = self.has_waiter.set

    def message_received(self, link: MeshLink, message: AnyMeshMessage) -> None:
        """Hand a message to the duty that it belongs to."""
        if isinstance(message, (TokensExchange, TokensGiven)):
            self.duties.exchanger.message_received(link, message)
        else:
            self.duties.follower.message_received(link, message)

    def configuration_changed(self, index: ConfigurationIndex) -> None:
        """Adopt what a new version says of callers and teams."""
        configuration = index.configuration
        limits = configuration.limits
        self.listener.limits = ListenerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )
        self.known.quota.set_teams(
            configuration.teams,
            self.tools.clock(),
        )
        self.gate.gate.set_team_weights({
            team.name: team.rate_per_s for team in configuration.teams
        })

    def adopt_settings(self, settings: MeshSettings) -> None:
        """Adopt changed bounds; addresses change only with a restart."""
        changed = settings != self.settings
        if changed:
            self.settings = dataclasses.replace(
                self.settings,
                bounds=settings.bounds,
            )
            withdrawal_s = settings.bounds.key_withdrawal_s
            self.known.holder.withdrawal_s = withdrawal_s
            self.count_nodes()
        self.tools.log.note_always('settings read again', changed=changed)

    def members_changed(self) -> None:
        """Adopt the number of nodes, and what the store says of this one."""
        members = self.known.members
        own = members.records.get(self.address)
        if own is not None:
            self.recall(own)
        self.gate.crashes.update_peer_counts(
            record.suspects
            for address, record in members.records.items()
            if address != self.address
        )
        writer = self.duties.writer
        writer.recall(members.encoded.get(self.address, b''))
        if own is None:
            # Dropped while this node could not be reached.
            writer.changed.set()
        self.count_nodes()

    def recall(self, record: MemberRecord) -> None:
        """Take over what the store says of this address."""
        if record.service != self.settings.service:
            # Left by the VM that had the address before.
            self.want_record()
            return
        self.gate.target.recall(record)
        self.gate.follow_target()

    def count_nodes(self) -> None:
        """Divide rates and retries among the nodes that there are."""
        count = max(1, self.known.members.count_nodes())
        self.known.quota.set_node_count(count, self.tools.clock())
        bounds = self.settings.bounds
        self.known.budget.bounds = divide_retry_bounds(
            bounds.retry_share,
            bounds.retry_slack,
            bounds.retry_window_s,
            count,
        )

    def tick_queues(self) -> None:
        """Let the time-driven decisions of queues happen."""
        self.gate.tick()
        self.duties.exchanger.tick()

    def has_waiting(self) -> bool:
        """Whether a call or a request waits for a slot or a token."""
        if self.gate.gate.queue:
            return True
        return self.duties.exchanger.has_waiters()

    def word_received(self, word: TargetWord) -> None:
        """Act on a message of the target."""
        log = self.tools.log
        if isinstance(word, UnreadableWord):
            log.note('message of a target unreadable', detail=word.detail)
            return
        if self.gate.hear(word):
            target = self.gate.target
            log.note_always(
                'target changed',
                instance=target.instance,
                slots=target.slots,
                leaving=target.is_leaving,
                word=type(word).__name__,
            )
            self.want_record()
        if isinstance(word, Heartbeat) and word.service != (
            self.settings.service
        ):
            log.note('heartbeat of another service', service=word.service)

    def want_record(self) -> None:
        """Let the store say what is true of this node."""
        target = self.gate.target
        incarnation = target.incarnation
        self.duties.writer.want(
            MemberRecord(
                address=self.address,
                zone=self.settings.zone,
                service=self.settings.service,
                instance=target.instance,
                instance_started_ms=(
                    0 if incarnation is None else incarnation.started_ms
                ),
                slots=target.slots,
                has_target=target.is_usable,
                suspects=self.gate.crashes.own_count_pairs(),
                serves_callers=not (
                    self.stopping.is_set() and target.is_leaving
                ),
            ),
        )

    def is_ready(self) -> bool:
        """Whether callers should come to this node."""
        if self.stopping.is_set() or self.known.members.offset < 0:
            return False
        holder = self.known.holder
        if holder.index is None:
            return False
        return not holder.index.teams or holder.trusts_keys(
            self.tools.clock(),
        )

    def render_metrics(self) -> str:
        """All figures of this node as text."""
        holder = self.known.holder
        age_s = holder.proof_age_s(self.tools.clock())
        load = self.gate.told.load('')
        pool = self.gate.pool
        duties = self.duties
        return self.tools.metrics.render({
            'configuration.version': holder.version,
            'configuration.proof_age_s': -1 if age_s is None else age_s,
            'gate.queued': load.queued,
            'gate.running': load.running,
            'gate.limit': load.limit,
            'gate.connections': len(pool.connections),
            'gate.connections_opened': pool.opened,
            'gate.foreign_answers': pool.foreign_answers,
            'links.open': len(self.links.links) + len(self.links.accepted),
            'members.nodes': self.known.members.count_nodes(),
            'store.calls': duties.follower.calls + duties.writer.calls,
            'callers.connections': len(self.listener.connections),
        })

    def count_open(self) -> int:
        """Requests of callers and of peers that are not answered yet."""
        return self.listener.count_open_exchanges() + len(self.gate.held)


def create_mesh_node(
    settings: MeshSettings,
    ports: PlatformPorts,
    rng: random.Random,
    clock: Callable[[], float],
) -> MeshNode:
    """Build a node; ``clock`` is that of the loop it will run on."""
    tools = NodeTools(
        ports,
        rng,
        clock,
        create_decision_log(clock),
        MeshMetrics(),
    )
    return MeshNode(settings, tools)
