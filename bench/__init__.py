"""Benches: measurements over real processes."""
