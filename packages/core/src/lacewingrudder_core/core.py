"""The contract between a decision core and the task that owns it."""

from __future__ import annotations

import abc
from typing import Generic, TypeVar

EventT = TypeVar("EventT")
EffectT = TypeVar("EffectT")


class Core(abc.ABC, Generic[EventT, EffectT]):
    """Decisions without I/O: typed events go in, typed effects come out.

    A core reads no clock and draws no global random number. Its owner hands in both, which lets a
    test drive any number of cores step by step in one process.
    """

    @abc.abstractmethod
    def handle(self, event: EventT, now: float) -> list[EffectT]:
        """Take one event and return what its owner has to do, in order.

        :param now: monotonic time in seconds; never less than at the call before.
        """
