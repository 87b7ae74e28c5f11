"""Simulated work of the target stand-in: slots, service times and health."""

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
# Tests read the counts per path and per key. This limits their memory in a
# long run: further paths and keys are not counted.
MAX_COUNTED_NAMES = 200_000
MAX_HEALTH_SAMPLES = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetBehaviour:
    """Behaviour of the target; ``/control`` changes it at run time.

    Service times have the mean ``mean_s``; ``sigma`` is the shape parameter
    of the lognormal distribution. For ``cold_start_s`` after the start they
    are ``cold_factor`` times as long. The health endpoint reports the state
    of ``health_lag_s`` ago; ``health`` can make it report a false one.
    ``late_s`` is added to runs whose request asks for the fault ``late``.
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
    """Slots, service times, health and counts of one target.

    Safe to call from many threads.
    """

    def __init__(
        self,
        behaviour: TargetBehaviour,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Start with free slots; the cold start begins now."""
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
            collections.deque(maxlen=MAX_HEALTH_SAMPLES)
        )
        self._record_health()

    def start(self, path: str, idempotency_key: str) -> bool:
        """Occupy a slot and count the run.

        Returns False if the target is draining or has no free slot.
        """
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
            self._record_health()
            return True

    def finish(self, result: str) -> None:
        """Free the slot and count the result of the run."""
        with self.lock:
            self.running -= 1
            self.counts[result] += 1
            self._record_health()

    def draw_service_time_s(self) -> float:
        """Draw the service time of one run."""
        with self.lock:
            service_s = self._draw_unscaled_s()
            warm_at = self.started_at + self.behaviour.cold_start_s
            if self.clock() < warm_at:
                return service_s * self.behaviour.cold_factor
            return service_s

    def change_behaviour(self, behaviour: TargetBehaviour) -> None:
        """Replace the behaviour; requests that are running continue."""
        with self.lock:
            self.behaviour = behaviour
            self._record_health()

    def health(self) -> dict[str, Any]:
        """Return the answer of the health endpoint, false if so configured."""
        with self.lock:
            running, draining = self._find_lagging_sample()
            health_mode = self.behaviour.health
            is_good = health_mode == 'always-good' or (
                health_mode == 'true' and not draining
            )
            return {
                'good': is_good,
                'running': 0 if health_mode == 'always-good' else running,
                'slots': self.behaviour.slots,
            }

    def stats(self) -> dict[str, Any]:
        """Return all counts."""
        with self.lock:
            return {
                'running': self.running,
                'most_running': self.most_running,
                'counts': dict(self.counts),
                'runs_by_path': dict(self.runs_by_path),
                'runs_by_key': dict(self.runs_by_key),
            }

    def _draw_unscaled_s(self) -> float:
        behaviour = self.behaviour
        if behaviour.distribution == 'exponential' and behaviour.mean_s:
            return self.rng.expovariate(1 / behaviour.mean_s)
        if behaviour.distribution == 'lognormal' and behaviour.mean_s:
            mu = math.log(behaviour.mean_s) - behaviour.sigma**2 / 2
            return self.rng.lognormvariate(mu, behaviour.sigma)
        return behaviour.mean_s

    def _record_health(self) -> None:
        self.health_samples.append(
            (self.clock(), self.running, self.behaviour.draining),
        )

    def _find_lagging_sample(self) -> tuple[int, bool]:
        reported_at = self.clock() - self.behaviour.health_lag_s
        samples = reversed(self.health_samples)
        for sampled_at, running, draining in samples:
            if sampled_at <= reported_at:
                return running, draining
        return 0, False


def _count(counter: collections.Counter[str], name: str) -> None:
    if name in counter or len(counter) < MAX_COUNTED_NAMES:
        counter[name] += 1
