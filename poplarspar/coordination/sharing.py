"""Dividing a bound between nodes that need not talk for it."""

import zlib
from collections.abc import Collection


def even_part(
    bound: int, name: str, names: Collection[str], nodes: int, subject: str
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
    nodes = max(nodes, len(names), 1)
    part, rest = divmod(bound, nodes)
    if name not in names:
        return part

    def order(other: str) -> int:
        return zlib.crc32(f"{other} {subject}".encode())

    own = order(name)
    before = sum((order(other), other) < (own, name) for other in names)
    return part + (before < rest)
