"""Tries per root request when every hop of a deep chain fails."""

from bench.policy_clients import Flow
from bench.policy_figures import Figure
from bench.policy_layer import LayerSystem
from bench.policy_sites import (
    RETRY_LIMIT,
    TIMEOUT_S,
    Variant,
    create_clients,
    create_deep_site,
    deep_chain,
)
from bench.policy_simulation import Simulation

from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.request.call import Priority

DEPTH = 13
RATE_PER_S = 5
END_S = 4


class UnlimitedBudget(RetryBudget):
    """Leaves the ledger as the only bound."""

    def can_retry(self, service: str, now: float) -> bool:
        """Always allow."""
        return True

    def take_retry(self, service: str, now: float) -> bool:
        """Always allow."""
        return True


def run_with_failures(
    variant: Variant, failing_share: float, seed: int
) -> Simulation:
    """Let all targets fail a share of their runs after their work."""
    simulation = create_deep_site(DEPTH, seed)
    clients = create_clients(variant, simulation)
    system = clients.system
    if isinstance(system, LayerSystem):
        for node in system.nodes.values():
            node.budget = UnlimitedBudget()
            node.policy.budget = node.budget
    for place in simulation.placements.values():
        place.target.failing_share = failing_share
    flow = Flow(
        team='t1',
        chain=deep_chain(DEPTH),
        priority=Priority.NORMAL,
        rate_per_s=RATE_PER_S,
        timeout_s=TIMEOUT_S,
    )
    clients.send_flow(flow, 0, END_S)
    simulation.clock.run_until(END_S + TIMEOUT_S)
    return simulation


def max_attempts_per_root(simulation: Simulation) -> int:
    """Most runs of one root request at one service of the chain."""
    most = 0
    for service in simulation.service_sizes:
        targets = [place.target for place in simulation.placements_of(service)]
        roots = {root for target in targets for root in target.starts_by_root}
        for root in roots:
            tries = sum(target.starts_by_root[root] for target in targets)
            most = max(most, tries)
    return most


def measure_retries(variant: Variant, seed: int) -> list[Figure]:
    """Count tries where all runs fail, and where half of them do."""
    is_layer = variant is Variant.LAYER
    return [
        Figure(
            '13 deep, hops failing',
            variant.value,
            f'most tries per root, {share:.0%} fail',
            max_attempts_per_root(run_with_failures(variant, share, seed)),
            at_most=1 + RETRY_LIMIT if is_layer else None,
        )
        for share in (1, 0.5)
    ]
