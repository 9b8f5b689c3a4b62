"""Benchmarks and models; ``python -m measure`` runs them and prints one line per measure."""
