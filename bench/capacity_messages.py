"""Peer messages of a given size."""

from bench import capacity_samples as samples
from ebonycleat.internal.connection.grant_messages import (
    GrantAsk,
    GrantGiven,
    GrantReport,
)
from ebonycleat.internal.connection.lease_messages import (
    HeartbeatAck,
    RequestedSlot,
    SupportAsk,
)
from ebonycleat.internal.process.membership_messages import HubDigest


def make_heartbeat_ack(size: int) -> HeartbeatAck:
    """Build an ack that refuses ``size`` slots."""
    slots = tuple(samples.make_slot(number) for number in range(size))
    return HeartbeatAck(1_780_000_000_000, 100_000, slots)


def make_support_ask(size: int) -> SupportAsk:
    """Build a claimant's request for support for ``size`` slots."""
    return SupportAsk(
        tuple(
            RequestedSlot(samples.make_slot(number), number + 1)
            for number in range(size)
        ),
    )


def make_grant_ask(size: int) -> GrantAsk:
    """Build a request for tokens with ``size`` reports of earlier grants."""
    reports = tuple(
        GrantReport(f'100000.{number}', 12, 0) for number in range(size)
    )
    ask_id = f'{samples.node_name(1)}/1780000000000/100000'
    return GrantAsk(ask_id, samples.node_name(1), 'team-00001', 5, reports)


def make_grant_given(size: int) -> GrantGiven:
    """Build a grant of ``size`` tokens."""
    ask_id = f'{samples.node_name(1)}/1780000000000/100000'
    return GrantGiven(ask_id, '100000.100', 'team-00001', size, 0.987654)


def make_heartbeat_digest(size: int) -> HubDigest:
    """Build a digest with ``size`` heartbeats."""
    heartbeats = map(samples.make_member_heartbeat, range(size))
    return HubDigest(samples.node_name(1), tuple(heartbeats), ())


def make_summary_digest(size: int) -> HubDigest:
    """Build a digest with ``size`` zone summaries."""
    summaries = map(samples.make_zone_summary, range(size))
    return HubDigest(samples.node_name(1), (), tuple(summaries))
