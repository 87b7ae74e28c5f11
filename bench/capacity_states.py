"""Data structures of a node, filled to a given size from messages."""

from collections.abc import Iterable, Iterator
from typing import Any

from bench import capacity_samples as samples
from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.lease_messages import Heartbeat, HeldSlot
from ebonycleat.internal.process.dedupe_memory import (
    DedupeLimits,
    DedupeMemory,
    IdEntry,
)
from ebonycleat.internal.process.lease_manager import LeaseManager
from ebonycleat.internal.process.membership_messages import Announcement
from ebonycleat.internal.process.membership_table import MemberTable
from ebonycleat.internal.process.metrics import LatencyHistograms
from ebonycleat.internal.process.ownership import (
    Claim,
    ClaimAccepted,
    ClaimBasis,
    OwnershipFold,
    create_ownership_fold,
)
from ebonycleat.internal.process.slot_claims import OwnershipSettings
from ebonycleat.internal.process.started_log import (
    GroupCommit,
    StartedGroup,
    StartedIds,
)
from ebonycleat.internal.process.target_stats_table import TargetStatsTable
from ebonycleat.internal.process.team_tokens import DemandEstimate
from ebonycleat.internal.process.token_bucket import TokenBucket
from ebonycleat.internal.process.witness import Witness
from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.version.configuration_fold import (
    ConfigurationFold,
    create_fold,
)
from ebonycleat.internal.version.persistent_map import create_persistent_map
from ebonycleat.internal.version.records import ChangeSet

CODEC = create_codec(ChangeSet, Claim, Announcement, Heartbeat)
ANSWER_BYTES = 200
HASH_BYTES = 16


def copy_by_codec(messages: Iterable[object]) -> Iterator[Any]:
    """Encode and decode each message, so that no two share a string object."""
    for message in messages:
        yield CODEC.decode(CODEC.encode(message))


def apply_changes(
    changes: Iterable[ChangeSet],
    fold: ConfigurationFold,
) -> ConfigurationFold:
    """Apply change sets at the next offsets."""
    for change_set in copy_by_codec(changes):
        fold.apply(fold.view.offset + 1, change_set)
    return fold


def create_fold_with_teams() -> ConfigurationFold:
    """Create a fold with the teams that own the sample keys."""
    teams = map(samples.make_team_change, range(samples.TEAMS))
    return apply_changes(teams, create_fold())


def build_keys(size: int) -> object:
    """Build a map of active keys, as a configuration view holds it."""
    keys = map(samples.make_key, range(size))
    return create_persistent_map((key.digest, key) for key in keys)


def build_teams(size: int) -> object:
    """Build a map of teams that were decoded from change sets."""
    changes = copy_by_codec(map(samples.make_team_change, range(size)))
    teams = (change_set.changes[0] for change_set in changes)
    return create_persistent_map((team.team, team) for team in teams)


def build_routes(size: int) -> object:
    """Build a map of routes that were decoded from change sets."""
    changes = copy_by_codec(map(samples.make_route_change, range(size)))
    routes = (change_set.changes[0] for change_set in changes)
    return create_persistent_map((route.route, route) for route in routes)


def build_operations(size: int) -> object:
    """Build the map of decided change sets, which detects duplicates."""
    operations = map(samples.make_operation, range(size))
    return create_persistent_map(
        (operation.operation_id, operation) for operation in operations
    )


def build_members(size: int) -> object:
    """Build the member table of a node that has read the members stream."""
    members = MemberTable()
    for announcement in copy_by_codec(
        map(samples.make_announcement, range(size))
    ):
        members.apply_announcement(announcement)
    return members


def build_ownership(size: int) -> OwnershipFold:
    """Build a fold of the ownership stream in which each slot has an owner."""
    fold = create_ownership_fold()
    claims = copy_by_codec(map(samples.make_claim, range(size)))
    for offset, claim in enumerate(claims, start=1):
        fold.apply(offset, claim)
    return fold


def build_held_slots(size: int) -> LeaseManager:
    """Build the leases of a node that owns ``size`` slots."""
    held = LeaseManager(
        OwnershipSettings(samples.node_name(1), samples.ZONES[0], 1),
    )
    claims = copy_by_codec(map(samples.make_claim, range(size)))
    for offset, claim in enumerate(claims, start=1):
        accepted = ClaimAccepted(
            claim, offset, ClaimBasis.FIRST, unlogged=False
        )
        held.add_lease(accepted, 0)
    return held


def make_heartbeat(size: int) -> Heartbeat:
    """Build a heartbeat that carries ``size`` slots."""
    held = tuple(
        HeldSlot(samples.make_slot(number), number + 1, unlogged=False)
        for number in range(size)
    )
    return Heartbeat(1_780_000_000_000, 1, 1, held)


def create_witness() -> Witness:
    """Create a witness that has read the log and may promise any slot."""
    witness = Witness(create_ownership_fold(), 0)
    witness.mark_log_read()
    return witness


def build_promises(size: int) -> object:
    """Build a witness that has promised ``size`` slots."""
    witness = create_witness()
    (heartbeat,) = copy_by_codec([make_heartbeat(size)])  # noqa: WPS460 (one)
    witness.handle_heartbeat(samples.node_name(1), heartbeat, 0)
    return witness


def build_started_ids(size: int) -> object:
    """Build the ids that another owner of a service wrote to the log."""
    own = GroupCommit(samples.node_name(1), 1, 'service-0001')
    started = StartedIds(own, retention_s=600, max_ids=size)
    hashes = b''.join(
        bytes.fromhex(samples.make_digest(number))[:HASH_BYTES]
        for number in range(size)
    )
    group = StartedGroup('id', samples.node_name(2), 1, 'service-0001', hashes)
    started.add_groups([group], 0)
    return started


def build_kept_answers(size: int) -> object:
    """Build the ids that an owner stores, each with an answer of 200 bytes."""
    memory = DedupeMemory(DedupeLimits())
    for number in range(size):
        id_hash = bytes.fromhex(samples.make_digest(number))[:HASH_BYTES]
        entry = IdEntry(id_hash, number % 64)
        memory.entries[id_hash] = entry
        answer = samples.make_answer(number, ANSWER_BYTES)
        memory.store_answer(entry, answer, 0)
    return memory


def build_buckets(size: int) -> object:
    """Build the token buckets of an owner that has given no grants."""
    return {
        samples.team_name(number): TokenBucket((100, 200), 0, 0)
        for number in range(size)
    }


def build_estimates(size: int) -> object:
    """Build the demand estimates of an ingress, one per team."""
    return {
        samples.team_name(number): DemandEstimate() for number in range(size)
    }


def build_target_records(size: int) -> object:
    """Build the statistics of targets that never failed."""
    records = TargetStatsTable()
    for number in range(size):
        records.stats_of(samples.node_name(number))
    return records


def build_histograms(size: int) -> object:
    """Build latency histograms: one priority class per team, one value each."""
    histograms = LatencyHistograms()
    for number in range(size):
        histograms.record(samples.team_name(number), Priority.NORMAL, 0.01)
    return histograms
