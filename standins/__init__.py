"""Simulated fabric, targets and callers for demos, tests and measurements; no product logic."""
