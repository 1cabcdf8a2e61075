"""Inspections: what operators see of a running entry host."""
