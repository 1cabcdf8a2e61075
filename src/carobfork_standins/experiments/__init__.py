"""Experiments: seeded workloads against a lab, measured per rank."""
