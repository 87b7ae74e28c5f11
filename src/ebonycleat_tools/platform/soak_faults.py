"""Injects the planned faults into nodes, store and proxies of a soak test."""

import asyncio
import contextlib
import dataclasses
import json
import signal
import types

import msgspec

from ebonycleat_tools.platform.history import FaultWindow
from ebonycleat_tools.platform.proxy import ProxyMode
from ebonycleat_tools.platform.soak_environment import (
    MAX_DESCRIPTORS,
    SERVICE,
    TEAMS,
    SoakEnvironment,
    SoakNode,
)
from ebonycleat_tools.platform.soak_plan import (
    FLEET_WIDE_FAULTS,
    Fault,
    FaultKind,
)

RESTART_DELAY_S = 0.5
"""Time between the end of a process and its restart."""

FAULT_EFFECT_S = 3.0
"""How long after its end a fault still counts as affecting a node. This is the
platform's own limit for the time until a machine is reachable again."""

PLANNED_STOPS = frozenset((
    FaultKind.TERMINATE,
    FaultKind.OVERLAPPING_SIGNALS,
))
OVERLAPPING_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
"""Signals that a node gets after the one that stops it."""

RESTORED_COPY_AGE_S = 6.0
"""Age of the copy from which the store is restored, longer than any fault."""


def encode_odd_member(
    address: str, *, slots: int = 4, revision: int = 1
) -> bytes:
    """Encode a record of a member as another writer may leave it."""
    return msgspec.msgpack.encode((
        *(1, address, 'zone-0', SERVICE, 'i-odd', 1, slots),
        *(True, (), True, revision),
    ))


MEMBERS_TOPIC = 'keyed.ebonycleat-members'
ODD_RECORDS = (
    ('127.0.0.1:70000', b'odd'),
    ('127.0.0.1:7', encode_odd_member('127.0.0.1:7', slots=-9)),
    ('127.0.0.1:70000', encode_odd_member('127.0.0.1:70000')),
    ('127.0.0.1:8', encode_odd_member('127.0.0.1:8', revision=2**64 - 1)),
)
ODD_HEARTBEATS = (
    b'{"address":"a","info":{"service":"s","slots":1e30},"status":{"seq":1}}',
    b'[' * 100_000,
    json.dumps({
        'address': '127.0.0.1:70000',
        'info': {'service': SERVICE, 'slots': 2**64},
        'status': {'state': 'ready', 'seq': 2**64},
        'born': 2**64,
    }).encode(),
)

TARGET_PROXY_MODES = types.MappingProxyType({
    FaultKind.TARGET_RESET: ProxyMode.RESET,
    FaultKind.TARGET_LINK_SILENT: ProxyMode.SILENCE,
    FaultKind.TARGET_ANSWERS_CUT: ProxyMode.CUT_ANSWERS,
    FaultKind.TARGET_HEADS_ENDLESS: ProxyMode.ENDLESS_HEADS,
    FaultKind.TARGET_BODIES_ENDLESS: ProxyMode.ENDLESS_BODIES,
})
STORE_PROXY_MODES = types.MappingProxyType({
    FaultKind.STORE_RESET: ProxyMode.RESET,
    FaultKind.STORE_SILENT: ProxyMode.SILENCE,
    FaultKind.STORE_SLOW: ProxyMode.DELAY,
    FaultKind.STORE_ANSWERS_CUT: ProxyMode.CUT_ANSWERS,
})


class FaultInjector:
    """Injects faults; those of the same node happen one after the other."""

    def __init__(self, environment: SoakEnvironment) -> None:
        """``environment`` must have been started."""
        self.environment = environment
        self.clock = asyncio.get_running_loop().time
        self.actions = {
            FaultKind.KILL: self.kill,
            FaultKind.TERMINATE: self.restart,
            FaultKind.PAUSE: self.pause,
            FaultKind.RELOAD: self.reload,
            FaultKind.OVERLAPPING_SIGNALS: self.restart,
            FaultKind.KEY_WITHDRAWN: self.withdraw_key,
            FaultKind.CONFIGURATION_CHANGED: self.change_configuration,
            FaultKind.STORE_DOWN: self.stop_store,
            FaultKind.STORE_RESTORED: self.restore_store,
            FaultKind.TARGET_UNANSWERED: self.leave_unanswered,
            FaultKind.TARGET_REFUSALS_REPEATED: self.repeat_refusals,
            FaultKind.ODD_ENTRIES: self.write_odd_entries,
            FaultKind.IDLE_CONNECTIONS: self.open_idle_connections,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, wait for its end and record its time window."""
        began_at = self.clock()
        node = self.environment.nodes[fault.node]
        if fault.kind is FaultKind.KILL_ALL:
            await self.kill_all()
        else:
            action = self.actions.get(fault.kind, self.change_proxy_mode)
            async with node.lock:
                node.record_own_end(self.environment.history)
                if fault.kind in PLANNED_STOPS:
                    began_at = await self.stop_as_planned(node, fault)
                await action(node, fault)
        self.environment.history.fault_windows.append(
            FaultWindow(
                -1 if fault.kind in FLEET_WIDE_FAULTS else fault.node,
                began_at,
                self.clock() + FAULT_EFFECT_S,
            ),
        )

    async def kill(self, node: SoakNode, fault: Fault) -> None:
        """Kill a node and restart it."""
        await node.process.kill()
        await self.restart(node, fault)

    async def kill_all(self) -> None:
        """Kill all nodes at the same time and restart them.

        The locks are always taken in the same order, so that two such faults
        cannot deadlock.
        """
        nodes = self.environment.nodes
        async with contextlib.AsyncExitStack() as locks:
            for node in nodes:
                await locks.enter_async_context(node.lock)
                node.record_own_end(self.environment.history)
            await asyncio.gather(*(one.process.kill() for one in nodes))
            await asyncio.sleep(RESTART_DELAY_S)
            await asyncio.gather(*(one.process.start() for one in nodes))

    async def stop_as_planned(self, node: SoakNode, fault: Fault) -> float:
        """Stop a node by SIGTERM; returns the time of its end.

        Callers go on using their connections until the process is gone.
        """
        began_at = self.clock()
        stop = asyncio.ensure_future(node.process.terminate())
        if fault.kind is FaultKind.OVERLAPPING_SIGNALS:
            for signal_number in OVERLAPPING_SIGNALS:
                await asyncio.sleep(fault.duration_s / len(OVERLAPPING_SIGNALS))
                node.process.send_signal(signal_number)
        await stop
        ended_at = self.clock()
        self.environment.history.fault_windows.append(
            FaultWindow(fault.node, began_at, ended_at, is_planned_stop=True),
        )
        return ended_at

    async def restart(self, node: SoakNode, fault: Fault) -> None:
        """Start a node that has ended."""
        await asyncio.sleep(RESTART_DELAY_S)
        await node.process.start()

    async def pause(self, node: SoakNode, fault: Fault) -> None:
        """Suspend a process for the duration of the fault."""
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        node.process.send_signal(signal.SIGCONT)

    async def reload(self, node: SoakNode, fault: Fault) -> None:
        """Send SIGHUP to a process, so that it reloads its settings."""
        node.process.send_signal(signal.SIGHUP)

    async def withdraw_key(self, node: SoakNode, fault: Fault) -> None:
        """Withdraw the second key of a team; the first stays valid."""
        environment = self.environment
        team = TEAMS[fault.node % len(TEAMS)]
        if len(environment.keys[team]) > 1:
            key = environment.keys[team].pop()
            environment.write_configuration()
            environment.history.withdrawal_times[key] = self.clock()

    async def change_configuration(self, node: SoakNode, fault: Fault) -> None:
        """Write a new configuration version with the same content."""
        self.environment.write_configuration()

    async def stop_store(self, node: SoakNode, fault: Fault) -> None:
        """Make the store refuse all calls for the duration of the fault."""
        self.environment.store.is_down = True
        await asyncio.sleep(fault.duration_s)
        self.environment.store.is_down = False

    async def restore_store(self, node: SoakNode, fault: Fault) -> None:
        """Stop the store, and start it again from an older copy."""
        await self.stop_store(node, fault)
        self.environment.store.restore(self.clock() - RESTORED_COPY_AGE_S)

    async def repeat_refusals(self, node: SoakNode, fault: Fault) -> None:
        """Let a target run few requests and send each refusal once more."""
        options = node.target.options
        node.target.options = dataclasses.replace(
            options, slots=1, repeats_refusals=True
        )
        await asyncio.sleep(fault.duration_s)
        node.target.options = options

    async def leave_unanswered(self, node: SoakNode, fault: Fault) -> None:
        """Let a target run one request at a time and never answer the others.

        It goes on reporting all its slots.
        """
        options = node.target.options
        node.target.options = dataclasses.replace(options, usable_slots=1)
        await asyncio.sleep(fault.duration_s)
        node.target.options = options

    async def write_odd_entries(self, node: SoakNode, fault: Fault) -> None:
        """Write entries that name no target, and records of no member."""
        records = self.environment.store.topic(MEMBERS_TOPIC)
        for key, record in ODD_RECORDS:
            records.append(key, record)
        for body in ODD_HEARTBEATS:
            await node.target.send_to_node('PUT', body)

    async def open_idle_connections(self, node: SoakNode, fault: Fault) -> None:
        """Open more connections than a node has descriptors, and keep them."""
        address = node.callers
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(MAX_DESCRIPTORS):
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(
                        address.host, address.port
                    )
                    stack.callback(writer.close)
            await asyncio.sleep(fault.duration_s)

    async def change_proxy_mode(self, node: SoakNode, fault: Fault) -> None:
        """Change the mode of the proxy to a target or to the store."""
        proxy = self.environment.store_proxy
        mode = STORE_PROXY_MODES.get(fault.kind)
        if mode is None:
            proxy = node.proxy
            mode = TARGET_PROXY_MODES[fault.kind]
        proxy.change_mode(mode)
        await asyncio.sleep(fault.duration_s)
        proxy.change_mode(ProxyMode.PASS)
