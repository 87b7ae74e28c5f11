"""Plain proxy to one target: the baseline for the latency of a node.

It uses the same server and client libraries as the node and makes no
decisions, so its latency is the cost of the libraries alone.
"""

import sys
from collections.abc import Iterable
from typing import Any

from cheroot import wsgi

from ebonycleat.internal.connection.target_client import (
    TargetClient,
    TargetResponse,
    create_target_client,
)

THREADS = 64
TIMEOUT_S = 5.0


class Passthrough:
    """WSGI application that forwards requests to one target."""

    def __init__(self, client: TargetClient) -> None:
        """Forward requests through ``client``."""
        self.client = client

    def __call__(
        self,
        environment: dict[str, Any],
        start_response: Any,
    ) -> Iterable[bytes]:
        """Forward one request and return its answer."""
        answer = self.client.send(
            environment['REQUEST_METHOD'],
            environment['REQUEST_URI'],
            (),
            b'',
            TIMEOUT_S,
        )
        if not isinstance(answer, TargetResponse):
            start_response('502 Bad Gateway', [('Content-Length', '0')])
            return []
        start_response(
            f'{answer.status} OK',
            [('Content-Length', str(len(answer.body)))],
        )
        return [answer.body]


def main(arguments: list[str]) -> None:
    """Serve on the first port and forward to the second until killed."""
    own_port, target_port = map(int, arguments)
    client = create_target_client('127.0.0.1', target_port, THREADS)
    server = wsgi.Server(
        ('127.0.0.1', own_port),
        Passthrough(client),
        numthreads=THREADS,
    )
    server.safe_start()


if __name__ == '__main__':
    main(sys.argv[1:])
