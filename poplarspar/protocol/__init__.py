"""The protocol layer."""
