"""What the demo claims, and the table that shows whether it held."""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """One line of the table: what was claimed, and what was seen."""

    description: str
    observed: str
    passed: bool


def format_table(claims: Sequence[CheckResult]) -> str:
    """Render the claims as a table."""
    width = max(len(claim.description) for claim in claims)
    return '\n'.join(
        f'{"ok  " if claim.passed else "FAIL"}  '
        f'{claim.description.ljust(width)}  {claim.observed}'
        for claim in claims
    )
