"""``ebonycleat-node``: the node beside one target."""

import contextlib
import gc
import logging
import os
import random
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import cherrypy

from ebonycleat.internal.connection.log_client import create_http_log_service
from ebonycleat.internal.connection.peer_transport import PeerIdentity
from ebonycleat.internal.connection.target_client import create_target_client
from ebonycleat.internal.process.clocks import unix_time_ms
from ebonycleat.internal.process.command_line import (
    EXIT_OK,
    EXIT_USAGE_ERROR,
    Program,
    run_program,
)
from ebonycleat.internal.process.event_loop_thread import run_loop_thread
from ebonycleat.internal.process.http_server import (
    HttpApplication,
    HttpLimits,
    run_http_server,
)
from ebonycleat.internal.process.logging_setup import set_up_logging
from ebonycleat.internal.process.node_driver import (
    NodeDriver,
    run_node_driver,
)
from ebonycleat.internal.process.node_factory import (
    RandomSources,
    create_node_core,
)
from ebonycleat.internal.process.settings import NodeSettings
from ebonycleat.internal.process.worker_threads import ThreadPools

logger = logging.getLogger(__name__)

# Threads for requests to the log service.
LOG_SERVICE_THREAD_COUNT = 16
MIN_SECRET_LENGTH = 16
STOP_POLL_INTERVAL_S = 0.1
# How long a thread may hold the interpreter lock while others wait. A call
# moves between threads four times and may wait this long each time; Python's
# default of 5 ms is longer than most calls take. With 0.2 ms a node added
# 5.5 ms at p99 to a local call, with this value 2.2 ms.
THREAD_SWITCH_INTERVAL_S = 0.00002


@contextlib.contextmanager
def running_node(settings: NodeSettings, secret: bytes) -> Iterator[NodeDriver]:
    """Run a node, with its listeners, while the context is open."""
    with contextlib.ExitStack() as stack:
        driver = _create_driver(settings, secret, stack)
        stack.enter_context(
            run_node_driver(
                driver, settings.peers.address, settings.peers.port
            ),
        )
        limits = HttpLimits(
            settings.target.slots + settings.queue_length(),
            settings.callers.max_body_bytes,
        )
        # As a grafted WSGI application, calls bypass the page handlers of
        # cherrypy.
        cherrypy.tree.graft(HttpApplication(driver, limits), '')
        callers = settings.callers
        stack.enter_context(
            run_http_server(
                cherrypy.tree,
                limits,
                callers.address,
                callers.port,
            ),
        )
        yield driver


def _create_driver(
    settings: NodeSettings,
    secret: bytes,
    stack: contextlib.ExitStack,
) -> NodeDriver:
    loop = stack.enter_context(run_loop_thread())
    seed = settings.node.seed or random.SystemRandom().getrandbits(64)
    incarnation = create_incarnation()
    core = create_node_core(
        settings,
        incarnation,
        RandomSources(random.Random(seed), random.SystemRandom()),
        loop.time(),
    )
    target = settings.target
    threads = ThreadPools(
        stack.enter_context(
            ThreadPoolExecutor(LOG_SERVICE_THREAD_COUNT, 'log')
        ),
        stack.enter_context(ThreadPoolExecutor(target.slots, 'target')),
    )
    return NodeDriver(
        core,
        PeerIdentity(settings.node.id, incarnation, secret),
        loop,
        create_http_log_service(
            settings.log.base_url, settings.log.timeout_s, settings.log.era
        ),
        stack.enter_context(
            create_target_client(
                target.host,
                target.port,
                target.slots,
                target.max_answer_bytes,
            ),
        ),
        threads,
    )


def create_incarnation() -> int:
    """Return a number that grows with each start of the process.

    It is the wall clock in milliseconds, because a node stores nothing on its
    VM.
    """
    return unix_time_ms()


def run_until_stopped(settings: NodeSettings) -> int:
    """Run a node until the process is told to stop."""
    secret = os.environ.get(settings.peers.secret_env, '').encode()
    if len(secret) < MIN_SECRET_LENGTH:
        sys.stderr.write(
            f'set the environment variable {settings.peers.secret_env} to '
            f"the fleet's secret of at least {MIN_SECRET_LENGTH} characters\n",
        )
        return EXIT_USAGE_ERROR
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    set_up_logging(settings.logging.level, settings.node.id)
    with running_node(settings, secret) as driver:
        # Excludes the objects created at startup from garbage collection: they
        # live as long as the process, and a full collection of them would
        # pause all calls.
        gc.freeze()
        logger.info('node started', extra={'zone': settings.node.zone})
        run_until_signalled(driver)
    logger.info('node stopped')
    return EXIT_OK


def run_until_signalled(driver: NodeDriver) -> None:
    """Wait for SIGTERM or SIGINT, then drain before the node closes."""
    engine = cherrypy.engine
    cherrypy.log.screen = False
    cherrypy.server.unsubscribe()
    engine.autoreload.unsubscribe()
    engine.signals.subscribe()
    engine.subscribe('stop', driver.drain_until_idle)
    engine.start()
    engine.wait(engine.states.EXITING, interval=STOP_POLL_INTERVAL_S)


def main(argv: list[str] | None = None) -> int:
    """Run the program; returns its exit code."""
    return run_program(
        Program(
            'ebonycleat-node', __doc__ or '', NodeSettings, run_until_stopped
        ),
        argv,
    )


if __name__ == '__main__':
    sys.exit(main())
