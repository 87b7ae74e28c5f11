"""``ebonycleat-mesh-node``: the process beside a target on the platform.

Without arguments it reads the settings file that the platform names in the
environment. Parsing of arguments is imported only if there are any: it takes
more memory than the node itself.
"""

import asyncio
import gc
import os
import pathlib
import random
import signal
import sys

import uvloop

from ebonycleat.internal.process.clocks import boottime_s
from ebonycleat.internal.process.event_log import create_stdout_stream
from ebonycleat.internal.process.logging_setup import set_up_logging
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
EXIT_USAGE_ERROR = 2
LOG_LEVEL = 'INFO'

SETTINGS_POLL_INTERVAL_S = 2.0
"""The platform may change the file without a signal; a look costs one call of
the system."""

GC_THRESHOLD = 3000
"""Objects between two collections. With 50,000 a node of Corda Viva peaked at
30.2 MB, with this at 25.8 MB for the same processor time."""


def run_until_stopped(path: pathlib.Path) -> int:
    """Run a node until the process is told to stop."""
    settings = load_platform_settings(path)
    set_up_logging(LOG_LEVEL, settings.node, create_stdout_stream())
    gc.set_threshold(GC_THRESHOLD)
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run_node(settings, path))
    return EXIT_OK


async def _run_node(settings: MeshSettings, path: pathlib.Path) -> None:
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
    watching = loop.create_task(_watch_settings(node, path))
    await run_mesh_node(node)
    watching.cancel()


async def _watch_settings(node: MeshNode, path: pathlib.Path) -> None:
    """Reload settings that changed without a signal."""
    known = _changed_at(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
        found = _changed_at(path)
        if found != known:
            known = found
            _reload(node, path)


def _changed_at(path: pathlib.Path) -> int:
    """When the file was last written; 0 while it is being replaced."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _reload(node: MeshNode, path: pathlib.Path) -> None:
    """Adopt changed settings; wrong ones leave the present in force."""
    try:
        settings = load_platform_settings(path)
    except InvalidSettings as wrong:
        node.dependencies.log.write_always(
            'settings reload failed', problems=str(wrong)
        )
        return
    node.apply_settings(settings)


def main(argv: list[str] | None = None) -> int:
    """Run the program; returns its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    named = os.environ.get(SETTINGS_VARIABLE)
    if arguments or not named:
        # Only people give arguments; the platform gives none.
        from ebonycleat.commands.mesh_node_options import run_with_options

        return run_with_options(run_until_stopped, arguments, named)
    try:
        return run_until_stopped(pathlib.Path(named))
    except InvalidSettings as wrong:
        sys.stderr.write(f'{wrong}\n')
        return EXIT_USAGE_ERROR


if __name__ == '__main__':
    sys.exit(main())
