"""Counters for statsd, and latency histograms that merge over nodes.

Counting must never slow the loop down: counters are summed in memory and
sent in few datagrams when the shell says so.
"""

import dataclasses
import re
from collections.abc import Iterable
from typing import Any

import statsd
from hdrh.histogram import HdrHistogram

from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.process.settings import StatsdSettings
from ebonycleat.internal.request.call import Priority

# Fits an Ethernet frame, so that a lost fragment does not lose the rest.
DATAGRAM_BYTES = 1432
# Names come from teams and reasons. The bound keeps a fault in a caller's
# code from growing the process.
MAX_COUNTER_NAMES = 8192
MAX_HISTOGRAMS = 1024

_NOT_IN_NAMES = re.compile('[^A-Za-z0-9_-]+')

MICROSECONDS_PER_S = 1_000_000
MAX_LATENCY_US = 600 * MICROSECONDS_PER_S
# Two digits keep the error below 1%. A histogram then takes 14 KB; three
# digits would take 87 KB for each team and class.
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4
OTHER_TEAMS = '(other)'


class _NonBlockingStatsClient(statsd.StatsClient):  # type: ignore[misc]
    """A client that drops a datagram when the socket cannot take it."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(
            host,
            port,
            prefix,
            maxudpsize=DATAGRAM_BYTES,
            ipv6=':' in host,
        )
        self._sock.setblocking(False)


class Counters:
    """Sums counters; used on the loop's thread only."""

    def __init__(self, client: Any) -> None:
        """``client`` is a statsd client, or None if nothing is sent."""
        self.client = client
        self.unsent: dict[str, int] = {}
        self.names: dict[tuple[str, ...], str] = {}
        self.totals: dict[str, int] = {}

    def count(self, *name_parts: str, amount: int = 1) -> None:
        """Add to the counter named by the parts, such as a reason."""
        name = self.names.get(name_parts) or self.register_name(name_parts)
        self.totals[name] = self.totals.get(name, 0) + amount
        self.unsent[name] = self.unsent.get(name, 0) + amount

    def register_name(self, name_parts: tuple[str, ...]) -> str:
        """Name of a counter that is used for the first time."""
        name = '.'.join(_NOT_IN_NAMES.sub('_', part) for part in name_parts)
        if len(self.names) >= MAX_COUNTER_NAMES:
            return 'metrics.names_dropped'
        self.names[name_parts] = name
        return name

    def flush(self) -> None:
        """Send what was counted since the last flush; lost ones are lost."""
        unsent = self.unsent
        self.unsent = {}
        if self.client is None or not unsent:
            return
        with self.client.pipeline() as pipeline:
            for name, amount in unsent.items():
                pipeline.incr(name, amount)

    def close(self) -> None:
        """Send the rest and close the socket."""
        self.flush()
        if self.client is not None:
            self.client.close()


def create_counters(settings: StatsdSettings | None) -> Counters:
    """Send to the given server; without settings only sum in memory."""
    if settings is None:
        return Counters(None)
    return Counters(
        _NonBlockingStatsClient(settings.host, settings.port, settings.prefix),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedHistogram:
    """The latencies of one team and class as one node saw them."""

    team: str
    priority: Priority
    encoded: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySummary:
    """Percentiles in seconds, each at most 1% too high."""

    team: str
    priority: Priority
    count: int
    p50_s: float
    p99_s: float
    p999_s: float
    longest_s: float


class LatencyHistograms:
    """Histograms per team and priority class; merging loses nothing."""

    def __init__(self) -> None:
        """Start empty; histograms are created when they are needed."""
        self.histograms: dict[tuple[str, Priority], Any] = {}

    def record(self, team: str, priority: Priority, latency_s: float) -> None:
        """Count one latency; longer ones than 600 s count as 600 s."""
        latency_us = round(latency_s * MICROSECONDS_PER_S)
        self._histogram_of(team, priority).record_value(
            min(max(latency_us, 1), MAX_LATENCY_US),
        )

    def export(self) -> tuple[EncodedHistogram, ...]:
        """Encode all histograms for sending to another node."""
        return tuple(
            EncodedHistogram(team, priority, histogram.encode())
            for (team, priority), histogram in sorted(self.histograms.items())
        )

    def merge(self, parts: Iterable[EncodedHistogram]) -> None:
        """Add what another node exported; raises ``MalformedMessage``."""
        for part in parts:
            decoded = _decode_histogram(part.encoded)
            self._histogram_of(part.team, part.priority).add(decoded)

    def summarise(self) -> tuple[LatencySummary, ...]:
        """Percentiles of each team and class, in seconds."""
        return tuple(
            LatencySummary(
                team,
                priority,
                histogram.get_total_count(),
                _percentile_s(histogram, 50),
                _percentile_s(histogram, 99),
                _percentile_s(histogram, 99.9),
                _percentile_s(histogram, 100),
            )
            for (team, priority), histogram in sorted(self.histograms.items())
        )

    def _histogram_of(self, team: str, priority: Priority) -> Any:
        key = (team, priority)
        if key not in self.histograms and (
            len(self.histograms) >= MAX_HISTOGRAMS
        ):
            key = (OTHER_TEAMS, priority)
        if key not in self.histograms:
            self.histograms[key] = create_latency_histogram()
        return self.histograms[key]


def create_latency_histogram() -> Any:
    """An empty histogram in microseconds; all nodes use the same bounds."""
    return HdrHistogram(
        1,
        MAX_LATENCY_US,
        SIGNIFICANT_DIGITS,
        word_size=COUNTER_BYTES,
        b64_wrap=False,
    )


def _decode_histogram(encoded: bytes) -> Any:
    try:
        return HdrHistogram.decode(encoded, b64_wrap=False)
    except Exception as error:
        raise MalformedMessage(f'not a histogram: {error}') from error


def _percentile_s(histogram: Any, percentile: float) -> float:
    latency_us = histogram.get_value_at_percentile(percentile)
    return float(latency_us) / MICROSECONDS_PER_S
