"""Counts what happens to requests, by team, route, priority and reason."""

import collections
import dataclasses

from ebonycleat.internal.process.ingress import RequestEnded
from ebonycleat.internal.process.metrics import Counters, LatencyHistograms
from ebonycleat.internal.request.call import Answer
from ebonycleat.internal.request.refusal import Refusal

MAX_REFUSAL_KEYS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalKey:
    """The labels under which refusals are counted for operators."""

    team: str
    route: str
    priority: str
    zone: str
    reason: str


class RequestMetrics:
    """Counters and latency histograms of one node's ingress."""

    def __init__(self, counters: Counters, zone: str) -> None:
        """Add to ``counters``; ``zone`` is the zone of this node."""
        self.counters = counters
        self.zone = zone
        self.histograms = LatencyHistograms()
        self.refusals: collections.Counter[RefusalKey] = collections.Counter()

    def count_request_end(self, ended: RequestEnded) -> None:
        """Count an admitted request that was answered or refused."""
        call = ended.request.call
        if isinstance(ended.result, Answer):
            self.counters.count('answered', call.service)
            self.histograms.record(call.team, call.priority, ended.latency_s)
            return
        self.count_refusal(
            RefusalKey(
                call.team,
                call.route,
                call.priority.name.lower(),
                ended.result.refusal.zone or self.zone,
                ended.result.refusal.reason.value,
            ),
        )

    def count_early_refusal(self, refusal: Refusal) -> None:
        """Count a request refused before its team and route were known."""
        key = RefusalKey('', '', '', self.zone, refusal.reason.value)
        self.count_refusal(key)

    def count_refusal(self, key: RefusalKey) -> None:
        """Count one refusal under its reason and its labels.

        The number of different labels is limited, because they contain names
        that teams choose. Labels beyond the limit count by reason only.
        """
        self.counters.count('refused', key.reason)
        is_known = key in self.refusals
        if is_known or len(self.refusals) < MAX_REFUSAL_KEYS:
            self.refusals[key] += 1
