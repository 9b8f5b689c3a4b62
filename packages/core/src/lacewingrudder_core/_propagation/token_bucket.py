"""A token bucket, for what may cost only so much a second."""

from __future__ import annotations


class TokenBucket:
    """Gives out tokens that come back at a steady rate.

    :param rate: tokens gained in a second.
    :param burst: tokens held at most, and at the start.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled = float("-inf")

    def take(self, wanted: int, now: float) -> int:
        """Take up to a number of tokens and return how many there were."""
        gained = (now - self._filled) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled = now
        taken = min(wanted, int(self._tokens))
        self._tokens -= taken
        return taken
