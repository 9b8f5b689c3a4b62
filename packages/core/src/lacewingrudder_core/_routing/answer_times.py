"""How long targets take to answer, as this host sees it: past answers and flows that wait now."""

from __future__ import annotations

from ..types import TargetName

AVERAGE_WEIGHT = 0.3
HALF_LIFE_SECONDS = 2.0


class _Times:
    """The times of one target.

    :ivar average: moving average of past answers in seconds, as it was at ``updated``.
    :ivar waiting: how many flows wait now.
    :ivar asked_sum: sum of the moments at which they began to wait.
    """

    __slots__ = ("average", "updated", "waiting", "asked_sum")

    def __init__(self) -> None:
        self.average = 0.0
        self.updated = 0.0
        self.waiting = 0
        self.asked_sum = 0.0


class AnswerTimes:
    """Estimates the time to an answer for each target.

    What is known of past answers fades, so that a target that was slow is tried again.
    """

    def __init__(self) -> None:
        self._times: dict[TargetName, _Times] = {}

    def asked(self, target: TargetName, now: float) -> None:
        """Take note that a flow waits for a target from now on."""
        times = self._times.setdefault(target, _Times())
        times.waiting += 1
        times.asked_sum += now

    def answered(self, target: TargetName, asked_at: float, now: float) -> None:
        """Take note that a flow no longer waits, whether it was answered or gave up.

        :param asked_at: when it began to wait.
        """
        times = self._times[target]
        times.waiting -= 1
        times.asked_sum = times.asked_sum - asked_at if times.waiting else 0.0
        average = _faded(times, now)
        times.average = average + AVERAGE_WEIGHT * (now - asked_at - average)
        times.updated = now

    def estimate(self, target: TargetName, now: float) -> float:
        """Return the seconds to expect: by past answers or by those who wait, if that is more."""
        times = self._times.get(target)
        if times is None:
            return 0.0
        waited = now - times.asked_sum / times.waiting if times.waiting else 0.0
        return max(_faded(times, now), waited)


def _faded(times: _Times, now: float) -> float:
    return float(times.average * 0.5 ** ((now - times.updated) / HALF_LIFE_SECONDS))
