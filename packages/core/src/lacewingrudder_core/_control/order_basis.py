"""What the sender of an order may have known when it sent it.

An order is refused if a contrary one for the same target or zone came after it was sent. The sender
doesn't say when that was, and a host that was paused reads orders that were given up long ago. It
may have caught up with the log before it reads them, but has run for a few ticks only.
"""

from __future__ import annotations

import collections

SETTLED_TICKS = 8
"""How many ticks a host has to run until it has read all orders that came while it was paused."""


class OrderBasis:
    """The log index up to which the sender of an order that is read now knew all orders.

    :param index: commit index of this host at its start.
    """

    def __init__(self, index: int) -> None:
        self._indexes = collections.deque([index], maxlen=SETTLED_TICKS)

    @property
    def index(self) -> int:
        """The commit index of this host some ticks ago."""
        return self._indexes[0]

    def record_tick(self, index: int) -> None:
        """Record the commit index of this host at a tick."""
        self._indexes.append(index)
