"""What the capacity slopes time: each function prepares one action.

Preparation is not timed; the action that it returns is.
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
# 64 slots for each of 2,400 services and 31 zones, over 17,000 nodes.
OWNED_SLOTS = 9
RUN = RunOutcome(RunResult.SUCCEEDED, 0.01)


def encode_call(size: int) -> Action:
    """Encode a call with a body of so many bytes."""
    message = PeerCall(samples.make_call(1, size), 1.25)
    return functools.partial(CODEC.encode, message)


def decode_call(size: int) -> Action:
    """Decode it again."""
    message = PeerCall(samples.make_call(1, size), 1.25)
    return functools.partial(CODEC.decode, CODEC.encode(message))


def encode_answer(size: int) -> Action:
    """Encode an answer with a body of so many bytes."""
    message = PeerAnswer(samples.make_answer(1, size), samples.LOAD)
    return functools.partial(CODEC.encode, message)


def decode_answer(size: int) -> Action:
    """Decode it again."""
    message = PeerAnswer(samples.make_answer(1, size), samples.LOAD)
    return functools.partial(CODEC.decode, CODEC.encode(message))


def apply_change_sets(size: int) -> Action:
    """Apply decoded change sets of one key each."""
    fold = states.create_fold_with_teams()
    first = fold.view.offset + 1
    records = list(
        states.copy_by_codec(map(samples.make_change_set, range(size))),
    )

    def apply_all() -> None:  # noqa: WPS430 (what is timed)
        for offset, record in enumerate(records, start=first):
            fold.apply(offset, record)

    return apply_all


def replay_log(size: int) -> Action:
    """Decode and apply change sets as the log gives them."""
    teams = map(samples.make_team_change, range(samples.TEAMS))
    changes = map(samples.make_change_set, range(size))
    records = [
        LogRecord(offset, CODEC.encode(change_set))
        for offset, change_set in enumerate((*teams, *changes), start=1)
    ]
    stream = ConfigurationStream()
    pages = [
        _page(records[start : start + MAX_RECORDS_PER_READ])
        for start in range(0, len(records), MAX_RECORDS_PER_READ)
    ]

    def take_all() -> None:  # noqa: WPS430 (what is timed)
        for page in pages:
            stream.apply_log_page(page.records[0].offset, page)

    return take_all


def _page(records: list[LogRecord]) -> LogPage:
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
    """Decode a snapshot and build the view."""
    encoded = _encoded_snapshot(size)
    return lambda: restore_view(CODEC.decode(encoded))


def write_snapshot(size: int) -> Action:
    """Write a view as an encoded snapshot."""
    view = restore_view(CODEC.decode(_encoded_snapshot(size)))
    return lambda: CODEC.encode(take_snapshot(view))


def find_routes(size: int) -> Action:
    """Find routes by method and path."""
    fold = create_fold()
    states.apply_changes(map(samples.make_route_change, range(64)), fold)
    paths = [f'/service-{number % 64:04d}/v1/x/y' for number in range(size)]
    return lambda: [fold.view.find_route('GET', path) for path in paths]


def find_teams(size: int) -> Action:
    """Find the teams of keys."""
    fold = states.create_fold_with_teams()
    states.apply_changes(map(samples.make_change_set, range(64)), fold)
    digests = [samples.make_digest(number % 64) for number in range(size)]
    return lambda: [fold.view.find_team_of_key(digest) for digest in digests]


def run_calls_through_gate(size: int) -> Action:
    """Offer calls to an idle gate; each finishes at once."""
    gate = create_gate(
        45,
        256,
        ZONE,
        random.Random(1),
        create_fixed_limit(45),
    )
    calls = [samples.make_call(number) for number in range(size)]

    def run_all() -> None:  # noqa: WPS430 (what is timed)
        for number, call in enumerate(calls):
            gate.offer(call, number / 1000)
            gate.finish_run(call.call_id, RUN, number / 1000)

    return run_all


class _HeldForever(LeaseQueries):
    """Leases as an owner with a healthy log has them."""

    def is_usable(self, slot: SlotId, now: float) -> bool:
        return True

    def lease_ends_at(self, slot: SlotId, now: float) -> float:
        return now + 1

    def gained_epoch(self, slot: SlotId) -> int | None:
        return 1


def answer_grant_asks(size: int) -> Action:
    """Answer asks of many holders."""
    slot = samples.make_slot(1)
    owner = BudgetOwner(
        _HeldForever(),
        lambda team: slot,
        lambda team: (1e6, 1e6),
    )
    owner.handle_slot_gained(SlotGained(slot, 1, ClaimBasis.FIRST, False, 0), 0)
    asks = [
        GrantAsk(f'ask-{number}', samples.node_name(number), 'team-1', 5)
        for number in range(size)
    ]

    # One ask per 2 ms keeps about 500 grants alive, each for a second.
    def answer_all() -> None:  # noqa: WPS430 (what is timed)
        for number, ask in enumerate(asks):
            owner.handle_ask(ask, number / 500)

    return answer_all


def make_heartbeats(size: int) -> Action:
    """Compose the heartbeats of a node with so many slots."""
    held = states.build_held_slots(size)
    return lambda: held.tick(0.1)


def tick_leases(members: int) -> Action:
    """A tick of a node that owns nine slots, without a renewal."""
    held = states.build_held_slots(OWNED_SLOTS)
    held.members = tuple(
        Member(samples.node_name(number), ZONE) for number in range(members)
    )
    for lease in held.leases.values():
        lease.witnesses = choose_witnesses(
            lease.slot,
            held.settings.node,
            held.members,
        )
    return functools.partial(held.tick, 10)


def handle_heartbeat(size: int) -> Action:
    """Promise all slots of one heartbeat."""
    book = states.create_witness()
    heartbeat = states.make_heartbeat(size)
    return lambda: book.handle_heartbeat(samples.node_name(1), heartbeat, 0)


def rank_members(size: int) -> Action:
    """Rank this node for the budget slots of its zone."""
    members = [
        Member(samples.node_name(number), ZONE) for number in range(size)
    ]
    fold = states.build_ownership(2)
    claims = SlotClaims(OwnershipSettings(samples.node_name(1), ZONE, 1), fold)
    return lambda: claims.update_members(members)


def tick_follower(size: int) -> Action:
    """What time alone makes due for the configuration."""
    follower = ConfigurationFollower(
        samples.node_name(1),
        random.Random(1),
        0,
    )
    follower.update_members(tuple(map(samples.node_name, range(size))))
    follower.handle_page(1, LogPage((), 1, 1, at_end=True), 0)
    return lambda: follower.tick(0.1)
