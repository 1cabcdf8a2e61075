"""Soak: real programs as processes, disturbed by a seeded series of faults.

Run it with ``python -m tests.soak FIRST_SEED COUNT SECONDS``.
"""
