"""Learns the speed of targets from few samples of different kinds of work."""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import NamedTuple

from .target_speeds import MIN_SAMPLE_SHARE, TargetSpeeds

DECAY_SECONDS = 4.0
"""Time constant with which samples lose weight. A host with few flows sends only a few to the same
target in this time."""

PRIOR_WEIGHT = 0.8
"""Weight of the assumption that a target is like an unknown one, in samples. A single sample shows
the queue at its target as much as the speed; with 0.3, hosts with few flows crowd at the targets of
their fastest samples."""

MAX_WEIGHT = 2.0
"""Maximum weight of past samples when a new one arrives, so that a target that became slow is
noticed after two samples however many came before."""

UNKNOWN_DELAY = 0.6
"""Expected delay of an unknown target, as a logarithm of its response time relative to what is
usual: it may be one of the slow ones. With 0.3, hosts with few flows send 13% of them to unknown
targets instead of 4%."""

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

MAX_WAITING_SECONDS = 2.0
"""How long a request counts as waiting. Later, its flow has probably moved to another host, or its
caller left."""

REJECTION_DELAY = 1.0
"""Delay assumed after a rejection, unless the target is known as slower. It isn't a speed, but the
queue is full; ignored, the target would keep the good samples from before and attract more flows.
"""

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

    def limited(self, max_weight: float) -> _Mean:
        """Return the mean with at most some weight."""
        return self._replace(weight=min(self.weight, max_weight))

    def with_sample(self, delay: float, weight: float, now: float) -> _Mean:
        """Return the mean with one more sample."""
        total = self.weight + weight
        return _Mean(total, self.delay + weight / total * (delay - self.delay), now)

    def shrunk(self, prior_weight: float, prior: float) -> float:
        """Return the mean combined with a prior."""
        return (self.weight * self.delay + prior_weight * prior) / (self.weight + prior_weight)


class _Request(NamedTuple):
    """A request that waits for its answer."""

    kind: Hashable
    caller: Hashable
    sent_at: float


class LearnedSpeeds(TargetSpeeds):
    """Estimates delays as logarithms of response times relative to those of the same kind.

    Logarithms give a slow sample and a fast one equal influence, and a kind of long work the same
    scale as a short one.
    """

    def __init__(self) -> None:
        self._kinds: dict[Hashable, _Kind] = {}
        self._targets: dict[Hashable, _Mean] = {}
        self._callers: dict[Hashable, _Mean] = {}
        self._waiting: dict[Hashable, dict[Hashable, _Request]] = {}

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
        if not row.add(value):
            self._record_rejection(target, now)
            return
        if not weight:
            return
        mean = self._decayed(target, now)
        delay = value - row.usual
        if caller is not None:
            lateness = self._lateness(caller)
            self._learn_caller(caller, delay, mean, now)
            delay -= lateness
        self._targets[target] = mean.limited(MAX_WEIGHT).with_sample(
            min(delay, MAX_DELAY), weight, now
        )

    def record_request(
        self,
        target: Hashable,
        request: Hashable,
        kind: Hashable,
        now: float,
        caller: Hashable = None,
    ) -> None:
        """Record that a request was sent to a target, unless it is known to wait already."""
        waiting = self._waiting.setdefault(target, {})
        waiting.setdefault(request, _Request(kind, caller, now))

    def record_end(self, target: Hashable, request: Hashable) -> None:
        """Record that a request no longer waits, with or without an answer."""
        waiting = self._waiting.get(target)
        if waiting is not None:
            waiting.pop(request, None)
            if not waiting:
                del self._waiting[target]

    def ratio(self, target: Hashable, now: float) -> float:
        """Return the expected response time relative to the service, 1.0 for an unknown target."""
        mean = self._decayed(target, now)
        waiting = self._waiting.get(target)
        if waiting:
            delay = self._delay_so_far(next(iter(waiting.values())), now)
            if delay > mean.shrunk(PRIOR_WEIGHT, UNKNOWN_DELAY):
                mean = mean.limited(MAX_WEIGHT).with_sample(delay, 1.0, now)
        if not mean.weight:
            return 1.0
        return math.exp(mean.shrunk(PRIOR_WEIGHT, UNKNOWN_DELAY) - UNKNOWN_DELAY)

    def has_samples(self, target: Hashable) -> bool:
        """Return whether this host measured a response time of a target."""
        return target in self._targets

    def expire(self, now: float) -> None:
        """Drop targets and callers without recent samples."""
        oldest = now - 4 * DECAY_SECONDS
        self._targets = {key: row for key, row in self._targets.items() if row.updated_at > oldest}
        oldest = now - CALLER_RETENTION_SECONDS
        self._callers = {key: row for key, row in self._callers.items() if row.updated_at > oldest}
        oldest = now - MAX_WAITING_SECONDS
        for target, requests in list(self._waiting.items()):
            for request in [key for key, row in requests.items() if row.sent_at < oldest]:
                self.record_end(target, request)

    def _record_rejection(self, target: Hashable, now: float) -> None:
        """Replace what is known of a target that rejects, unless it is known as slower."""
        mean = self._decayed(target, now)
        if mean.shrunk(PRIOR_WEIGHT, UNKNOWN_DELAY) < REJECTION_DELAY:
            self._targets[target] = _Mean(1.0, REJECTION_DELAY, now)

    def _delay_so_far(self, request: _Request, now: float) -> float:
        """Return the least delay that a waiting request will have."""
        kind = self._kinds.get(request.kind)
        seconds = now - request.sent_at
        if kind is None or not kind.count or not 0 < seconds <= MAX_WAITING_SECONDS:
            return -math.inf
        return min(math.log(seconds) - kind.usual - self._lateness(request.caller), MAX_DELAY)

    def _lateness(self, caller: Hashable) -> float:
        """Return by how much a caller acknowledges late, as a logarithm."""
        mean = self._callers.get(caller)
        return 0.0 if mean is None else max(0.0, mean.shrunk(CALLER_PRIOR_WEIGHT, 0.0))

    def _decayed(self, target: Hashable, now: float) -> _Mean:
        mean = self._targets.get(target)
        if mean is None:
            return _Mean(0.0, 0.0, now)
        return mean._replace(weight=mean.weight * math.exp((mean.updated_at - now) / DECAY_SECONDS))

    def _learn_caller(self, caller: Hashable, delay: float, target: _Mean, now: float) -> None:
        """Learn how late a caller acknowledges from what its target's speed doesn't explain."""
        mean = self._callers.get(caller)
        if mean is None:
            if len(self._callers) >= MAX_CALLERS:
                return
            mean = _Mean(0.0, 0.0, now)
        unexplained = min(delay - target.shrunk(PRIOR_WEIGHT, 0.0), MAX_DELAY)
        self._callers[caller] = mean.limited(MAX_CALLER_WEIGHT).with_sample(unexplained, 1.0, now)
