"""Requests that wait a moment for a token of their team."""

import random

from ebonycleat.internal.connection.mesh_link import LinkPool
from ebonycleat.internal.connection.mesh_messages import Hello
from ebonycleat.internal.process.mesh_members import MeshMembers
from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.token_exchange import (
    MAX_TOKEN_WAIT_S,
    TokenExchanger,
)
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice
from ebonycleat.internal.version.mesh_configuration import MeshTeam
from tests.mesh_fakes import ManualClock

LEADER = '127.0.0.1:1'


def create_exchanger(clock):
    """A node that has just started: the number of nodes is not known yet.

    Its leader cannot be reached, so no token comes.
    """
    links = LinkPool(None, Hello('own', 'maps'), clock)
    links.request_link = lambda address, on_link: None
    leader = ZoneLeaderChoice('own', 'a', MeshMembers(), links)
    leader.choose_leader = lambda now: LEADER
    quota = NodeQuotas()
    quota.set_teams((MeshTeam('shop', (), rate_per_s=1, burst=1),), clock())
    return TokenExchanger(quota, leader, links, clock, random.Random(1))


def test_a_request_that_begins_to_wait_wakes_the_node():
    """Guards against answers that a sleeping node holds back."""
    clock = ManualClock()
    exchanger = create_exchanger(clock)
    woken = []
    exchanger.on_waiting = lambda: woken.append(exchanger.has_waiters())
    exchanger.acquire('shop', lambda granted: None)
    assert woken == [True]


def test_a_request_without_a_token_is_refused_after_its_wait():
    """Guards against requests held until their caller gives up.

    A node that knew the configuration before the members failed here, and
    its caller's connection was closed without an answer.
    """
    clock = ManualClock()
    exchanger = create_exchanger(clock)
    decided = []
    exchanger.acquire('shop', decided.append)
    exchanger.tick()
    assert not decided
    clock.now += MAX_TOKEN_WAIT_S
    exchanger.tick()
    assert decided == [False]
    assert not exchanger.has_waiters()
