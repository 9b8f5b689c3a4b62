"""Codec, schemas and formats shared by the lacewingrudder processes."""

from .documents import read_document as read_document
from .documents import read_note as read_note
from .exceptions import ExitCode as ExitCode
from .exceptions import LacewingrudderError as LacewingrudderError
