"""Nodes as separate processes on loopback, each beside its own address."""

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import sys
from typing import Any

from ebonycleat.internal.process.mesh_settings import Address
from ebonycleat.platform import SETTINGS_VARIABLE

FIRST_PORT = 21_000
"""Below the ports that the system gives to outgoing connections: one of these
may hold any port that was free a moment ago."""

HOSTS_PER_BYTE = 250
STOP_GRACE_S = 6


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Addresses of one node."""

    callers: Address
    peers: Address
    ready: Address
    control: Address
    metrics: Address


def assign_addresses(number: int) -> NodeAddresses:
    """Addresses of a node: a loopback host of its own, and fixed ports."""
    process = os.getpid()
    low = process % HOSTS_PER_BYTE + 1
    high = process // HOSTS_PER_BYTE % HOSTS_PER_BYTE
    host = f'127.{low}.{high}.{number + 1}'
    return NodeAddresses(
        *(Address(host, FIRST_PORT + port) for port in range(5))
    )


class NodeProcess:
    """One node; its end and its new start are the caller's doing."""

    def __init__(
        self,
        number: int,
        settings: dict[str, Any],
        folder: pathlib.Path,
    ) -> None:
        """Run with ``settings``, and keep file and log in ``folder``."""
        self.number = number
        self.settings = settings
        self.file = folder / f'node-{number}.json'
        self.log = folder / f'node-{number}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        """Start the process; it must not run."""
        self.file.write_text(json.dumps(self.settings), encoding='utf-8')
        self.starts += 1
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'ebonycleat.commands.mesh_node',
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_VARIABLE: str(self.file)},
            )

    def send_signal(self, number: int) -> None:
        """Signal the process, by its id, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once, also one that is stopped."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self) -> None:
        """Stop as planned; after the grace the process is killed."""
        self.send_signal(signal.SIGTERM)
        if self.process is None:
            return
        try:
            await asyncio.wait_for(self.process.wait(), STOP_GRACE_S)
        except TimeoutError:
            await self.kill()
