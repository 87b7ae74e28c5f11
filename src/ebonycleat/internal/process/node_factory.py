"""Builds the core of a node from its settings.

The program, tests and benchmarks all build nodes with this module. They
differ only in the clock, the random generators and the transport.
"""

import dataclasses
import functools
import math
import random

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.connection.operator_messages import (
    NodeRow,
    RefusalRow,
)
from ebonycleat.internal.process.announcements import SeedNode
from ebonycleat.internal.process.budget_owner import BudgetOwner
from ebonycleat.internal.process.call_coordinator import CallCoordinator
from ebonycleat.internal.process.call_handlers import CallComponents
from ebonycleat.internal.process.configuration_component import (
    ConfigurationComponent,
)
from ebonycleat.internal.process.configuration_follower import (
    ConfigurationFollower,
)
from ebonycleat.internal.process.crash_suspects import CrashSuspects
from ebonycleat.internal.process.dedupe_adapter import (
    DedupeAdapter,
    ServiceDedupeLeases,
)
from ebonycleat.internal.process.dedupe_ingress import DedupeIngress
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.gate import create_gate
from ebonycleat.internal.process.gate_service import GateService
from ebonycleat.internal.process.grant_holder import GrantHolder
from ebonycleat.internal.process.ingress import Ingress
from ebonycleat.internal.process.log_streams import CoreComponents
from ebonycleat.internal.process.membership import Membership
from ebonycleat.internal.process.membership_component import (
    MemberDirectory,
    MembershipComponent,
)
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    MemberState,
)
from ebonycleat.internal.process.metrics import create_counters
from ebonycleat.internal.process.node_core import NodeCore
from ebonycleat.internal.process.operator_answers import NodeStatus
from ebonycleat.internal.process.operator_service import OperatorService
from ebonycleat.internal.process.ownership_adapter import OwnershipAdapter
from ebonycleat.internal.process.ownership_engine import (
    OwnershipEngine,
    create_ownership_engine,
)
from ebonycleat.internal.process.ownership_sync import OwnershipSync
from ebonycleat.internal.process.rendezvous import find_budget_slot
from ebonycleat.internal.process.request_metrics import RequestMetrics
from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.process.retry_policy import RetryPolicy
from ebonycleat.internal.process.router import create_router
from ebonycleat.internal.process.settings import NodeSettings, join_address
from ebonycleat.internal.process.slot_claims import OwnershipSettings
from ebonycleat.internal.process.started_log import GroupCommit
from ebonycleat.internal.process.state_changes import PendingStateChanges
from ebonycleat.internal.process.stream_cursor import StreamCursor
from ebonycleat.internal.process.suspect_adapter import SuspectAdapter
from ebonycleat.internal.process.token_bucket import divide_over_zones
from ebonycleat.internal.process.token_reservations import TokenReservations
from ebonycleat.internal.request.context import create_context_registry
from ebonycleat.internal.version.configuration_view import UnknownTeam
from ebonycleat.internal.version.records import ZoneWeights

CONTEXTS_PER_SLOT = 4
CACHED_ZONE_SHARES = 8192
FOLLOWED_STREAMS = (
    LogStream.MEMBERS,
    LogStream.OWNERSHIP,
    LogStream.STARTED,
    LogStream.SUSPECTS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RandomSources:
    """Random generators of a node.

    ``choices`` serves decisions such as routing and jitter. ``secrets``
    generates call contexts, which must not be guessable; a program therefore
    passes ``random.SystemRandom``. Tests pass seeded generators for both.
    """

    choices: random.Random
    secrets: random.Random


class LocalNodeStatus(NodeStatus):
    """Members and refusals that this node knows, for operators' queries."""

    def __init__(
        self,
        membership: Membership,
        metrics: RequestMetrics,
    ) -> None:
        """Read from the node's membership and metrics."""
        self.membership = membership
        self.metrics = metrics

    def list_nodes(self) -> tuple[NodeRow, ...]:
        """List the nodes that this node knows, itself included."""
        live = self.membership.table.live_by_node
        return tuple(
            NodeRow(
                member.node,
                member.zone,
                member.service,
                member.state.value if member.node in live else 'not heard',
            )
            for member in self.membership.registered_members()
        )

    def list_refusals(self) -> tuple[RefusalRow, ...]:
        """List the refusals that this node has counted since its start."""
        return tuple(
            RefusalRow(
                key.team,
                key.route,
                key.priority,
                key.zone,
                key.reason,
                count,
            )
            for key, count in self.metrics.refusals.items()
        )


class NodeBuilder:
    """Builds the components of one node in the order of dependencies.

    ``incarnation`` must be greater than at any earlier start of the node.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        randomness: RandomSources,
        now: float,
    ) -> None:
        """Build the components that others depend on."""
        self.settings = settings
        self.started_at = now
        self.state_changes = PendingStateChanges()
        self.incarnation = incarnation
        self.randomness = randomness
        self.rng = randomness.choices
        self.identity = settings.node
        self.membership = Membership(
            _announcement_of(settings, incarnation),
            seeds=tuple(
                SeedNode(address, address) for address in settings.peers.seeds
            ),
        )
        self.directory = MemberDirectory(self.membership)
        self.metrics = RequestMetrics(
            create_counters(settings.statsd),
            self.identity.zone,
        )
        self.follower = ConfigurationFollower(self.identity.id, self.rng, now)
        self.engine = self.build_engine(now)
        self.budgets = self.build_budgets()
        self.dedupe = self.build_dedupe()

    def build(self) -> NodeCore:
        """Build the remaining components and return the core."""
        identity = self.identity
        cursors = {
            stream: StreamCursor(stream, self.rng)
            for stream in FOLLOWED_STREAMS
        }
        components = CoreComponents(
            ConfigurationComponent(
                identity.zone,
                self.follower,
                self.build_operators(),
            ),
            MembershipComponent(self.membership, self.directory),
            OwnershipAdapter(
                self.engine,
                self.budgets,
                self.dedupe,
                identity.service,
                self.state_changes,
            ),
            OwnershipSync(
                self.engine,
                cursors[LogStream.OWNERSHIP],
                self.rng,
                self.started_at,
            ),
            self.build_call_coordinator(),
            cursors,
            self.state_changes,
        )
        return NodeCore(identity.id, components)

    def build_engine(self, now: float) -> OwnershipEngine:
        """Build the ownership engine."""
        identity = self.identity
        return create_ownership_engine(
            OwnershipSettings(
                identity.id,
                identity.zone,
                self.incarnation,
                (identity.service,),
            ),
            now,
        )

    def build_budgets(self) -> BudgetOwner:
        """Build the owner of token buckets for budget slots held here."""
        zone = self.identity.zone
        return BudgetOwner(
            self.engine,
            lambda team: find_budget_slot(zone, team),
            self.find_zone_share,
        )

    def find_zone_share(self, team: str) -> tuple[float, float]:
        """Return rate per second and burst of a team in this zone.

        Both come from the configuration in force; an unknown team gets 0.
        """
        settings = self.follower.view.find_team(team)
        if isinstance(settings, UnknownTeam):
            return 0, 0
        return calculate_zone_share(
            self.identity.zone,
            settings.rate_per_s,
            settings.burst,
            settings.zone_weights,
        )

    def build_dedupe(self) -> DedupeAdapter:
        """Build the owner of idempotency keys for dedupe slots held here."""
        identity = self.identity
        group_commit = GroupCommit(
            identity.id,
            self.incarnation,
            identity.service,
        )
        leases = ServiceDedupeLeases(self.engine, identity.service)
        dedupe = DedupeAdapter(DedupeOwner(group_commit, leases))
        if self.settings.log.era:
            # The restored log lacks the ids that started last.
            dedupe.record_started_gap(self.started_at)
        return dedupe

    def build_operators(self) -> OperatorService:
        """Build the service that answers operators' requests."""
        return OperatorService(
            {
                operator.key_digest: operator.name
                for operator in self.settings.operators
            },
            self.follower,
            LocalNodeStatus(self.membership, self.metrics),
        )

    def build_call_coordinator(self) -> CallCoordinator:
        """Build the coordinator of calls, with its ingress and gate."""
        identity = self.identity
        tokens = TokenReservations(self.build_holder(), self.budgets)
        ingress = Ingress(
            self.directory,
            create_router(identity.zone, identity.id, self.rng),
            RetryPolicy(RetryBudget(), self.rng),
            tokens.spend,
        )
        components = CallComponents(
            ingress,
            DedupeIngress(self.engine.fold.state_of),
            tokens,
            self.dedupe,
            self.build_gate_service(),
            self.metrics,
        )
        return CallCoordinator(identity.id, components)

    def build_holder(self) -> GrantHolder:
        """Build the holder of token grants that the ingress uses."""
        return GrantHolder(
            self.identity.id,
            self.incarnation,
            self.zones,
            lambda zone, team: self.engine.owner_of(
                find_budget_slot(zone, team)
            ),
        )

    def zones(self) -> list[str]:
        """Return the known zones, beginning with the node's own."""
        zones = {member.zone for member in self.membership.registered_members()}
        return [self.identity.zone, *sorted(zones - {self.identity.zone})]

    def build_suspects(self) -> SuspectAdapter:
        """Build the record of requests suspected of crashing targets."""
        identity = self.identity
        return SuspectAdapter(
            CrashSuspects(identity.id, self.incarnation, identity.service),
            lambda now: [
                member.node
                for member in self.directory.members_of(identity.service, now)
            ],
        )

    def build_gate_service(self) -> GateService:
        """Build the gate, which queues calls and dispatches them."""
        zone = self.identity.zone
        slots = self.settings.target.slots
        return GateService(
            create_gate(slots, self.settings.queue_length(), zone, self.rng),
            create_context_registry(
                slots * CONTEXTS_PER_SLOT,
                self.randomness.secrets,
            ),
            self.build_suspects(),
            zone,
            self.dedupe.owner.may_dispatch,
        )


def create_node_core(
    settings: NodeSettings,
    incarnation: int,
    randomness: RandomSources,
    now: float,
) -> NodeCore:
    """Build the core of a node from its settings.

    ``now`` is in seconds on the clock that the driver uses for all inputs.
    """
    return NodeBuilder(settings, incarnation, randomness, now).build()


# Cached because owners ask for a team's share with each grant that they give.
@functools.lru_cache(maxsize=CACHED_ZONE_SHARES)
def calculate_zone_share(
    zone: str,
    rate_per_s: float,
    burst: float,
    weights: ZoneWeights,
) -> tuple[float, float]:
    """Return a zone's share of a team's rate and burst.

    The shares of all zones follow ``weights``; a zone without weight gets 0.
    """
    shares = divide_over_zones(rate_per_s, math.floor(burst), dict(weights))
    return shares.get(zone, (0, 0))


def _announcement_of(settings: NodeSettings, incarnation: int) -> Announcement:
    identity = settings.node
    return Announcement(
        node=identity.id,
        incarnation=incarnation,
        zone=identity.zone,
        service=identity.service,
        peer_address=join_address(settings.peers.address, settings.peers.port),
        slots=settings.target.slots,
        state=MemberState.UP,
    )
