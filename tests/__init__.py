"""Tests; run them with ``python -m tests``."""
