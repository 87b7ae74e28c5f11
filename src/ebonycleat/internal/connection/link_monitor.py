"""Detects open links whose peer node no longer answers.

TCP keeps a connection open for minutes after its other end has vanished,
while new connections to the same node work. A link on which nothing arrives
for a second is therefore closed. All other links to the same node are then
verified at the same time, so that a dead node costs one time-out and not one
for each link.
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

# Time within which something must arrive on a link that is being verified. A
# round trip takes 2 ms, and a busy event loop may answer 100 ms late.
VERIFY_TIMEOUT_S = 0.25

# A longer gap between two ticks means that this process itself was paused. Data
# that arrived during the pause has not been read yet, so links on which nothing
# was received may still be alive.
PAUSE_THRESHOLD_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class SendPing:
    """Send a ping on the link; a live peer answers it at once."""

    link: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink:
    """Abort the link and resolve the calls on it."""

    link: int
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLink:
    """Open a new link to the node."""

    node: str


LinkAction: TypeAlias = SendPing | CloseLink | OpenLink


class LostCallAction(enum.Enum):
    """What to do with a call whose link closed, other than refusing it."""

    RETRY = 'retry'


@dataclasses.dataclass(slots=True)
class LinkState:
    """State of one link; times are in seconds on the event loop's clock.

    ``verify_deadline`` is None unless the link is being verified; it is closed
    if nothing arrives before that time.
    """

    node: str
    last_received_at: float
    last_pinged_at: float
    verify_deadline: float | None = None


class LinkMonitor:
    """Decides which links of a node to ping, to open and to close.

    It performs no I/O: the caller reports events and carries out the actions
    that are returned. Links are identified by numbers.
    """

    def __init__(self) -> None:
        """Create a monitor without links."""
        self.links: dict[int, LinkState] = {}
        self.last_tick_at = math.inf

    def link_opened(self, link: int, node: str, now: float) -> None:
        """Add a link that has just been opened."""
        self.links[link] = LinkState(node, now, now)

    def link_closed(self, link: int) -> None:
        """Remove a link that was closed for another reason than a time-out."""
        self.links.pop(link, None)

    def data_received(self, link: int, now: float) -> None:
        """Record that something arrived on a link."""
        state = self.links.get(link)
        if state is not None:
            state.last_received_at = now
            state.verify_deadline = None

    def is_usable(self, link: int) -> bool:
        """Return whether new calls may be sent on the link now.

        A link that is being verified may not be used until something arrives
        on it.
        """
        state = self.links.get(link)
        return state is not None and state.verify_deadline is None

    def link_failed(self, link: int, now: float) -> list[LinkAction]:
        """Remove a link that broke, and verify the others to its node."""
        state = self.links.pop(link, None)
        if state is None:
            return []
        return self._verify_siblings(state.node, now)

    def tick(self, now: float) -> list[LinkAction]:
        """Return the actions that are due; call it at least every 50 ms."""
        self._extend_timeouts_after_pause(now)
        dead_links = [
            link for link, state in self.links.items() if _is_dead(state, now)
        ]
        actions: list[LinkAction] = []
        failed_nodes: dict[str, None] = {}
        for dead_link in dead_links:
            node = self.links.pop(dead_link).node
            failed_nodes.setdefault(node)
            actions.append(CloseLink(dead_link, node))
        for failed_node in failed_nodes:
            actions.extend(self._verify_siblings(failed_node, now))
        for link, state in self.links.items():
            if now - state.last_pinged_at >= PING_INTERVAL_S:
                state.last_pinged_at = now
                actions.append(SendPing(link))
        return actions

    def _extend_timeouts_after_pause(self, now: float) -> None:
        if now - self.last_tick_at > PAUSE_THRESHOLD_S:
            earliest = now - SILENCE_TIMEOUT_S + VERIFY_TIMEOUT_S
            for state in self.links.values():
                state.last_received_at = max(state.last_received_at, earliest)
                state.verify_deadline = None
        self.last_tick_at = now

    def _verify_siblings(self, node: str, now: float) -> list[LinkAction]:
        actions: list[LinkAction] = []
        for link, state in self.links.items():
            # A link that is being verified already keeps its earlier deadline.
            if state.node == node and state.verify_deadline is None:
                state.verify_deadline = now + VERIFY_TIMEOUT_S
                state.last_pinged_at = now
                actions.append(SendPing(link))
        actions.append(OpenLink(node))
        return actions


def resolve_lost_call(
    *,
    sent: bool,
    idempotent: bool,
) -> LostCallAction | Refusal:
    """Decide what to do with a call whose link closed before its answer.

    ``sent`` is True if any byte of the call may have left this node. A retry
    also needs a part of the retry allowance of the request; without one, an
    idempotent call that was sent is refused with ``refuse_lost_answer``.
    """
    if not sent:
        return refuse_not_run(
            Reason.CONNECTION_LOST,
            'the link to the peer node closed before the call was sent',
        )
    if idempotent:
        return LostCallAction.RETRY
    return refuse_lost_answer()


def refuse_lost_answer() -> Refusal:
    """Create the refusal of a call that was sent and whose answer is lost."""
    return refuse_outcome_unknown(
        Reason.CONNECTION_LOST,
        'the link to the peer node closed before the answer arrived',
    )


def _is_dead(state: LinkState, now: float) -> bool:
    if now - state.last_received_at >= SILENCE_TIMEOUT_S:
        return True
    return state.verify_deadline is not None and now >= state.verify_deadline
