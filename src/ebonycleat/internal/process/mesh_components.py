"""Builds the components of a mesh node."""

import dataclasses
import random
from collections.abc import Callable

from ebonycleat.internal.connection.byte_account import MemoryAccount
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.mesh_link import LinkPool
from ebonycleat.internal.connection.platform_interfaces import (
    PlatformInterfaces,
)
from ebonycleat.internal.process.clocks import unix_time_ms
from ebonycleat.internal.process.concurrency_limit import DeclaredLimit
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.event_log import (
    EventLog,
)
from ebonycleat.internal.process.gate import create_gate
from ebonycleat.internal.process.gate_calls import TargetChannel
from ebonycleat.internal.process.local_target import LocalTarget
from ebonycleat.internal.process.lost_member_records import (
    LostMemberRecords,
)
from ebonycleat.internal.process.member_record_writer import MemberRecordWriter
from ebonycleat.internal.process.mesh_admission import MeshAdmission
from ebonycleat.internal.process.mesh_entry import EntryComponents, MeshEntry
from ebonycleat.internal.process.mesh_gate import MeshGate
from ebonycleat.internal.process.mesh_gate_client import MeshGateClient
from ebonycleat.internal.process.mesh_members import (
    MeshMembers,
)
from ebonycleat.internal.process.mesh_metrics import MeshMetrics
from ebonycleat.internal.process.mesh_settings import MeshSettings
from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.placement.spillover_log import SpilloverLog
from ebonycleat.internal.process.retry_budget import (
    RetryBudget,
)
from ebonycleat.internal.process.router import create_router
from ebonycleat.internal.process.store_follower import StoreFollower
from ebonycleat.internal.process.token_exchange import TokenExchanger
from ebonycleat.internal.process.token_holders import TokenHolders
from ebonycleat.internal.process.unreachable_member_sweep import (
    UnreachableMemberSweep,
)
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice


@dataclasses.dataclass(frozen=True, slots=True)
class NodeDependencies:
    """Dependencies that the components share; ``clock`` returns seconds.

    ``account`` counts the bytes that all connections hold.
    """

    platform: PlatformInterfaces
    rng: random.Random
    clock: Callable[[], float]
    log: EventLog
    metrics: MeshMetrics
    account: MemoryAccount


@dataclasses.dataclass(frozen=True, slots=True)
class FleetState:
    """State that depends on the whole fleet, as this node knows it.

    ``quotas`` and ``retry_budget`` hold this node's parts of the limits that
    apply to all nodes together.
    """

    configuration: ConfigurationHolder
    members: MeshMembers
    quotas: NodeQuotas
    retry_budget: RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class BackgroundComponents:
    """Components that work in the background, not on single requests."""

    leader: ZoneLeaderChoice
    follower: StoreFollower
    record_writer: MemberRecordWriter
    lost_records: LostMemberRecords
    token_exchanger: TokenExchanger
    member_sweep: UnreachableMemberSweep


def build_background_components(
    settings: MeshSettings,
    dependencies: NodeDependencies,
    fleet: FleetState,
    links: LinkPool,
) -> BackgroundComponents:
    """Build the components whose tasks the runner starts."""
    leader = ZoneLeaderChoice(
        settings.peers.host_port,
        settings.zone,
        fleet.members,
        links,
    )
    return BackgroundComponents(
        leader,
        StoreFollower(
            dependencies.platform,
            fleet.configuration,
            leader,
            links,
            dependencies.log,
            dependencies.clock,
            settings.mesh_limits.propagation_s,
        ),
        MemberRecordWriter(
            dependencies.platform.store, dependencies.log, unix_time_ms
        ),
        LostMemberRecords(
            dependencies.platform.store,
            leader,
            dependencies.log,
            dependencies.clock,
        ),
        TokenExchanger(
            fleet.quotas,
            TokenHolders(fleet.quotas, leader, links),
            links,
            dependencies.clock,
            dependencies.rng,
        ),
        UnreachableMemberSweep(
            dependencies.platform.store,
            leader,
            links,
            dependencies.log,
            dependencies.clock,
        ),
    )


def build_gate(
    settings: MeshSettings,
    dependencies: NodeDependencies,
    fleet: FleetState,
) -> MeshGate:
    """Build the gate, which queues calls and dispatches them to the target.

    It starts with room for one call; the target declares its slots later.
    """
    limit = DeclaredLimit()
    target = settings.target
    return MeshGate(
        create_gate(
            1,
            1,
            settings.zone,
            dependencies.rng,
            limit,
            sheds_by_level=False,
        ),
        limit,
        TargetChannel(
            LocalTarget(settings.service),
            ConnectionPool(target.host, target.port, dependencies.account),
            dependencies.platform.target,
        ),
        fleet.configuration,
        dependencies.log,
        dependencies.clock,
        unix_time_ms,
    )


def build_entry(
    settings: MeshSettings,
    dependencies: NodeDependencies,
    fleet: FleetState,
    gate_client: MeshGateClient,
    exchanger: TokenExchanger,
) -> MeshEntry:
    """Build the entry, which admits callers' requests and routes them."""
    router = create_router(
        settings.zone,
        settings.peers.host_port,
        dependencies.rng,
        fleet.configuration.evacuated,
    )
    router.spillover.is_enabled = settings.has_zone_spillover
    router.spillover.on_change = SpilloverLog(dependencies.log).write
    return MeshEntry(
        EntryComponents(
            dependencies.platform.callers,
            MeshAdmission(settings.peers.host_port, fleet.configuration),
            gate_client.gate.find_parent,
            exchanger,
            gate_client,
            gate_client.gate.call_counts,
            router,
            fleet.retry_budget,
            dependencies.metrics,
            dependencies.log,
            dependencies.clock,
        ),
    )
