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
    """How one attempt ended.

    ``kind`` is ``answered``, ``error`` (a target's own 5xx), ``refused`` or
    ``wrong`` (the answer to another request). ``retry_after_s`` is what
    the refusal advised, or zero.
    """

    kind: str
    reason: str = ''
    outcome: str = ''
    retry_after_s: float = 0


class RequestCounts:
    """Counts of one team and class, or of one span of time."""

    def __init__(self) -> None:
        """Start at zero."""
        self.offered = 0
        self.attempts = 0
        self.completions: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.latencies = create_latency_histogram()

    def describe(self) -> dict[str, Any]:
        """Fields of the JSON result; latencies are those of answers."""
        return {
            'offered': self.offered,
            'attempts': self.attempts,
            'answered': self.completions['answered'],
            'errors': self.completions['error'],
            'refused': self.completions['refused'],
            'wrong': self.completions['wrong'],
            'refusals': dict(sorted(self.refusals.items())),
            **_percentiles_of(self.latencies),
        }


class LoadResults:
    """Filled by many threads; read after the run."""

    def __init__(self, bucket_s: float) -> None:
        """``bucket_s`` is the span of time of one point in the report."""
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
        """Count a new request and how late the generator started it."""
        with self.lock:
            _record_s(self.start_delays, start_delay_s)
            for tally in self._tallies(group, at_s):
                tally.offered += 1

    def record_attempt(
        self,
        group: tuple[str, str],
        at_s: float,
        result: AttemptResult,
    ) -> None:
        """Count one attempt, and why it was refused."""
        with self.lock:
            for tally in self._tallies(group, at_s):
                tally.attempts += 1
                if result.kind == 'refused':
                    tally.refusals[f'{result.reason} {result.outcome}'] += 1

    def record_completion(
        self,
        group: tuple[str, str],
        at_s: float,
        result: AttemptResult,
        latency_s: float,
    ) -> None:
        """Count how a request ended; latency is from its intended start."""
        with self.lock:
            for tally in self._tallies(group, at_s):
                tally.completions[result.kind] += 1
                if result.kind == 'answered':
                    _record_s(tally.latencies, latency_s)

    def to_dict(self) -> dict[str, Any]:
        """The JSON result."""
        return {
            'start_delay': _percentiles_of(self.start_delays),
            'groups': [
                {'team': team, 'class': priority, **tally.describe()}
                for (team, priority), tally in sorted(self.groups.items())
            ],
            'bucket_s': self.bucket_s,
            'buckets': [
                {'at_s': number * self.bucket_s, **tally.describe()}
                for number, tally in sorted(self.buckets.items())
            ],
        }

    def to_json(self) -> str:
        """The JSON result as text."""
        return json.dumps(self.to_dict(), indent=1)

    def to_table(self) -> str:
        """A table for the terminal, with the refusals below it."""
        groups = self.to_dict()['groups']
        rows = [TABLE_COLUMNS, *(_table_row(group) for group in groups)]
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
        return '\n'.join((*lines, *_refusal_lines(groups), ''))

    def _tallies(
        self, group: tuple[str, str], at_s: float
    ) -> Iterator[RequestCounts]:
        yield self.groups.setdefault(group, RequestCounts())
        yield self.buckets.setdefault(
            int(at_s / self.bucket_s), RequestCounts()
        )


def _record_s(histogram: Any, duration_s: float) -> None:
    duration_us = round(duration_s * MICROSECONDS_PER_S)
    histogram.record_value(min(max(duration_us, 1), MAX_LATENCY_US))


def _percentiles_of(histogram: Any) -> dict[str, float]:
    return {
        name: histogram.get_value_at_percentile(percent) / MICROSECONDS_PER_S
        for name, percent in PERCENTILES
    }


def _table_row(group: dict[str, Any]) -> tuple[str, ...]:
    cells = []
    for column in TABLE_COLUMNS:
        if column.endswith('_ms'):
            latency_s = group[f'{column.removesuffix("_ms")}_s']
            cells.append(f'{latency_s * MS_PER_S:.1f}')
        else:
            cells.append(str(group[column]))
    return tuple(cells)


def _refusal_lines(groups: list[dict[str, Any]]) -> Iterator[str]:
    for group in groups:
        for refusal, count in group['refusals'].items():
            yield f'{group["team"]} {group["class"]}: {count} x {refusal}'
