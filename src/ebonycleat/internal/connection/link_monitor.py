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

SILENCE_TIMEOUT_S = 1

# A doubtful sibling has this long to show a byte. A round trip takes 2 ms,
# and a loaded loop may answer 100 ms late.
VERIFY_TIMEOUT_S = 0.25

# Ticks this far apart mean that this node was paused: bytes that came in
# meanwhile have not been read yet, so silence proves nothing.
OWN_PAUSE_S = 0.3


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


class LostCallAction(enum.Enum):
    """What becomes of a call when its link closes."""

    RETRY = 'retry'


@dataclasses.dataclass(slots=True)
class LinkState:
    """What is known of one link; times are on the loop's clock."""

    address: str
    last_received_at: float
    last_pinged_at: float
    verify_deadline: float | None = None


class LinkMonitor:
    """Watches all links of a node for silence."""

    def __init__(self) -> None:
        """Watch nothing yet."""
        self.links: dict[int, LinkState] = {}
        self.last_tick_at = math.inf

    def link_opened(self, link: int, address: str, now: float) -> None:
        """Watch a link that has just been opened."""
        self.links[link] = LinkState(address, now, now)

    def link_closed(self, link: int) -> None:
        """Stop watching a link that was closed for another reason."""
        self.links.pop(link, None)

    def data_received(self, link: int, now: float) -> None:
        """Note that bytes of any kind arrived."""
        state = self.links.get(link)
        if state is not None:
            state.last_received_at = now
            state.verify_deadline = None

    def is_usable(self, link: int) -> bool:
        """Say if new calls may be sent on the link now.

        A link in doubt takes none until it has shown a byte.
        """
        state = self.links.get(link)
        return state is not None and state.verify_deadline is None

    def link_failed(self, link: int, now: float) -> list[LinkAction]:
        """Doubt the siblings after a link broke under a call."""
        state = self.links.pop(link, None)
        if state is None:
            return []
        return self._verify_siblings(state.address, now)

    def tick(self, now: float) -> list[LinkAction]:
        """Decide on all links; call it at least every 50 ms."""
        self._discount_own_pause(now)
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
            actions.extend(self._verify_siblings(doubtful, now))
        for link, state in self.links.items():
            if now - state.last_pinged_at >= PING_INTERVAL_S:
                state.last_pinged_at = now
                actions.append(SendPing(link))
        return actions

    def _discount_own_pause(self, now: float) -> None:
        if now - self.last_tick_at > OWN_PAUSE_S:
            grace = now - SILENCE_TIMEOUT_S + VERIFY_TIMEOUT_S
            for state in self.links.values():
                state.last_received_at = max(state.last_received_at, grace)
                state.verify_deadline = None
        self.last_tick_at = now

    def _verify_siblings(self, address: str, now: float) -> list[LinkAction]:
        actions: list[LinkAction] = []
        for link, state in self.links.items():
            # One that is already in doubt keeps its earlier time limit.
            if state.address == address and state.verify_deadline is None:
                state.verify_deadline = now + VERIFY_TIMEOUT_S
                state.last_pinged_at = now
                actions.append(SendPing(link))
        actions.append(OpenLink(address))
        return actions


def resolve_lost_call(
    *,
    sent: bool,
    idempotent: bool,
) -> LostCallAction | Refusal:
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
        return LostCallAction.RETRY
    return refuse_lost_answer()


def refuse_lost_answer() -> Refusal:
    """Refuse a call that was sent and whose answer is lost."""
    return refuse_outcome_unknown(
        Reason.CONNECTION_LOST,
        'the link closed before the answer came',
    )


def _is_dead(state: LinkState, now: float) -> bool:
    if now - state.last_received_at >= SILENCE_TIMEOUT_S:
        return True
    return state.verify_deadline is not None and now >= state.verify_deadline
