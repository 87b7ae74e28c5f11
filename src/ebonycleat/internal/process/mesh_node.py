"""A mesh node: its components and the callbacks that connect them."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from ebonycleat.internal.connection.byte_account import (
    MemoryAccount,
    held_bytes_limit,
)
from ebonycleat.internal.connection.http_listener import HttpListener
from ebonycleat.internal.connection.listener_limits import ListenerLimits
from ebonycleat.internal.connection.mesh_link import LinkPool, MeshLink
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    Hello,
    TokenExchangeReply,
    TokenExchangeRequest,
)
from ebonycleat.internal.connection.platform_interfaces import (
    ControlMessage,
    InvalidControlMessage,
    PlatformInterfaces,
    TargetHeartbeat,
)
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.event_log import (
    create_event_log,
)
from ebonycleat.internal.process.local_target import is_in_future
from ebonycleat.internal.process.mesh_components import (
    FleetState,
    NodeDependencies,
    build_background_components,
    build_entry,
    build_gate,
)
from ebonycleat.internal.process.mesh_gate_client import (
    LocalNode,
    MeshGateClient,
)
from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    MeshMembers,
)
from ebonycleat.internal.process.mesh_metrics import MeshMetrics
from ebonycleat.internal.process.mesh_settings import MeshSettings
from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.node_gauges import collect_gauges
from ebonycleat.internal.process.node_watch import READY, NodeWatch
from ebonycleat.internal.process.peer_calls import (
    MeshMessageRouter,
    PeerCallServer,
)
from ebonycleat.internal.process.placement.evacuated_zones import ZonesChange
from ebonycleat.internal.process.retry_budget import (
    RetryBudget,
    divide_retry_limits,
)
from ebonycleat.internal.version.mesh_configuration import ConfigurationIndex


class MeshNode:
    """The components of one node; all of them run on one event loop."""

    def __init__(
        self,
        settings: MeshSettings,
        dependencies: NodeDependencies,
    ) -> None:
        """Build the components; ``run_mesh_node`` opens the addresses."""
        self.settings = settings
        self.dependencies = dependencies
        self.address = settings.peers.host_port
        self.stop_requested = asyncio.Event()
        self.has_failed = False
        self.has_adopted_record = False
        self.is_record_due = False
        self.wait_started = asyncio.Event()
        self.watch = NodeWatch(
            dependencies.log, settings.mesh_limits.max_descriptors
        )
        self.fleet = FleetState(
            ConfigurationHolder(settings.mesh_limits.key_withdrawal_s),
            MeshMembers(),
            NodeQuotas(),
            RetryBudget(),
        )
        self.message_router = MeshMessageRouter()
        self.links = LinkPool(
            self.message_router,
            Hello(self.address, settings.service),
            dependencies.clock,
            self.dependencies.account,
        )
        self.background = build_background_components(
            settings, dependencies, self.fleet, self.links
        )
        self.gate = build_gate(settings, dependencies, self.fleet)
        self.entry = build_entry(
            settings,
            dependencies,
            self.fleet,
            MeshGateClient(
                LocalNode(self.address, settings.service),
                self.gate,
                self.fleet.members,
                self.links,
            ),
            self.background.token_exchanger,
        )
        self.listener = HttpListener(
            self.entry,
            ListenerLimits(connections=self.watch.caller_connection_limit(0)),
            dependencies.clock,
            self.dependencies.account,
        )
        self.connect_components()

    def connect_components(self) -> None:
        """Register the callbacks by which components notify each other."""
        backpressure = self.entry.backpressure
        self.gate.load_reporter.overloaded_behind_target = lambda route: (
            backpressure.overloaded_behind_target(
                route,
                self.dependencies.clock(),
            )
        )
        self.gate.on_record_changed = self.update_own_record
        self.message_router.peer_calls = PeerCallServer(
            self.gate, self.dependencies.account
        )
        self.message_router.links = self.links
        self.message_router.handle_other = self.handle_message
        self.fleet.configuration.listeners.append(self.apply_configuration)
        self.fleet.configuration.evacuated.listeners.append(
            self.apply_evacuation
        )
        self.background.follower.on_members_changed = self.apply_members
        self.background.token_exchanger.on_waiting = self.wait_started.set

    def stop_after_failure(self, error: BaseException) -> None:
        """Stop because a background task failed; the exit code tells it."""
        self.dependencies.log.logger.error(
            'background task failed', exc_info=error
        )
        self.has_failed = True
        self.stop_requested.set()

    def handle_message(self, link: MeshLink, message: AnyMeshMessage) -> None:
        """Dispatch a peer message that is neither a call nor its answer.

        Token messages go to the token exchanger; all others concern the
        configuration and the member list.
        """
        if isinstance(message, (TokenExchangeRequest, TokenExchangeReply)):
            self.background.token_exchanger.message_received(link, message)
        else:
            self.background.follower.handle_message(link, message)

    def apply_configuration(self, index: ConfigurationIndex) -> None:
        """Apply the HTTP limits and team rates of a new configuration."""
        configuration = index.configuration
        limits = configuration.limits
        self.listener.limits = ListenerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
            self.listener.limits.connections,
        )
        self.fleet.quotas.set_teams(
            configuration.teams,
            self.dependencies.clock(),
        )
        team_rates = {
            team.name: team.rate_per_s for team in configuration.teams
        }
        self.gate.gate.set_team_rates(team_rates)
        self.entry.backpressure.weights.set_rates(team_rates)

    def apply_evacuation(self, change: ZonesChange) -> None:
        """Close the gate while the own zone is evacuated, and log the change."""
        evacuated = self.fleet.configuration.evacuated.zones
        self.dependencies.log.write_always(
            'evacuated zones changed',
            begun=sorted(change.begun),
            ended=sorted(change.ended),
            evacuated=sorted(evacuated),
            era=change.position.era,
            offset=change.position.offset,
            queued=len(self.gate.gate.queue),
            running=len(self.gate.gate.running),
        )
        self.gate.set_evacuated(is_evacuated=self.settings.zone in evacuated)

    def apply_settings(self, settings: MeshSettings) -> None:
        """Apply the limits of a reloaded settings file.

        Other changes, such as addresses, take effect only after a restart.
        """
        changed = settings != self.settings
        if changed:
            self.settings = dataclasses.replace(
                self.settings,
                mesh_limits=settings.mesh_limits,
            )
            withdrawal_s = settings.mesh_limits.key_withdrawal_s
            self.fleet.configuration.key_withdrawal_s = withdrawal_s
            propagation_s = settings.mesh_limits.propagation_s
            self.background.follower.propagation_s = propagation_s
            self.watch.change_limit(settings.mesh_limits.max_descriptors)
            memory_mb = settings.mesh_limits.memory_mb
            self.dependencies.account.limit = held_bytes_limit(memory_mb)
            self.update_connection_limit()
            self.update_node_count()
        self.dependencies.log.write_always('settings reloaded', changed=changed)

    def apply_members(self) -> None:
        """React to a changed member list.

        Restores this node's target and crash counts from its own stored
        record, takes the crash counts of other nodes, checks that the store
        still holds the own record, and divides limits by the new number of
        nodes.
        """
        members = self.fleet.members
        own = members.record_by_address.get(self.address)
        if own is not None:
            self.restore_target(own)
        self.has_adopted_record = True
        self.gate.crashes.update_peer_counts(
            record.suspects
            for address, record in members.record_by_address.items()
            if address != self.address
        )
        self.background.record_writer.adopt_stored_record(
            members.find_stored_record(self.address), members.position
        )
        self.background.lost_records.members_changed()
        self.update_node_count()
        if self.is_record_due:
            self.update_own_record()

    def restore_target(self, record: MemberRecord) -> None:
        """Restore what this address's stored record tells about the target.

        Crash counts are taken only from the first record that is read, the one
        that an earlier process of this node wrote.
        """
        if record.service != self.settings.service:
            # Another VM had this address before; its record is overwritten.
            self.update_own_record()
            return
        if not self.has_adopted_record:
            self.gate.crashes.adopt_own_counts(record.suspects)
        self.gate.target.restore(record, self.gate.unix_time_ms())
        self.gate.apply_target_state()

    def update_node_count(self) -> None:
        """Divide team rates and retry limits among nodes that serve callers.

        Each node enforces its part alone, so the parts must be recalculated
        when nodes join or leave.
        """
        count = max(1, self.fleet.members.count_serving_nodes())
        self.fleet.quotas.change_node_count(count, self.dependencies.clock())
        mesh_limits = self.settings.mesh_limits
        self.fleet.retry_budget.limits = divide_retry_limits(
            mesh_limits.retry_share,
            mesh_limits.retry_slack,
            mesh_limits.retry_window_s,
            count,
        )

    def publish_cleared_suspects(self) -> None:
        """Write the own record anew if it has counts that were cleared."""
        if self.gate.crashes.has_cleared:
            self.gate.crashes.has_cleared = False
            self.update_own_record()

    def tick_queues(self) -> None:
        """Process deadlines and retries of everything that is queued."""
        self.gate.tick()
        self.background.token_exchanger.tick()

    def has_waiting_requests(self) -> bool:
        """Tell whether a call waits for a slot or a request for a token."""
        if self.gate.gate.queue:
            return True
        return self.background.token_exchanger.has_waiters()

    def handle_target_message(self, message: ControlMessage) -> None:
        """Process one control message of the own target.

        A change of the target's instance, slots or state is logged and
        written to the store. A heartbeat that names another service is
        logged: the target's settings and the node's disagree.
        """
        log = self.dependencies.log
        if isinstance(message, InvalidControlMessage):
            log.write_limited(
                'target message cannot be decoded', detail=message.detail
            )
            return
        if is_in_future(message.started_ms, self.gate.unix_time_ms()):
            log.write_limited(
                'target message from the future is ignored',
                instance=message.instance,
                started_ms=message.started_ms,
            )
        if self.gate.handle_target_message(message):
            target = self.gate.target
            log.write_always(
                'target changed',
                instance=target.instance,
                slots=target.slots,
                leaving=target.is_leaving,
                word=type(message).__name__,
                sender=message.instance,
            )
            self.update_own_record()
        if isinstance(message, TargetHeartbeat) and message.service != (
            self.settings.service
        ):
            log.write_limited(
                'heartbeat from a target of another service',
                service=message.service,
            )

    def update_own_record(self) -> None:
        """Ask the writer to store the current state of node and target.

        Until the member list was read, an earlier process's record may hold
        what this one must take over first.
        """
        self.is_record_due = not self.fleet.members.is_known
        if self.is_record_due:
            return
        target = self.gate.target
        incarnation = target.incarnation
        self.background.record_writer.schedule_write(
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
                    self.stop_requested.is_set() and target.is_leaving
                ),
                departures=target.departures.as_pairs(),
            ),
        )

    def is_ready(self) -> bool:
        """Tell whether callers should send requests to this node.

        It needs the member list and a configuration; a configuration with
        teams must also be recent enough to check keys against. New connections
        must be accepted.
        """
        return self.find_readiness() == READY

    def find_readiness(self) -> str:
        """Return ``READY``, or the cause for which the node is not ready."""
        holder = self.fleet.configuration
        if self.stop_requested.is_set():
            return 'stopping'
        if not self.fleet.members.is_known:
            return 'members unknown'
        if holder.index is None:
            return 'no configuration'
        if holder.index.teams and not holder.may_trust_keys(
            self.dependencies.clock(),
        ):
            return 'configuration too old to trust keys'
        if not self.listener.is_accepting():
            return 'connections cannot be accepted'
        return READY

    def check_readiness(self) -> bool:
        """Answer a readiness probe; a change of the answer is logged."""
        readiness = self.find_readiness()
        self.watch.record_readiness(readiness, len(self.listener.connections))
        return readiness == READY

    def count_sockets(self) -> dict[str, int]:
        """Count the open sockets by what they are used for."""
        return {
            'caller_connections': len(self.listener.connections),
            'links': len(self.links.list_links()),
            'target_connections': len(self.gate.pool.connections),
        }

    def check_descriptors(self) -> None:
        """Leave callers what others do not need; log if it is scarce."""
        self.update_connection_limit()
        self.watch.record_sockets(self.count_sockets())
        self.watch.record_dropped(
            self.listener.slow_clients, self.dependencies.account
        )

    def update_connection_limit(self) -> None:
        """Let callers have the descriptors that nothing else needs now."""
        counts = self.count_sockets()
        # Idle slots of the target may be used at any time.
        target_sockets = max(
            counts['target_connections'], self.gate.target.slots
        )
        connections = self.watch.caller_connection_limit(
            counts['links'] + target_sockets
        )
        if connections != self.listener.limits.connections:
            self.listener.limits = dataclasses.replace(
                self.listener.limits, connections=connections
            )

    def render_metrics(self) -> str:
        """Return all counters, gauges and latencies as lines of text."""
        return self.dependencies.metrics.render(collect_gauges(self))

    def has_unfinished_work(self) -> bool:
        """Tell whether a request is open or an answer is not yet sent."""
        if self.count_open_requests():
            return True
        return bool(self.listener.count_unsent() or self.links.count_unsent())

    def count_open_requests(self) -> int:
        """Count requests of callers and peers that await their answer."""
        return self.listener.count_open_exchanges() + len(
            self.gate.pending_calls
        )


def create_mesh_node(
    settings: MeshSettings,
    platform: PlatformInterfaces,
    rng: random.Random,
    clock: Callable[[], float],
) -> MeshNode:
    """Build a node; ``clock`` is the time in seconds of its event loop."""
    dependencies = NodeDependencies(
        platform,
        rng,
        clock,
        create_event_log(clock),
        MeshMetrics(),
        MemoryAccount(held_bytes_limit(settings.mesh_limits.memory_mb)),
    )
    return MeshNode(settings, dependencies)
