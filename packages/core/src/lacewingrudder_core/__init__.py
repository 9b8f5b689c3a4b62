"""Decision logic of the lacewingrudder load balancer, without I/O.

This module imports nothing, so that a process which needs one part of the package does not pay for
importing the others.
"""
