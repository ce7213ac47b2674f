"""Adapters between the platform's protocol and the node."""

from poplarspar.platform.assembly import build_node
from poplarspar.platform.settings import SettingsFile, read_node_settings

__all__ = ["SettingsFile", "build_node", "read_node_settings"]
