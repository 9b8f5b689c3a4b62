"""A budget for retries as a fraction of first attempts, so that retries cannot multiply a load."""

from __future__ import annotations

RETRY_FRACTION = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """A token bucket that first attempts fill and retries empty; it needs no clock.

    :param fraction: retries allowed for each first attempt.
    :param reserve: retries allowed at once after a quiet time; the size of the bucket.
    """

    def __init__(self, fraction: float = RETRY_FRACTION, reserve: float = RETRY_RESERVE) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._tokens = reserve

    def record_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._fraction)

    def try_spend(self) -> bool:
        """Return whether a retry may be sent now, and count it if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
