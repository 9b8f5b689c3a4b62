"""Replies to drains and deregistrations that wait for acknowledgements."""

from __future__ import annotations

from typing import NamedTuple

from .types import CheckInOutcome, Lifetime

MAX_REPLY_DELAY_SECONDS = 0.6
"""How long the reply to a drain waits for acknowledgements; targets time out after a second."""

RESEND_INTERVAL_SECONDS = 0.12
"""Interval for resending an update whose acknowledgement a drain waits for: twice the round trip
between zones."""


class PendingReply(NamedTuple):
    """A drain or deregistration whose target awaits the reply.

    :param number: change that the subscribers have to acknowledge.
    :param reply_by: when the reply is sent at the latest.
    :param leaving: the lifetime that may exit once it has the reply, if any.
    """

    token: int
    outcome: CheckInOutcome
    number: int
    reply_by: float
    leaving: Lifetime | None
