"""Response times of targets as this host observes them, from past responses and waiting flows."""

from __future__ import annotations

from ..types import TargetName

NEW_SAMPLE_WEIGHT = 0.3  # of the newest response time in the moving average
AVERAGE_HALF_LIFE_SECONDS = 2.0


class _ResponseTimes:
    """The response times of one target.

    :ivar average: moving average of past response times in seconds, valid at ``updated_at``.
    :ivar waiting: number of flows that wait for a response now.
    :ivar waiting_since_sum: sum of the times at which these flows began to wait.
    """

    __slots__ = ("average", "updated_at", "waiting", "waiting_since_sum")

    def __init__(self) -> None:
        self.average = 0.0
        self.updated_at = 0.0
        self.waiting = 0
        self.waiting_since_sum = 0.0


class AnswerTimes:
    """Estimates the response time of each target.

    The average of past response times decays, so that a target that was slow is tried again.
    """

    def __init__(self) -> None:
        self._times: dict[TargetName, _ResponseTimes] = {}

    def record_wait_start(self, target: TargetName, now: float) -> None:
        """Record that a flow starts to wait for a target."""
        times = self._times.setdefault(target, _ResponseTimes())
        times.waiting += 1
        times.waiting_since_sum += now

    def record_wait_end(self, target: TargetName, asked_at: float, now: float) -> None:
        """Record that a flow stops waiting, with or without a response.

        :param asked_at: when it began to wait.
        """
        times = self._times[target]
        times.waiting -= 1
        times.waiting_since_sum = times.waiting_since_sum - asked_at if times.waiting else 0.0
        average = _decayed_average(times, now)
        times.average = average + NEW_SAMPLE_WEIGHT * (now - asked_at - average)
        times.updated_at = now

    def estimate(self, target: TargetName, now: float) -> float:
        """Return the expected response time in seconds.

        This is the average of past response times, or the mean time that flows have been waiting
        now if that is longer.
        """
        times = self._times.get(target)
        if times is None:
            return 0.0
        waited = now - times.waiting_since_sum / times.waiting if times.waiting else 0.0
        return max(_decayed_average(times, now), waited)


def _decayed_average(times: _ResponseTimes, now: float) -> float:
    return float(times.average * 0.5 ** ((now - times.updated_at) / AVERAGE_HALF_LIFE_SECONDS))
