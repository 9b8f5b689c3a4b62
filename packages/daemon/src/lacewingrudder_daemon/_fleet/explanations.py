"""Answers to operators who ask an entry host where a new flow would go."""

from __future__ import annotations

from typing import Any

from lacewingrudder_core.explanations import ExplainReply, ExplainRequest
from lacewingrudder_core.tagging import TagForwarder
from lacewingrudder_core.token_bucket import TokenBucket
from lacewingrudder_core.types import HostName
from lacewingrudder_wire.explain_client import EXPLAIN_MESSAGES

from .message_socket import MessageSocket

MAX_REPLIES_PER_SECOND = 4.0
"""No packet is forwarded during an explanation, which takes about 30 ms with 5,000 targets.
Requests beyond this rate are dropped; ``lwr explain`` sends them again."""

MAX_BURST_REPLIES = 4.0


class ExplanationResponder:
    """Explains the decisions of a forwarder, at a limited rate.

    :param message_socket: receives the requests, and sends the replies.
    """

    def __init__(self, forwarder: TagForwarder, message_socket: MessageSocket) -> None:
        self._forwarder = forwarder
        self._message_socket = message_socket
        self._rate_limit = TokenBucket(MAX_REPLIES_PER_SECOND, MAX_BURST_REPLIES)
        message_socket.accept(EXPLAIN_MESSAGES)

    def handle(self, sender: HostName, body: Any, now: float) -> None:
        """Answer a request, unless there are too many of them."""
        if isinstance(body, ExplainRequest) and self._rate_limit.take(1, now):
            explanation = self._forwarder.explain(body.flow, now)
            self._message_socket.send(sender, ExplainReply(body.flow, explanation))
