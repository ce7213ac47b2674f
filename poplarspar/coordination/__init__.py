"""The coordination layer."""
