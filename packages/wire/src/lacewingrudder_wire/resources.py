"""Documents that ship inside the packages: state charts and JSON Schemas."""

from __future__ import annotations

import functools
import importlib.resources
import json
from typing import Any

from lacewingrudder_core.chart import StateChart


@functools.cache
def load_state_chart(name: str) -> StateChart:
    """Return the state chart of that name.

    :raises FileNotFoundError: if there is none.
    """
    folder = importlib.resources.files("lacewingrudder_core.charts")
    return StateChart(json.loads((folder / f"{name}.json").read_text("utf-8")))


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """Return the JSON Schema of that name, ``settings`` or ``note``.

    :raises FileNotFoundError: if there is none.
    """
    folder = importlib.resources.files("lacewingrudder_wire.schemas")
    schema: dict[str, Any] = json.loads((folder / f"{name}.schema.json").read_text("utf-8"))
    return schema
