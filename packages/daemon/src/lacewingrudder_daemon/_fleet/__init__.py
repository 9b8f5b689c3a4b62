"""Private modules of :mod:`lacewingrudder_daemon.fleet`."""
