"""Set-up of ``logging``: each record is written as one line of JSON."""

import json
import logging
import sys
from typing import Any, Protocol

# Attributes that every log record has. All others were passed by the caller
# in ``extra`` and are written as fields.
_STANDARD_FIELDS = frozenset((
    *logging.makeLogRecord({}).__dict__,
    'message',
    'asctime',
    'taskName',
))

# urllib3 warns about each connection that exceeds its pool. That is normal
# during a surge and would write a line for each request. cherrypy and
# websockets log every step of their start and stop.
_NOISY_LOGGERS = ('urllib3', 'cherrypy.error', 'websockets')


class LineStream(Protocol):
    """The part of a text stream that log handlers use."""

    def write(self, text: str, /) -> object:
        """Write text to the stream."""

    def flush(self) -> object:
        """Write out buffered text."""


class JsonLineFormatter(logging.Formatter):
    """Formats a record and its extra fields as one JSON object.

    Values that JSON does not support are written as their ``str()``.
    """

    def __init__(self, process_name: str) -> None:
        """Format for a process with this node id or program name."""
        super().__init__()
        self.process_name = process_name

    def format(self, record: logging.LogRecord) -> str:
        """Return one line; line breaks within values are escaped."""
        line: dict[str, Any] = {
            'time': round(record.created, 3),
            'level': record.levelname,
            'process': self.process_name,
            'logger': record.name,
            'event': record.getMessage(),
        }
        for name, field_value in record.__dict__.items():
            if name not in _STANDARD_FIELDS:
                line[name] = field_value
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def set_up_logging(
    level: str,
    process_name: str,
    stream: LineStream | None = None,
) -> logging.Handler:
    """Write all log records of the process to ``stream``.

    The default stream is standard error. A handler of an earlier call is
    replaced. Returns the handler, so that a test can remove it. Fields are
    passed as in ``logger.info('slots lost', extra={'count': 2})``.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonLineFormatter(process_name))
    root = logging.getLogger()
    for earlier in tuple(root.handlers):
        if isinstance(earlier.formatter, JsonLineFormatter):
            root.removeHandler(earlier)
    root.addHandler(handler)
    root.setLevel(level)
    for noisy in _NOISY_LOGGERS:
        logging.getLogger(noisy).setLevel(logging.ERROR)
    return handler
