"""Scenario: attempts per root request when the hops of a deep chain fail."""

from bench.policy_clients import Flow
from bench.policy_figures import Figure
from bench.policy_layer import LayerSystem
from bench.policy_simulation import Simulation
from bench.policy_sites import (
    RETRY_LIMIT,
    TIMEOUT_S,
    Variant,
    create_clients,
    create_deep_site,
    deep_chain,
)
from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.request.call import Priority

DEPTH = 13
RATE_PER_S = 5
END_S = 4


class UnlimitedBudget(RetryBudget):
    """Retry budget without a limit, so that only the ledger limits retries."""

    def can_retry(self, service: str, now: float) -> bool:
        """Allow every retry."""
        return True

    def take_retry(self, service: str, now: float) -> bool:
        """Allow every retry."""
        return True


def run_with_failures(
    variant: Variant, failing_share: float, seed: int
) -> Simulation:
    """Run a chain whose targets fail a share of their runs after the work."""
    simulation = create_deep_site(DEPTH, seed)
    clients = create_clients(variant, simulation)
    system = clients.system
    if isinstance(system, LayerSystem):
        for node in system.nodes.values():
            node.budget = UnlimitedBudget()
            node.policy.budget = node.budget
    for placement in simulation.placements.values():
        placement.target.failing_share = failing_share
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
    """Return the most runs of one root request at any service of the chain."""
    highest = 0
    for service in simulation.service_sizes:
        targets = [
            placement.target for placement in simulation.placements_of(service)
        ]
        roots = {root for target in targets for root in target.starts_by_root}
        for root in roots:
            attempts = sum(target.starts_by_root[root] for target in targets)
            highest = max(highest, attempts)
    return highest


def measure_retries(variant: Variant, seed: int) -> list[Figure]:
    """Count attempts when all runs fail and when half of them fail."""
    has_bounds = variant is Variant.LAYER
    return [
        Figure(
            '13 deep, hops failing',
            variant.value,
            f'most tries per root, {share:.0%} fail',
            max_attempts_per_root(run_with_failures(variant, share, seed)),
            at_most=1 + RETRY_LIMIT if has_bounds else None,
        )
        for share in (1, 0.5)
    ]
