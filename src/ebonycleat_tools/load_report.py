"""HTML report of a load run: one file with inline SVG, readable offline."""

import dataclasses
import html
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from ebonycleat_tools.load_results import LoadResults

WIDTH = 900
HEIGHT = 220
MARGIN = 48
MS_PER_S = 1000
AXIS_STYLE = 'fill="none" stroke="#444"'
COLORS = ('#1b6ca8', '#c8553d', '#6a994e', '#7b5ea7')

PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title>
<style>
body {{ font-family: sans-serif; margin: 2em; max-width: 60em; }}
td, th {{ padding: 0.2em 0.7em; text-align: right; }}
th {{ border-bottom: 1px solid #888; }}
</style></head><body><h1>{title}</h1>
{content}
</body></html>
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Curve:
    """One line of a plot, as pairs of x and y."""

    name: str
    points: Sequence[tuple[float, float]]


def create_report(results: LoadResults, title: str) -> str:
    """The whole page as text."""
    described = results.to_dict()
    buckets = described['buckets']
    sections = (
        '<h2>Latency of answers over time, in ms</h2>',
        plot([
            _curve(buckets, 'p50_s', 'p50', MS_PER_S),
            _curve(buckets, 'p99_s', 'p99', MS_PER_S),
            _curve(buckets, 'p999_s', 'p99.9', MS_PER_S),
        ]),
        '<h2>Requests over time, per second</h2>',
        plot([
            _curve(buckets, name, name, 1 / results.bucket_s)
            for name in ('offered', 'answered', 'refused', 'errors')
        ]),
        '<h2>Teams and classes</h2>',
        _table(described['groups']),
        '<h2>Refused attempts</h2>',
        _refusals(described['groups']),
    )
    return PAGE.format(title=html.escape(title), content='\n'.join(sections))


def plot(curves: Sequence[Curve]) -> str:
    """Draw curves over one pair of axes that start at zero."""
    points = [point for curve in curves for point in curve.points]
    right = max((x_value for x_value, _ in points), default=0) or 1
    top = max((y_value for _, y_value in points), default=0) or 1
    lines = [
        _line(curve, number, right, top) for number, curve in enumerate(curves)
    ]
    return '\n'.join((
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">',
        _axes(right, top),
        *lines,
        '</svg>',
    ))


def _line(curve: Curve, number: int, right: float, top: float) -> str:
    color = COLORS[number % len(COLORS)]
    path = ' '.join(
        f'{_scale_x(x_value / right):.1f},{_scale_y(y_value / top):.1f}'
        for x_value, y_value in curve.points
    )
    return (
        f'<polyline fill="none" stroke="{color}" points="{path}"/>'
        f'<text x="{MARGIN + 110 * number}" y="14" fill="{color}">'
        f'{html.escape(curve.name)}</text>'
    )


def _axes(right: float, top: float) -> str:
    bottom = HEIGHT - MARGIN
    edge = WIDTH - MARGIN
    lines = f'<path d="M{MARGIN} 24 V{bottom} H{edge}" {AXIS_STYLE}/>'
    highest = f'<text x="2" y="36">{top:.4g}</text>'
    lowest = f'<text x="2" y="{bottom}">0</text>'
    last = f'<text x="{edge - MARGIN}" y="{HEIGHT - 16}">{right:g} s</text>'
    return ''.join((lines, highest, lowest, last))


def _scale_x(share: float) -> float:
    return MARGIN + share * (WIDTH - 2 * MARGIN)


def _scale_y(share: float) -> float:
    return HEIGHT - MARGIN - share * (HEIGHT - MARGIN * 1.5)


def _curve(
    buckets: Iterable[Mapping[str, Any]],
    field: str,
    name: str,
    factor: float,
) -> Curve:
    points = [(bucket['at_s'], bucket[field] * factor) for bucket in buckets]
    return Curve(name, points)


def _table(groups: Sequence[Mapping[str, Any]]) -> str:
    names = groups[0] if groups else ()
    columns = [name for name in names if name != 'refusals']
    rows = [_row('th', columns)]
    for group in groups:
        rows.append(_row('td', [_cell(group[name]) for name in columns]))
    return '\n'.join(('<table>', *rows, '</table>'))


def _refusals(groups: Sequence[Mapping[str, Any]]) -> str:
    rows = [_row('th', ['team', 'class', 'reason and outcome', 'attempts'])]
    for group in groups:
        for refusal, count in group['refusals'].items():
            cells = [group['team'], group['class'], refusal, str(count)]
            rows.append(_row('td', cells))
    return '\n'.join(('<table>', *rows, '</table>'))


def _row(tag: str, cells: Sequence[str]) -> str:
    inner = ''.join(f'<{tag}>{html.escape(cell)}</{tag}>' for cell in cells)
    return f'<tr>{inner}</tr>'


def _cell(found: object) -> str:
    return f'{found:.4f}' if isinstance(found, float) else str(found)
