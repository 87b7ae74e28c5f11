"""The auxiliary HTTP services of a node: readiness, control and metrics."""

from collections.abc import Callable

from ebonycleat.internal.connection.http_listener import (
    Exchange,
    ExchangeHandler,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.platform_interfaces import (
    ControlMessage,
    ControlProtocol,
)

OK = 200
NOT_FOUND = 404
SERVICE_UNAVAILABLE = 503
TEXT_HEADERS = (('content-type', 'text/plain; charset=utf-8'),)


class ReadinessService(ExchangeHandler):
    """Answers readiness probes: 200 when callers may send requests here."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Evaluate ``is_ready`` for every probe."""
        self.is_ready = is_ready

    def handle_exchange(self, exchange: Exchange) -> None:
        """Answer 200 or 503."""
        status = OK if self.is_ready() else SERVICE_UNAVAILABLE
        exchange.respond(HttpResponse(status))


class ControlService(ExchangeHandler):
    """Receives control messages of the own target and acknowledges them."""

    def __init__(
        self,
        protocol: ControlProtocol,
        on_message: Callable[[ControlMessage], None],
    ) -> None:
        """Decode requests with ``protocol`` and pass them to ``on_message``."""
        self.protocol = protocol
        self.on_message = on_message

    def handle_exchange(self, exchange: Exchange) -> None:
        """Process a message, then acknowledge it.

        A message that was acknowledged has therefore taken effect.
        """
        message = self.protocol.parse_message(exchange.request)
        self.on_message(message)
        exchange.respond(self.protocol.render_acknowledgement(message))


class MetricsService(ExchangeHandler):
    """Serves the node's metrics as plain text."""

    def __init__(self, path: str, render: Callable[[], str]) -> None:
        """Answer ``path`` with what ``render`` returns; others get 404."""
        self.path = path
        self.render = render

    def handle_exchange(self, exchange: Exchange) -> None:
        """Answer with the metrics, or with 404 for other paths."""
        if exchange.request.request_target.partition('?')[0] != self.path:
            exchange.respond(HttpResponse(NOT_FOUND))
            return
        body = self.render().encode()
        exchange.respond(HttpResponse(OK, TEXT_HEADERS, body))
