"""How old a SYN may be when it is placed.

A caller that gets no answer sends its SYN again, and routers may hand that one to another host. A
SYN that waited here for longer may belong to a flow that is open by then: a second target that
answers it changes the tag that the caller echoes.
"""

from __future__ import annotations

SYN_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8)
"""How long callers wait for an answer after the first SYN and after each retransmission."""


def has_expired(attempt: int, waited_seconds: float) -> bool:
    """Return whether the caller may have sent the next SYN already, or have given up.

    :param attempt: number of this transmission of the SYN, from 0.
    :param waited_seconds: longest time for which the SYN may have waited.
    """
    last = len(SYN_TIMEOUTS_SECONDS) - 1
    return waited_seconds >= SYN_TIMEOUTS_SECONDS[min(attempt, last)]
