"""Messages by which processes compare their copies of the store's lists."""

from __future__ import annotations

import msgspec

from lentilroad.wire.services import Method


class ListItem(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """State of one key of the key-value store, or its removal, at a revision.

    Attributes
    ----------
    content : bytes
        Value of the key; empty if it was removed or is unreadable.
    """

    key: str
    revision: int
    content: bytes = b""
    removed: bool = False


class ListState(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """State of one process's copy of a list; see `ListCopy` for the revisions.

    Attributes
    ----------
    age_s : float
        Seconds since the copy was compared with the store.
    """

    name: str
    revision: int
    changed_revision: int
    age_s: float


class ListChanges(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """Changes of a list up to `revision`.

    Attributes
    ----------
    whole : bool
        Whether `items` is the whole list, and not the changes after `after_revision`.
    age_s : float
        Seconds since the sender's copy was compared with the store.
    """

    name: str
    whole: bool
    after_revision: int
    revision: int
    age_s: float
    items: list[ListItem]


class ListComparison(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """States of all copies of the sender, and changes that the receiver lacks.

    Attributes
    ----------
    outage_ended_s : float or None
        Seconds since the sender reached the store again after an outage in which
        leases may have expired; None if it knows of none.
    """

    states: list[ListState]
    changes: list[ListChanges] = []
    outage_ended_s: float | None = None


COMPARE_LISTS = Method(
    path="/lentilroad.Lists/Compare",
    request_type=ListComparison,
    reply_type=ListComparison,
)
