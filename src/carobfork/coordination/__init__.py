"""Coordination: who serves which call, when, and how it is recorded."""
