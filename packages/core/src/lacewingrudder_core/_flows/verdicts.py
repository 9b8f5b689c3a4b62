"""The verdict on a flow that ends without an orderly close."""

from __future__ import annotations

from ..types import Verdict
from .table import Flow
from .types import VerdictReached


def make_verdict(flow: Flow, reason: str) -> VerdictReached:
    """Return the verdict on a flow: ``NOT_RUN`` only if no payload can have reached a target.

    :param reason: why the flow ended; used as a metric label.
    """
    verdict = Verdict.MAY_HAVE_RUN if flow.has_payload else Verdict.NOT_RUN
    return VerdictReached(flow.key, flow.target, verdict, reason)
