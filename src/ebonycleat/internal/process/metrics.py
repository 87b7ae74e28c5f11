"""Counters for statsd and latency histograms that nodes can merge.

Counting must not slow down the event loop. Counters are therefore summed in
memory, and the node driver regularly sends them in a few datagrams.
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

# A datagram of this size fits into one Ethernet frame. It is not fragmented,
# and no lost fragment can make the rest of it useless.
DATAGRAM_BYTES = 1432
# Parts of names are chosen by teams. The limits keep a faulty program of a
# team from using up the memory of the process.
MAX_COUNTER_NAMES = 8192
MAX_HISTOGRAMS = 1024

_INVALID_NAME_CHARACTERS = re.compile('[^A-Za-z0-9_-]+')

MICROSECONDS_PER_S = 1_000_000
MAX_LATENCY_US = 600 * MICROSECONDS_PER_S
# Two significant digits keep the error below 1%. A histogram then takes 14 KB;
# with three digits it would take 87 KB for each team and priority.
SIGNIFICANT_DIGITS = 2
HISTOGRAM_COUNTER_BYTES = 4
OTHER_TEAMS_LABEL = '(other)'


class _NonBlockingStatsClient(statsd.StatsClient):  # type: ignore[misc]
    """A statsd client that drops a datagram if sending it would block."""

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
    """Sums counters until they are sent; not thread-safe.

    ``totals`` has the sums since the start of the process, by name.
    """

    def __init__(self, client: Any) -> None:
        """Send through ``client``, a statsd client; None sends nothing."""
        self.client = client
        self.unsent: dict[str, int] = {}
        self.names: dict[tuple[str, ...], str] = {}
        self.totals: dict[str, int] = {}

    def count(self, *name_parts: str, amount: int = 1) -> None:
        """Add to the counter whose name is the parts joined by dots."""
        name = self.names.get(name_parts) or self.register_name(name_parts)
        self.totals[name] = self.totals.get(name, 0) + amount
        self.unsent[name] = self.unsent.get(name, 0) + amount

    def register_name(self, name_parts: tuple[str, ...]) -> str:
        """Build and cache the name of a new counter.

        Characters that statsd does not accept become underscores. Beyond
        ``MAX_COUNTER_NAMES`` all new counters share one name.
        """
        name = '.'.join(
            _INVALID_NAME_CHARACTERS.sub('_', part) for part in name_parts
        )
        if len(self.names) >= MAX_COUNTER_NAMES:
            return 'metrics.names_dropped'
        self.names[name_parts] = name
        return name

    def flush(self) -> None:
        """Send what was counted since the last flush, without retries."""
        unsent = self.unsent
        self.unsent = {}
        if self.client is None or not unsent:
            return
        with self.client.pipeline() as pipeline:
            for name, amount in unsent.items():
                pipeline.incr(name, amount)

    def close(self) -> None:
        """Send what remains and close the socket."""
        self.flush()
        if self.client is not None:
            self.client.close()


def create_counters(settings: StatsdSettings | None) -> Counters:
    """Create counters for a statsd server; None counts in memory only."""
    if settings is None:
        return Counters(None)
    return Counters(
        _NonBlockingStatsClient(settings.host, settings.port, settings.prefix),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedHistogram:
    """The latency histogram of a team and priority, encoded for a peer."""

    team: str
    priority: Priority
    encoded: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySummary:
    """Percentiles of latencies in seconds, each at most 1% too high."""

    team: str
    priority: Priority
    count: int
    p50_s: float
    p99_s: float
    p999_s: float
    longest_s: float


class LatencyHistograms:
    """Latency histograms by team and priority.

    Histograms of several nodes can be merged without loss. Beyond
    ``MAX_HISTOGRAMS``, further teams share one histogram for each priority.
    """

    def __init__(self) -> None:
        """Start empty; a histogram is created with its first latency."""
        self.histograms: dict[tuple[str, Priority], Any] = {}

    def record(self, team: str, priority: Priority, latency_s: float) -> None:
        """Count one latency; latencies above 600 s count as 600 s."""
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

    def merge(self, histograms: Iterable[EncodedHistogram]) -> None:
        """Add histograms that another node exported.

        Raises ``MalformedMessage`` if one cannot be decoded.
        """
        for histogram in histograms:
            decoded = _decode_histogram(histogram.encoded)
            self._histogram_of(histogram.team, histogram.priority).add(decoded)

    def summarise(self) -> tuple[LatencySummary, ...]:
        """Return the percentiles of each team and priority, in seconds."""
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
            key = (OTHER_TEAMS_LABEL, priority)
        if key not in self.histograms:
            self.histograms[key] = create_latency_histogram()
        return self.histograms[key]


def create_latency_histogram() -> Any:
    """Create an empty histogram of microseconds.

    All nodes use the same range and precision, which merging requires.
    """
    return HdrHistogram(
        1,
        MAX_LATENCY_US,
        SIGNIFICANT_DIGITS,
        word_size=HISTOGRAM_COUNTER_BYTES,
        b64_wrap=False,
    )


def _decode_histogram(encoded: bytes) -> Any:
    try:
        return HdrHistogram.decode(encoded, b64_wrap=False)
    except Exception as error:
        raise MalformedMessage(f'invalid histogram: {error}') from error


def _percentile_s(histogram: Any, percentile: float) -> float:
    latency_us = histogram.get_value_at_percentile(percentile)
    return float(latency_us) / MICROSECONDS_PER_S
