"""Translation between the users' platform and the node."""

from poplarspar.platform.assembly import build_node
from poplarspar.platform.settings import read_node_settings

__all__ = ["build_node", "read_node_settings"]
