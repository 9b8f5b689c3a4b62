"""Exceptions with a message for the operator and an exit code."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of ``lwr`` and ``lacewingrudderd``."""

    DONE = 0
    FAULT = 1
    INVALID = 2
    CONFLICT = 3
    REFUSED = 4
    UNKNOWN = 5
    NO_ROUTE = 6
    UNREACHABLE = 7
    NO_VIEW = 8


class LacewingrudderError(Exception):
    """Base class of all errors that end a command.

    :param message: an explanation for the operator.
    """

    exit_code = ExitCode.INVALID

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        return self.message


class DocumentError(LacewingrudderError):
    """A settings file or a release note is invalid.

    :param file: the file name as given by the operator.
    :param field: path of the invalid field, such as ``added[0].kinds[1].port``.
    :param reason: what is wrong with the field.
    """

    def __init__(self, file: str, field: str, reason: str) -> None:
        super().__init__(f"{file}: {field}: {reason}")
        self.file = file
        self.field = field
        self.reason = reason


class UnreachableError(LacewingrudderError):
    """No control host answered a read-only request."""

    exit_code = ExitCode.REFUSED


class NoRouteError(LacewingrudderError):
    """No route leads to the address and port of the flow to explain."""

    exit_code = ExitCode.NO_ROUTE


class HostUnreachableError(LacewingrudderError):
    """The entry host did not answer."""

    exit_code = ExitCode.UNREACHABLE


class NoViewError(LacewingrudderError):
    """The entry host has no configuration yet, or no update from a control host."""

    exit_code = ExitCode.NO_VIEW


class FatalError(LacewingrudderError):
    """A component of the process failed, and the process can't continue without it."""

    exit_code = ExitCode.FAULT


class CodecError(LacewingrudderError):
    """Data received from another process is not a valid message."""


class UnauthenticatedError(CodecError):
    """The other process did not prove that it holds the peer key."""
