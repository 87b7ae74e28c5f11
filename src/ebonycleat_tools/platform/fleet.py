"""Nodes as separate processes, each on a loopback address of its own."""

import asyncio
import dataclasses
import json
import os
import pathlib
import resource
import signal
import sys
from typing import Any

from ebonycleat.internal.process.mesh_settings import Address
from ebonycleat.platform import SETTINGS_VARIABLE

FIRST_PORT = 21_000
"""Below the ephemeral ports of the system: an outgoing connection can take one
of those at any time, even if it was free when it was checked."""

VALUES_PER_BYTE = 250
STOP_GRACE_S = 6


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Addresses of one node, all on the same host."""

    callers: Address
    peers: Address
    ready: Address
    control: Address
    metrics: Address


def assign_addresses(number: int) -> NodeAddresses:
    """Return the addresses of a node: its own loopback host, fixed ports.

    The host depends on the id of this process and on the node's number. Two
    processes use the same hosts only if their ids differ by a multiple of
    62500, the square of ``VALUES_PER_BYTE``.
    """
    process_id = os.getpid()
    low_byte = process_id % VALUES_PER_BYTE + 1
    high_byte = process_id // VALUES_PER_BYTE % VALUES_PER_BYTE
    host = f'127.{low_byte}.{high_byte}.{number + 1}'
    return NodeAddresses(
        *(Address(host, FIRST_PORT + port) for port in range(5))
    )


class NodeProcess:
    """One node process; it is never restarted automatically."""

    def __init__(
        self,
        number: int,
        settings: dict[str, Any],
        folder: pathlib.Path,
    ) -> None:
        """``folder`` is for the settings file and the log of the node."""
        self.number = number
        self.settings = settings
        self.settings_file = folder / f'node-{number}.json'
        self.log_file = folder / f'node-{number}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.start_count = 0

    async def start(self) -> None:
        """Start the process; it must not be running."""
        self.settings_file.write_text(
            json.dumps(self.settings), encoding='utf-8'
        )
        self.start_count += 1
        with self.log_file.open('ab') as log_file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'ebonycleat.commands.mesh_node',
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, SETTINGS_VARIABLE: str(self.settings_file)},
            )
        max_descriptors = self.settings.get('limits', {}).get('maxFds')
        if max_descriptors:
            resource.prlimit(
                self.process.pid,
                resource.RLIMIT_NOFILE,
                (max_descriptors, max_descriptors),
            )

    def has_ended(self) -> bool:
        """Tell whether the process has started and is no longer running."""
        return self.process is not None and self.process.returncode is not None

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """Kill the process and wait for its end, even if it is suspended."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self) -> None:
        """Send SIGTERM; kill the process if it runs after ``STOP_GRACE_S``."""
        self.send_signal(signal.SIGTERM)
        if self.process is None:
            return
        try:
            await asyncio.wait_for(self.process.wait(), STOP_GRACE_S)
        except TimeoutError:
            await self.kill()
