"""Private modules of :mod:`lacewingrudder_core.speeds`."""
