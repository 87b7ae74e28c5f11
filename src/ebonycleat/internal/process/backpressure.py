"""Backpressure: shares of the offered load that a gate can take.

The offered load is the one that would arrive if the entries (``mesh_entry``)
admitted all requests. A request that is refused two hops behind its entry has
wasted the work of two targets. Each gate therefore publishes the share of the
offered load that it can take, so that the entries refuse the rest. There are
two shares, one for direct requests and one for calls that other targets make.
They are sent with answers, back along the calls.
"""

import dataclasses

DESIRED_UTILISATION = 0.92
"""Share of the slots that should be in use. The rest absorbs bursts that are
shorter than the time in which a share gets back to the entries."""

DIRECT_GUARANTEED_FRACTION = 0.5
"""Fraction of the desired utilisation that is reserved for direct requests, so
that calls of other targets cannot crowd out callers."""

SHARE_RESPONSE_S = 0.6
"""Time constant in seconds with which shares follow the load. It is about the
duration of a call that passes many hops, after which the effect of a change
is observed."""

BACKLOG_DRAIN_S = 0.4
"""Time in seconds in which the queue should be emptied."""

UPDATE_INTERVAL_S = 0.1
MIN_SHARE = 0.05
"""Some requests are always admitted, because a gate without requests could
not notice the end of an overload."""

MIN_LOAD = 0.01
"""Smaller loads count as this load, so that shares stay finite."""

UNLIMITED_SHARE = 0.995
"""Larger shares are not published: the service can take all requests."""

MAX_CALLS_PER_REQUEST = 1000.0
"""Limit of the calls at a service that one request causes. The figure is the
product of what several nodes report, so it has no limit of its own where the
calls of services form a circle."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissibleShares:
    """Shares of the offered load that a service can take, from 0 to 1.

    ``direct`` is for direct requests and ``called`` for calls that other
    targets make. ``calls`` is how many calls at the service's gates one
    request on the route of the answer causes.
    """

    service: str
    direct: float
    called: float
    calls: float = 1


class RequestKindLoad:
    """Load and share of one kind of requests (direct or called) at a gate.

    ``busy_s`` is the time that all runs took since the last interval.
    """

    def __init__(self, now: float) -> None:
        """Start idle, with a share of 1."""
        self.share: float = 1
        self.running = 0
        self.busy_s: float = 0
        self.changed_at = now
        self.refused = 0
        self.served: float = 0
        self.served_s: float = 0
        self.mean_service_s: float = 0

    def change_running(self, change: int, now: float) -> None:
        """Count a call that starts (``change`` is 1) or ends (-1)."""
        self.busy_s += self.running * (now - self.changed_at)
        self.running += change
        self.changed_at = now

    def record_served(self, service_s: float) -> None:
        """Record the duration of a successful run in seconds."""
        self.served += 1
        self.served_s += service_s

    def close_interval(
        self, queued: int, elapsed_s: float, now: float
    ) -> float:
        """Return the slots that the arriving load needs; start a new interval.

        The arriving load is that of running, queued and refused calls.
        """
        self.change_running(0, now)
        if self.served:
            self.mean_service_s = self.served_s / self.served
        waiting_per_s = queued / BACKLOG_DRAIN_S + self.refused / elapsed_s
        load = self.busy_s / elapsed_s + waiting_per_s * self.mean_service_s
        self.busy_s = 0
        self.refused = 0
        # Half of the sample is kept, because a short interval has few long
        # runs.
        self.served /= 2
        self.served_s /= 2
        return load

    def adjust_share(self, desired: float, fraction: float) -> None:
        """Move the share towards ``desired`` by ``fraction`` of the way."""
        share = self.share ** (1 - fraction) * desired**fraction
        self.share = min(1, max(MIN_SHARE, share))


def divide_capacity(
    direct_offered: float, called_offered: float
) -> tuple[float, float]:
    """Return the shares of the direct and called load that can be taken.

    The arguments are the offered loads, relative to the concurrency limit.
    Direct requests keep their guaranteed fraction and calls get the rest.
    """
    direct_capacity = max(
        DESIRED_UTILISATION * DIRECT_GUARANTEED_FRACTION,
        DESIRED_UTILISATION - called_offered,
    )
    direct_share = min(1, direct_capacity / direct_offered)
    called_capacity = DESIRED_UTILISATION - direct_offered * direct_share
    return direct_share, min(
        1, max(MIN_SHARE, called_capacity / called_offered)
    )


class GateBackpressure:
    """Computes the shares of the offered load that one gate can take."""

    def __init__(self, now: float) -> None:
        """Start with shares of 1."""
        self.direct = RequestKindLoad(now)
        self.called = RequestKindLoad(now)
        self.updated_at = now

    def load_of_depth(self, depth: int) -> RequestKindLoad:
        """Return the load of direct requests (depth 0) or of calls."""
        return self.called if depth else self.direct

    def is_update_due(self, now: float) -> bool:
        """Tell whether ``UPDATE_INTERVAL_S`` has passed since an update."""
        return now - self.updated_at >= UPDATE_INTERVAL_S

    def update(
        self,
        queued_direct: int,
        queued_called: int,
        limit: float,
        now: float,
    ) -> None:
        """Adapt the shares to the load since the last update.

        ``limit`` is how many calls may run; without any, nothing changes.
        """
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0 or limit <= 0:
            return
        self.updated_at = now
        step = min(1, elapsed_s / SHARE_RESPONSE_S)
        direct = self.direct.close_interval(queued_direct, elapsed_s, now)
        called = self.called.close_interval(queued_called, elapsed_s, now)
        # Load divided by share is the offered load: the one that would arrive
        # if the entries admitted all requests.
        direct_share, called_share = divide_capacity(
            max(MIN_LOAD, direct / limit) / self.direct.share,
            max(MIN_LOAD, called / limit) / self.called.share,
        )
        self.direct.adjust_share(direct_share, step)
        self.called.adjust_share(called_share, step)

    def published_shares(self, service: str) -> AdmissibleShares | None:
        """Return the shares to publish, None if the gate can take all."""
        if min(self.direct.share, self.called.share) >= UNLIMITED_SHARE:
            return None
        return AdmissibleShares(service, self.direct.share, self.called.share)
