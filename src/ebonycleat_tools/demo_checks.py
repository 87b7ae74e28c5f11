"""Results of the demo's checks, and the table that shows them."""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """One line of the table: what was claimed, and what was seen."""

    description: str
    observed: str
    passed: bool


def format_table(results: Sequence[CheckResult]) -> str:
    """Render the results as a table for the terminal."""
    width = max(len(result.description) for result in results)
    return '\n'.join(
        f'{"ok  " if result.passed else "FAIL"}  '
        f'{result.description.ljust(width)}  {result.observed}'
        for result in results
    )
