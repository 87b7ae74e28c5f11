"""Emulates a target: runs requests in slots, and announces itself."""

import asyncio
import dataclasses
import json

from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
    SendResult,
)
from ebonycleat.internal.connection.http_listener import (
    Exchange,
    ExchangeHandler,
)
from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
    encode_request,
    find_header,
)
from ebonycleat.internal.connection.http_pool import ConnectionPool

OK = 200
MISDIRECTED = 421
UNAVAILABLE = 503
HEARTBEAT_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class EmulatedTargetOptions:
    """What an emulated target is, and how long its work takes."""

    instance: str
    service: str
    started_ms: int = 1
    slots: int = 4
    work_s: float = 0


class EmulatedTarget(ExchangeHandler):
    """Runs requests, and keeps what it was asked for."""

    def __init__(
        self, plan: EmulatedTargetOptions, control: ConnectionPool
    ) -> None:
        """Announce itself through ``control``."""
        self.plan = plan
        self.control = control
        self.received_requests: list[HttpRequest] = []
        self.running = 0
        self.abandoned = 0
        self.sequence = 0
        self.state = 'ready'

    def handle_exchange(self, exchange: Exchange) -> None:
        """Run a request, or say that it has not run."""
        request = exchange.request
        expected = find_header(request.headers, 'x-expected-instance')
        if expected and expected != self.plan.instance:
            exchange.respond(HttpResponse(MISDIRECTED))
        elif self.running < self.plan.slots:
            self.run(exchange)
        else:
            exchange.respond(
                HttpResponse(UNAVAILABLE, (('x-not-executed', '1'),)),
            )

    def run(self, exchange: Exchange) -> None:
        """Work on a request and answer it."""
        self.received_requests.append(exchange.request)
        self.running += 1
        exchange.on_abandoned = self.note_abandoned
        asyncio.get_running_loop().call_later(
            self.plan.work_s,
            self.finish,
            exchange,
        )

    def note_abandoned(self) -> None:
        """Count a run whose connection was closed."""
        self.abandoned += 1

    def finish(self, exchange: Exchange) -> None:
        """Answer with the signature of this target."""
        self.running -= 1
        request_id = find_header(exchange.request.headers, 'x-request-id')
        headers = (
            ('x-request-id', request_id),
            ('x-server-signature', self.plan.instance),
        )
        body = f'by {request_id}'.encode()
        exchange.respond(HttpResponse(OK, headers, body))

    async def announce(self) -> HttpResponse | None:
        """Send one heartbeat; returns the acknowledgement."""
        self.sequence += 1
        word = {
            'address': '127.0.0.1:1',
            'born': self.plan.started_ms,
            'info': {
                'service': self.plan.service,
                'version': 'v1',
                'zone': 'a',
                'slots': self.plan.slots,
            },
            'status': {
                'state': self.state,
                'seq': self.sequence,
                'warmupLeftS': 0,
            },
        }
        return await self.tell('PUT', json.dumps(word).encode())

    async def leave(self) -> HttpResponse | None:
        """Say that this target ends."""
        return await self.tell('DELETE', b'')

    async def tell(self, method: str, body: bytes) -> HttpResponse | None:
        """Send a message to the node; None without an answer."""
        ended: asyncio.Future[SendResult] = (
            asyncio.get_running_loop().create_future()
        )
        path = f'/instances/{self.plan.instance}'
        self.control.send(
            OutgoingRequest(
                encode_request(method, path, (('host', 'node'),), body),
                _is_any_answer,
            ),
            ended.set_result,
        )
        result = await ended
        return result if isinstance(result, HttpResponse) else None

    async def announce_until_cancelled(self) -> None:
        """Send heartbeats at an interval."""
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)


def _is_any_answer(headers: object) -> bool:
    return True
