"""Scenarios: a target crashes, drains, restarts cold or misreports health."""

import enum
from collections.abc import Callable, Mapping
from functools import partial

from bench.policy_clients import Clients, goodput_per_s
from bench.policy_figures import Figure
from bench.policy_layer import LayerSystem
from bench.policy_simulation import Simulation
from bench.policy_sites import (
    CHAINS,
    Variant,
    capacity_per_s,
    create_clients,
    create_flows,
    create_site,
)

SITE = 'lankadeep'
FAULTY_TARGET = 'map-1'
LOAD = 0.6
MEASURED_FROM_S = 4
FAULT_S = 6
RESTART_S = 14
END_S = 20
DETECTION_S = 2
BIN_S = 0.5
FALSE_REPORT_INTERVAL_S = 0.5
CALLERS = 4
EJECTION_S = 5


class Fault(enum.Enum):
    """What happens to one of the four map targets."""

    PROCESS_DIES = 'process dies, then cold'
    VM_DIES = 'VM dies'
    DRAINED = 'drained'
    BROKEN = 'broken, health says ok'
    REPORTED_FULL = 'sound, health says full'


def run_fault(fault: Fault, variant: Variant, seed: int) -> Clients:
    """Run the map chain with a fault that begins at ``FAULT_S``."""
    simulation = create_site(SITE, seed)
    clients = create_clients(variant, simulation)
    chain = CHAINS[SITE][0]
    rate_per_s = capacity_per_s(simulation, chain) * LOAD
    for flow in create_flows(chain, rate_per_s, {}):
        clients.send_flow(flow, 0, END_S)
    simulation.clock.after(FAULT_S, _fault_action(fault, clients))
    if fault is Fault.PROCESS_DIES:
        simulation.clock.after(
            RESTART_S, simulation.placements[FAULTY_TARGET].target.restart
        )
    simulation.clock.run_until(END_S + 2)
    return clients


def _fault_action(fault: Fault, clients: Clients) -> Callable[[], None]:
    simulation = clients.system.simulation
    actions: Mapping[Fault, Callable[[], None]] = {
        Fault.PROCESS_DIES: simulation.placements[FAULTY_TARGET].target.kill,
        Fault.VM_DIES: partial(simulation.kill_node, FAULTY_TARGET),
        Fault.DRAINED: partial(clients.system.drain, FAULTY_TARGET),
        Fault.BROKEN: partial(_break_target, simulation),
        Fault.REPORTED_FULL: partial(_report_full, clients),
    }
    return actions[fault]


def _break_target(simulation: Simulation) -> None:
    simulation.placements[FAULTY_TARGET].target.broken = True


def _report_full(clients: Clients) -> None:
    system = clients.system
    if isinstance(system, LayerSystem):
        clock = system.simulation.clock
        system.nodes[FAULTY_TARGET].gate.limit.record_health(0, clock.now)
        clock.after(FALSE_REPORT_INTERVAL_S, partial(_report_full, clients))


def worst_goodput_share(clients: Clients, start: float, end: float) -> float:
    """Lowest goodput of a bin in the interval, relative to before the fault."""
    requests = clients.requests
    goodput_before = goodput_per_s(requests, MEASURED_FROM_S, FAULT_S)
    starts = [
        start + number * BIN_S for number in range(int((end - start) / BIN_S))
    ]
    bins = [goodput_per_s(requests, left, left + BIN_S) for left in starts]
    return min(bins) / goodput_before if goodput_before else 0


def count_late_starts(fault: Fault, clients: Clients) -> int:
    """Count the runs that the target starts later than 2 s after the fault.

    Nothing can start on a crashed VM: for that fault, the attempts sent to
    the target are counted.
    """
    target = clients.system.simulation.placements[FAULTY_TARGET].target
    vm_is_down = fault is Fault.VM_DIES
    times = target.attempt_times if vm_is_down else target.start_times
    return sum(FAULT_S + DETECTION_S < when < RESTART_S for when in times)


def measure_faults(variant: Variant, seed: int) -> list[Figure]:
    """Measure each fault.

    One of four targets has the fault, so a quarter of the goodput may be lost.
    """
    figures = []
    for fault in Fault:
        clients = run_fault(fault, variant, seed)
        figures.extend(create_figures(fault, clients, variant))
    return figures


def create_figures(
    fault: Fault,
    clients: Clients,
    variant: Variant,
) -> list[Figure]:
    """Compute the figures of one run and set their bounds."""
    has_bounds = variant is Variant.LAYER
    # Whether a target that accepts connections and fails, or a VM that does not
    # answer, works again can only be found out by a trial: one call from each
    # caller's node after each ejection.
    trials = CALLERS * (RESTART_S - FAULT_S) // EJECTION_S
    needs_trials = fault in {Fault.BROKEN, Fault.VM_DIES}
    max_starts = trials if needs_trials else 0
    lost_share = 1 / CALLERS
    figures = [
        Figure(
            fault.value,
            variant.value,
            'worst 0.5 s of goodput / before',
            worst_goodput_share(clients, FAULT_S, END_S),
            at_least=1 - lost_share if has_bounds else None,
        ),
    ]
    if fault is not Fault.REPORTED_FULL:
        figures.append(
            Figure(
                fault.value,
                variant.value,
                'requests sent to it after 2 s',
                count_late_starts(fault, clients),
                at_most=max_starts if has_bounds else None,
            ),
        )
    return figures
