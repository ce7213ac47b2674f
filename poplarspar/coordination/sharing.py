"""Division of a limit among nodes without messages between them."""

import zlib
from collections.abc import Collection


def even_share(
    total: int, node: str, known_nodes: Collection[str], node_count: int, subject: str
) -> int:
    """Return a node's share of a total, so that all shares sum to at most the total.

    The remainder of the division goes to some known nodes, which depend on the
    subject.

    Parameters
    ----------
    known_nodes : collection of str
        Names of all known nodes, with `node` if it is known.
    node_count : int
        Number of nodes that may exist, known or not.
    subject : str
        What the total limits; spreads the remainders of several totals.
    """
    node_count = max(node_count, len(known_nodes), 1)
    share, remainder = divmod(total, node_count)
    if node not in known_nodes:
        return share

    def rank(other: str) -> int:
        return zlib.crc32(f"{other} {subject}".encode())

    own_rank = rank(node)
    ranked_before = sum(
        (rank(other), other) < (own_rank, node) for other in known_nodes
    )
    return share + (ranked_before < remainder)
