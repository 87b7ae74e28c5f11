"""The small HTTP services of a node: ready, control and metrics."""

from collections.abc import Callable

from ebonycleat.internal.connection.http_listener import (
    Exchange,
    ExchangeHandler,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.platform_interfaces import (
    ControlProtocol,
    ControlMessage,
)

OK = 200
NOT_FOUND = 404
SERVICE_UNAVAILABLE = 503
TEXT_HEADERS = (('content-type', 'text/plain; charset=utf-8'),)


class ReadinessService(ExchangeHandler):
    """Says whether callers should come here."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Ask ``is_ready`` each time."""
        self.is_ready = is_ready

    def handle_exchange(self, exchange: Exchange) -> None:
        """Answer at once."""
        status = OK if self.is_ready() else SERVICE_UNAVAILABLE
        exchange.respond(HttpResponse(status))


class ControlService(ExchangeHandler):
    """Hears the own target, and acknowledges at once."""

    def __init__(
        self,
        dialect: ControlProtocol,
        on_message: Callable[[ControlMessage], None],
    ) -> None:
        """Decode with ``dialect`` and report to ``on_word``."""
        self.dialect = dialect
        self.on_message = on_message

    def handle_exchange(self, exchange: Exchange) -> None:
        """Act on a message before it is acknowledged."""
        word = self.dialect.parse_message(exchange.request)
        self.on_message(word)
        exchange.respond(self.dialect.render_acknowledgement(word))


class MetricsService(ExchangeHandler):
    """Gives all figures as text."""

    def __init__(self, path: str, render: Callable[[], str]) -> None:
        """Serve ``render`` at ``path``."""
        self.path = path
        self.render = render

    def handle_exchange(self, exchange: Exchange) -> None:
        """Answer at once."""
        if exchange.request.request_target.partition('?')[0] != self.path:
            exchange.respond(HttpResponse(NOT_FOUND))
            return
        body = self.render().encode()
        exchange.respond(HttpResponse(OK, TEXT_HEADERS, body))
