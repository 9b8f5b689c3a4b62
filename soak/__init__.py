"""Randomized soak test: runs the real processes, injects faults and checks what users observe."""
