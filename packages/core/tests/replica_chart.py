"""Loads the state chart of the replica's roles that ships with the package."""

import importlib.resources
import json

from lacewingrudder_core.chart import Chart


def replica_chart() -> Chart:
    folder = importlib.resources.files("lacewingrudder_core.charts")
    return Chart(json.loads((folder / "replica.json").read_text("utf-8")))
