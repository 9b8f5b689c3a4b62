"""Where tasks report decisions and changes of what they believe."""

from __future__ import annotations

import abc


class EventSink(abc.ABC):
    """Takes events; never blocks and never fails."""

    @abc.abstractmethod
    def record(
        self,
        event: str,
        *,
        revision: int | None = None,
        flow: str = "",
        target: str = "",
        detail: str = "",
    ) -> None:
        """Report one event, unless too many of its name came lately."""
