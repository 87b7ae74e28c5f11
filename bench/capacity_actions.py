"""Actions that the capacity benchmark times.

Each function prepares its action and returns it. Only the returned action
is timed, not the preparation.
"""

import functools
import random
from collections.abc import Callable
from typing import TypeAlias

from bench import capacity_samples as samples
from bench import capacity_states as states
from bench.capacity_bytes import CODEC, make_snapshot
from ebonycleat.internal.connection.grant_messages import GrantAsk
from ebonycleat.internal.connection.log_service import LogPage, LogRecord
from ebonycleat.internal.connection.peer_messages import PeerAnswer, PeerCall
from ebonycleat.internal.process.budget_owner import BudgetOwner
from ebonycleat.internal.process.concurrency_limit import create_fixed_limit
from ebonycleat.internal.process.configuration_follower import (
    MAX_RECORDS_PER_READ,
    ConfigurationFollower,
)
from ebonycleat.internal.process.configuration_stream import ConfigurationStream
from ebonycleat.internal.process.gate import create_gate
from ebonycleat.internal.process.lease import LeaseQueries
from ebonycleat.internal.process.ownership import ClaimBasis, SlotId
from ebonycleat.internal.process.rendezvous import Member, choose_witnesses
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.process.slot_claims import (
    OwnershipSettings,
    SlotClaims,
)
from ebonycleat.internal.process.slot_ownership import SlotGained
from ebonycleat.internal.version.configuration_fold import create_fold
from ebonycleat.internal.version.snapshot import restore_view, take_snapshot

Action: TypeAlias = Callable[[], object]

ZONE = samples.ZONES[0]
# Ownership slots per node: 64 slots for each of 2,400 services and 31 zones,
# divided by 17,000 nodes.
OWNED_SLOTS = 9
SUCCESSFUL_RUN = RunOutcome(RunResult.SUCCEEDED, 0.01)


def encode_call(size: int) -> Action:
    """Encode a call whose body has ``size`` bytes."""
    message = PeerCall(samples.make_call(1, size), 1.25)
    return functools.partial(CODEC.encode, message)


def decode_call(size: int) -> Action:
    """Decode a call whose body has ``size`` bytes."""
    message = PeerCall(samples.make_call(1, size), 1.25)
    return functools.partial(CODEC.decode, CODEC.encode(message))


def encode_answer(size: int) -> Action:
    """Encode an answer whose body has ``size`` bytes."""
    message = PeerAnswer(samples.make_answer(1, size), samples.LOAD)
    return functools.partial(CODEC.encode, message)


def decode_answer(size: int) -> Action:
    """Decode an answer whose body has ``size`` bytes."""
    message = PeerAnswer(samples.make_answer(1, size), samples.LOAD)
    return functools.partial(CODEC.decode, CODEC.encode(message))


def apply_change_sets(size: int) -> Action:
    """Apply decoded change sets that each add one key."""
    fold = states.create_fold_with_teams()
    first = fold.view.offset + 1
    records = list(
        states.copy_by_codec(map(samples.make_change_set, range(size))),
    )

    def apply_all() -> None:  # noqa: WPS430 (the timed action)
        for offset, record in enumerate(records, start=first):
            fold.apply(offset, record)

    return apply_all


def replay_log(size: int) -> Action:
    """Decode and apply change sets from pages of the log."""
    teams = map(samples.make_team_change, range(samples.TEAMS))
    changes = map(samples.make_change_set, range(size))
    records = [
        LogRecord(offset, CODEC.encode(change_set))
        for offset, change_set in enumerate((*teams, *changes), start=1)
    ]
    stream = ConfigurationStream()
    pages = [
        _log_page(records[start : start + MAX_RECORDS_PER_READ])
        for start in range(0, len(records), MAX_RECORDS_PER_READ)
    ]

    def apply_pages() -> None:  # noqa: WPS430 (the timed action)
        for page in pages:
            stream.apply_log_page(page.records[0].offset, page)

    return apply_pages


def _log_page(records: list[LogRecord]) -> LogPage:
    return LogPage(tuple(records), records[-1].offset + 1, 1, at_end=False)


def _encoded_snapshot(size: int) -> bytes:
    keys = map(samples.make_key, range(size))
    return CODEC.encode(
        make_snapshot(
            teams=tuple(map(samples.make_team, range(samples.TEAMS))),
            keys=tuple(
                (bytes.fromhex(key.digest), key.team, key.changed_at)
                for key in keys
            ),
        ),
    )


def restore_snapshot(size: int) -> Action:
    """Decode a snapshot and build a configuration view from it."""
    encoded = _encoded_snapshot(size)
    return lambda: restore_view(CODEC.decode(encoded))


def write_snapshot(size: int) -> Action:
    """Take and encode a snapshot of a configuration view."""
    view = restore_view(CODEC.decode(_encoded_snapshot(size)))
    return lambda: CODEC.encode(take_snapshot(view))


def find_routes(size: int) -> Action:
    """Find routes by method and path."""
    fold = create_fold()
    states.apply_changes(map(samples.make_route_change, range(64)), fold)
    paths = [f'/service-{number % 64:04d}/v1/x/y' for number in range(size)]
    return lambda: [fold.view.find_route('GET', path) for path in paths]


def find_teams(size: int) -> Action:
    """Find the teams that own keys, by the digest of each key."""
    fold = states.create_fold_with_teams()
    states.apply_changes(map(samples.make_change_set, range(64)), fold)
    digests = [samples.make_digest(number % 64) for number in range(size)]
    return lambda: [fold.view.find_team_of_key(digest) for digest in digests]


def run_calls_through_gate(size: int) -> Action:
    """Offer calls to an idle gate; each call finishes before the next."""
    gate = create_gate(
        45,
        256,
        ZONE,
        random.Random(1),
        create_fixed_limit(45),
    )
    calls = [samples.make_call(number) for number in range(size)]

    def run_all() -> None:  # noqa: WPS430 (the timed action)
        for number, call in enumerate(calls):
            gate.offer(call, number / 1000)
            gate.finish_run(call.call_id, SUCCESSFUL_RUN, number / 1000)

    return run_all


class _AlwaysHeldLeases(LeaseQueries):
    """Leases that never expire, as for an owner whose log is healthy."""

    def is_usable(self, slot: SlotId, now: float) -> bool:
        return True

    def lease_ends_at(self, slot: SlotId, now: float) -> float:
        return now + 1

    def gained_epoch(self, slot: SlotId) -> int | None:
        return 1


def answer_grant_asks(size: int) -> Action:
    """Answer token requests (``GrantAsk``) of many nodes."""
    slot = samples.make_slot(1)
    owner = BudgetOwner(
        _AlwaysHeldLeases(),
        lambda team: slot,
        lambda team: (1e6, 1e6),
    )
    owner.handle_slot_gained(SlotGained(slot, 1, ClaimBasis.FIRST, False, 0), 0)
    requests = [
        GrantAsk(f'ask-{number}', samples.node_name(number), 'team-1', 5)
        for number in range(size)
    ]

    # Grants last 1 s: one request per 2 ms keeps about 500 grants alive.
    def answer_all() -> None:  # noqa: WPS430 (the timed action)
        for number, request in enumerate(requests):
            owner.handle_ask(request, number / 500)

    return answer_all


def make_heartbeats(size: int) -> Action:
    """Build the heartbeats of a node that owns ``size`` slots."""
    manager = states.build_held_slots(size)
    return lambda: manager.tick(0.1)


def tick_leases(members: int) -> Action:
    """Tick the leases of a node with nine slots, none of them due for renewal."""
    manager = states.build_held_slots(OWNED_SLOTS)
    manager.members = tuple(
        Member(samples.node_name(number), ZONE) for number in range(members)
    )
    for lease in manager.leases.values():
        lease.witnesses = choose_witnesses(
            lease.slot,
            manager.settings.node,
            manager.members,
        )
    return functools.partial(manager.tick, 10)


def handle_heartbeat(size: int) -> Action:
    """Let a witness promise all slots of one heartbeat."""
    witness = states.create_witness()
    heartbeat = states.make_heartbeat(size)
    return lambda: witness.handle_heartbeat(samples.node_name(1), heartbeat, 0)


def rank_members(size: int) -> Action:
    """Update the members of a zone and rank this node for its budget slots."""
    members = [
        Member(samples.node_name(number), ZONE) for number in range(size)
    ]
    fold = states.build_ownership(2)
    claims = SlotClaims(OwnershipSettings(samples.node_name(1), ZONE, 1), fold)
    return lambda: claims.update_members(members)


def tick_follower(size: int) -> Action:
    """Run the time-driven work of the configuration follower once."""
    follower = ConfigurationFollower(
        samples.node_name(1),
        random.Random(1),
        0,
    )
    follower.update_members(tuple(map(samples.node_name, range(size))))
    follower.handle_page(1, LogPage((), 1, 1, at_end=True), 0)
    return lambda: follower.tick(0.1)
