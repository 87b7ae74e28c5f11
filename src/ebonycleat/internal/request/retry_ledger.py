"""Divides the retry limit of a root request among the calls of its call tree.

Independent retries multiply from hop to hop: with 2 retries per hop, a chain
of 13 hops turns one request into up to 3^13 calls. Here every retry in the
call tree is taken from the one limit of the root request. A lost message can
lose a part of that allowance, but nothing can increase it.
"""


class RetryLedger:
    """The retries that one hop may make or lend to its downstream calls."""

    def __init__(self, allowance: int) -> None:
        """Start with the retries lent by the upstream hop.

        At the root this is the retry limit of the route. Raises
        ``ValueError`` for a negative number.
        """
        if allowance < 0:
            raise ValueError(
                f'the retry allowance must be 0 or more, found {allowance}'
            )
        self.balance = allowance
        self.lent: dict[str, int] = {}

    def take_retry(self) -> bool:
        """Spend one retry; return False when none is left at this hop."""
        if not self.balance:
            return False
        self.balance -= 1
        return True

    def lend(self, attempt_id: str, parts_left: int = 1) -> int:
        """Lend a part of the balance to one attempt and return its size.

        ``parts_left`` is the number of calls still expected, this one
        included. Most of the balance is lent, because a retry next to the
        failing hop repeats the least work. A share stays here for attempts
        whose response is lost, since they refund nothing. Raises
        ``ValueError`` if a part is already lent to ``attempt_id``.
        """
        if attempt_id in self.lent:
            raise ValueError(
                f'attempt {attempt_id!r} already has a part of the retry '
                'allowance; use a new attempt id',
            )
        parts = max(1, parts_left)
        lendable = self.balance - self.balance // (parts + 1)
        part = -(-lendable // parts)
        self.balance -= part
        self.lent[attempt_id] = part
        return part

    def refund(self, attempt_id: str, unused: int) -> int:
        """Add unused retries of an attempt to the balance; return how many.

        A second refund of the same attempt and a refund after ``write_off``
        add nothing, and no refund adds more than was lent.
        """
        lent = self.lent.pop(attempt_id, 0)
        refunded = max(0, min(unused, lent))
        self.balance += refunded
        return refunded

    def write_off(self, attempt_id: str) -> None:
        """Keep the part of a lost attempt spent; a late refund adds nothing."""
        self.lent.pop(attempt_id, None)

    def close(self) -> int:
        """Return the unused balance for the upstream hop and set it to zero.

        Parts that are still lent are not returned, because the attempts that
        hold them may still spend them.
        """
        unused = self.balance
        self.balance = 0
        self.lent.clear()
        return unused
