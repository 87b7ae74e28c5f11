"""HTML report of a load run: one file with inline SVG and no other files."""

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
    """One line of a plot, as pairs of x and y values."""

    name: str
    points: Sequence[tuple[float, float]]


def create_report(results: LoadResults, title: str) -> str:
    """Return the report as an HTML page."""
    fields = results.to_dict()
    buckets = fields['buckets']
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
        _group_table(fields['groups']),
        '<h2>Refused attempts</h2>',
        _refusal_table(fields['groups']),
    )
    return PAGE.format(title=html.escape(title), content='\n'.join(sections))


def plot(curves: Sequence[Curve]) -> str:
    """Return an SVG image of the curves, with axes that start at zero."""
    points = [point for curve in curves for point in curve.points]
    max_x = max((x_value for x_value, _ in points), default=0) or 1
    max_y = max((y_value for _, y_value in points), default=0) or 1
    polylines = [
        _polyline(curve, position, max_x, max_y)
        for position, curve in enumerate(curves)
    ]
    return '\n'.join((
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">',
        _axes(max_x, max_y),
        *polylines,
        '</svg>',
    ))


def _polyline(curve: Curve, position: int, max_x: float, max_y: float) -> str:
    color = COLORS[position % len(COLORS)]
    path = ' '.join(
        f'{_to_image_x(x_value / max_x):.1f},{_to_image_y(y_value / max_y):.1f}'
        for x_value, y_value in curve.points
    )
    return (
        f'<polyline fill="none" stroke="{color}" points="{path}"/>'
        f'<text x="{MARGIN + 110 * position}" y="14" fill="{color}">'
        f'{html.escape(curve.name)}</text>'
    )


def _axes(max_x: float, max_y: float) -> str:
    bottom = HEIGHT - MARGIN
    right = WIDTH - MARGIN
    axes = f'<path d="M{MARGIN} 24 V{bottom} H{right}" {AXIS_STYLE}/>'
    max_label = f'<text x="2" y="36">{max_y:.4g}</text>'
    min_label = f'<text x="2" y="{bottom}">0</text>'
    right_label = (
        f'<text x="{right - MARGIN}" y="{HEIGHT - 16}">{max_x:g} s</text>'
    )
    return ''.join((axes, max_label, min_label, right_label))


def _to_image_x(fraction: float) -> float:
    return MARGIN + fraction * (WIDTH - 2 * MARGIN)


def _to_image_y(fraction: float) -> float:
    return HEIGHT - MARGIN - fraction * (HEIGHT - MARGIN * 1.5)


def _curve(
    buckets: Iterable[Mapping[str, Any]],
    field: str,
    name: str,
    factor: float,
) -> Curve:
    points = [(bucket['at_s'], bucket[field] * factor) for bucket in buckets]
    return Curve(name, points)


def _group_table(groups: Sequence[Mapping[str, Any]]) -> str:
    field_names = groups[0] if groups else ()
    columns = [name for name in field_names if name != 'refusals']
    rows = [_row('th', columns)]
    for group in groups:
        rows.append(_row('td', [_cell(group[name]) for name in columns]))
    return '\n'.join(('<table>', *rows, '</table>'))


def _refusal_table(groups: Sequence[Mapping[str, Any]]) -> str:
    rows = [_row('th', ['team', 'class', 'reason and outcome', 'attempts'])]
    for group in groups:
        for refusal, count in group['refusals'].items():
            cells = [group['team'], group['class'], refusal, str(count)]
            rows.append(_row('td', cells))
    return '\n'.join(('<table>', *rows, '</table>'))


def _row(tag: str, cells: Sequence[str]) -> str:
    inner = ''.join(f'<{tag}>{html.escape(cell)}</{tag}>' for cell in cells)
    return f'<tr>{inner}</tr>'


def _cell(value: object) -> str:
    return f'{value:.4f}' if isinstance(value, float) else str(value)
