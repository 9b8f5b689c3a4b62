"""Decisions of the lacewingrudder load balancer, free of I/O.

Nothing is imported here: a process that needs one part of the package must not pay for the start
of the others.
"""
