"""The small HTTP services of a node: ready, control and metrics."""

from collections.abc import Callable

from ebonycleat.internal.connection.http_listener import (
    Exchange,
    ExchangeHandler,
)
from ebonycleat.internal.connection.http_messages import HttpAnswer
from ebonycleat.internal.connection.mesh_ports import (
    ControlDialect,
    TargetWord,
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

    def begin(self, exchange: Exchange) -> None:
        """Answer at once."""
        status = OK if self.is_ready() else SERVICE_UNAVAILABLE
        exchange.answer(HttpAnswer(status))


class ControlService(ExchangeHandler):
    """Hears the own target, and acknowledges at once."""

    def __init__(
        self,
        dialect: ControlDialect,
        on_message: Callable[[TargetWord], None],
    ) -> None:
        """Decode with ``dialect`` and report to ``on_word``."""
        self.dialect = dialect
        self.on_message = on_message

    def begin(self, exchange: Exchange) -> None:
        """Act on a message before it is acknowledged."""
        word = self.dialect.read_word(exchange.request)
        self.on_message(word)
        exchange.answer(self.dialect.render_acknowledgement(word))


class MetricsService(ExchangeHandler):
    """Gives all figures as text."""

    def __init__(self, path: str, render: Callable[[], str]) -> None:
        """Serve ``render`` at ``path``."""
        self.path = path
        self.render = render

    def begin(self, exchange: Exchange) -> None:
        """Answer at once."""
        if exchange.request.target.partition('?')[0] != self.path:
            exchange.answer(HttpAnswer(NOT_FOUND))
            return
        body = self.render().encode()
        exchange.answer(HttpAnswer(OK, TEXT_HEADERS, body))
