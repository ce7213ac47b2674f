"""Benchmarks; each script prints a table and one JSON line."""
