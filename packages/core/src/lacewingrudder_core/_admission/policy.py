"""Whether a new flow may start: the decision on a SYN at the flow's home."""

from __future__ import annotations

import abc
import dataclasses
import enum

from .._routing.loads import LoadTracker
from .._routing.view import KindRoute


class RefusalReason(enum.StrEnum):
    """Why a new flow was refused; the label of a metric."""

    OVERLOAD = "overload"
    SHARE_USED = "share_used"
    TOO_MANY_HALF_OPEN = "too_many_half_open"


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The flow may start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The flow may not start; the request was not run."""

    reason: RefusalReason


AdmissionOutcome = Admitted | Refused


class AdmissionPolicy(abc.ABC):
    """Decides on new flows; the flow table tells it what becomes of them.

    A flow is *half-open* from its SYN until its caller's first acknowledgement, and *busy* from its
    caller's last payload until its target's payload. The flow table calls ``record_established``
    or ``record_abandoned`` once for each flow it gave to ``record_opened``, and ``record_idle``
    before ``record_closed`` for a busy flow; an abandoned flow is not reported as closed.
    """

    @abc.abstractmethod
    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Return whether a new flow of this kind may start now."""

    @abc.abstractmethod
    def record_opened(self, route: KindRoute, now: float) -> None:
        """Take note that a flow was admitted and placed."""

    @abc.abstractmethod
    def record_closed(self, service: str, kind: str, now: float) -> None:
        """Take note that an established flow ended."""

    def record_established(self, service: str, kind: str, now: float) -> None:
        """Take note that a half-open flow's caller acknowledged the target's answer."""
        return None

    def record_abandoned(self, service: str, kind: str, now: float) -> None:
        """Take note that a half-open flow ended."""
        return None

    def record_busy(self, service: str, kind: str, now: float) -> None:
        """Take note that a flow waits for its target."""
        return None

    def record_idle(self, service: str, kind: str, now: float) -> None:
        """Take note that a flow no longer waits for its target."""
        return None


class AdmitAll(AdmissionPolicy):
    """Admits every flow; the baseline without admission."""

    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Admit."""
        return Admitted()

    def record_opened(self, route: KindRoute, now: float) -> None:
        """Keep nothing."""

    def record_closed(self, service: str, kind: str, now: float) -> None:
        """Keep nothing."""
