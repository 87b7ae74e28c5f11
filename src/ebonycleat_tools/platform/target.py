"""Emulates a target: runs requests in slots, and sends heartbeats."""

import asyncio
import dataclasses
import json
import weakref

from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
    SendResult,
    accept_any_headers,
)
from ebonycleat.internal.connection.http_listener import (
    Exchange,
    ExchangeHandler,
    ServerConnection,
)
from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
    encode_request,
    encode_response,
    find_header,
)
from ebonycleat.internal.connection.http_pool import ConnectionPool

OK = 200
MISDIRECTED = 421
UNAVAILABLE = 503
HEARTBEAT_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class EmulatedTargetOptions:
    """Identity, slots and service time of an emulated target.

    ``slots`` is what it reports. Without ``usable_slots`` it refuses what it
    cannot run; with it, it runs that many requests and leaves the others, and
    all that follow on their connections, without any answer.
    ``answer_headers`` go with each answer to a request that has run, and so
    does ``answer_body``; without one the body names the request. A target
    that ``repeats_refusals`` sends each one a second time, before its answer to
    the next request on the connection.
    """

    instance: str
    service: str
    started_ms: int = 1
    slots: int = 4
    work_s: float = 0
    usable_slots: int | None = None
    answer_headers: tuple[tuple[str, str], ...] = ()
    repeats_refusals: bool = False
    answer_body: bytes = b''


class EmulatedTarget(ExchangeHandler):
    """Runs requests and records them."""

    def __init__(
        self, options: EmulatedTargetOptions, control: ConnectionPool
    ) -> None:
        """``control`` connects to the control address of the node."""
        self.options = options
        self.control = control
        self.received_requests: list[HttpRequest] = []
        self.running = 0
        self.abandoned = 0
        self.unanswered = 0
        self.sequence = 0
        self.repeated_refusals = 0
        self.state = 'ready'
        self.refusals: weakref.WeakKeyDictionary[
            ServerConnection, HttpResponse
        ] = weakref.WeakKeyDictionary()

    def handle_exchange(self, exchange: Exchange) -> None:
        """Run a request, or answer that it has not run.

        It has not run if it was meant for another instance (421) or if all
        slots are occupied (503 with ``x-not-executed``).
        """
        self.repeat_refusal(exchange.connection)
        request = exchange.request
        expected = find_header(request.headers, 'x-expected-instance')
        request_id = find_header(request.headers, 'x-request-id')
        echoed = (('x-request-id', request_id),)
        if expected and expected != self.options.instance:
            exchange.respond(HttpResponse(MISDIRECTED, echoed))
        elif self.running < self.count_usable_slots():
            self.run(exchange)
        elif self.options.usable_slots is None:
            refusal = HttpResponse(
                UNAVAILABLE, (*echoed, ('x-not-executed', '1'))
            )
            self.refusals[exchange.connection] = refusal
            exchange.respond(refusal)
        else:
            self.unanswered += 1

    def repeat_refusal(self, connection: ServerConnection) -> None:
        """Send the last refusal of a connection again, if that is asked for.

        Every other one does not name its request.
        """
        refusal = self.refusals.pop(connection, None)
        is_repeated = refusal is not None and self.options.repeats_refusals
        if refusal is None or not is_repeated or connection.transport is None:
            return
        self.repeated_refusals += 1
        if self.repeated_refusals % 2:
            refusal = HttpResponse(refusal.status, refusal.headers[1:])
        connection.transport.write(
            encode_response(refusal, close=False, is_head=False)
        )

    def count_usable_slots(self) -> int:
        """Return how many requests may run at a time."""
        if self.options.usable_slots is None:
            return self.options.slots
        return self.options.usable_slots

    def run(self, exchange: Exchange) -> None:
        """Record a request, and answer it after the service time."""
        self.received_requests.append(exchange.request)
        self.running += 1
        exchange.on_abandoned = self.record_abandoned
        asyncio.get_running_loop().call_later(
            self.options.work_s,
            self.finish,
            exchange,
        )

    def record_abandoned(self) -> None:
        """Count a run whose connection was closed before the answer."""
        self.abandoned += 1

    def finish(self, exchange: Exchange) -> None:
        """Free the slot and answer with the signature of this target."""
        self.running -= 1
        request_id = find_header(exchange.request.headers, 'x-request-id')
        headers = (
            ('x-request-id', request_id),
            ('x-server-signature', self.options.instance),
            *self.options.answer_headers,
        )
        body = self.options.answer_body or f'by {request_id}'.encode()
        exchange.respond(HttpResponse(OK, headers, body))

    async def send_heartbeat(self) -> HttpResponse | None:
        """Send one heartbeat to the node and return its response."""
        self.sequence += 1
        heartbeat = {
            'address': '127.0.0.1:1',
            'born': self.options.started_ms,
            'info': {
                'service': self.options.service,
                'version': 'v1',
                'zone': 'a',
                'slots': self.options.slots,
            },
            'status': {
                'state': self.state,
                'seq': self.sequence,
                'warmupLeftS': 0,
            },
        }
        return await self.send_to_node('PUT', json.dumps(heartbeat).encode())

    async def leave(self) -> HttpResponse | None:
        """Tell the node that this target is leaving."""
        return await self.send_to_node('DELETE', b'')

    async def send_to_node(
        self, method: str, body: bytes
    ) -> HttpResponse | None:
        """Send a request to the node; returns None if there is no response."""
        response_future: asyncio.Future[SendResult] = (
            asyncio.get_running_loop().create_future()
        )
        path = f'/instances/{self.options.instance}'
        self.control.send(
            OutgoingRequest(
                encode_request(method, path, (('host', 'node'),), body),
                accept_any_headers,
            ),
            response_future.set_result,
        )
        result = await response_future
        return result if isinstance(result, HttpResponse) else None

    async def send_heartbeats_until_cancelled(self) -> None:
        """Send a heartbeat every ``HEARTBEAT_INTERVAL_S`` seconds."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
