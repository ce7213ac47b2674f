"""Answers of the platform's store."""

from pydantic import BaseModel, ConfigDict, Field


class Message(BaseModel):
    """An answer of the store, or a part of one."""

    model_config = ConfigDict(defer_build=True)


class Item(Message):
    """A value with its key, or the deletion of one."""

    key: str
    revision: int
    value: str = ""
    lease: int = 0
    deleted: bool = False


class ItemPage(Message):
    """Values under a prefix, in the order of their keys."""

    items: list[Item]
    # Whether another page follows; it starts after this page's last key.
    more_pages: bool = False
    as_of: int


class Events(Message):
    """Changes under a prefix, in the order of their revisions."""

    events: list[Item]
    as_of: int


class Committed(Message):
    """Revision of a write."""

    revision: int


class Lease(Message):
    """A lease that was granted or renewed."""

    lease: int = 0
    ttl_ms: int = Field(gt=0)
