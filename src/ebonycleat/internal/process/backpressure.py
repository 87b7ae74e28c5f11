"""What a gate publishes of its load, so that entries can refuse in time.

A request that is refused two hops down has wasted the work of two targets.
Each gate therefore publishes the shares of present work that it can take:
one of direct requests, one of calls that other targets make. The shares
travel on answers, back along the calls.
"""

import dataclasses

DESIRED_UTILISATION = 0.92
"""Share of the slots that a gate wants in use; the rest absorbs bursts that
are shorter than the way of a share back to the entries."""

DIRECT_GUARANTEED_PART = 0.5
"""Part of the goal that calls of other targets cannot take from direct
requests: internal look-ups must not crowd out callers."""

SHARE_RESPONSE_S = 0.6
"""Time in which a share follows a change of the load: about the duration of
a deep call, after which the effect of the last change is seen."""

BACKLOG_DRAIN_S = 0.4
"""Time in which a queue should be worked off."""

UPDATE_INTERVAL_S = 0.1
MIN_SHARE = 0.05
"""Some requests always pass, so that the end of an overload is noticed."""

MIN_LOAD = 0.01
"""Loads below this count as this, so that shares stay finite."""

UNLIMITED_SHARE = 0.995
"""Shares above this are not published: the service takes everything."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissibleShares:
    """Shares of present work that a service can take, from 0 to 1.

    ``calls`` is what one request on the way here costs the service, in calls
    at its gates.
    """

    service: str
    direct: float
    called: float
    calls: float = 1


class RequestKindLoad:
    """Load of the direct requests, or of the calls, at one gate."""

    def __init__(self, now: float) -> None:
        """Start idle and open."""
        self.share: float = 1
        self.running = 0
        self.busy_s: float = 0
        self.changed_at = now
        self.refused = 0
        self.served: float = 0
        self.served_s: float = 0
        self.mean_service_s: float = 0

    def change_running(self, step: int, now: float) -> None:
        """Count a call that starts or ends."""
        self.busy_s += self.running * (now - self.changed_at)
        self.running += step
        self.changed_at = now

    def record_served(self, service_s: float) -> None:
        """Note the duration of a run."""
        self.served += 1
        self.served_s += service_s

    def close_interval(
        self, queued: int, elapsed_s: float, now: float
    ) -> float:
        """Return the slots that the offered work needs; count anew."""
        self.change_running(0, now)
        if self.served:
            self.mean_service_s = self.served_s / self.served
        waiting = queued / BACKLOG_DRAIN_S + self.refused / elapsed_s
        load = self.busy_s / elapsed_s + waiting * self.mean_service_s
        self.busy_s = 0
        self.refused = 0
        # Half of the sample stays: short windows hold few long runs.
        self.served /= 2
        self.served_s /= 2
        return load

    def adjust_share(self, wanted: float, step: float) -> None:
        """Move the share towards ``wanted`` by a part of the way."""
        share = self.share ** (1 - step) * wanted**step
        self.share = min(1, max(MIN_SHARE, share))


def divide_capacity(
    direct_all: float, called_all: float
) -> tuple[float, float]:
    """Parts of both kinds of load that fit, given all that would come.

    Direct requests keep their guarantee; calls get the rest.
    """
    direct_room = max(
        DESIRED_UTILISATION * DIRECT_GUARANTEED_PART,
        DESIRED_UTILISATION - called_all,
    )
    direct_part = min(1, direct_room / direct_all)
    called_room = DESIRED_UTILISATION - direct_all * direct_part
    return direct_part, min(1, max(MIN_SHARE, called_room / called_all))


class GateBackpressure:
    """The shares of present work that one gate can take."""

    def __init__(self, now: float) -> None:
        """Start open."""
        self.direct = RequestKindLoad(now)
        self.called = RequestKindLoad(now)
        self.updated_at = now

    def load_of_depth(self, depth: int) -> RequestKindLoad:
        """Load of direct requests, or of calls that targets make."""
        return self.called if depth else self.direct

    def is_due(self, now: float) -> bool:
        """Whether it is time for an update."""
        return now - self.updated_at >= UPDATE_INTERVAL_S

    def update(
        self,
        queued_direct: int,
        queued_called: int,
        limit: int,
        now: float,
    ) -> None:
        """Adapt the shares to the load since the last update."""
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0 or limit < 1:
            return
        self.updated_at = now
        step = min(1, elapsed_s / SHARE_RESPONSE_S)
        direct = self.direct.close_interval(queued_direct, elapsed_s, now)
        called = self.called.close_interval(queued_called, elapsed_s, now)
        # What would come if the entries let everything pass.
        direct_part, called_part = divide_capacity(
            max(MIN_LOAD, direct / limit) / self.direct.share,
            max(MIN_LOAD, called / limit) / self.called.share,
        )
        self.direct.adjust_share(direct_part, step)
        self.called.adjust_share(called_part, step)

    def published_shares(self, service: str) -> AdmissibleShares | None:
        """The shares to publish; None while everything is taken."""
        if min(self.direct.share, self.called.share) >= UNLIMITED_SHARE:
            return None
        return AdmissibleShares(service, self.direct.share, self.called.share)
