"""Targets that die, leave, start cold or lie about their health."""

import enum
from collections.abc import Callable, Mapping
from functools import partial

from bench.policy_clients import Clients, goodput_per_s
from bench.policy_figures import Figure
from bench.policy_layer import LayerSystem
from bench.policy_sites import (
    CHAINS,
    Variant,
    capacity_per_s,
    create_clients,
    create_site,
    create_flows,
)
from bench.policy_simulation import Simulation

SITE = 'lankadeep'
VICTIM = 'map-1'
LOAD = 0.6
WARM_S = 4
FAULT_S = 6
RETURN_S = 14
END_S = 20
NOTICED_S = 2
BIN_S = 0.5
LIE_EVERY_S = 0.5
CALLERS = 4
EJECTION_S = 5


class Fault(enum.Enum):
    """What happens to one of the four map targets."""

    PROCESS_DIES = 'process dies, then cold'
    VM_DIES = 'VM dies'
    DRAINED = 'drained'
    BROKEN = 'broken, health says ok'
    SLANDERED = 'sound, health says full'


def run_fault(fault: Fault, variant: Variant, seed: int) -> Clients:
    """Run the map chain; the fault begins at ``FAULT_S``."""
    simulation = create_site(SITE, seed)
    clients = create_clients(variant, simulation)
    chain = CHAINS[SITE][0]
    rate_per_s = capacity_per_s(simulation, chain) * LOAD
    for flow in create_flows(chain, rate_per_s, {}):
        clients.send_flow(flow, 0, END_S)
    simulation.clock.after(FAULT_S, _starter(fault, clients))
    if fault is Fault.PROCESS_DIES:
        simulation.clock.after(
            RETURN_S, simulation.placements[VICTIM].target.restart
        )
    simulation.clock.run_until(END_S + 2)
    return clients


def _starter(fault: Fault, clients: Clients) -> Callable[[], None]:
    simulation = clients.system.simulation
    starters: Mapping[Fault, Callable[[], None]] = {
        Fault.PROCESS_DIES: simulation.placements[VICTIM].target.kill,
        Fault.VM_DIES: partial(simulation.kill_node, VICTIM),
        Fault.DRAINED: partial(clients.system.drain, VICTIM),
        Fault.BROKEN: partial(_break_target, simulation),
        Fault.SLANDERED: partial(_slander, clients),
    }
    return starters[fault]


def _break_target(simulation: Simulation) -> None:
    simulation.placements[VICTIM].target.broken = True


def _slander(clients: Clients) -> None:
    system = clients.system
    if isinstance(system, LayerSystem):
        clock = system.simulation.clock
        system.nodes[VICTIM].gate.limit.record_health(0, clock.now)
        clock.after(LIE_EVERY_S, partial(_slander, clients))


def worst_bin(clients: Clients, start: float, end: float) -> float:
    """Lowest goodput of the bins in an interval, relative to before."""
    requests = clients.requests
    calm = goodput_per_s(requests, WARM_S, FAULT_S)
    starts = [
        start + number * BIN_S for number in range(int((end - start) / BIN_S))
    ]
    bins = [goodput_per_s(requests, left, left + BIN_S) for left in starts]
    return min(bins) / calm if calm else 0


def late_starts(fault: Fault, clients: Clients) -> int:
    """New work at the target from 2 s after the fault.

    Nothing can start on a dead VM, so there the attempts sent are counted.
    """
    target = clients.system.simulation.placements[VICTIM].target
    is_gone = fault is Fault.VM_DIES
    moments = target.attempt_times if is_gone else target.start_times
    return sum(FAULT_S + NOTICED_S < moment < RETURN_S for moment in moments)


def measure_faults(variant: Variant, seed: int) -> list[Figure]:
    """Measure each fault; one of four targets is the share lost."""
    figures = []
    for fault in Fault:
        clients = run_fault(fault, variant, seed)
        figures.extend(figures_of(fault, clients, variant))
    return figures


def figures_of(
    fault: Fault,
    clients: Clients,
    variant: Variant,
) -> list[Figure]:
    """Compare one run with its bounds."""
    is_layer = variant is Variant.LAYER
    # A broken target that listens and a VM that does not answer can only be
    # judged by a trial: one call of each caller's node after each ejection.
    trials = CALLERS * (RETURN_S - FAULT_S) // EJECTION_S
    needs_trials = fault in {Fault.BROKEN, Fault.VM_DIES}
    most_starts = trials if needs_trials else 0
    lost_share = 1 / CALLERS
    figures = [
        Figure(
            fault.value,
            variant.value,
            'worst 0.5 s of goodput / before',
            worst_bin(clients, FAULT_S, END_S),
            at_least=1 - lost_share if is_layer else None,
        ),
    ]
    if fault is not Fault.SLANDERED:
        figures.append(
            Figure(
                fault.value,
                variant.value,
                'requests sent to it after 2 s',
                late_starts(fault, clients),
                at_most=most_starts if is_layer else None,
            ),
        )
    return figures
