"""Counts and latencies of a load run, as JSON and as a table."""

import collections
import dataclasses
import json
import threading
from collections.abc import Iterator
from typing import Any

from ebonycleat.internal.process.metrics import (
    MAX_LATENCY_US,
    MICROSECONDS_PER_S,
    create_latency_histogram,
)

PERCENTILES = (('p50_s', 50), ('p99_s', 99), ('p999_s', 99.9))
TABLE_COLUMNS = (
    'team',
    'class',
    'offered',
    'answered',
    'errors',
    'refused',
    'wrong',
    'p50_ms',
    'p99_ms',
    'p999_ms',
)
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt to send a request.

    ``kind`` is ``answered``, ``error`` (the target itself answered 5xx),
    ``refused`` or ``wrong`` (the answer does not belong to the request).
    ``retry_after_s`` is the Retry-After value of a refusal, or zero.
    """

    kind: str
    reason: str = ''
    outcome: str = ''
    retry_after_s: float = 0


class RequestCounts:
    """Counts and latencies of one team and class, or of one time bucket."""

    def __init__(self) -> None:
        """Set all counts to zero."""
        self.offered = 0
        self.attempts = 0
        self.completions: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.latencies = create_latency_histogram()

    def to_dict(self) -> dict[str, Any]:
        """Return the fields of the JSON report.

        Only answered requests have latencies.
        """
        return {
            'offered': self.offered,
            'attempts': self.attempts,
            'answered': self.completions['answered'],
            'errors': self.completions['error'],
            'refused': self.completions['refused'],
            'wrong': self.completions['wrong'],
            'refusals': dict(sorted(self.refusals.items())),
            **_get_percentiles(self.latencies),
        }


class LoadResults:
    """Results of one load run; safe to record from many threads.

    A group is a team and a priority, which the reports call the class.
    """

    def __init__(self, bucket_s: float) -> None:
        """``bucket_s`` is the length of a time bucket of the report."""
        self.bucket_s = bucket_s
        self.lock = threading.Lock()
        self.groups: dict[tuple[str, str], RequestCounts] = {}
        self.buckets: dict[int, RequestCounts] = {}
        self.start_delays = create_latency_histogram()

    def record_offered_request(
        self,
        group: tuple[str, str],
        at_s: float,
        start_delay_s: float,
    ) -> None:
        """Count a new request, and record how late its first attempt began."""
        with self.lock:
            _record_duration(self.start_delays, start_delay_s)
            for counts in self._counts_of(group, at_s):
                counts.offered += 1

    def record_attempt(
        self,
        group: tuple[str, str],
        at_s: float,
        result: AttemptResult,
    ) -> None:
        """Count one attempt and, if it was refused, the reason."""
        with self.lock:
            for counts in self._counts_of(group, at_s):
                counts.attempts += 1
                if result.kind == 'refused':
                    counts.refusals[f'{result.reason} {result.outcome}'] += 1

    def record_completion(
        self,
        group: tuple[str, str],
        at_s: float,
        result: AttemptResult,
        latency_s: float,
    ) -> None:
        """Count the final result of a request.

        The latency is measured from the time at which the plan starts the
        request, so that it includes the wait for a free thread.
        """
        with self.lock:
            for counts in self._counts_of(group, at_s):
                counts.completions[result.kind] += 1
                if result.kind == 'answered':
                    _record_duration(counts.latencies, latency_s)

    def to_dict(self) -> dict[str, Any]:
        """Return the JSON report as a dictionary."""
        return {
            'start_delay': _get_percentiles(self.start_delays),
            'groups': [
                {'team': team, 'class': priority, **counts.to_dict()}
                for (team, priority), counts in sorted(self.groups.items())
            ],
            'bucket_s': self.bucket_s,
            'buckets': [
                {'at_s': number * self.bucket_s, **counts.to_dict()}
                for number, counts in sorted(self.buckets.items())
            ],
        }

    def to_json(self) -> str:
        """Return the JSON report as text."""
        return json.dumps(self.to_dict(), indent=1)

    def to_table(self) -> str:
        """Return a table for the terminal, followed by the refusals."""
        groups = self.to_dict()['groups']
        rows = [TABLE_COLUMNS, *(_format_row(group) for group in groups)]
        widths = [
            max(len(row[column]) for row in rows)
            for column in range(len(TABLE_COLUMNS))
        ]
        lines = [
            '  '.join(
                cell.rjust(width)
                for cell, width in zip(row, widths, strict=True)
            )
            for row in rows
        ]
        return '\n'.join((*lines, *_format_refusals(groups), ''))

    def _counts_of(
        self, group: tuple[str, str], at_s: float
    ) -> Iterator[RequestCounts]:
        yield self.groups.setdefault(group, RequestCounts())
        yield self.buckets.setdefault(
            int(at_s / self.bucket_s), RequestCounts()
        )


def _record_duration(histogram: Any, duration_s: float) -> None:
    duration_us = round(duration_s * MICROSECONDS_PER_S)
    histogram.record_value(min(max(duration_us, 1), MAX_LATENCY_US))


def _get_percentiles(histogram: Any) -> dict[str, float]:
    return {
        name: histogram.get_value_at_percentile(percent) / MICROSECONDS_PER_S
        for name, percent in PERCENTILES
    }


def _format_row(group: dict[str, Any]) -> tuple[str, ...]:
    cells = []
    for column in TABLE_COLUMNS:
        if column.endswith('_ms'):
            latency_s = group[f'{column.removesuffix("_ms")}_s']
            cells.append(f'{latency_s * MS_PER_S:.1f}')
        else:
            cells.append(str(group[column]))
    return tuple(cells)


def _format_refusals(groups: list[dict[str, Any]]) -> Iterator[str]:
    for group in groups:
        for refusal, count in group['refusals'].items():
            yield f'{group["team"]} {group["class"]}: {count} x {refusal}'
