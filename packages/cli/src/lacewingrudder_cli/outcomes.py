"""Exit codes and messages for the outcomes of submissions."""

from __future__ import annotations

from lacewingrudder_core.notes import SubmitReply, SubmitTag
from lacewingrudder_wire.exceptions import ExitCode

EXIT_CODES = {
    SubmitTag.ACCEPTED: ExitCode.DONE,
    SubmitTag.CONFLICT: ExitCode.CONFLICT,
    SubmitTag.REFUSED: ExitCode.REFUSED,
    SubmitTag.INVALID: ExitCode.INVALID,
    SubmitTag.UNKNOWN: ExitCode.UNKNOWN,
}


def reply_text(reply: SubmitReply) -> str:
    """Format the answer to a submission as a line of text."""
    return f"{reply.tag}: revision {reply.revision} {reply.detail}".rstrip()
