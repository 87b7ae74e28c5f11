"""What the faults of a soak do to its processes, stand-ins and proxies."""

import asyncio
import contextlib
import signal
import types

from ebonycleat_tools.platform.history import FaultWindow
from ebonycleat_tools.platform.proxy import ProxyMode
from ebonycleat_tools.platform.soak_environment import (
    TEAMS,
    SoakEnvironment,
    SoakNode,
)
from ebonycleat_tools.platform.soak_plan import (
    FLEET_WIDE_FAULTS,
    Fault,
    FaultKind,
)

RESTART_S = 0.5
"""A process that ended is started again after this."""

AFTERMATH_S = 3.0
"""How long after a fault a node counts as disturbed: the platform's own
figure for the time until a machine is in touch again."""

TARGET_MODES = types.MappingProxyType({
    FaultKind.TARGET_RESET: ProxyMode.RESET,
    FaultKind.TARGET_LINK_SILENT: ProxyMode.SILENCE,
    FaultKind.TARGET_ANSWERS_CUT: ProxyMode.CUT_ANSWERS,
})
STORE_MODES = types.MappingProxyType({
    FaultKind.STORE_RESET: ProxyMode.RESET,
    FaultKind.STORE_SILENT: ProxyMode.SILENCE,
    FaultKind.STORE_SLOW: ProxyMode.DELAY,
    FaultKind.STORE_ANSWERS_CUT: ProxyMode.CUT_ANSWERS,
})


class FaultInjector:
    """Plays faults; those of one node come one after the other."""

    def __init__(self, environment: SoakEnvironment) -> None:
        """Play faults in a environment that was started."""
        self.environment = environment
        self.clock = asyncio.get_running_loop().time
        self.plays = {
            FaultKind.KILL: self.kill,
            FaultKind.TERMINATE: self.terminate,
            FaultKind.PAUSE: self.pause,
            FaultKind.RELOAD: self.reload,
            FaultKind.KEY_WITHDRAWN: self.withdraw_key,
            FaultKind.CONFIGURATION_CHANGED: self.change_configuration,
            FaultKind.STORE_DOWN: self.stop_store,
        }

    async def inject(self, fault: Fault) -> None:
        """Let one fault begin and end, and note when."""
        began_at = self.clock()
        node = self.environment.nodes[fault.node]
        if fault.kind is FaultKind.KILL_ALL:
            await self.kill_all()
        else:
            inject = self.plays.get(fault.kind, self.disturb_link)
            async with node.lock:
                await inject(node, fault)
        self.environment.history.fault_windows.append(
            FaultWindow(
                -1 if fault.kind in FLEET_WIDE_FAULTS else fault.node,
                began_at,
                self.clock() + AFTERMATH_S,
            ),
        )

    async def kill(self, node: SoakNode, fault: Fault) -> None:
        """Kill a node and start it again."""
        await node.process.kill()
        await asyncio.sleep(RESTART_S)
        await node.process.start()

    async def kill_all(self) -> None:
        """Kill all nodes together and start them again.

        All locks are taken in one order, so that two of these never wait for
        each other.
        """
        nodes = self.environment.nodes
        async with contextlib.AsyncExitStack() as locks:
            for node in nodes:
                await locks.enter_async_context(node.lock)
            await asyncio.gather(*(one.process.kill() for one in nodes))
            await asyncio.sleep(RESTART_S)
            await asyncio.gather(*(one.process.start() for one in nodes))

    async def terminate(self, node: SoakNode, fault: Fault) -> None:
        """Stop a node as planned and start it again."""
        await node.process.terminate()
        await asyncio.sleep(RESTART_S)
        await node.process.start()

    async def pause(self, node: SoakNode, fault: Fault) -> None:
        """Let a process stand still."""
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        node.process.send_signal(signal.SIGCONT)

    async def reload(self, node: SoakNode, fault: Fault) -> None:
        """Tell a process that its settings changed."""
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
        """Write a new version that says the same."""
        self.environment.write_configuration()

    async def stop_store(self, node: SoakNode, fault: Fault) -> None:
        """Let the store refuse all calls."""
        self.environment.store.is_down = True
        await asyncio.sleep(fault.duration_s)
        self.environment.store.is_down = False

    async def disturb_link(self, node: SoakNode, fault: Fault) -> None:
        """Disturb the way to a target, or the store."""
        proxy = self.environment.store_proxy
        mode = STORE_MODES.get(fault.kind)
        if mode is None:
            proxy = node.proxy
            mode = TARGET_MODES[fault.kind]
        proxy.change_mode(mode)
        await asyncio.sleep(fault.duration_s)
        proxy.change_mode(ProxyMode.PASS)
