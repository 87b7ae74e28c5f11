"""What the demo claims, and the table that shows whether it held."""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One line of the table: what was claimed, and what was seen."""

    claim: str
    seen: str
    holds: bool


def table_of(claims: Sequence[Claim]) -> str:
    """Render the claims as a table."""
    width = max(len(claim.claim) for claim in claims)
    return '\n'.join(
        f'{"ok  " if claim.holds else "FAIL"}  '
        f'{claim.claim.ljust(width)}  {claim.seen}'
        for claim in claims
    )
