"""How the target stand-in works: slots, service times, health, counts."""

import collections
import dataclasses
import math
import random
import threading
from collections.abc import Callable
from typing import Annotated, Any, Literal, TypeAlias

from msgspec import Meta

from ebonycleat.internal.process.settings import PositiveInt

NonNegative: TypeAlias = Annotated[
    float,
    Meta(ge=0, le=1e6, description='a number from 0 to 1000000'),
]
# Counts per path and key are kept for tests; this bounds a long run.
MAX_COUNTED_NAMES = 200_000
HEALTH_SAMPLES = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetBehaviour:
    """How the target behaves; changed in flight through ``/control``.

    Service times have the mean ``mean_s``; ``sigma`` is the spread of the
    lognormal ones. For ``cold_start_s`` after the start they are
    ``cold_factor`` times as long. ``health_lag_s`` shows an old state.
    ``late_s`` is added on the marker ``late``.
    """

    slots: PositiveInt = 16
    distribution: Literal['fixed', 'exponential', 'lognormal'] = 'fixed'
    mean_s: NonNegative = 0
    sigma: NonNegative = 0.5
    cold_start_s: NonNegative = 0
    cold_factor: NonNegative = 1
    draining: bool = False
    health: Literal['true', 'always-good', 'always-bad'] = 'true'
    health_lag_s: NonNegative = 0
    late_s: NonNegative = 1
    answer_bytes: Annotated[
        int,
        Meta(ge=0, le=2**26, description='bytes, 0 to 67108864'),
    ] = 0


class TargetSimulation:
    """Slots and counts of one target; safe to call from many threads."""

    def __init__(
        self,
        behaviour: TargetBehaviour,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """The cold start begins now."""
        self.behaviour = behaviour
        self.rng = rng
        self.clock = clock
        self.started_at = clock()
        self.lock = threading.Lock()
        self.running = 0
        self.most_running = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs_by_path: collections.Counter[str] = collections.Counter()
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.health_samples: collections.deque[tuple[float, int, bool]] = (
            collections.deque(maxlen=HEALTH_SAMPLES)
        )
        self._sample_health()

    def start(self, path: str, idempotency_key: str) -> bool:
        """Take a slot and count the run; False if the target sheds it."""
        with self.lock:
            if self.behaviour.draining:
                self.counts['refused_draining'] += 1
                return False
            if self.running >= self.behaviour.slots:
                self.counts['shed'] += 1
                return False
            self.running += 1
            self.most_running = max(self.most_running, self.running)
            self.counts['started'] += 1
            _count(self.runs_by_path, path)
            if idempotency_key:
                _count(self.runs_by_key, idempotency_key)
            self._sample_health()
            return True

    def finish(self, end: str) -> None:
        """Give the slot back and count how the run ended."""
        with self.lock:
            self.running -= 1
            self.counts[end] += 1
            self._sample_health()

    def draw_service_time_s(self) -> float:
        """Draw the time of one run, in seconds."""
        with self.lock:
            drawn_s = self._draw()
            warm_at = self.started_at + self.behaviour.cold_start_s
            if self.clock() < warm_at:
                return drawn_s * self.behaviour.cold_factor
            return drawn_s

    def change_behaviour(self, behaviour: TargetBehaviour) -> None:
        """Behave differently from now on; running work goes on."""
        with self.lock:
            self.behaviour = behaviour
            self._sample_health()

    def health(self) -> dict[str, Any]:
        """What the health endpoint shows, true or not."""
        with self.lock:
            running, draining = self._lagging_sample()
            kind = self.behaviour.health
            good = kind == 'always-good' or (kind == 'true' and not draining)
            return {
                'good': good,
                'running': 0 if kind == 'always-good' else running,
                'slots': self.behaviour.slots,
            }

    def stats(self) -> dict[str, Any]:
        """Everything that was counted."""
        with self.lock:
            return {
                'running': self.running,
                'most_running': self.most_running,
                'counts': dict(self.counts),
                'runs_by_path': dict(self.runs_by_path),
                'runs_by_key': dict(self.runs_by_key),
            }

    def _draw(self) -> float:
        behaviour = self.behaviour
        if behaviour.distribution == 'exponential' and behaviour.mean_s:
            return self.rng.expovariate(1 / behaviour.mean_s)
        if behaviour.distribution == 'lognormal' and behaviour.mean_s:
            mu = math.log(behaviour.mean_s) - behaviour.sigma**2 / 2
            return self.rng.lognormvariate(mu, behaviour.sigma)
        return behaviour.mean_s

    def _sample_health(self) -> None:
        self.health_samples.append(
            (self.clock(), self.running, self.behaviour.draining),
        )

    def _lagging_sample(self) -> tuple[int, bool]:
        shown_at = self.clock() - self.behaviour.health_lag_s
        samples = reversed(self.health_samples)
        for sampled_at, running, draining in samples:
            if sampled_at <= shown_at:
                return running, draining
        return 0, False


def _count(counter: collections.Counter[str], name: str) -> None:
    if name in counter or len(counter) < MAX_COUNTED_NAMES:
        counter[name] += 1
