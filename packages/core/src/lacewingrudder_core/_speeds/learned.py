"""Learns the speed of targets from few samples of different kinds of work."""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import NamedTuple

from .target_speeds import MIN_SAMPLE_SHARE, TargetSpeeds

DECAY_SECONDS = 4.0
"""Time constant with which samples lose weight. A host with few flows sends only a few to the same
target in this time."""

PRIOR_WEIGHT = 0.3
"""Weight of the assumption that a target is like an unknown one, in samples: the variance of a
sample over that between targets."""

MAX_WEIGHT = 2.0
"""Maximum weight of past samples when a new one arrives, so that a target that became slow is
noticed after two samples however many came before."""

UNKNOWN_DELAY = 0.3
"""Expected delay of an unknown target, as a logarithm of its response time relative to what is
usual: it may be one of the slow ones. A target known as usual is thus preferred."""

MAX_DELAY = math.log(8.0)
"""Larger delays count as this, so that one very late acknowledgement is soon outweighed."""

CALLER_PRIOR_WEIGHT = 4.0
"""Weight of the assumption that a caller acknowledges at once, in samples. A caller's few samples
from a slow target thus count against the target."""

MAX_CALLER_WEIGHT = 16.0
"""Maximum weight of past samples of a caller."""

CALLER_RETENTION_SECONDS = 30.0
"""How long a caller that sends no requests is remembered."""

MAX_CALLERS = 10_000
"""Maximum number of remembered callers."""

MIN_STEP = 0.03
"""Least step of the usual response time of a kind, as a logarithm."""

REJECTION_STEP_SHARE = 0.25
"""Step after a rejection relative to others. Kinds whose work becomes far shorter are followed,
while rejections need a majority of four fifths to lower what is usual."""

KIND_PRIOR_COUNT = 1.0
"""Number of samples of a kind by which the weight of the next one is half."""


class _Kind:
    """The usual response time of a kind of work: a running median of logarithms."""

    __slots__ = ("count", "usual")

    def __init__(self, value: float) -> None:
        self.count = 0
        self.usual = value

    def add(self, value: float) -> bool:
        """Add a sample; return whether it shows a speed, which rejections don't."""
        is_rejection = value < self.usual + math.log(MIN_SAMPLE_SHARE)
        step = max(MIN_STEP, 1.0 / (self.count + 1))
        if is_rejection:
            step *= REJECTION_STEP_SHARE
        else:
            self.count += 1
        difference = value - self.usual
        self.usual += math.copysign(min(step, abs(difference)), difference)
        return not is_rejection


class _Mean(NamedTuple):
    """A weighted mean of delays, valid at ``updated_at``."""

    weight: float
    delay: float
    updated_at: float

    def with_sample(self, delay: float, weight: float, now: float) -> _Mean:
        """Return the mean with one more sample."""
        total = self.weight + weight
        return _Mean(total, self.delay + weight / total * (delay - self.delay), now)

    def shrunk(self, prior_weight: float, prior: float) -> float:
        """Return the mean combined with a prior."""
        return (self.weight * self.delay + prior_weight * prior) / (self.weight + prior_weight)


class LearnedSpeeds(TargetSpeeds):
    """Estimates delays as logarithms of response times relative to those of the same kind.

    Logarithms give a slow sample and a fast one equal influence, and a kind of long work the same
    scale as a short one.
    """

    def __init__(self) -> None:
        self._kinds: dict[Hashable, _Kind] = {}
        self._targets: dict[Hashable, _Mean] = {}
        self._callers: dict[Hashable, _Mean] = {}

    def record(
        self,
        target: Hashable,
        kind: Hashable,
        seconds: float,
        now: float,
        caller: Hashable = None,
    ) -> None:
        """Record the response time of a target."""
        if seconds <= 0:
            return
        value = math.log(seconds)
        row = self._kinds.get(kind)
        if row is None:
            row = self._kinds[kind] = _Kind(value)
        weight = row.count / (row.count + KIND_PRIOR_COUNT)
        if not row.add(value) or not weight:
            return
        mean = self._decayed(target, now)
        delay = value - row.usual
        if caller is not None:
            delay -= self._learn_caller(caller, delay, mean, now)
        mean = mean._replace(weight=min(mean.weight, MAX_WEIGHT))
        self._targets[target] = mean.with_sample(min(delay, MAX_DELAY), weight, now)

    def ratio(self, target: Hashable, now: float) -> float:
        """Return the expected response time relative to the service, 1.0 for an unknown target."""
        if target not in self._targets:
            return 1.0
        delay = self._decayed(target, now).shrunk(PRIOR_WEIGHT, UNKNOWN_DELAY)
        return math.exp(delay - UNKNOWN_DELAY)

    def has_samples(self, target: Hashable) -> bool:
        """Return whether this host measured a response time of a target."""
        return target in self._targets

    def expire(self, now: float) -> None:
        """Drop targets and callers without recent samples."""
        oldest = now - 4 * DECAY_SECONDS
        self._targets = {key: row for key, row in self._targets.items() if row.updated_at > oldest}
        oldest = now - CALLER_RETENTION_SECONDS
        self._callers = {key: row for key, row in self._callers.items() if row.updated_at > oldest}

    def _decayed(self, target: Hashable, now: float) -> _Mean:
        mean = self._targets.get(target)
        if mean is None:
            return _Mean(0.0, 0.0, now)
        return mean._replace(weight=mean.weight * math.exp((mean.updated_at - now) / DECAY_SECONDS))

    def _learn_caller(self, caller: Hashable, delay: float, target: _Mean, now: float) -> float:
        """Return by how much a caller acknowledges late, as a logarithm; learn from its sample."""
        mean = self._callers.get(caller)
        if mean is None:
            if len(self._callers) >= MAX_CALLERS:
                return 0.0
            mean = _Mean(0.0, 0.0, now)
        lateness = max(0.0, mean.shrunk(CALLER_PRIOR_WEIGHT, 0.0))
        mean = mean._replace(weight=min(mean.weight, MAX_CALLER_WEIGHT))
        unexplained = min(delay - target.shrunk(PRIOR_WEIGHT, 0.0), MAX_DELAY)
        self._callers[caller] = mean.with_sample(unexplained, 1.0, now)
        return lateness
