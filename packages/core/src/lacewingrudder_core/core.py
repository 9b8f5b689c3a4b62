"""The interface between a decision core and the task that performs its I/O."""

from __future__ import annotations

import abc
from typing import Generic, TypeVar

EventT = TypeVar("EventT")
EffectT = TypeVar("EffectT")


class Core(abc.ABC, Generic[EventT, EffectT]):
    """A state machine without I/O that turns typed events into typed effects.

    A core does not read a clock or use the global random number generator: its task passes in the
    time and a source of randomness. Tests can thus run any number of cores step by step in one
    process, deterministically.
    """

    @abc.abstractmethod
    def handle(self, event: EventT, now: float) -> list[EffectT]:
        """Process one event and return the effects that the task has to execute, in order.

        :param now: monotonic time in seconds; must not be less than in the previous call.
        """
