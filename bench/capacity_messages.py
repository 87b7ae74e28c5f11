"""Peer messages of a given size."""

from bench import capacity_samples as samples
from ebonycleat.internal.connection.grant_messages import (
    GrantAsk,
    GrantGiven,
    GrantReport,
)
from ebonycleat.internal.connection.lease_messages import (
    RequestedSlot,
    HeartbeatAck,
    SupportAsk,
)
from ebonycleat.internal.process.membership_messages import HubDigest


def make_heartbeat_ack(size: int) -> HeartbeatAck:
    """An ack that refuses so many slots."""
    slots = tuple(samples.make_slot(number) for number in range(size))
    return HeartbeatAck(1_780_000_000_000, 100_000, slots)


def make_support_ask(size: int) -> SupportAsk:
    """A claimant that asks about so many slots."""
    return SupportAsk(
        tuple(
            RequestedSlot(samples.make_slot(number), number + 1)
            for number in range(size)
        ),
    )


def make_grant_ask(size: int) -> GrantAsk:
    """An ask with so many reports."""
    reports = tuple(
        GrantReport(f'100000.{number}', 12, 0) for number in range(size)
    )
    ask_id = f'{samples.node_name(1)}/1780000000000/100000'
    return GrantAsk(ask_id, samples.node_name(1), 'team-00001', 5, reports)


def make_grant_given(size: int) -> GrantGiven:
    """A grant of so many tokens."""
    ask_id = f'{samples.node_name(1)}/1780000000000/100000'
    return GrantGiven(ask_id, '100000.100', 'team-00001', size, 0.987654)


def make_heartbeat_digest(size: int) -> HubDigest:
    """A digest with so many heartbeats."""
    beats = map(samples.make_member_heartbeat, range(size))
    return HubDigest(samples.node_name(1), tuple(beats), ())


def make_summary_digest(size: int) -> HubDigest:
    """A digest with so many summaries."""
    summaries = map(samples.make_zone_summary, range(size))
    return HubDigest(samples.node_name(1), (), tuple(summaries))
