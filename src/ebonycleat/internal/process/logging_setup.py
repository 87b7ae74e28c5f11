"""Structured log lines: one JSON object per line, for changes of state."""

import json
import logging
import sys
from typing import Any, Protocol

# Attributes that every record has; whatever else is on a record was given
# by the caller as a field.
_STANDARD_FIELDS = frozenset((
    *logging.makeLogRecord({}).__dict__,
    'message',
    'asctime',
    'taskName',
))

# urllib3 warns about each connection beyond the pool, which is normal in a
# surge and would write a line per request. The others report each step of
# their own start.
_NOISY_LOGGERS = ('urllib3', 'cherrypy.error', 'websockets')


class LineStream(Protocol):
    """What log lines are written to."""

    def write(self, text: str, /) -> object:
        """Write a line."""

    def flush(self) -> object:
        """Write out what is buffered."""


class JsonLineFormatter(logging.Formatter):
    """Formats records with their extra fields; never raises."""

    def __init__(self, process_name: str) -> None:
        """``process_name`` is the node id or the program's name."""
        super().__init__()
        self.process_name = process_name

    def format(self, record: logging.LogRecord) -> str:
        """Return one line; line breaks inside values are escaped."""
        line: dict[str, Any] = {
            'time': round(record.created, 3),
            'level': record.levelname,
            'process': self.process_name,
            'logger': record.name,
            'event': record.getMessage(),
        }
        for name, found in record.__dict__.items():
            if name not in _STANDARD_FIELDS:
                line[name] = found
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def set_up_logging(
    level: str,
    process_name: str,
    stream: LineStream | None = None,
) -> logging.Handler:
    """Send all log lines of the process to ``stream`` (standard error).

    Returns the handler, so that a test can remove it again. Give fields as
    ``logger.info('lease lost', extra={'slot': ...})``.
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
