"""A small fleet of whole nodes with a configuration in force."""

import types

from bench.node_world import NodeWorld, Place
from ebonycleat.internal.process.ownership import OwnershipFold
from ebonycleat.internal.request.incoming import digest_key

SURVEY_KEY = 'key-of-the-survey-team'
TRACTORS_KEY = 'key-of-the-tractor-team'

NODE_PLACES = types.MappingProxyType({
    'map-a': Place('a', 'map'),
    'map-b': Place('b', 'map'),
    'map-c': Place('c', 'map'),
    'claims-a': Place('a', 'claims'),
    'claims-b': Place('b', 'claims'),
    'claims-c': Place('c', 'claims'),
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


def start_fleet(seed: int = 1) -> NodeWorld:
    """Start the fleet, wait until slots have owners, configure it."""
    world = NodeWorld(NODE_PLACES, seed)
    world.run(4)
    apply_change(world, SETUP_COMMANDS)
    world.run(2)
    return world


def apply_change(world: NodeWorld, text: str, node: str = 'map-a') -> str:
    """Make a change through a node and wait for the answer."""
    asked = world.operate(node, text, f'change{world.requests}')
    world.run(1)
    assert world.status(asked) == 200, world.answers.get(asked)
    return asked


def get_map(world: NodeWorld, node: str, key: str = SURVEY_KEY) -> str:
    """Ask for the map through a node."""
    return world.request(node, '/map/x', authorization=f'Bearer {key}')


def post_claim(
    world: NodeWorld,
    node: str,
    idempotency_key: str,
    **headers: str,
) -> str:
    """Send a claim, which runs at most once, through a node."""
    return world.request(
        node,
        '/claims/x',
        'POST',
        authorization=f'Bearer {SURVEY_KEY}',
        idempotency_key=idempotency_key,
        **headers,
    )


def count_runs(world: NodeWorld, path: str) -> int:
    """Count the runs of a path at all targets."""
    return sum(
        call.path == path
        for node in world.nodes.values()
        for _, call in node.target.runs
    )


def find_max_runs_per_key(world: NodeWorld) -> int:
    """Return the highest number of runs of one Idempotency-Key."""
    total: dict[str, int] = {}
    for node in world.nodes.values():
        for key, count in node.target.runs_by_key.items():
            total[key] = total.get(key, 0) + count
    return max(total.values(), default=0)


def get_ownership(world: NodeWorld, node: str) -> OwnershipFold:
    """Return who owns what, as one node knows it."""
    core = world.nodes[node].core
    return core.ownership.engine.fold
