"""Exceptions that carry what a person needs to mend the cause, and an exit code."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the two binaries."""

    DONE = 0
    FAULT = 1
    INVALID = 2
    CONFLICT = 3
    REFUSED = 4
    UNKNOWN = 5


class LacewingrudderError(Exception):
    """Base of all errors that end a command.

    :param message: a sentence for the operator.
    """

    exit_code = ExitCode.INVALID

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        return self.message


class DocumentError(LacewingrudderError):
    """A settings file or a note is not valid.

    :param file: the file's name as the operator gave it.
    :param field: path of the field, such as ``added[0].kinds[1].port``.
    :param reason: what is wrong with it.
    """

    def __init__(self, file: str, field: str, reason: str) -> None:
        super().__init__(f"{file}: {field}: {reason}")
        self.file = file
        self.field = field
        self.reason = reason


class UnreachableError(LacewingrudderError):
    """No control host answered a question that changes nothing."""

    exit_code = ExitCode.REFUSED


class FatalError(LacewingrudderError):
    """A part of a process failed, so that the process can't go on."""

    exit_code = ExitCode.FAULT


class CodecError(LacewingrudderError):
    """Bytes from another process are no valid message."""


class UnauthenticatedError(CodecError):
    """The other process did not prove that it has the peer key."""
