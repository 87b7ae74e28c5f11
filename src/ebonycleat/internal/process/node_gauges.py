"""Gauges of a mesh node for its metrics page."""

import typing

from ebonycleat.internal.connection.contained_errors import (
    contained_error_counts,
)
from ebonycleat.internal.process.placement.spillover_log import (
    describe_spillover,
)

if typing.TYPE_CHECKING:
    from ebonycleat.internal.process.mesh_node import MeshNode


def collect_gauges(node: 'MeshNode') -> dict[str, float]:
    """Return all gauges of a node by name."""
    return {
        **configuration_gauges(node),
        **gate_gauges(node),
        **target_gauges(node),
        **caller_gauges(node),
        **fleet_gauges(node),
        **error_gauges(),
    }


def error_gauges() -> dict[str, float]:
    """Return how many unexpected errors were contained, by place."""
    return {
        f'errors.{place.replace(" ", "_")}': count
        for place, count in sorted(contained_error_counts.items())
    }


def configuration_gauges(node: 'MeshNode') -> dict[str, float]:
    """Return the version in force and its age.

    A ``configuration.proof_age_s`` of -1 means that the version was never
    confirmed as the newest.
    """
    holder = node.fleet.configuration
    age_s = holder.proof_age_s(node.dependencies.clock())
    follower = node.background.follower
    return {
        'configuration.version': holder.version,
        'configuration.proof_age_s': -1 if age_s is None else age_s,
        'configuration.rejected': follower.rejected_configurations,
        'zones.evacuated': len(holder.evacuated.zones),
        'store.era': follower.era.number or 0,
        'store.calls': follower.store_calls
        + node.background.record_writer.store_calls,
    }


def gate_gauges(node: 'MeshNode') -> dict[str, float]:
    """Return the load, the queue and the connections of the gate."""
    mesh_gate = node.gate
    gate = mesh_gate.gate
    load = mesh_gate.load_reporter.load_for_route('')
    pool = mesh_gate.pool
    return {
        'gate.queued': load.queued,
        'gate.running': load.running,
        'gate.limit': load.limit,
        'gate.queued_late': len(gate.queue.late_ids),
        'gate.refused_early': gate.early_refusals,
        'gate.handed_back': gate.handed_back,
        'gate.connections': len(pool.connections),
        'gate.connections_opened': pool.connections_opened,
        'gate.foreign_answers': pool.unmatched_responses,
        'gate.held_bytes': pool.held_bytes,
        'gate.evacuated': int(gate.is_evacuated),
        **mesh_gate.cold_watch.gauges(),
        **{
            f'gate.failed.{kind}': count
            for kind, count in pool.failure_counts.items()
        },
    }


def target_gauges(node: 'MeshNode') -> dict[str, float]:
    """Return what is known of the speed of targets."""
    now = node.dependencies.clock()
    target_load = node.gate.load_reporter.target_load
    ratios = node.entry.components.router.uneven_ratios(now)
    return {
        'target.pace': target_load.pace_at(now),
        'target.service_s': target_load.service_s(''),
        'target.other_calls': target_load.other_calls_at(now),
        **{f'entry.ratio.{name}': ratio for name, ratio in ratios.items()},
    }


def caller_gauges(node: 'MeshNode') -> dict[str, float]:
    """Return the connections of callers and the memory that is held."""
    listener = node.listener
    account = node.dependencies.account
    return {
        'callers.connections': len(listener.connections),
        'callers.accepted': listener.accepted_connections,
        'callers.evicted': listener.evicted_connections,
        'callers.dropped': listener.dropped_connections,
        'callers.connection_limit': listener.limits.connections,
        'callers.dropped_bodies': listener.slow_clients.dropped_bodies,
        'callers.dropped_readers': listener.slow_clients.dropped_readers,
        'callers.accept_age_s': listener.accept_age_s(),
        'callers.unread_requests': listener.unread_requests,
        'memory.held_bytes': account.held_bytes,
        'memory.limit': account.limit,
        **{
            f'memory.held.{kind}': count
            for kind, count in account.describe().items()
        },
        'sockets.open': sum(node.count_sockets().values()),
        'sockets.limit': node.watch.max_descriptors,
    }


def fleet_gauges(node: 'MeshNode') -> dict[str, float]:
    """Return what is known of other nodes and zones."""
    return {
        **describe_spillover(
            node.entry.components.router, node.dependencies.clock()
        ),
        'links.open': len(node.links.links) + len(node.links.accepted),
        'members.nodes': node.fleet.members.count_serving_nodes(),
        'members.lost': len(node.fleet.members.lost_changes),
    }
