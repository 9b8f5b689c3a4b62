"""Loads the documents that the packages contain: state charts and JSON Schemas."""

from __future__ import annotations

import functools
import importlib.resources
import json
from typing import Any

from lacewingrudder_core.chart import StateChart


@functools.cache
def load_state_chart(name: str) -> StateChart:
    """Load a state chart by name.

    :raises FileNotFoundError: if there is no such chart.
    """
    folder = importlib.resources.files("lacewingrudder_core.charts")
    return StateChart(json.loads((folder / f"{name}.json").read_text("utf-8")))


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """Load a JSON Schema by name, such as ``settings`` or ``note``.

    :raises FileNotFoundError: if there is no such schema.
    """
    folder = importlib.resources.files("lacewingrudder_wire.schemas")
    schema: dict[str, Any] = json.loads((folder / f"{name}.schema.json").read_text("utf-8"))
    return schema
