"""Figures of a run, and the bounds that they are compared with."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value; bounds come from the targets of the design."""

    scenario: str
    variant: str
    name: str
    measured: float
    at_least: float | None = None
    at_most: float | None = None

    @property
    def is_met(self) -> bool:
        """Whether the value is within its bounds; true without bounds."""
        if self.at_least is not None and self.measured < self.at_least:
            return False
        return self.at_most is None or self.measured <= self.at_most

    @property
    def bound(self) -> str:
        """The bound in words."""
        if self.at_least is not None:
            return f'>= {self.at_least:g}'
        if self.at_most is not None:
            return f'<= {self.at_most:g}'
        return '-'


def format_table(figures: list[Figure]) -> str:
    """Lay the figures out as one table."""
    lines = [_row('scenario', 'variant', 'figure', 'measured', 'bound', '')]
    for figure in figures:
        verdict = '' if figure.bound == '-' else 'met'
        lines.append(
            _row(
                figure.scenario,
                figure.variant,
                figure.name,
                f'{figure.measured:.4g}',
                figure.bound,
                verdict if figure.is_met else 'MISSED',
            ),
        )
    return '\n'.join(lines)


def _row(*cells: str) -> str:
    widths = (26, 18, 44, 10, 9, 6)
    padded = [
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    ]
    return ' '.join(padded).rstrip()
