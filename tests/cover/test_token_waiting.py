"""Requests that wait a short time for a token of their team."""

import random

from ebonycleat.internal.connection.mesh_link import LinkPool
from ebonycleat.internal.connection.mesh_messages import Hello
from ebonycleat.internal.process.mesh_members import MeshMembers
from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.token_exchange import (
    MAX_TOKEN_WAIT_S,
    MIN_TOKEN_WAIT_S,
    TokenExchanger,
)
from ebonycleat.internal.process.token_holders import TokenHolders
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice
from ebonycleat.internal.version.mesh_configuration import MeshTeam
from tests.mesh_fakes import ManualClock

HOLDER = '127.0.0.1:1'


def create_exchanger(clock):
    """Return the exchanger of a node that does not know the node count yet.

    The holder cannot be reached, so it receives no tokens.
    """
    links = LinkPool(None, Hello('own', 'maps'), clock)
    links.request_link = lambda address, on_link: None
    quota = NodeQuotas()
    quota.set_teams((MeshTeam('shop', (), rate_per_s=1, burst=1),), clock())
    leader = ZoneLeaderChoice('own', 'a', MeshMembers(), links)
    holders = TokenHolders(quota, leader, links)
    holders.find_holder = lambda group, now: HOLDER
    return TokenExchanger(quota, holders, links, clock, random.Random(1))


def test_a_request_that_begins_to_wait_wakes_the_node():
    """Guards against answers delayed because the loop of the node sleeps."""
    clock = ManualClock()
    exchanger = create_exchanger(clock)
    woken = []
    exchanger.on_waiting = lambda: woken.append(exchanger.has_waiters())
    exchanger.acquire('shop', lambda granted: None)
    assert woken == [True]


def test_a_request_without_a_token_is_refused_after_its_wait():
    """Guards against requests held until their caller gives up.

    A node that had read the configuration but not yet the members failed in
    this case, and closed the connection of the caller without an answer.
    """
    clock = ManualClock()
    exchanger = create_exchanger(clock)
    decisions = []
    exchanger.acquire('shop', decisions.append)
    exchanger.tick()
    assert not decisions
    clock.now += MAX_TOKEN_WAIT_S
    exchanger.tick()
    assert decisions == [False]
    assert not exchanger.has_waiters()


def test_requests_of_a_team_beyond_its_rate_wait_only_shortly():
    """Guards against holding requests that wait in vain.

    One of them is behind a request that still has a longer wait.
    """
    clock = ManualClock()
    exchanger = create_exchanger(clock)
    decisions = []
    exchanger.acquire('shop', lambda granted: decisions.append('first'))
    exchanger.wait_queues['shop'].refused = 5
    exchanger.acquire('shop', lambda granted: decisions.append('second'))
    clock.now += MIN_TOKEN_WAIT_S
    exchanger.tick()
    assert decisions == ['second']
    clock.now += MAX_TOKEN_WAIT_S
    exchanger.tick()
    assert decisions == ['second', 'first']
