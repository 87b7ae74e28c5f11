"""Which node should own a slot, and which nodes should vouch for its owner.

Rendezvous hashing moves only the slots of a node that leaves. Every node
computes the same proposal from the same members; it is only a proposal, so
nodes that disagree about the members cost a rejected claim and nothing else.
"""

import dataclasses
import functools
import itertools
from collections.abc import Iterable, Sequence

import xxhash

from ebonycleat.internal.process.ownership import BUDGET_KIND, SlotId

SLOTS_PER_SCOPE = 64
MAX_WITNESSES = 5
# Asked for on every call; one entry per team and zone.
CACHED_TEAMS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One live node, its zone and the services of its target."""

    node: str
    zone: str
    services: tuple[str, ...] = ()


@functools.lru_cache(maxsize=CACHED_TEAMS)
def find_budget_slot(
    zone: str,
    team: str,
    slots_per_scope: int = SLOTS_PER_SCOPE,
) -> SlotId:
    """Name the budget slot that holds a team's tokens in one zone."""
    number = xxhash.xxh64_intdigest(team.encode()) % slots_per_scope
    return SlotId(BUDGET_KIND, zone, number)


def rank_nodes(slot: SlotId, nodes: Iterable[str]) -> list[str]:
    """Order nodes by preference for a slot, the most preferred first."""
    suffix = f'|{slot.kind}|{slot.scope}|{slot.number}'.encode()
    return sorted(
        nodes,
        key=lambda node: (xxhash.xxh64_intdigest(node.encode() + suffix), node),
        reverse=True,
    )


def rank_candidates(slot: SlotId, members: Iterable[Member]) -> list[str]:
    """Order the members that may own a slot, the most preferred first."""
    return rank_nodes(
        slot,
        [member.node for member in members if _may_own(member, slot)],
    )


def choose_witnesses(
    slot: SlotId,
    owner: str,
    members: Sequence[Member],
) -> tuple[str, ...]:
    """Choose the witnesses of an owner, an odd number of up to five.

    A budget slot takes them from its zone, so that a zone that is cut off
    keeps serving its part. A dedupe slot spreads them over the zones. The
    owner is left out, because its own vote would be lost together with it;
    an owner without any peer vouches for itself.
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
    for node in rank_nodes(slot, zone_of):
        by_zone.setdefault(zone_of[node], []).append(node)
    rounds = itertools.zip_longest(*by_zone.values())
    return [ranked for ranked in itertools.chain(*rounds) if ranked]
