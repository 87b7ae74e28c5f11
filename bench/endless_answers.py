"""Peak memory of a mesh node whose target sends bodies without end.

One node runs as a process of its own, with a target whose answers never end on
any of many connections at a time. ``--check`` fails if the node took more
memory than the smallest VMs allow, or if a caller got no failure.
"""

import argparse
import asyncio
import collections
import contextlib
import pathlib
import sys
import tempfile

from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
    SendResult,
    accept_any_headers,
)
from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    encode_request,
)
from ebonycleat_tools.platform.proxy import (
    CHUNK_BYTES,
    FaultyProxy,
    ProxyMode,
    repeat_chunk,
)
from ebonycleat_tools.platform.soak_environment import (
    SERVICE,
    SoakEnvironment,
)
from ebonycleat_tools.platform.soak_plan import SoakPlan

MAX_MEMORY_MB = 200
KB_PER_MB = 1024
START_S = 8
TIMEOUT_S = 5
BAD_GATEWAY = 502


def write_open_route(environment: SoakEnvironment) -> None:
    """Write a configuration whose only route needs no key and has no rate."""
    environment.store.write_configuration({
        'version': '00000010',
        'routes': {
            'open': {
                'host': 'maps.example',
                'pathPrefix': '/open/',
                'routeType': 'non_idempotent',
                'timeoutS': TIMEOUT_S,
                'attempts': 1,
                'service': SERVICE,
                'authExempt': True,
            },
        },
        'services': {SERVICE: {}},
        'limits': {},
    })


async def send_request(environment: SoakEnvironment, number: int) -> SendResult:
    """Send one request to the node and return its result."""
    result: asyncio.Future[SendResult] = (
        asyncio.get_running_loop().create_future()
    )
    headers = (('host', 'maps.example'), ('x-request-id', f'id-{number}'))
    environment.nodes[0].callers.send(
        OutgoingRequest(
            encode_request('POST', f'/open/{number}', headers, b''),
            accept_any_headers,
        ),
        result.set_result,
    )
    return await result


def read_peak_memory_mb(process_id: int) -> float:
    """Return the largest resident size that a process has had."""
    status = pathlib.Path(f'/proc/{process_id}/status').read_text(
        encoding='utf-8'
    )
    fields = dict(line.split(':', 1) for line in status.splitlines())
    return int(fields['VmHWM'].split()[0]) / KB_PER_MB


def send_endless_bodies(proxy: FaultyProxy, chunk_bytes: int) -> None:
    """Send bodies without end in chunks of this size."""
    proxy.endless_chunks = repeat_chunk(chunk_bytes)
    proxy.change_mode(ProxyMode.ENDLESS_BODIES)


async def measure(
    connections: int, chunk_bytes: int, folder: str
) -> tuple[float, str]:
    """Return the peak memory in MB, and how often callers got which status."""
    plan = SoakPlan(nodes=1, zones=1, slots=connections, folder=folder)
    async with contextlib.AsyncExitStack() as stack:
        environment = SoakEnvironment(plan, stack)
        await environment.start()
        write_open_route(environment)
        await asyncio.sleep(START_S)
        send_endless_bodies(environment.nodes[0].proxy, chunk_bytes)
        results = await asyncio.gather(
            *(send_request(environment, one) for one in range(connections))
        )
        process = environment.nodes[0].process.process
        memory_mb = 0 if process is None else read_peak_memory_mb(process.pid)
    statuses = collections.Counter(
        result.status if isinstance(result, HttpResponse) else 0
        for result in results
    )
    return memory_mb, ', '.join(
        f'{status}: {count}' for status, count in sorted(statuses.items())
    )


def main() -> int:
    """Measure once and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--connections', type=int, default=200)
    parser.add_argument('--chunk-bytes', type=int, default=CHUNK_BYTES)
    parser.add_argument('--check', action='store_true')
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        memory_mb, statuses = asyncio.run(
            measure(arguments.connections, arguments.chunk_bytes, folder)
        )
    sys.stdout.write(f'peak memory {memory_mb:.0f} MB; statuses {statuses}\n')
    is_within = memory_mb <= MAX_MEMORY_MB and statuses == (
        f'{BAD_GATEWAY}: {arguments.connections}'
    )
    return int(arguments.check and not is_within)


if __name__ == '__main__':
    sys.exit(main())
