"""The process of a mesh node: settings, signals and event loop.

Without arguments the program reads the settings file that the platform names
in the environment. The parser of arguments is imported only if there are
any, because it needs more memory than the node itself.
"""

import asyncio
import dataclasses
import gc
import os
import pathlib
import random
import signal
import sys
from collections.abc import Sequence

import uvloop

from ebonycleat.internal.process.clocks import boottime_s
from ebonycleat.internal.process.event_log import create_stdout_stream
from ebonycleat.internal.process.logging_setup import set_up_logging
from ebonycleat.internal.process.memory_allocator import (
    give_back_large_blocks,
)
from ebonycleat.internal.process.mesh_node import MeshNode, create_mesh_node
from ebonycleat.internal.process.mesh_runner import run_mesh_node
from ebonycleat.internal.process.mesh_settings import MeshSettings
from ebonycleat.internal.process.settings_file import InvalidSettings
from ebonycleat.platform import (
    SETTINGS_VARIABLE,
    create_platform_interfaces,
    load_platform_settings,
)

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE_ERROR = 2
LOG_LEVEL = 'INFO'

SETTINGS_POLL_INTERVAL_S = 2.0
"""How often the settings file is checked for changes, since the platform may
change it without a signal. A check costs one system call."""

GC_THRESHOLD = 3000
"""Net allocations that start a garbage collection. In the Corda Viva fleet,
the peak memory of a node was 25.8 MB with this value and 30.2 MB with 50,000,
for the same processor time."""


def run_until_stopped(
    path: pathlib.Path, metrics_port: int | None = None
) -> int:
    """Run a node until the process is told to stop; return its exit code.

    ``metrics_port`` replaces the port that the platform expects, so that
    several nodes can run on one address.
    """
    modified_at = _modified_at(path)
    settings = load_platform_settings(path)
    if metrics_port is not None:
        settings = dataclasses.replace(settings, metrics_port=metrics_port)
    set_up_logging(LOG_LEVEL, settings.node, create_stdout_stream())
    give_back_large_blocks()
    gc.set_threshold(GC_THRESHOLD)
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run_node(settings, path, modified_at))


async def _run_node(
    settings: MeshSettings, path: pathlib.Path, modified_at: int
) -> int:
    loop = asyncio.get_running_loop()
    node = create_mesh_node(
        settings,
        create_platform_interfaces(settings),
        random.Random(random.SystemRandom().getrandbits(64)),
        boottime_s,
    )
    loop.add_signal_handler(signal.SIGTERM, node.stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, node.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, path)
    node.dependencies.log.write_always(
        'node starting',
        zone=settings.zone,
        service=settings.service,
        address=node.address,
    )
    watch_task = loop.create_task(_watch_settings(node, path, modified_at))
    await run_mesh_node(node)
    watch_task.cancel()
    return EXIT_FAILURE if node.has_failed else EXIT_OK


async def _watch_settings(
    node: MeshNode, path: pathlib.Path, last_modified_at: int
) -> None:
    """Reload the settings file whenever its modification time changes."""
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
        modified_at = _modified_at(path)
        if modified_at != last_modified_at:
            last_modified_at = modified_at
            _reload(node, path)


def _modified_at(path: pathlib.Path) -> int:
    """Return the modification time in ns; 0 while the file is absent."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _reload(node: MeshNode, path: pathlib.Path) -> None:
    """Reload the settings; keep the current ones if the file is invalid."""
    try:
        settings = load_platform_settings(path)
    except InvalidSettings as error:
        node.dependencies.log.write_always(
            'settings reload failed', problems=str(error)
        )
        return
    node.apply_settings(settings)


def run_program(arguments: Sequence[str]) -> int:
    """Run the program with its arguments; returns its exit code."""
    settings_path = os.environ.get(SETTINGS_VARIABLE)
    if arguments or not settings_path:
        # Started by a person; the platform passes no arguments.
        from ebonycleat.commands.mesh_node_options import run_with_options

        return run_with_options(run_until_stopped, arguments, settings_path)
    try:
        return run_until_stopped(pathlib.Path(settings_path))
    except InvalidSettings as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE_ERROR
