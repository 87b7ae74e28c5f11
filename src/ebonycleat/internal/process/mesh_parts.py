"""Builds the parts of a mesh node."""

import dataclasses
import random
from collections.abc import Callable

from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.mesh_link import LinkTable
from ebonycleat.internal.connection.mesh_ports import (
    PlatformPorts,
)
from ebonycleat.internal.process.boottime import time_of_day_ms
from ebonycleat.internal.process.concurrency_limit import DeclaredLimit
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.decision_log import (
    DecisionLog,
)
from ebonycleat.internal.process.gate import create_gate
from ebonycleat.internal.process.gate_calls import TargetWay
from ebonycleat.internal.process.member_sweep import MemberSweep
from ebonycleat.internal.process.member_writer import MemberWriter
from ebonycleat.internal.process.mesh_access import MeshAccess
from ebonycleat.internal.process.mesh_admission import MeshAdmission
from ebonycleat.internal.process.mesh_entry import EntryTools, MeshEntry
from ebonycleat.internal.process.mesh_gate import MeshGate
from ebonycleat.internal.process.mesh_members import (
    MeshMembers,
)
from ebonycleat.internal.process.mesh_metrics import MeshMetrics
from ebonycleat.internal.process.mesh_settings import MeshSettings
from ebonycleat.internal.process.own_target import OwnTarget
from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.retry_budget import (
    RetryBudget,
)
from ebonycleat.internal.process.router import create_router
from ebonycleat.internal.process.store_follower import StoreFollower
from ebonycleat.internal.process.token_exchange import TokenExchanger
from ebonycleat.internal.process.zone_leader import ZoneLeader


@dataclasses.dataclass(frozen=True, slots=True)
class NodeTools:
    """What all parts of a node use; ``clock`` is in seconds."""

    ports: PlatformPorts
    rng: random.Random
    clock: Callable[[], float]
    log: DecisionLog
    metrics: MeshMetrics


@dataclasses.dataclass(frozen=True, slots=True)
class NodeKnowledge:
    """What a node knows of the fleet."""

    holder: ConfigurationHolder
    members: MeshMembers
    quota: NodeQuotas
    budget: RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class NodeDuties:
    """What a node does beside its requests."""

    leader: ZoneLeader
    follower: StoreFollower
    writer: MemberWriter
    exchanger: TokenExchanger
    sweep: MemberSweep


def build_duties(
    settings: MeshSettings,
    tools: NodeTools,
    known: NodeKnowledge,
    links: LinkTable,
) -> NodeDuties:
    """Build what goes on beside the requests."""
    leader = ZoneLeader(
        settings.peers.text,
        settings.zone,
        known.members,
        links,
    )
    return NodeDuties(
        leader,
        StoreFollower(
            tools.ports,
            known.holder,
            known.members,
            leader,
            links,
            tools.log,
            tools.clock,
        ),
        MemberWriter(tools.ports.store, tools.log),
        TokenExchanger(
            known.quota,
            leader,
            links,
            tools.clock,
            tools.rng,
        ),
        MemberSweep(
            tools.ports.store,
            leader,
            links,
            tools.log,
            tools.clock,
        ),
    )


def build_gate(
    settings: MeshSettings,
    tools: NodeTools,
    known: NodeKnowledge,
) -> MeshGate:
    """Build the way to the target."""
    limit = DeclaredLimit()
    target = settings.target
    return MeshGate(
        create_gate(
            1,
            1,
            settings.zone,
            tools.rng,
            limit,
            sheds_by_level=False,
        ),
        limit,
        TargetWay(
            OwnTarget(settings.service),
            ConnectionPool(target.host, target.port),
            tools.ports.target,
        ),
        known.holder,
        tools.log,
        tools.clock,
        time_of_day_ms,
    )


def build_entry(
    settings: MeshSettings,
    tools: NodeTools,
    known: NodeKnowledge,
    access: MeshAccess,
    exchanger: TokenExchanger,
) -> MeshEntry:
    """Build the entry of callers."""
    return MeshEntry(
        EntryTools(
            tools.ports.callers,
            MeshAdmission(settings.peers.text, known.holder),
            access.gate.find_parent,
            exchanger,
            access,
            access.gate.costs,
            create_router(settings.zone, settings.peers.text, tools.rng),
            known.budget,
            tools.metrics,
            tools.log,
            tools.clock,
        ),
    )
