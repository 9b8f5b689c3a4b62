"""Loads the state chart of the replica's roles that ships with the package."""

import importlib.resources
import json

from lacewingrudder_core.chart import StateChart


def replica_chart() -> StateChart:
    folder = importlib.resources.files("lacewingrudder_core.charts")
    return StateChart(json.loads((folder / "replica.json").read_text("utf-8")))
