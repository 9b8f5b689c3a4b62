"""The numbers of the changes that subscribers acknowledged, with the lowest of them at hand."""

from __future__ import annotations

import collections
import heapq

from ..types import HostName


class Acknowledgements:
    """Tracks the last change that each subscriber acknowledged.

    An acknowledgement costs O(log n) for n subscribers, no matter how many changes it covers.
    """

    def __init__(self) -> None:
        self._numbers: dict[HostName, int] = {}
        self._counts: collections.Counter[int] = collections.Counter()
        self._heap: list[int] = []

    @property
    def lowest(self) -> int | None:
        """The number that every subscriber has acknowledged; ``None`` if there are none."""
        while self._heap and self._heap[0] not in self._counts:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None

    def get(self, host: HostName) -> int:
        """Return the number that a subscriber acknowledged."""
        return self._numbers[host]

    def record(self, host: HostName, number: int) -> None:
        """Record the acknowledgement of a subscriber; a restarted one may go back."""
        if self._numbers.get(host) == number:
            return
        self.remove(host)
        self._numbers[host] = number
        if number not in self._counts:
            heapq.heappush(self._heap, number)
        self._counts[number] += 1

    def remove(self, host: HostName) -> None:
        """Forget a subscriber."""
        number = self._numbers.pop(host, None)
        if number is None:
            return
        self._counts[number] -= 1
        if not self._counts[number]:
            del self._counts[number]
