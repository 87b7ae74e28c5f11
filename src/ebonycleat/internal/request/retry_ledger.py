"""Retry allowance of one root request, spread over its call tree.

A retry at each hop multiplies: with 2 retries per hop, 13 hops make up to
3^13 calls of one request. Here the retries that anyone in the tree may
still make are always parts of the root's limit. Losing a message can lose
allowance; it can never create any.
"""


class RetryLedger:
    """Allowance held at one hop; parts are lent to calls further down."""

    def __init__(self, allowance: int) -> None:
        """Start with the part handed down by the caller, or the limit."""
        if allowance < 0:
            raise ValueError(f'allowance must be 0 or more, not {allowance}')
        self.balance = allowance
        self.lent: dict[str, int] = {}

    def take_retry(self) -> bool:
        """Spend one retry; false when none is left here."""
        if not self.balance:
            return False
        self.balance -= 1
        return True

    def lend(self, attempt_id: str, parts_left: int = 1) -> int:
        """Lend a part to one attempt; the id must be new.

        ``parts_left`` counts the calls still expected, this one included.
        Most goes down, because a retry near the failure repeats the least
        work; a share stays for answers that are lost and refund nothing.
        """
        if attempt_id in self.lent:
            raise ValueError(f'attempt {attempt_id!r} already has its part')
        parts = max(1, parts_left)
        for_parts = self.balance - self.balance // (parts + 1)
        part = -(-for_parts // parts)
        self.balance -= part
        self.lent[attempt_id] = part
        return part

    def refund(self, attempt_id: str, unused: int) -> int:
        """Take back what an attempt did not use; return what counted.

        Second refunds, refunds of forgotten attempts and amounts above the
        lent part do not count.
        """
        lent = self.lent.pop(attempt_id, 0)
        counted = max(0, min(unused, lent))
        self.balance += counted
        return counted

    def write_off(self, attempt_id: str) -> None:
        """Give an attempt up as lost; a late refund will not count."""
        self.lent.pop(attempt_id, None)

    def close(self) -> int:
        """Return the unused balance for the answer, and end the ledger.

        Parts still lent are lost, since their users may yet spend them.
        """
        unused = self.balance
        self.balance = 0
        self.lent.clear()
        return unused
