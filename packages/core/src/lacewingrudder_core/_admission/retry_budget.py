"""Limits retries to a fraction of first attempts, so that retries can't amplify an overload."""

from __future__ import annotations

RETRY_FRACTION = 0.1
RETRY_RESERVE_TOKENS = 10.0


class RetryBudget:
    """A token bucket that is filled by first attempts instead of time, and drained by retries.

    :param fraction: tokens gained with each first attempt; each retry costs one.
    :param reserve: capacity of the bucket, and thus the largest burst of retries.
    """

    def __init__(
        self, fraction: float = RETRY_FRACTION, reserve: float = RETRY_RESERVE_TOKENS
    ) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._tokens = reserve

    def record_attempt(self) -> None:
        """Record a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._fraction)

    def try_spend(self) -> bool:
        """Return whether a retry is allowed now, and count it if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
