"""A simulated fleet of six complete nodes with an active configuration."""

import types

from bench.node_simulation import NodePlacement, NodeSimulation
from ebonycleat.internal.process.ownership import OwnershipFold
from ebonycleat.internal.request.incoming import digest_key

SURVEY_KEY = 'key-of-the-survey-team'
TRACTORS_KEY = 'key-of-the-tractor-team'

NODE_PLACES = types.MappingProxyType({
    'map-a': NodePlacement('a', 'map'),
    'map-b': NodePlacement('b', 'map'),
    'map-c': NodePlacement('c', 'map'),
    'claims-a': NodePlacement('a', 'claims'),
    'claims-b': NodePlacement('b', 'claims'),
    'claims-c': NodePlacement('c', 'claims'),
})

SETUP_COMMANDS = (
    'create team survey rate 90 burst 60 zones a, b, c; '
    'create team tractors rate 90 burst 60 zones a, b, c; '
    f'create key {digest_key(SURVEY_KEY)} for team survey; '
    f'create key {digest_key(TRACTORS_KEY)} for team tractors; '
    'create route map to map methods GET, POST path /map priority critical '
    'retries 2 timeout 2000 ms idempotent; '
    'create route claims to claims methods POST path /claims priority high '
    'timeout 8000 ms'
)


def start_fleet(seed: int = 1) -> NodeSimulation:
    """Start the nodes, wait until all slots have owners, and configure them."""
    world = NodeSimulation(NODE_PLACES, seed)
    world.run(4)
    apply_change(world, SETUP_COMMANDS)
    world.run(2)
    return world


def apply_change(world: NodeSimulation, text: str, node: str = 'map-a') -> str:
    """Apply a configuration change through a node; check that it succeeded."""
    request_id = world.submit_operator_command(
        node, text, f'change{world.requests}'
    )
    world.run(1)
    assert world.status(request_id) == 200, world.answers.get(request_id)
    return request_id


def get_map(world: NodeSimulation, node: str, key: str = SURVEY_KEY) -> str:
    """Start a GET request for the map at a node, and return its id."""
    return world.request(node, '/map/x', authorization=f'Bearer {key}')


def post_claim(
    world: NodeSimulation,
    node: str,
    idempotency_key: str,
    **headers: str,
) -> str:
    """Start a POST request at a node, and return its id.

    The request runs at most once for each Idempotency-Key.
    """
    return world.request(
        node,
        '/claims/x',
        'POST',
        authorization=f'Bearer {SURVEY_KEY}',
        idempotency_key=idempotency_key,
        **headers,
    )


def count_runs(world: NodeSimulation, path: str) -> int:
    """Count how often targets ran requests for a path."""
    return sum(
        call.path == path
        for node in world.nodes.values()
        for _, call in node.target.runs
    )


def find_max_runs_per_key(world: NodeSimulation) -> int:
    """Return the highest number of runs for the same Idempotency-Key."""
    runs_by_key: dict[str, int] = {}
    for node in world.nodes.values():
        for key, count in node.target.runs_by_key.items():
            runs_by_key[key] = runs_by_key.get(key, 0) + count
    return max(runs_by_key.values(), default=0)


def get_ownership(world: NodeSimulation, node: str) -> OwnershipFold:
    """Return the owners of all slots as one node knows them."""
    core = world.nodes[node].core
    return core.ownership.engine.fold
