"""A small fleet of whole nodes with a configuration in force."""

import types

from bench.node_simulation import NodePlacement, NodeSimulation
from ebonycleat.internal.process.ownership import OwnershipFold
from ebonycleat.internal.request.incoming import digest_key

KEY = 'key-of-the-survey-team'
OTHER_KEY = 'key-of-the-tractor-team'

PLACES = types.MappingProxyType({
    'map-a': NodePlacement('a', 'map'),
    'map-b': NodePlacement('b', 'map'),
    'map-c': NodePlacement('c', 'map'),
    'claims-a': NodePlacement('a', 'claims'),
    'claims-b': NodePlacement('b', 'claims'),
    'claims-c': NodePlacement('c', 'claims'),
})

SET_UP = (
    'create team survey rate 90 burst 60 zones a, b, c; '
    'create team tractors rate 90 burst 60 zones a, b, c; '
    f'create key {digest_key(KEY)} for team survey; '
    f'create key {digest_key(OTHER_KEY)} for team tractors; '
    'create route map to map methods GET, POST path /map priority critical '
    'retries 2 timeout 2000 ms idempotent; '
    'create route claims to claims methods POST path /claims priority high '
    'timeout 8000 ms'
)


def create_world(seed: int = 1) -> NodeSimulation:
    """Start the fleet, wait until slots have owners, configure it."""
    world = NodeSimulation(PLACES, seed)
    world.run(4)
    change(world, SET_UP)
    world.run(2)
    return world


def change(world: NodeSimulation, text: str, node: str = 'map-a') -> str:
    """Make a change through a node and wait for the answer."""
    asked = world.submit_operator_command(node, text, f'change{world.requests}')
    world.run(1)
    assert world.status(asked) == 200, world.answers.get(asked)
    return asked


def get_map(world: NodeSimulation, node: str, key: str = KEY) -> str:
    """Ask for the map through a node."""
    return world.request(node, '/map/x', authorization=f'Bearer {key}')


def post_claim(
    world: NodeSimulation,
    node: str,
    idempotency_key: str,
    **headers: str,
) -> str:
    """Send a claim, which runs at most once, through a node."""
    return world.request(
        node,
        '/claims/x',
        'POST',
        authorization=f'Bearer {KEY}',
        idempotency_key=idempotency_key,
        **headers,
    )


def runs_of(world: NodeSimulation, path: str) -> int:
    """Count the runs of a path at all targets."""
    return sum(
        call.path == path
        for node in world.nodes.values()
        for _, call in node.target.runs
    )


def most_runs_of_a_key(world: NodeSimulation) -> int:
    """Return the highest number of runs of one Idempotency-Key."""
    total: dict[str, int] = {}
    for node in world.nodes.values():
        for key, count in node.target.runs_by_key.items():
            total[key] = total.get(key, 0) + count
    return max(total.values(), default=0)


def ownership_of(world: NodeSimulation, node: str) -> OwnershipFold:
    """Return who owns what, as one node knows it."""
    core = world.nodes[node].core
    return core.ownership.engine.fold
