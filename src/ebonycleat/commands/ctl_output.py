"""Shows answers to operators as text."""

import dataclasses
import datetime
import enum
from collections.abc import Iterator, Sequence
from typing import Any

from ebonycleat.internal.connection.operator_messages import OperatorAnswer
from ebonycleat.internal.version.change_checks import format_number


def format_answer(answer: OperatorAnswer) -> str:
    """Write an answer as lines for people, with a table for each list."""
    lines = [answer.message] if answer.message else []
    if answer.lost_to is not None:
        lines.extend(format_table((answer.lost_to,)))
    lists = (
        answer.teams,
        answer.keys,
        answer.routes,
        answer.nodes,
        answer.refusals,
        answer.history,
    )
    for rows in lists:
        lines.extend(format_table(rows))
    return '\n'.join(lines) or 'nothing to show'


def format_table(rows: Sequence[Any]) -> Iterator[str]:
    """Yield a header and a line for each dataclass instance."""
    if not rows:
        return
    names = [field.name for field in dataclasses.fields(rows[0])]
    table = [
        [name.replace('_', ' ') for name in names],
        *(
            [_show_cell(name, getattr(row, name)) for name in names]
            for row in rows
        ),
    ]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        cells = zip(line, widths, strict=True)
        yield '  '.join(cell.ljust(width) for cell, width in cells).rstrip()


def _show_cell(name: str, cell: object) -> str:
    if name == 'issued_at' and isinstance(cell, float):
        return _show_time(cell)
    text = _show_plain(cell)
    # Texts out of the log must not control the terminal.
    return text if text.isprintable() else ascii(text)


def _show_plain(cell: object) -> str:
    match cell:
        case bool():
            return 'yes' if cell else 'no'
        case enum.IntEnum():
            return cell.name.lower()
        case float():
            return format_number(cell)
        case (str(), float() | int()):
            return f'{cell[0]}={_show_plain(cell[1])}'
        case tuple():
            return '; '.join(map(_show_plain, cell))
    return str(cell)


def _show_time(seconds: float) -> str:
    try:
        moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (OverflowError, OSError, ValueError):
        return format_number(seconds)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')
