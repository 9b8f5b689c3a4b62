"""Reads and validates JSON documents: release notes and settings."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

import jsonschema
from lacewingrudder_core.notes import Note, parts_problem
from lacewingrudder_core.types import Kind, Service, parse_address

from .exceptions import DocumentError
from .resources import load_schema
from .strict_json import read_json

ROOT_FIELD = "(document)"


class _RepeatedKeyError(ValueError):
    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key


def _reject_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    for key, _ in pairs if len(document) < len(pairs) else ():
        if sum(key == other for other, _ in pairs) > 1:
            raise _RepeatedKeyError(key)
    return document


def read_document(path: Path, schema: str) -> dict[str, Any]:
    """Read a JSON file and validate its contents against a schema.

    :param schema: name of the schema, ``settings`` or ``note``.
    :raises DocumentError: if the file can't be read, is not JSON, or does not match the schema.
    """
    try:
        document = read_json(path.read_bytes(), _reject_repeated_keys)
    except OSError as error:
        raise DocumentError(str(path), ROOT_FIELD, error.strerror or str(error)) from error
    except _RepeatedKeyError as error:
        raise DocumentError(str(path), error.key, "is given more than once") from error
    except (ValueError, RecursionError) as error:
        raise DocumentError(str(path), ROOT_FIELD, f"is not JSON: {error}") from error
    check_document(document, schema, str(path))
    return dict(document)


def check_document(document: Any, schema: str, file: str) -> None:
    """Validate a document against a schema.

    :param file: name of the document in error messages.
    :raises DocumentError: for the first invalid field, if the document does not match the schema.
    """
    validator = jsonschema.Draft202012Validator(
        load_schema(schema), format_checker=jsonschema.Draft202012Validator.FORMAT_CHECKER
    )
    errors = sorted(validator.iter_errors(document), key=lambda error: list(map(str, error.path)))
    if errors:
        raise _document_error(errors[0], file)


def _document_error(error: Any, file: str) -> DocumentError:
    path = list(error.absolute_path)
    if error.validator == "required":
        missing = next(name for name in error.validator_value if name not in error.instance)
        return DocumentError(file, field_path([*path, missing]), "is required")
    if error.validator == "additionalProperties":
        unknown = next(name for name in error.instance if name not in error.schema["properties"])
        return DocumentError(file, field_path([*path, unknown]), "is not a known field")
    return DocumentError(file, field_path(path), error.message)


def field_path(parts: list[str | int]) -> str:
    """Format the path of a field for error messages, such as ``added[0].port``."""
    text = ""
    for part in parts:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or ROOT_FIELD


def read_note(path: Path) -> Note:
    """Read a release note from a file.

    :raises DocumentError: if the note is invalid, or its digest does not match its contents.
    """
    document = read_document(path, "note")
    stated_digest = document.pop("digest", None)
    digest = note_digest(document)
    if stated_digest is not None and stated_digest != digest:
        raise DocumentError(
            str(path), "digest", f"does not match the contents, whose digest is {digest}"
        )
    note = Note(
        number=int(document["number"]),
        base=int(document["base"]),
        added=tuple(_parse_service(entry) for entry in document.get("added", [])),
        changed=tuple(_parse_service(entry) for entry in document.get("changed", [])),
        withdrawn=tuple(document.get("withdrawn", [])),
        digest=digest,
    )
    problem = parts_problem(note.parts)
    if problem is not None:
        raise DocumentError(str(path), problem.field, problem.reason)
    return note


def note_digest(document: dict[str, Any]) -> str:
    """Return the hash of a note's contents, independent of whitespace and the order of keys."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


def _parse_service(entry: dict[str, Any]) -> Service:
    kinds = tuple(
        Kind(
            kind["name"],
            int(kind["port"]),
            int(kind.get("urgency", 0)),
            kind.get("idempotent", False),
            float(kind.get("share", 0)),
        )
        for kind in entry["kinds"]
    )
    return Service(entry["name"], parse_address(entry["address"]), entry["key"], kinds)
