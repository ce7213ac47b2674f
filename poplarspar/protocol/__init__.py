"""Encoding and decoding of messages, settings and stored documents."""

from poplarspar.protocol.documents import (
    JsonDocuments,
)
from poplarspar.protocol.objects import (
    parse_objects,
)
from poplarspar.protocol.peers import (
    decode,
    encode,
)
from poplarspar.protocol.settings import (
    EntrySettings,
    StewardSettings,
    read_entry_settings,
    read_steward_settings,
)

__all__ = [
    "EntrySettings",
    "JsonDocuments",
    "StewardSettings",
    "decode",
    "encode",
    "parse_objects",
    "read_entry_settings",
    "read_steward_settings",
]
