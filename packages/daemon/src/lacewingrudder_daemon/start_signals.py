"""Signals that arrive before a process has an event loop, which handles them from then on.

The first import of a program; it imports little itself, since a signal that comes before ends the
process by its default action.
"""

import signal
import sys
from types import FrameType


def handle_start_signals() -> None:
    """Let no SIGHUP end the process while it starts, and let SIGTERM and SIGINT end it in order.

    A SIGHUP asks for nothing yet: a process that starts reads its settings anyway, and again soon
    after. A process that hasn't started has nothing to hand over.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGINT, _exit)


def _exit(signum: int, frame: FrameType | None) -> None:
    sys.exit(0)
