"""The transport layer."""
