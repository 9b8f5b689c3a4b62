"""Reads JSON as RFC 8259 defines it; the standard library accepts more."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

ObjectMaker = Callable[[list[tuple[str, Any]]], dict[str, Any]]


def read_json(data: bytes, make_object: ObjectMaker | None = None) -> Any:
    """Return the value in a JSON text.

    The text has to be UTF-8 without a byte order mark, and ``NaN`` and ``Infinity`` are no numbers:
    other readers would not accept what is handed on.

    :param make_object: returns the object with some pairs of keys and values; by default the last
        value of a repeated key counts.
    :raises ValueError: if the bytes are not JSON.
    :raises RecursionError: if the text is nested too deeply.
    """
    return json.loads(
        data.decode("utf-8"), object_pairs_hook=make_object, parse_constant=_reject_constant
    )


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")
