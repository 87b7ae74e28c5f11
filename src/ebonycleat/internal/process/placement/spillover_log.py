"""Log lines and gauges about calls that leave their zone."""

import re

from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.placement.service_spillover import (
    SpilloverChange,
)
from ebonycleat.internal.process.router import Router

_INVALID_NAME_CHARACTERS = re.compile('[^A-Za-z0-9_-]+')


class SpilloverLog:
    """Writes a line when spillover begins, ends or changes notably."""

    def __init__(self, log: EventLog) -> None:
        """Write to ``log``, which limits the rate of lines."""
        self.log = log

    def write(self, change: SpilloverChange) -> None:
        """Write one change, with the loads that it follows from."""
        own = change.own
        self.log.write_limited(
            name_event(change),
            service=change.service,
            fraction=round(change.fraction, 3),
            fraction_before=round(change.fraction_before, 3),
            demand=round(own.demand, 1),
            capacity=round(own.capacity, 1),
            targets=own.targets,
            reported=own.reported,
            age_s=round(own.age_s, 3),
            objective_s=round(change.objective_s, 3),
            zones={
                zone: round(share, 3) for zone, share in change.shares.items()
            },
        )


def name_event(change: SpilloverChange) -> str:
    """Return the event of a change."""
    if not change.fraction:
        return 'spillover to other zones ended'
    if not change.fraction_before:
        return 'spillover to other zones began'
    return 'spillover to other zones changed'


def describe_spillover(router: Router, now: float) -> dict[str, float]:
    """Return the gauges of a router.

    They are the fraction of calls that leaves the zone, by service, and the
    number of calls sent to other zones since the start of the process.
    """
    gauges: dict[str, float] = {
        'spillover.calls_to_other_zones': router.calls_to_other_zones,
    }
    for service, spillover in router.spillover.by_service.items():
        name = _INVALID_NAME_CHARACTERS.sub('_', service)
        gauges[f'spillover.fraction.{name}'] = spillover.fraction_at(now)
    return gauges
