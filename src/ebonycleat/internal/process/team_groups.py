"""Divides teams into groups, each of which has one holder of tokens.

All nodes divide teams and order zones in the same way, so they agree on the
holder of a group without messages, as long as they reach the same nodes.
"""

import functools
from collections.abc import Iterable

import xxhash

GROUP_COUNT = 4
"""Several holders share the work. With more of them each node would exchange
messages with more holders."""

MAX_CACHED_TEAMS = 4096


@functools.lru_cache(maxsize=MAX_CACHED_TEAMS)
def group_of_team(team: str) -> int:
    """Return the number of a team's group, from 0 on."""
    return xxhash.xxh64_intdigest(team.encode()) % GROUP_COUNT


def order_zones(group: int, zones: Iterable[str]) -> list[str]:
    """Return the zones in the order in which they may hold a group's tokens."""
    return sorted(
        zones,
        key=lambda zone: (
            xxhash.xxh64_intdigest(f'{group}|{zone}'.encode()),
            zone,
        ),
    )
