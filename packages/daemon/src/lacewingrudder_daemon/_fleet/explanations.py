"""Answers to operators who ask an entry host where a new flow would go."""

from __future__ import annotations

from lacewingrudder_core.explanations import ExplainReply, ExplainRequest
from lacewingrudder_core.tagging import TagForwarder
from lacewingrudder_core.token_bucket import TokenBucket

MAX_REPLIES_PER_SECOND = 4.0
"""No packet is forwarded during an explanation, which takes about 30 ms with 5,000 targets.
Requests beyond this rate are dropped; ``lwr explain`` sends them again."""

MAX_BURST_REPLIES = 4.0


class ExplanationResponder:
    """Explains the decisions of a forwarder, at a limited rate."""

    def __init__(self, forwarder: TagForwarder) -> None:
        self._forwarder = forwarder
        self._rate_limit = TokenBucket(MAX_REPLIES_PER_SECOND, MAX_BURST_REPLIES)

    def answer(self, request: ExplainRequest, now: float) -> ExplainReply | None:
        """Return the answer to a request, or ``None`` if there are too many requests."""
        if not self._rate_limit.take(1, now):
            return None
        return ExplainReply(request.flow, self._forwarder.explain(request.flow, now))
