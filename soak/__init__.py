"""A randomized soak: the real processes, faults from outside, and checks of what users see."""
