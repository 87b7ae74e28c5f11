"""Counters and latency histograms of a mesh node, rendered as text."""

from ebonycleat.internal.process.metrics import Counters, LatencyHistograms
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Refusal


class MeshMetrics:
    """Counts requests by outcome; not thread-safe, used on the loop only."""

    def __init__(self) -> None:
        """Start without counters; nothing is sent to statsd."""
        self.counters = Counters(None)
        self.histograms = LatencyHistograms()

    def count(self, *name_parts: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter named by the joined parts."""
        self.counters.count(*name_parts, amount=amount)

    def count_answer(self, call: Call, status: int, latency_s: float) -> None:
        """Count a target's response by route and status, with its latency."""
        self.counters.count('answered', call.route, str(status))
        self.histograms.record(call.team, call.priority, latency_s)

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refused request by its reason."""
        self.counters.count('refused', refusal.reason.value)

    def render(self, gauges: dict[str, float]) -> str:
        """Return one line for each metric: its name, a space, its value."""
        lines = [
            f'{name} {figure}'
            if isinstance(figure, int)
            else f'{name} {figure:g}'
            for name, figure in gauges.items()
        ]
        lines.extend(
            f'{name} {total}'
            for name, total in sorted(self.counters.totals.items())
        )
        for summary in self.histograms.summarise():
            name = f'latency.{summary.team or "none"}.{summary.priority.name}'
            lines.extend((
                f'{name}.count {summary.count}',
                f'{name}.p50_s {summary.p50_s:g}',
                f'{name}.p99_s {summary.p99_s:g}',
                f'{name}.p999_s {summary.p999_s:g}',
            ))
        return '\n'.join((*lines, ''))
