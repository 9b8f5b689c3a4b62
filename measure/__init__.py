"""Measuring scripts; ``python -m measure`` prints one line per measure."""
