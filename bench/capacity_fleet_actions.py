"""Timed actions of a node core whose member table holds a given fleet."""

import functools
import random

from bench import capacity_samples as samples
from bench.capacity_actions import ZONE, Action
from ebonycleat.internal.process.node_core import NodeCore
from ebonycleat.internal.process.node_factory import (
    RandomSources,
    create_node_core,
)
from ebonycleat.internal.process.settings import (
    CallersSettings,
    LogServiceSettings,
    NodeIdentity,
    NodeSettings,
    PeersSettings,
    TargetSettings,
)

SERVICE = 'service-0001'
SETTINGS = NodeSettings(
    node=NodeIdentity(id='vm-1', zone=ZONE, service=SERVICE),
    callers=CallersSettings(address='127.0.0.1', port=8000),
    peers=PeersSettings(address='127.0.0.1', port=7000),
    target=TargetSettings(host='127.0.0.1', port=9000, slots=45),
    log=LogServiceSettings(base_url='http://127.0.0.1:9200'),
)
STARTED_AT = 100.0


def create_core(fleet: int) -> NodeCore:
    """Create a core that knows a fleet and gets the heartbeats of its zone."""
    randomness = RandomSources(random.Random(1), random.Random(2))
    core = create_node_core(SETTINGS, 1, randomness, STARTED_AT)
    table = core.members.membership.table
    for number in range(fleet):
        announcement = samples.make_announcement(number)
        table.apply_announcement(announcement)
        if announcement.zone == ZONE:
            table.apply_heartbeat(
                samples.make_member_heartbeat(number), STARTED_AT
            )
    core.control_tick(STARTED_AT)
    core.control_tick(STARTED_AT)
    return core


def tick_calls(size: int) -> Action:
    """Tick the calls and tokens of an idle node ``size`` times."""
    coordinator = create_core(8).call_coordinator

    def tick_all() -> None:  # noqa: WPS430 (the timed action)
        for number in range(size):
            list(coordinator.tick(STARTED_AT + number / 50))

    return tick_all


def tick_control(fleet: int) -> Action:
    """Run one control tick of an idle node."""
    core = create_core(fleet)
    return functools.partial(core.control_tick, STARTED_AT + 0.1)


def apply_membership_change(fleet: int) -> Action:
    """Run the control tick after one node has announced itself."""
    core = create_core(fleet)
    core.members.membership.table.apply_announcement(
        samples.make_announcement(fleet)
    )
    return functools.partial(core.control_tick, STARTED_AT + 0.1)


def look_up_members(fleet: int) -> Action:
    """Look up a service, as the first call after each control tick does."""
    directory = create_core(fleet).members.directory
    return functools.partial(directory.look_up, SERVICE, STARTED_AT)
