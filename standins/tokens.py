"""Text that every stand-in replica generates for a prompt."""

import zlib


def token_text(prompt: str, offset: int) -> str:
    """Return the token that every replica generates at an offset."""
    return f"{zlib.crc32(prompt.encode()):08x}.{offset} "
