"""A token bucket for rate limiting."""

from __future__ import annotations


class TokenBucket:
    """A token bucket, which starts full.

    :param rate: tokens added per second.
    :param burst: capacity of the bucket.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._last_refill = float("-inf")

    def take(self, wanted: int, now: float) -> int:
        """Take up to ``wanted`` tokens and return how many were available."""
        gained = (now - self._last_refill) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._last_refill = now
        taken = min(wanted, int(self._tokens))
        self._tokens -= taken
        return taken
