"""Dividing a bound between nodes that need not talk for it."""

import zlib
from collections.abc import Collection


def even_share(
    total: int, node: str, known_nodes: Collection[str], node_count: int, subject: str
) -> int:
    """Return a node's part of a bound, so that all parts sum up to it at most.

    What can't be divided goes to some nodes, other ones for each subject.

    Parameters
    ----------
    names : collection of str
        All nodes that are known, this one included if it is.
    nodes : int
        How many nodes there may be, known or not.
    subject : str
        What the bound is for.
    """
    node_count = max(node_count, len(known_nodes), 1)
    part, rest = divmod(total, node_count)
    if node not in known_nodes:
        return part

    def order(other: str) -> int:
        return zlib.crc32(f"{other} {subject}".encode())

    own = order(node)
    before = sum((order(other), other) < (own, node) for other in known_nodes)
    return part + (before < rest)
