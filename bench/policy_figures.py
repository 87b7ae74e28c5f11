"""Figures of a simulation run and the bounds that they must meet."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value with bounds, which are targets of the design."""

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
        """The bound as text; ``-`` without bounds."""
        if self.at_least is not None:
            return f'>= {self.at_least:g}'
        if self.at_most is not None:
            return f'<= {self.at_most:g}'
        return '-'


def format_table(figures: list[Figure]) -> str:
    """Format the figures as a table."""
    lines = [
        _format_row('scenario', 'variant', 'figure', 'measured', 'bound', '')
    ]
    for figure in figures:
        verdict = '' if figure.bound == '-' else 'met'
        lines.append(
            _format_row(
                figure.scenario,
                figure.variant,
                figure.name,
                f'{figure.measured:.4g}',
                figure.bound,
                verdict if figure.is_met else 'MISSED',
            ),
        )
    return '\n'.join(lines)


def _format_row(*cells: str) -> str:
    widths = (26, 18, 44, 10, 9, 6)
    padded = [
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    ]
    return ' '.join(padded).rstrip()
