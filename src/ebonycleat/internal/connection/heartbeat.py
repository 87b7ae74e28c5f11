"""Decides when an open but silent link counts as dead (section 7.6).

TCP keeps a connection open for minutes after its other end has vanished,
while new connections to the same address work. A link without any byte for
a second is closed. Its siblings to the same address are then verified at
once, all at the same time, so that a dead pool costs one time-out and not
one after another.
"""

import dataclasses
import enum
import math
from typing import TypeAlias

from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

PING_INTERVAL_S = 0.3

SILENT_S = 1

# A doubtful sibling has this long to show a byte. A round trip takes 2 ms,
# and a loaded loop may answer 100 ms late.
VERIFY_S = 0.25

# Ticks this far apart mean that this node was paused: bytes that came in
# meanwhile have not been read yet, so silence proves nothing.
PAUSED_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class SendPing:
    """Send a ping on the link; the other side answers at once."""

    link: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the link without waiting, and resolve its calls."""

    link: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLink:
    """Open a new link to the address."""

    address: str


LinkAction: TypeAlias = SendPing | CloseLink | OpenLink


class CallFate(enum.Enum):
    """What becomes of a call when its link closes."""

    RETRY = 'retry'


@dataclasses.dataclass(slots=True)
class LinkState:
    """What is known of one link; times are on the loop's clock."""

    address: str
    heard_at: float
    pinged_at: float
    verify_until: float | None = None


class LinkWatch:
    """Watches all links of a node for silence."""

    def __init__(self) -> None:
        """Watch nothing yet."""
        self.links: dict[int, LinkState] = {}
        self.ticked_at = math.inf

    def opened(self, link: int, address: str, now: float) -> None:
        """Watch a link that has just been opened."""
        self.links[link] = LinkState(address, now, now)

    def closed(self, link: int) -> None:
        """Stop watching a link that was closed for another reason."""
        self.links.pop(link, None)

    def heard(self, link: int, now: float) -> None:
        """Note that bytes of any kind arrived."""
        state = self.links.get(link)
        if state is not None:
            state.heard_at = now
            state.verify_until = None

    def may_use(self, link: int) -> bool:
        """Say if new calls may be sent on the link now.

        A link in doubt takes none until it has shown a byte.
        """
        state = self.links.get(link)
        return state is not None and state.verify_until is None

    def failed(self, link: int, now: float) -> list[LinkAction]:
        """Doubt the siblings after a link broke under a call."""
        state = self.links.pop(link, None)
        if state is None:
            return []
        return self._doubt_siblings(state.address, now)

    def tick(self, now: float) -> list[LinkAction]:
        """Decide on all links; call it at least every 50 ms."""
        self._forgive_own_pause(now)
        dead = [
            link for link, state in self.links.items() if _is_dead(state, now)
        ]
        actions: list[LinkAction] = []
        addresses: dict[str, None] = {}
        for closing in dead:
            address = self.links.pop(closing).address
            addresses.setdefault(address)
            actions.append(CloseLink(closing, address))
        for doubtful in addresses:
            actions.extend(self._doubt_siblings(doubtful, now))
        for link, state in self.links.items():
            if now - state.pinged_at >= PING_INTERVAL_S:
                state.pinged_at = now
                actions.append(SendPing(link))
        return actions

    def _forgive_own_pause(self, now: float) -> None:
        if now - self.ticked_at > PAUSED_S:
            grace = now - SILENT_S + VERIFY_S
            for state in self.links.values():
                state.heard_at = max(state.heard_at, grace)
                state.verify_until = None
        self.ticked_at = now

    def _doubt_siblings(self, address: str, now: float) -> list[LinkAction]:
        actions: list[LinkAction] = []
        for link, state in self.links.items():
            # One that is already in doubt keeps its earlier time limit.
            if state.address == address and state.verify_until is None:
                state.verify_until = now + VERIFY_S
                state.pinged_at = now
                actions.append(SendPing(link))
        actions.append(OpenLink(address))
        return actions


def resolve_call(
    *,
    sent: bool,
    idempotent: bool,
) -> CallFate | Refusal:
    """Decide what becomes of a call in flight when its link closes.

    ``sent`` is True from the first byte on. A retry still needs an
    allowance of the request's ledger; without one, an idempotent call that
    was sent is refused like any other.
    """
    if not sent:
        return refuse_not_run(
            Reason.CONNECTION_LOST,
            'the link closed before the call was sent',
        )
    if idempotent:
        return CallFate.RETRY
    return refuse_lost_answer()


def refuse_lost_answer() -> Refusal:
    """Refuse a call that was sent and whose answer is lost."""
    return refuse_outcome_unknown(
        Reason.CONNECTION_LOST,
        'the link closed before the answer came',
    )


def _is_dead(state: LinkState, now: float) -> bool:
    if now - state.heard_at >= SILENT_S:
        return True
    return state.verify_until is not None and now >= state.verify_until
