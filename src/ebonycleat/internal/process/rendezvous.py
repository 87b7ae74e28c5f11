"""Chooses which node should own a slot and which nodes should witness it.

Rendezvous hashing moves only the slots of a node that joins or leaves. Every
node computes the same proposal from the same members. It is no more than a
proposal: nodes that disagree about the members cause a rejected claim and no
other harm.
"""

import dataclasses
import functools
import itertools
from collections.abc import Iterable, Sequence

import xxhash

from ebonycleat.internal.process.ownership import BUDGET_KIND, SlotId

SLOTS_PER_SCOPE = 64
MAX_WITNESSES = 5
# The slot of a team is needed for every call; one entry per team and zone.
MAX_CACHED_SLOTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live node, its zone and the services that its target offers."""

    node: str
    zone: str
    services: tuple[str, ...] = ()


@functools.lru_cache(maxsize=MAX_CACHED_SLOTS)
def find_budget_slot(
    zone: str,
    team: str,
    slots_per_scope: int = SLOTS_PER_SCOPE,
) -> SlotId:
    """Return the budget slot that holds a team's tokens in one zone."""
    number = xxhash.xxh64_intdigest(team.encode()) % slots_per_scope
    return SlotId(BUDGET_KIND, zone, number)


def rank_nodes_for_slot(slot: SlotId, nodes: Iterable[str]) -> list[str]:
    """Order nodes by preference for a slot, the most preferred first."""
    suffix = f'|{slot.kind}|{slot.scope}|{slot.number}'.encode()
    return sorted(
        nodes,
        key=lambda node: (xxhash.xxh64_intdigest(node.encode() + suffix), node),
        reverse=True,
    )


def rank_candidates(slot: SlotId, members: Iterable[Member]) -> list[str]:
    """Order the members that may own a slot, the most preferred first."""
    return rank_nodes_for_slot(
        slot,
        [member.node for member in members if _may_own(member, slot)],
    )


def choose_witnesses(
    slot: SlotId,
    owner: str,
    members: Sequence[Member],
) -> tuple[str, ...]:
    """Choose the witnesses of an owner, an odd number of at most five.

    The witnesses of a budget slot are in its zone, so that a zone that is cut
    off continues to serve its share. Those of a dedupe slot are spread over
    the zones. The owner is not among them, because its vote would be lost
    together with it; only an owner without any peer is its own witness.
    """
    others = [member for member in members if member.node != owner]
    ranked = _rank_spread_over_zones(slot, others)
    if slot.kind == BUDGET_KIND:
        zone_of = {member.node: member.zone for member in others}
        local = [node for node in ranked if zone_of[node] == slot.scope]
        ranked = local or ranked
    count = min(MAX_WITNESSES, len(ranked))
    odd_count = count - 1 + count % 2
    return tuple(ranked[: max(odd_count, 0)]) or (owner,)


def _may_own(member: Member, slot: SlotId) -> bool:
    if slot.kind == BUDGET_KIND:
        return member.zone == slot.scope
    return slot.scope in member.services


def _rank_spread_over_zones(
    slot: SlotId,
    members: Sequence[Member],
) -> list[str]:
    zone_of = {member.node: member.zone for member in members}
    by_zone: dict[str, list[str]] = {}
    for node in rank_nodes_for_slot(slot, zone_of):
        by_zone.setdefault(zone_of[node], []).append(node)
    rounds = itertools.zip_longest(*by_zone.values())
    return [ranked for ranked in itertools.chain(*rounds) if ranked]
