"""Admission policies: whether a new flow may start, decided on its SYN at the flow's home host."""

from __future__ import annotations

import abc
import dataclasses
import enum

from .._routing.loads import LoadTracker
from .._routing.view import KindRoute


class RefusalReason(enum.StrEnum):
    """Why a new flow was refused; the values are metric labels."""

    OVERLOAD = "overload"
    SHARE_USED = "share_used"
    TOO_MANY_HALF_OPEN = "too_many_half_open"


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The flow may start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The flow may not start; its request was not executed."""

    reason: RefusalReason


AdmissionOutcome = Admitted | Refused


class AdmissionPolicy(abc.ABC):
    """Decides whether new flows may start; the flow table reports what becomes of them.

    A flow is *half-open* from its SYN until the first acknowledgement of its caller, and *busy*
    from a payload of its caller until the next payload of its target. For each flow passed to
    ``record_opened``, the flow table calls either ``record_established`` or ``record_abandoned``
    exactly once. It calls ``record_idle`` before ``record_closed`` for a busy flow, and does not
    call ``record_closed`` for an abandoned flow.
    """

    @abc.abstractmethod
    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Decide whether a new flow of this kind may start now."""

    @abc.abstractmethod
    def record_opened(self, route: KindRoute, now: float) -> None:
        """Record that a flow was admitted and placed."""

    @abc.abstractmethod
    def record_closed(self, service: str, kind: str, now: float) -> None:
        """Record that an established flow ended."""

    def record_established(self, service: str, kind: str, now: float) -> None:
        """Record that the caller of a half-open flow completed the handshake."""
        return None

    def record_abandoned(self, service: str, kind: str, now: float) -> None:
        """Record that a half-open flow ended."""
        return None

    def record_busy(self, service: str, kind: str, now: float) -> None:
        """Record that a flow waits for its target."""
        return None

    def record_idle(self, service: str, kind: str, now: float) -> None:
        """Record that a flow no longer waits for its target."""
        return None


class AdmitAll(AdmissionPolicy):
    """Admits every flow: admission control is disabled."""

    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Admit the flow."""
        return Admitted()

    def record_opened(self, route: KindRoute, now: float) -> None:
        """Record nothing."""

    def record_closed(self, service: str, kind: str, now: float) -> None:
        """Record nothing."""
