"""The state layer."""
