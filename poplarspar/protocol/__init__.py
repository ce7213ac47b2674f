"""Encoding and decoding of messages, settings and stored documents."""

from poplarspar.lazy_exports import lazy_exports

__all__, __getattr__ = lazy_exports(
    __name__,
    {
        "documents": ("JsonDocuments",),
        "objects": ("parse_objects",),
        "peers": (
            "decode",
            "encode",
        ),
        "settings": (
            "EntrySettings",
            "StewardSettings",
            "read_entry_settings",
            "read_steward_settings",
        ),
    },
)
